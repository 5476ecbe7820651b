package replica

import (
	"testing"
	"time"

	"sorrelloom/core/state"
)

func at(index uint64) state.LogPosition { return state.LogPosition{Epoch: 1, Index: index} }

// TestProgressAcknowledge checks how acknowledgements change a peer's progress, including one
// that arrives late.
func TestProgressAcknowledge(t *testing.T) {
	transfer := outgoingTransfer{position: at(8), sentAt: 1}
	for _, row := range []struct {
		name   string
		before progress
		ack    uint64
		want   progress
	}{
		{
			"the first, below the previous epoch's position", progress{match: at(9)}, 5,
			progress{match: at(5), replicating: true, windowStart: at(5), sentUpTo: at(5)},
		},
		{
			"the next", progress{match: at(5), replicating: true, sentUpTo: at(9)}, 7,
			progress{match: at(7), replicating: true, windowStart: at(7), sentUpTo: at(9)},
		},
		{
			"one that arrives late", progress{match: at(7), replicating: true, sentUpTo: at(9)}, 6,
			progress{match: at(7), replicating: true, windowStart: at(7), sentUpTo: at(9)},
		},
		{
			"beyond what was sent", progress{match: at(5), replicating: true, sentUpTo: at(5)}, 9,
			progress{match: at(9), replicating: true, windowStart: at(9), sentUpTo: at(9)},
		},
		{
			"before the snapshot's position", progress{sentUpTo: at(8), transfer: transfer}, 7,
			progress{match: at(7), replicating: true, windowStart: at(7), sentUpTo: at(8), transfer: transfer},
		},
		{
			"at the snapshot's position", progress{sentUpTo: at(8), transfer: transfer}, 8,
			progress{match: at(8), replicating: true, windowStart: at(8), sentUpTo: at(8)},
		},
	} {
		p := row.before
		if p.acknowledge(at(row.ack)); p != row.want {
			t.Errorf("%s: %+v, want %+v", row.name, p, row.want)
		}
	}
}

// TestProgressWatchDisk checks when the disk of a peer that has not acknowledged the awaited
// index counts as slow.
func TestProgressWatchDisk(t *testing.T) {
	p := progress{match: at(5)}
	for _, row := range []struct {
		name   string
		now    time.Duration
		match  uint64
		newest uint64
		slow   bool
	}{
		{"nothing awaited yet", time.Second, 5, 8, false},
		{"within the timeout", time.Second + slowDiskTimeout, 7, 20, false},
		{"after the timeout", time.Second + slowDiskTimeout + 1, 7, 20, true},
		{"the awaited index is acknowledged", 2 * time.Second, 8, 20, false},
	} {
		p.match = at(row.match)
		if p.watchDisk(row.now, row.newest); p.slow != row.slow {
			t.Errorf("%s: slow %v", row.name, p.slow)
		}
	}
	if p.awaitedIndex != 20 || p.awaitedSince != 2*time.Second {
		t.Errorf("awaits %d since %s", p.awaitedIndex, p.awaitedSince)
	}
}

// TestProgressMapBeginEpoch checks which fields of a peer's progress are kept in the next epoch.
func TestProgressMapBeginEpoch(t *testing.T) {
	peers := progressMap{"a": {
		heardAt: 1, match: at(5), replicating: true, ackedSendID: 7, candidate: true, stopping: true,
		awaitedIndex: 6, awaitedSince: 2, sentUpTo: at(9), windowStart: at(5), probedAt: 3,
		resentAt: 4, resentSendID: 8, transfer: outgoingTransfer{sentAt: 5},
	}}
	peers.beginEpoch()
	want := progress{heardAt: 1, match: at(5), awaitedIndex: 6, awaitedSince: 2}
	if got := *peers["a"]; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
