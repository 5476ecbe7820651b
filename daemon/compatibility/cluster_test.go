// This file simulates a cluster of real replicas with data directories on disk. Time and the
// network are simulated.

package compatibility

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/storage"
)

const (
	tick           = time.Millisecond
	messageDelay   = tick
	writeDelay     = 3 * tick
	gossipInterval = 300 * tick
)

// startTime is the wall-clock time at which a cluster starts.
var startTime = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// clusterNode is one replica with its data directory.
type clusterNode struct {
	address      string
	zone         string
	replica      *replica.Replica
	store        *storage.Store
	auditEntries []machine.AuditEntry
	// isolated is set while all messages from and to the replica are lost.
	isolated bool
}

// cluster is a set of replicas that share one clock.
type cluster struct {
	t        *testing.T
	now      time.Duration
	replicas []*clusterNode
	events   map[time.Duration][]func()
	// lostKind is a kind of message that is never delivered.
	lostKind string
	// truncatedCount counts the commands that replicas truncated from their logs.
	truncatedCount int
	lastRequest    uint64
}

// newCluster bootstraps a cluster of 2*backups+1 replicas, with their data directories in
// folder.
func newCluster(t *testing.T, folder string, backups int) *cluster {
	c := &cluster{t: t, events: map[time.Duration][]func(){}}
	for i := range 2*backups + 1 {
		c.startReplica(folder, i, backups)
	}
	c.advance(3 * time.Second)
	return c
}

func (c *cluster) startReplica(folder string, i, backups int) {
	address := string(rune('a' + i))
	data, stored, err := storage.Open(filepath.Join(folder, address))
	c.check(err)
	c.t.Cleanup(func() { _ = data.Close() })
	config := replica.Config{
		Address: address, Zone: string(rune('x' + i%3)), NewID: address + "-1", BootID: uint64(100 + i), BackupCount: backups,
	}
	if i < 3 {
		config.Founders = []string{"a", "b", "c"}
	}
	created, err := replica.New(config, stored)
	c.check(err)
	c.replicas = append(c.replicas, &clusterNode{address: address, zone: config.Zone, replica: created, store: data})
}

func (c *cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) schedule(d time.Duration, do func()) {
	c.events[c.now+d] = append(c.events[c.now+d], do)
}

// time returns the monotonic time of all processes.
func (c *cluster) time() time.Duration { return c.now + time.Microsecond }

func (c *cluster) step(r *clusterNode, in machine.Input) {
	in.WallTime = startTime.Add(c.now)
	c.execute(r, r.replica.Step(c.time(), in))
}

// execute sends the messages and executes the writes of an output.
func (c *cluster) execute(r *clusterNode, out machine.Output) {
	for _, s := range out.Messages {
		c.send(r, s)
	}
	for _, w := range out.Writes {
		c.truncatedCount += w.TruncateCount
		c.check(r.store.Write(w))
		c.schedule(writeDelay, func() { c.step(r, machine.Input{CompletedWrite: w.ID}) })
	}
	r.auditEntries = append(r.auditEntries, out.AuditEntries...)
}

func (c *cluster) send(from *clusterNode, outgoing machine.OutgoingMessage) {
	i := slices.IndexFunc(c.replicas, func(r *clusterNode) bool { return r.address == outgoing.To })
	if i < 0 || outgoing.Kind == c.lostKind {
		return
	}
	body, err := outgoing.Encode()
	c.check(err)
	to := c.replicas[i]
	message := machine.Message{Version: machine.ProtocolVersion, Kind: outgoing.Kind, From: from.address, Body: body}
	c.schedule(messageDelay, func() {
		if !from.isolated && !to.isolated {
			c.step(to, machine.Input{Message: message})
		}
	})
}

// advance advances the clock by d. It executes the scheduled events and expired timers in
// that time, and gossip.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		due := c.events[c.now]
		delete(c.events, c.now)
		for _, do := range due {
			do()
		}
		for _, r := range c.replicas {
			if r.replica.NextTimer() <= c.now {
				c.step(r, machine.Input{})
			}
		}
		if c.now%gossipInterval == 0 {
			c.gossip()
		}
	}
}

