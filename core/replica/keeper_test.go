// Keepers alone, on a small network of lines that take 1 ms and disks that take
// 3 ms: what they decide on when one after another goes away, comes back, comes
// back empty, or another machine stands at its address. A writer changes the plan
// all the while, and no answered change may be lost or answered twice.

package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const tickStep = time.Millisecond

type node struct {
	latency     time.Duration // what lines to it take
	address     string
	replica     *Replica
	incarnation int
	startedAt   time.Duration
	disk        *machine.MemoryDisk
	isolated    bool
	diskDelay   time.Duration
	frozen      bool
	deferred    []machine.Input // what came while it was frozen
}

// newDisk is an empty disk with room for so little log that days of a few seconds
// have several snapshots.
func newDisk() *machine.MemoryDisk { return &machine.MemoryDisk{SnapshotThreshold: 4096} }

// trio is a cluster of three founders and whoever is added later.
type cluster struct {
	t            testing.TB
	now          time.Duration
	nodes        []*node
	scheduled    map[time.Duration][]func()
	founders     []string
	log          []string
	lastRequest  uint64
	answered     map[uint64]uint64 // plan sequence to the number of the request
	lastAnswerAt time.Duration     // when a write was last answered
	longestGap   time.Duration     // the longest time without an answer
	events       map[string]int
	backupCount  int
	zones        map[string]string
	diskless     []string // hosts that have no disk and only answer as such
	// late is by how much a line comes later; a negative one never comes.
	delay      func(from, to, kind string) time.Duration
	sendCounts map[string]int
	// tune changes what a process is started with.
	configure func(h *node, env *Config)
	// idle says that nobody writes, reads that somebody reads, too.
	writerPaused, readerRuns bool
	readFloors               map[uint64]uint64 // by read, the newest plan answered before it was asked
	views                    map[uint64]string // by epoch, the view that a disk holds
	onRead                   func(h *node, b wire.CommandReply)
	// variant changes a process before each step, as one with a mechanism taken out.
	mutate        func(h *node)
	writeInterval time.Duration // how often a client writes
	// lyingDisks say that a batch is synced before it is.
	earlySyncDisks bool
	// rejected counts the writes that a host sent elsewhere.
	rejected map[string]int
	// saw is told of every line that is sent, also of those that never come.
	onSend func(from, to string, line machine.Message)
}

func newCluster(t testing.TB) *cluster {
	c := newEmptyCluster(t)
	for _, address := range c.founders {
		c.add(address)
	}
	c.advance(time.Second)
	if c.primary() == nil {
		t.Fatal("three empty founders found no cluster")
	}
	return c
}

func newEmptyCluster(t testing.TB) *cluster {
	return &cluster{
		t: t, founders: []string{"a", "b", "c"}, writeInterval: 50 * time.Millisecond,
		scheduled: map[time.Duration][]func(){}, answered: map[uint64]uint64{}, events: map[string]int{}, zones: map[string]string{},
		sendCounts: map[string]int{}, rejected: map[string]int{}, readFloors: map[uint64]uint64{}, views: map[uint64]string{},
	}
}

func (c *cluster) add(address string) *node {
	h := &node{address: address, disk: newDisk()}
	c.nodes = append(c.nodes, h)
	c.start(h)
	return h
}

func (c *cluster) node(address string) *node {
	for _, h := range c.nodes {
		if h.address == address {
			return h
		}
	}
	return nil
}

func (c *cluster) start(h *node) {
	if h.replica != nil {
		return
	}
	h.incarnation++
	h.startedAt = c.now
	env := Config{Address: h.address, Zone: c.zone(h.address), BackupCount: c.backupCount, NewID: fmt.Sprintf("%s-%d", h.address, h.incarnation), BootID: uint64(h.incarnation)<<16 + uint64(h.address[0])}
	if slices.Contains(c.founders, h.address) || len(c.diskless) > 0 {
		env.Founders = c.founders
	}
	if c.configure != nil {
		c.configure(h, &env)
	}
	r, err := New(env, h.disk.Load())
	if err != nil {
		c.t.Fatalf("%s refuses its own disk: %v", h.address, err)
	}
	h.replica = r
	c.logf("start %s as %s", h.address, r.ID())
	c.step(h, machine.Input{})
}

func (c *cluster) zone(address string) string {
	if site, ok := c.zones[address]; ok {
		return site
	}
	return address
}

