package control

import (
	"runtime/debug"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// snapshotThreshold is the size of the log in bytes above which durable storage takes a
// snapshot.
const snapshotThreshold = 4 << 20

// BenchmarkLoad starts a replica from the disk contents after 10 s with more work than 240
// workers can run. The garbage collector runs as often as in the daemons.
func BenchmarkLoad(b *testing.B) {
	n := newNet(nil)
	for _, node := range n.nodes {
		node.disk.SnapshotThreshold = snapshotThreshold
	}
	n.run(3 * time.Second)
	load := benchmarkLoad{workers: 240, interval: 5 * time.Millisecond, mixed: true}
	n.command(state.Command{
		Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: load.config()},
	})
	n.runLoad(load)
	stored := n.nodes[n.leader()].disk.Load()
	b.Logf("%d records, %d commands before the snapshot, %d after it",
		len(stored.Records), len(stored.CommandsBeforeSnapshot), len(stored.Commands))
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := New(Config{Address: "a:1", Zone: "a:1", NewID: "new", BootID: 100}, stored); err != nil {
			b.Fatal(err)
		}
	}
}