// gossip sends all replicas the list of nodes, as their membership machines would.
func (c *cluster) gossip() {
	var nodes []wire.Node
	for _, r := range c.replicas {
		nodes = append(nodes, wire.Node{ID: r.replica.ID(), Role: "keeper", Zone: r.zone, Address: r.address})
	}
	body := machine.MustMarshal(wire.Gossip{Nodes: nodes})
	message := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindNodeList, Body: body}
	for _, r := range c.replicas {
		c.step(r, machine.Input{Message: message})
	}
}

func (c *cluster) primary() *clusterNode {
	c.t.Helper()
	for range 10000 {
		for _, r := range c.replicas {
			if r.replica.LeadershipConfirmed(c.time()) {
				return r
			}
		}
		c.advance(tick)
	}
	c.t.Fatal("no replica has confirmed leadership")
	return nil
}

// submit submits a command to a replica and returns the ID of the request.
func (c *cluster) submit(r *clusterNode, cmd state.Command) uint64 {
	c.lastRequest++
	var out machine.Output
	r.replica.Submit(c.time(), c.lastRequest, cmd, &out)
	c.execute(r, out)
	c.execute(r, r.replica.Flush(c.time()))
	return c.lastRequest
}

// do executes a command on the primary and returns its result.
func (c *cluster) do(cmd state.Command) state.Result {
	c.t.Helper()
	p := c.primary()
	id := c.submit(p, cmd)
	for range 10000 {
		c.advance(tick)
		for _, back := range p.replica.TakeLocalReplies() {
			if back.ID == id {
				return back.Result
			}
		}
	}
	c.t.Fatalf("%s: no reply", cmd.Kind)
	return state.Result{}
}

// mustSucceed executes a command that must succeed, and returns its result.
func (c *cluster) mustSucceed(cmd state.Command) state.Result {
	c.t.Helper()
	a := c.do(cmd)
	if !a.Code.IsSuccess() {
		c.t.Fatalf("%s: %v %s", cmd.Kind, a.Code, a.Reason)
	}
	return a
}

// mustReject executes a command that must be rejected.
func (c *cluster) mustReject(cmd state.Command) {
	c.t.Helper()
	if a := c.do(cmd); a.Code.IsSuccess() {
		c.t.Fatalf("%s was not rejected", cmd.Kind)
	}
}

// snapshot makes every replica write a snapshot, and waits until all of them are on disk.
func (c *cluster) snapshot(folder string) {
	for _, r := range c.replicas {
		c.step(r, machine.Input{SnapshotDue: true})
	}
	c.mustSucceed(state.Command{Kind: state.KindTick})
	c.advance(time.Second)
	for _, r := range c.replicas {
		path := filepath.Join(folder, r.address, "snapshot-000000000002")
		waitFor(c.t, path, func() bool { _, err := os.Stat(path); return err == nil })
	}
}

// waitFor polls done until data written by another goroutine is there. what names the data in
// the failure message.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(10 * time.Second); !done(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// diverge makes the primary log a command that is never committed, so that it truncates the
// command once another replica leads.
func (c *cluster) diverge() {
	old := c.primary()
	old.isolated = true
	c.submit(old, state.Command{Kind: state.KindTick})
	c.advance(4 * time.Second)
	old.isolated = false
	c.advance(4 * time.Second)
	if c.truncatedCount == 0 {
		c.t.Fatal("no command was truncated")
	}
}

// leaveUndecidedView isolates the primary, and ends after the witnesses have accepted the
// next view but before it is decided.
func (c *cluster) leaveUndecidedView() {
	c.lostKind = wire.KindAcceptReply
	c.primary().isolated = true
	c.advance(3 * time.Second)
}

func (c *cluster) close() {
	for _, r := range c.replicas {
		c.check(r.store.Close())
	}
}