// kill ends a process; what its disk was at is lost.
func (c *cluster) kill(h *node) {
	if h.replica != nil {
		c.logf("kill %s", h.address)
	}
	h.replica = nil
	h.incarnation++
	h.frozen, h.deferred = false, nil
}

func (c *cluster) wipe(h *node) {
	c.kill(h)
	c.logf("wipe %s", h.address)
	h.disk = newDisk()
}

func (c *cluster) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

func (c *cluster) schedule(d time.Duration, do func()) {
	at := (c.now + d).Truncate(tickStep)
	c.scheduled[at] = append(c.scheduled[at], do)
}

func (c *cluster) step(h *node, in machine.Input) {
	if h.frozen {
		if in.CompletedWrite > 0 || in.Message.Kind != "" {
			h.deferred = append(h.deferred, in)
		}
		return
	}
	if c.mutate != nil {
		c.mutate(h)
	}
	out := h.replica.Step(c.now-h.startedAt+time.Microsecond, in)
	life := h.incarnation
	for _, e := range out.LogEvents {
		c.events[e.Name]++
		c.logf("%s %s %v", h.address, e.Name, e.Fields)
	}
	for _, s := range out.Messages {
		if slices.Contains(c.diskless, s.To) && s.Kind == wire.KindBootstrapProbe {
			body := wire.BootstrapStatus{Member: wire.Member{ID: s.To, Address: s.To, Zone: c.zone(s.To)}, Empty: true, Proxy: true}
			line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindBootstrapReply, From: s.To, Body: machine.MustMarshal(body)}
			c.schedule(2*tickStep, func() {
				if h.replica != nil && h.incarnation == life {
					c.step(h, machine.Input{Message: line})
				}
			})
			continue
		}
		if s.To == "reader" {
			c.handleRead(h, s)
			continue
		}
		if s.To == "writer" {
			c.handleAnswer(h, s)
			continue
		}
		to := c.node(s.To)
		if to == nil || h.isolated {
			continue
		}
		line := machine.Message{Version: machine.ProtocolVersion, Kind: s.Kind, From: h.address, Body: machine.MustMarshal(s.Body)}
		c.events["line "+s.Kind+" to "+s.To]++
		c.sendCounts[s.Kind]++
		if c.onSend != nil {
			c.onSend(h.address, s.To, line)
		}
		var late time.Duration
		if c.delay != nil {
			if late = c.delay(h.address, s.To, s.Kind); late < 0 {
				continue
			}
		}
		c.schedule(tickStep+late+to.latency, func() {
			if to.replica != nil && !to.isolated && !h.isolated {
				c.step(to, machine.Input{Message: line})
			}
		})
	}
	for _, w := range out.Writes {
		sync := 3*tickStep + h.diskDelay
		told := sync
		if c.earlySyncDisks {
			told = tickStep
		}
		c.schedule(sync, func() {
			if h.incarnation == life {
				c.syncDisk(h, w)
			}
			if h.incarnation == life && told == sync {
				c.step(h, machine.Input{CompletedWrite: w.ID, SnapshotDue: h.disk.SnapshotDue()})
			}
		})
		if told < sync {
			c.schedule(told, func() {
				if h.incarnation == life {
					c.step(h, machine.Input{CompletedWrite: w.ID, SnapshotDue: h.disk.SnapshotDue()})
				}
			})
		}
	}
	if out.Stopped {
		c.kill(h)
	}
}

// sync has a batch on the disk.
func (c *cluster) syncDisk(h *node, w machine.Write) {
	h.disk.Apply(w)
	for _, r := range w.Records {
		if r.Bucket == bucketReplica && r.Key == keyAcceptor {
			c.checkSingleView(h, r.Value)
		}
	}
}

// write asks every keeper that is up to change the plan.
func (c *cluster) write() {
	for _, h := range c.nodes {
		if h.replica == nil || h.isolated {
			continue
		}
		c.lastRequest++
		cmd := state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Forced: true, Patch: true, Body: fmt.Appendf(nil, `{"limits":{"keep":"%dm"}}`, 10+c.lastRequest)}}
		line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindCommand, From: "writer", Body: machine.MustMarshal(wire.CommandRequest{ID: c.lastRequest, Command: cmd})}
		c.step(h, machine.Input{Message: line})
	}
}

