// A cluster of real replicas in memory, whose disks are real data folders.

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
	stride     = time.Millisecond
	lineTakes  = stride
	writeTakes = 3 * stride
	gossipEach = 300 * stride
)

// wallStart is the time of day at which a cluster begins.
var wallStart = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// replica is one replica with its data folder.
type clusterNode struct {
	address string
	zone    string
	replica *replica.Replica
	data    *storage.Store
	audits  []machine.AuditEntry
	// cut takes all its lines away.
	cut bool
}

// cluster is a number of replicas on one clock.
type cluster struct {
	t        *testing.T
	now      time.Duration
	replicas []*clusterNode
	agenda   map[time.Duration][]func()
	// lost is a kind of line that never comes.
	lost string
	// dropped counts the commands that were taken back from a log.
	dropped     int
	lastRequest uint64
}

// newCluster founds a cluster with 2*copies+1 replicas below a folder.
func newCluster(t *testing.T, folder string, copies int) *cluster {
	c := &cluster{t: t, agenda: map[time.Duration][]func(){}}
	for i := range 2*copies + 1 {
		c.start(folder, i, copies)
	}
	c.pass(3 * time.Second)
	return c
}

func (c *cluster) start(folder string, i, copies int) {
	address := string(rune('a' + i))
	data, stored, err := storage.Open(filepath.Join(folder, address))
	c.check(err)
	c.t.Cleanup(func() { _ = data.Close() })
	env := replica.Config{
		Address: address, Zone: string(rune('x' + i%3)), NewID: address + "-1", BootID: uint64(100 + i), BackupCount: copies,
	}
	if i < 3 {
		env.Founders = []string{"a", "b", "c"}
	}
	k, err := replica.New(env, stored)
	c.check(err)
	c.replicas = append(c.replicas, &clusterNode{address: address, zone: env.Zone, replica: k, data: data})
}

func (c *cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) after(d time.Duration, do func()) {
	c.agenda[c.now+d] = append(c.agenda[c.now+d], do)
}

// time is the monotonic time of every process.
func (c *cluster) time() time.Duration { return c.now + time.Microsecond }

func (c *cluster) step(r *clusterNode, in machine.Input) {
	in.WallTime = wallStart.Add(c.now)
	c.carryOut(r, r.replica.Step(c.time(), in))
}

// carryOut sends and writes what a replica wants.
func (c *cluster) carryOut(r *clusterNode, out machine.Output) {
	for _, s := range out.Messages {
		c.send(r, s)
	}
	for _, w := range out.Writes {
		c.dropped += w.TruncateCount
		c.check(r.data.Write(w))
		c.after(writeTakes, func() { c.step(r, machine.Input{CompletedWrite: w.ID}) })
	}
	r.audits = append(r.audits, out.AuditEntries...)
}

func (c *cluster) send(from *clusterNode, s machine.OutgoingMessage) {
	i := slices.IndexFunc(c.replicas, func(r *clusterNode) bool { return r.address == s.To })
	if i < 0 || s.Kind == c.lost {
		return
	}
	body, err := s.Encode()
	c.check(err)
	to := c.replicas[i]
	line := machine.Message{Version: machine.ProtocolVersion, Kind: s.Kind, From: from.address, Body: body}
	c.after(lineTakes, func() {
		if !from.cut && !to.cut {
			c.step(to, machine.Input{Message: line})
		}
	})
}

// pass lets time go by.
func (c *cluster) pass(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += stride
		due := c.agenda[c.now]
		delete(c.agenda, c.now)
		for _, do := range due {
			do()
		}
		for _, r := range c.replicas {
			if r.replica.NextTimer() <= c.now {
				c.step(r, machine.Input{})
			}
		}
		if c.now%gossipEach == 0 {
			c.gossip()
		}
	}
}

// gossip tells all replicas of one another, as their member machines would.
func (c *cluster) gossip() {
	var nodes []wire.Node
	for _, r := range c.replicas {
		nodes = append(nodes, wire.Node{ID: r.replica.ID(), Role: "keeper", Zone: r.zone, Address: r.address})
	}
	body := machine.MustMarshal(wire.Gossip{Nodes: nodes})
	line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindNodeList, Body: body}
	for _, r := range c.replicas {
		c.step(r, machine.Input{Message: line})
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
		c.pass(stride)
	}
	c.t.Fatal("nobody leads")
	return nil
}

// submit hands a command to a replica and gives its number.
func (c *cluster) submit(r *clusterNode, cmd state.Command) uint64 {
	c.lastRequest++
	var out machine.Output
	r.replica.Submit(c.time(), c.lastRequest, cmd, &out)
	c.carryOut(r, out)
	c.carryOut(r, r.replica.Flush(c.time()))
	return c.lastRequest
}

// do has the primary carry a command out and waits for the answer.
func (c *cluster) do(cmd state.Command) state.Result {
	c.t.Helper()
	p := c.primary()
	id := c.submit(p, cmd)
	for range 10000 {
		c.pass(stride)
		for _, back := range p.replica.TakeLocalReplies() {
			if back.ID == id {
				return back.Result
			}
		}
	}
	c.t.Fatalf("%s is not answered", cmd.Kind)
	return state.Result{}
}

// must is do with a command that is not refused.
func (c *cluster) must(cmd state.Command) state.Result {
	c.t.Helper()
	a := c.do(cmd)
	if !a.Code.IsSuccess() {
		c.t.Fatalf("%s: %v %s", cmd.Kind, a.Code, a.Reason)
	}
	return a
}

// refused is do with a command that is.
func (c *cluster) refused(cmd state.Command) {
	c.t.Helper()
	if a := c.do(cmd); a.Code.IsSuccess() {
		c.t.Fatalf("%s is not refused", cmd.Kind)
	}
}

// snapshot has every replica write one, and waits until each is on its disk.
func (c *cluster) snapshot(folder string) {
	for _, r := range c.replicas {
		c.step(r, machine.Input{SnapshotDue: true})
	}
	c.must(state.Command{Kind: state.KindTick})
	c.pass(time.Second)
	for _, r := range c.replicas {
		path := filepath.Join(folder, r.address, "snapshot-000000000002")
		waitFor(c.t, path, func() bool { _, err := os.Stat(path); return err == nil })
	}
}

// waitFor waits for what another goroutine writes.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(10 * time.Second); !done(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

// diverge has the primary log a command that is never committed, so that it takes
// the command back once another leads.
func (c *cluster) diverge() {
	old := c.primary()
	old.cut = true
	c.submit(old, state.Command{Kind: state.KindTick})
	c.pass(4 * time.Second)
	old.cut = false
	c.pass(4 * time.Second)
	if c.dropped == 0 {
		c.t.Fatal("no command was taken back")
	}
}

// leaveVotes ends with the primary gone and the next view accepted by the witnesses
// but not decided.
func (c *cluster) leaveVotes() {
	c.lost = wire.KindAcceptReply
	c.primary().cut = true
	c.pass(3 * time.Second)
}

func (c *cluster) close() {
	for _, r := range c.replicas {
		c.check(r.data.Close())
	}
}