func (c *cluster) handleAnswer(h *node, s machine.OutgoingMessage) {
	b, ok := s.Body.(wire.CommandReply)
	if ok && b.Result.Code == status.NotPrimary {
		c.rejected[h.address]++
	}
	if !ok || h.isolated || b.Result.Code == status.NotPrimary {
		return
	}
	if !b.Result.Code.IsSuccess() {
		c.t.Fatalf("a plan is bounced: %+v", b.Result)
	}
	if other, ok := c.answered[b.Result.ConfigVersion]; ok && other != b.ID {
		c.t.Errorf("plan %d was answered to the requests %d and %d", b.Result.ConfigVersion, other, b.ID)
	}
	c.answered[b.Result.ConfigVersion] = b.ID
	c.longestGap, c.lastAnswerAt = max(c.longestGap, c.now-c.lastAnswerAt), c.now
}

// pass lets time go by, with a write each 50 ms where nothing else is said.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tickStep
		due := c.scheduled[c.now]
		delete(c.scheduled, c.now)
		for _, do := range due {
			do()
		}
		for _, h := range c.nodes {
			if h.replica != nil && h.replica.NextTimer() <= c.now-h.startedAt {
				c.step(h, machine.Input{})
			}
		}
		if c.now%c.writeInterval == 0 && !c.writerPaused {
			c.write()
		}
		if c.now%c.writeInterval == c.writeInterval/2 && c.readerRuns {
			c.readAll()
		}
		if c.now%(300*time.Millisecond) == 0 {
			c.gossip()
		}
	}
}

// gossip tells each keeper of the others, as the members would.
func (c *cluster) gossip() {
	var nodes []wire.Node
	for _, h := range c.nodes {
		if h.replica != nil && !h.isolated {
			nodes = append(nodes, wire.Node{ID: h.replica.ID(), Role: "keeper", Zone: c.zone(h.address), Address: h.address})
		}
	}
	for _, h := range c.nodes {
		if h.replica != nil && !h.isolated {
			c.step(h, machine.Input{Message: machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindNodeList, Body: machine.MustMarshal(wire.Gossip{Nodes: nodes})}})
		}
	}
}

func (c *cluster) primary() *node {
	for _, h := range c.nodes {
		if h.replica != nil && !h.isolated && !h.frozen && h.replica.leadershipConfirmed(c.now-h.startedAt+time.Microsecond) {
			return h
		}
	}
	return nil
}

// serves says how long it takes until a write is answered, at most d.
func (c *cluster) waitForAnswer(d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		if c.lastAnswerAt > from {
			return c.now - from, true
		}
	}
	return d, false
}

// seats says how long it takes until a keeper has a seat in the view by which the
// cluster serves, at most d.
func (c *cluster) waitForMembership(h *node, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		if p := c.primary(); p != nil && h.replica != nil && slices.ContainsFunc(p.replica.View().Voters, func(s wire.Member) bool { return s.ID == h.replica.ID() }) {
			return c.now - from, true
		}
	}
	return d, false
}

// check looks whether what was answered is still there.
func (c *cluster) checkAnswered() {
	var newest uint64
	for sequence := range c.answered {
		newest = max(newest, sequence)
	}
	p := c.primary()
	if p == nil {
		return
	}
	if got := p.replica.Store().Config(); got.Version < newest {
		c.t.Errorf("plan %d was answered, %s leads with %d", newest, p.address, got.Version)
	}
}

func (c *cluster) recentLog(n int) string {
	return strings.Join(c.log[max(0, len(c.log)-n):], "\n")
}

// TestAnyTwoServeAgain takes the power from all three and gives it back to two of
// them, in either order and with pauses; the third never comes back. What is left
// is a primary or a backup and one more, which is enough.
func TestAnyTwoOfThreeServeAgain(t *testing.T) {
	for _, pair := range []string{"ab", "ba", "ac", "ca", "bc", "cb"} {
		for _, pause := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s after %s", pair, pause), func(t *testing.T) {
				c := newCluster(t)
				for _, h := range c.nodes {
					c.kill(h)
				}
				c.advance(time.Second)
				c.start(c.node(pair[:1]))
				c.advance(pause)
				c.start(c.node(pair[1:]))
				took, ok := c.waitForAnswer(15 * time.Second)
				if !ok || took > 4*time.Second {
					t.Errorf("served again after %s: %v\n%s", took, ok, c.recentLog(30))
				}
				c.advance(time.Second)
				c.checkAnswered()
			})
		}
	}
}

// TestALaggingThirdIsEnough loses the backup while the third, wherever it stands
// in the view, is behind; the primary is restarted and has only that one.
func TestLaggingVoterIsEnough(t *testing.T) {
	for _, row := range []struct{ down, primary, backup, third string }{{"", "a", "b", "c"}, {"a", "b", "c", "a"}} {
		c := newCluster(t)
		if row.down != "" {
			c.kill(c.node(row.down))
			c.advance(4 * time.Second)
			c.start(c.node(row.down))
			c.advance(2 * time.Second)
		}
		c.node(row.third).isolated = true
		c.advance(4 * time.Second)
		c.kill(c.node(row.backup))
		c.kill(c.node(row.primary))
		c.node(row.third).isolated = false
		c.start(c.node(row.primary))
		if took, ok := c.waitForAnswer(12 * time.Second); !ok || took > 4*time.Second {
			t.Errorf("%s leads, %s is behind: served again after %s: %v\n%s", row.primary, row.third, took, ok, c.recentLog(30))
		}
		c.checkAnswered()
	}
}

// TestAnEmptyMachineIsSeated loses one keeper's disk and measures from when an
// empty machine can be reached until it has a seat, at the address of the seat or
// at another. At the very address nothing needs to be waited for: the old seat is
// proved gone. At another one the old seat must have been silent.
func TestEmptyReplicaBecomesMember(t *testing.T) {
	for _, row := range []struct {
		who, at string
		after   time.Duration
		bound   time.Duration
	}{
		{"a", "a", 0, 600 * time.Millisecond},
		{"b", "b", 0, 600 * time.Millisecond},
		{"c", "c", 0, 600 * time.Millisecond},
		{"a", "a", 3 * time.Second, 600 * time.Millisecond},
		{"b", "b", 3 * time.Second, 600 * time.Millisecond},
		{"c", "c", 3 * time.Second, 600 * time.Millisecond},
		{"a", "n", 0, 2500 * time.Millisecond},
		{"b", "n", 0, 2500 * time.Millisecond},
		{"c", "n", 0, 2500 * time.Millisecond},
		{"a", "n", 3 * time.Second, 1500 * time.Millisecond},
		{"b", "n", 3 * time.Second, 1500 * time.Millisecond},
		{"c", "n", 3 * time.Second, 1500 * time.Millisecond},
	} {
		var worst time.Duration
		for phase := range 7 {
			c := newCluster(t)
			c.advance(2*time.Second + time.Duration(phase)*53*time.Millisecond)
			h := c.node(row.who)
			c.wipe(h)
			if row.at != row.who {
				c.nodes = slices.DeleteFunc(c.nodes, func(o *node) bool { return o == h })
			}
			c.advance(row.after)
			if row.at == row.who {
				c.start(h)
			} else {
				h = c.add(row.at)
			}
			took, ok := c.waitForMembership(h, 12*time.Second)
			if worst = max(worst, took); !ok || took > row.bound {
				t.Errorf("%s lost, an empty machine at %s after %s: seated after %s: %v\n%s", row.who, row.at, row.after, took, ok, c.recentLog(12))
				break
			}
			c.checkAnswered()
		}
		t.Logf("%s lost, an empty machine at %s after %s: seated after at most %s", row.who, row.at, row.after, worst)
	}
}

// TestAStoppingPrimaryHandsOver asks the primary to go, under a write each
// millisecond: it takes no more of them, names its backup in the same moment, and
// leaves. Measured until the next answer, and until the process has gone.
func TestStoppingPrimaryHandsOver(t *testing.T) {
	for _, row := range []struct {
		name  string
		third bool
		slow  time.Duration
		bound time.Duration
	}{
		{"all three are there", true, 0, 150 * time.Millisecond},
		{"disks of 60 ms", true, 60 * time.Millisecond, 700 * time.Millisecond},
	} {
		var worst, gone time.Duration
		for phase := range 8 {
			c := newCluster(t)
			for _, h := range c.nodes {
				h.diskDelay = row.slow
			}
			c.advance(2*time.Second + time.Duration(phase)*23*time.Millisecond)
			old, last := c.primary(), c.lastAnswerAt
			c.step(old, machine.Input{Stop: true})
			from := c.now
			for c.now-from < 3*time.Second && (old.replica != nil || c.primary() == nil || c.lastAnswerAt <= from || c.lastAnswerAt == last) {
				c.write()
				c.advance(tickStep)
				if old.replica != nil {
					last = c.lastAnswerAt
					gone = max(gone, c.now-from)
				}
			}
			if worst = max(worst, c.now-from); old.replica != nil || c.now-from > row.bound {
				t.Errorf("%s: answered by another after %s, gone=%v\n%s", row.name, c.now-from, old.replica == nil, c.recentLog(12))
				break
			}
			c.checkAnswered()
		}
		t.Logf("%s: gone after at most %s, answered by another after at most %s", row.name, gone, worst)
	}
}

// TestRandomDays plays many short days of faults close upon each other and ends
// each with all cuts mended and two or three keepers up, of which one must be
// the primary or the backup and none has lost a disk that was still needed. The
// cluster must then serve, with all that it has answered.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if c := runRandomFaults(newCluster(t), seed); t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

func runRandomFaults(c *cluster, seed uint64) *cluster {
	t, chance := c.t, rand.New(rand.NewPCG(seed, 5))
	lost, added := "", 0
	for range 4 + chance.IntN(12) {
		h := c.nodes[chance.IntN(len(c.nodes))]
		if p := c.primary(); p != nil && chance.IntN(3) == 0 {
			h = p
		}
		switch chance.IntN(10) {
		case 0, 1:
			c.kill(h)
			if chance.IntN(2) == 0 {
				c.advance(time.Duration(chance.IntN(3000)) * time.Millisecond)
				c.start(h)
			}
		case 2, 3:
			h.isolated = !h.isolated
			c.logf("cut %s %v", h.address, h.isolated)
		case 4, 5:
			c.start(h)
		case 6:
			if lost == "" && c.allMembersUp() {
				c.wipe(h)
				lost = h.address
				c.start(h)
			}
		case 7:
			if h.diskDelay = 0; chance.IntN(2) == 0 {
				h.diskDelay = time.Duration(chance.IntN(900)) * time.Millisecond
			}
			c.logf("disk of %s at %s", h.address, h.diskDelay)
		case 8:
			if lost == "" && added < 2 && c.allMembersUp() && chance.IntN(2) == 0 {
				added++
				c.kill(h)
				c.nodes = slices.DeleteFunc(c.nodes, func(o *node) bool { return o == h })
				lost = fmt.Sprintf("n%d", added)
				c.add(lost)
			}
		case 9:
			if h.replica != nil {
				c.logf("stop %s", h.address)
				c.step(h, machine.Input{Stop: true})
			}
		}
		c.advance(time.Duration(chance.IntN(3500)) * time.Millisecond)
		if lost != "" && c.allMembersUp() {
			lost = ""
		}
	}
	for _, h := range c.nodes {
		h.isolated, h.diskDelay = false, 0
		if h.replica != nil && h.replica.stopping {
			c.kill(h)
		}
	}
	c.logf("all cuts are mended")
	// A keeper of the last view may stay away if no disk is missing.
	var away *node
	if lost == "" && c.allMembersUp() && chance.IntN(2) == 0 {
		away = c.nodes[chance.IntN(len(c.nodes))]
		c.kill(away)
	}
	for _, h := range c.nodes {
		if h != away {
			c.start(h)
		}
	}
	if took, ok := c.waitForAnswer(12 * time.Second); !ok || took > 8*time.Second {
		t.Errorf("served again after %s: %v", took, ok)
	}
	c.advance(2 * time.Second)
	c.checkAnswered()
	return c
}

// seated says whether every witness of the newest view stands with its disk.
func (c *cluster) allMembersUp() bool {
	var newest wire.View
	for _, h := range c.nodes {
		if h.replica != nil && h.replica.View().Epoch > newest.Epoch {
			newest = h.replica.View()
		}
	}
	p := c.primary()
	return p != nil && p.replica.View().Epoch == newest.Epoch && !slices.ContainsFunc(newest.Voters, func(s wire.Member) bool {
		return !slices.ContainsFunc(c.nodes, func(h *node) bool { return h.replica != nil && h.replica.ID() == s.ID })
	})
}

// TestASnapshotIsSentOnce has an empty keeper behind a slow line: what it says of the
// lines that were sent before the snapshot must not bring more snapshots, each larger
// than what the line carries meanwhile.
func TestSnapshotIsSentOnce(t *testing.T) {
	c := newCluster(t)
	c.advance(3 * time.Second)
	third := c.node("c")
	if c.primary() == third {
		third = c.node("b")
	}
	c.wipe(third)
	third.latency = 700 * time.Millisecond
	kind := "line " + wire.KindSnapshotChunk + " to " + third.address
	c.primary().replica.resetLog() // its tail no longer reaches back to an empty one
	before := c.events[kind]
	c.start(third)
	c.advance(6 * time.Second)
	if sent := c.events[kind] - before; sent < 1 || sent > 3 {
		t.Errorf("%d snapshots in 6 s\n%s", sent, c.recentLog(30))
	}
	c.checkAnswered()
}
