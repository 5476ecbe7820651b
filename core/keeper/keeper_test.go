// Keepers alone, on a small network of lines that take 1 ms and disks that take
// 3 ms: what they decide on when one after another goes away, comes back, comes
// back empty, or another machine stands at its address. A writer changes the plan
// all the while, and no answered change may be lost or answered twice.
package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const stride = time.Millisecond

type host struct {
	lag     time.Duration // what lines to it take
	address string
	k       *Keeper
	life    int
	boot    time.Duration
	disk    *machine.Disk
	cut     bool
	slow    time.Duration
	frozen  bool
	missed  []machine.Input // what came while it was frozen
}

// newDisk is an empty disk with room for so little log that days of a few seconds
// have several snapshots.
func newDisk() *machine.Disk { return &machine.Disk{SnapshotEach: 4096} }

// trio is a cluster of three founders and whoever is added later.
type trio struct {
	t        testing.TB
	now      time.Duration
	hosts    []*host
	agenda   map[time.Duration][]func()
	founders []string
	log      []string
	asked    uint64
	answered map[uint64]uint64 // plan sequence to the number of the request
	last     time.Duration     // when a write was last answered
	longest  time.Duration     // the longest time without an answer
	logs     map[string]int
	copies   int
	sites    map[string]string
	proxies  []string // hosts that have no disk and only answer as such
	// late is by how much a line comes later; a negative one never comes.
	late  func(from, to, kind string) time.Duration
	sends map[string]int
	// tune changes what a process is started with.
	tune func(h *host, env *Env)
	// idle says that nobody writes, reads that somebody reads, too.
	idle, reads bool
	asks        map[uint64]uint64 // by read, the newest plan answered before it was asked
	views       map[uint64]string // by epoch, the view that a disk holds
	onRead      func(h *host, b wire.CommandBackBody)
	// variant changes a process before each step, as one with a mechanism taken out.
	variant func(h *host)
	each    time.Duration // how often a client writes
	// lyingDisks say that a batch is synced before it is.
	lyingDisks bool
	// rejected counts the writes that a host sent elsewhere.
	rejected map[string]int
	// saw is told of every line that is sent, also of those that never come.
	saw func(from, to string, line machine.Line)
}

func newTrio(t testing.TB) *trio {
	c := emptyTrio(t)
	for _, address := range c.founders {
		c.add(address)
	}
	c.pass(time.Second)
	if c.primary() == nil {
		t.Fatal("three empty founders found no cluster")
	}
	return c
}

func emptyTrio(t testing.TB) *trio {
	return &trio{
		t: t, founders: []string{"a", "b", "c"}, each: 50 * time.Millisecond,
		agenda: map[time.Duration][]func(){}, answered: map[uint64]uint64{}, logs: map[string]int{}, sites: map[string]string{},
		sends: map[string]int{}, rejected: map[string]int{}, asks: map[uint64]uint64{}, views: map[uint64]string{},
	}
}

func (c *trio) add(address string) *host {
	h := &host{address: address, disk: newDisk()}
	c.hosts = append(c.hosts, h)
	c.start(h)
	return h
}

func (c *trio) host(address string) *host {
	for _, h := range c.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

func (c *trio) start(h *host) {
	if h.k != nil {
		return
	}
	h.life++
	h.boot = c.now
	env := Env{Address: h.address, Site: c.site(h.address), Copies: c.copies, FreshID: fmt.Sprintf("%s-%d", h.address, h.life), Boot: uint64(h.life)<<16 + uint64(h.address[0])}
	if slices.Contains(c.founders, h.address) || len(c.proxies) > 0 {
		env.Founders = c.founders
	}
	if c.tune != nil {
		c.tune(h, &env)
	}
	k, err := New(env, h.disk.Stored())
	if err != nil {
		c.t.Fatalf("%s refuses its own disk: %v", h.address, err)
	}
	h.k = k
	c.say("start %s as %s", h.address, k.ID())
	c.step(h, machine.Input{})
}

func (c *trio) site(address string) string {
	if site, ok := c.sites[address]; ok {
		return site
	}
	return address
}

// kill ends a process; what its disk was at is lost.
func (c *trio) kill(h *host) {
	if h.k != nil {
		c.say("kill %s", h.address)
	}
	h.k = nil
	h.life++
	h.frozen, h.missed = false, nil
}

func (c *trio) wipe(h *host) {
	c.kill(h)
	c.say("wipe %s", h.address)
	h.disk = newDisk()
}

func (c *trio) say(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

func (c *trio) after(d time.Duration, do func()) {
	at := (c.now + d).Truncate(stride)
	c.agenda[at] = append(c.agenda[at], do)
}

func (c *trio) step(h *host, in machine.Input) {
	if h.frozen {
		if in.Wrote > 0 || in.Line.Kind != "" {
			h.missed = append(h.missed, in)
		}
		return
	}
	if c.variant != nil {
		c.variant(h)
	}
	out := h.k.Step(c.now-h.boot+time.Microsecond, in)
	life := h.life
	for _, e := range out.Events {
		c.logs[e.Name]++
		c.say("%s %s %v", h.address, e.Name, e.Fields)
	}
	for _, s := range out.Sends {
		if slices.Contains(c.proxies, s.To) && s.Kind == wire.Found {
			body := wire.FoundBody{Seat: wire.Seat{ID: s.To, Address: s.To, Site: c.site(s.To)}, Empty: true, Proxy: true}
			line := machine.Line{Wire: machine.WireSequence, Kind: wire.FoundBack, From: s.To, Body: machine.MustMarshal(body)}
			c.after(2*stride, func() {
				if h.k != nil && h.life == life {
					c.step(h, machine.Input{Line: line})
				}
			})
			continue
		}
		if s.To == "reader" {
			c.read(h, s)
			continue
		}
		if s.To == "writer" {
			c.answer(h, s)
			continue
		}
		to := c.host(s.To)
		if to == nil || h.cut {
			continue
		}
		line := machine.Line{Wire: machine.WireSequence, Kind: s.Kind, From: h.address, Body: machine.MustMarshal(s.Body)}
		c.logs["line "+s.Kind+" to "+s.To]++
		c.sends[s.Kind]++
		if c.saw != nil {
			c.saw(h.address, s.To, line)
		}
		var late time.Duration
		if c.late != nil {
			if late = c.late(h.address, s.To, s.Kind); late < 0 {
				continue
			}
		}
		c.after(stride+late+to.lag, func() {
			if to.k != nil && !to.cut && !h.cut {
				c.step(to, machine.Input{Line: line})
			}
		})
	}
	for _, w := range out.Writes {
		sync := 3*stride + h.slow
		told := sync
		if c.lyingDisks {
			told = stride
		}
		c.after(sync, func() {
			if h.life == life {
				c.sync(h, w)
			}
			if h.life == life && told == sync {
				c.step(h, machine.Input{Wrote: w.Done, SnapshotDue: h.disk.SnapshotDue()})
			}
		})
		if told < sync {
			c.after(told, func() {
				if h.life == life {
					c.step(h, machine.Input{Wrote: w.Done, SnapshotDue: h.disk.SnapshotDue()})
				}
			})
		}
	}
	if out.Stopped {
		c.kill(h)
	}
}

// sync has a batch on the disk.
func (c *trio) sync(h *host, w machine.Write) {
	h.disk.Apply(w)
	for _, r := range w.Records {
		if r.Bucket == bucketSelf && r.Key == keyRegister {
			c.oneView(h, r.Value)
		}
	}
}

// write asks every keeper that is up to change the plan.
func (c *trio) write() {
	for _, h := range c.hosts {
		if h.k == nil || h.cut {
			continue
		}
		c.asked++
		cmd := ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Forced: true, Patch: true, Body: fmt.Appendf(nil, `{"limits":{"keep":"%dm"}}`, 10+c.asked)}}
		line := machine.Line{Wire: machine.WireSequence, Kind: wire.Command, From: "writer", Body: machine.MustMarshal(wire.CommandBody{ID: c.asked, Command: cmd})}
		c.step(h, machine.Input{Line: line})
	}
}

func (c *trio) answer(h *host, s machine.Send) {
	b, ok := s.Body.(wire.CommandBackBody)
	if ok && b.Answer.Code == code.NotPrimary {
		c.rejected[h.address]++
	}
	if !ok || h.cut || b.Answer.Code == code.NotPrimary {
		return
	}
	if !b.Answer.Code.Good() {
		c.t.Fatalf("a plan is bounced: %+v", b.Answer)
	}
	if other, ok := c.answered[b.Answer.Sequence]; ok && other != b.ID {
		c.t.Errorf("plan %d was answered to the requests %d and %d", b.Answer.Sequence, other, b.ID)
	}
	c.answered[b.Answer.Sequence] = b.ID
	c.longest, c.last = max(c.longest, c.now-c.last), c.now
}

// pass lets time go by, with a write each 50 ms where nothing else is said.
func (c *trio) pass(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += stride
		due := c.agenda[c.now]
		delete(c.agenda, c.now)
		for _, do := range due {
			do()
		}
		for _, h := range c.hosts {
			if h.k != nil && h.k.Wakeup() <= c.now-h.boot {
				c.step(h, machine.Input{})
			}
		}
		if c.now%c.each == 0 && !c.idle {
			c.write()
		}
		if c.now%c.each == c.each/2 && c.reads {
			c.askAll()
		}
		if c.now%(300*time.Millisecond) == 0 {
			c.gossip()
		}
	}
}

// gossip tells each keeper of the others, as the members would.
func (c *trio) gossip() {
	var nodes []wire.Node
	for _, h := range c.hosts {
		if h.k != nil && !h.cut {
			nodes = append(nodes, wire.Node{ID: h.k.ID(), Role: "keeper", Site: c.site(h.address), Address: h.address})
		}
	}
	for _, h := range c.hosts {
		if h.k != nil && !h.cut {
			c.step(h, machine.Input{Line: machine.Line{Wire: machine.WireSequence, Kind: wire.Nodes, Body: machine.MustMarshal(wire.Gossip{Nodes: nodes})}})
		}
	}
}

func (c *trio) primary() *host {
	for _, h := range c.hosts {
		if h.k != nil && !h.cut && !h.frozen && h.k.proven(c.now-h.boot+time.Microsecond) {
			return h
		}
	}
	return nil
}

// serves says how long it takes until a write is answered, at most d.
func (c *trio) serves(d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.pass(stride)
		if c.last > from {
			return c.now - from, true
		}
	}
	return d, false
}

// seats says how long it takes until a keeper has a seat in the view by which the
// cluster serves, at most d.
func (c *trio) seats(h *host, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.pass(stride)
		if p := c.primary(); p != nil && h.k != nil && slices.ContainsFunc(p.k.View().Witnesses, func(s wire.Seat) bool { return s.ID == h.k.ID() }) {
			return c.now - from, true
		}
	}
	return d, false
}

// check looks whether what was answered is still there.
func (c *trio) check() {
	var newest uint64
	for sequence := range c.answered {
		newest = max(newest, sequence)
	}
	p := c.primary()
	if p == nil {
		return
	}
	if got := p.k.Ledger().Plan(); got.Sequence < newest {
		c.t.Errorf("plan %d was answered, %s leads with %d", newest, p.address, got.Sequence)
	}
}

func (c *trio) tell(n int) string {
	return strings.Join(c.log[max(0, len(c.log)-n):], "\n")
}

// TestAnyTwoServeAgain takes the power from all three and gives it back to two of
// them, in either order and with pauses; the third never comes back. What is left
// is a primary or a backup and one more, which is enough.
func TestAnyTwoServeAgain(t *testing.T) {
	for _, pair := range []string{"ab", "ba", "ac", "ca", "bc", "cb"} {
		for _, pause := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s after %s", pair, pause), func(t *testing.T) {
				c := newTrio(t)
				for _, h := range c.hosts {
					c.kill(h)
				}
				c.pass(time.Second)
				c.start(c.host(pair[:1]))
				c.pass(pause)
				c.start(c.host(pair[1:]))
				took, ok := c.serves(15 * time.Second)
				if !ok || took > 4*time.Second {
					t.Errorf("served again after %s: %v\n%s", took, ok, c.tell(30))
				}
				c.pass(time.Second)
				c.check()
			})
		}
	}
}

// TestALaggingThirdIsEnough loses the backup while the third, wherever it stands
// in the view, is behind; the primary is restarted and has only that one.
func TestALaggingThirdIsEnough(t *testing.T) {
	for _, row := range []struct{ down, primary, backup, third string }{{"", "a", "b", "c"}, {"a", "b", "c", "a"}} {
		c := newTrio(t)
		if row.down != "" {
			c.kill(c.host(row.down))
			c.pass(4 * time.Second)
			c.start(c.host(row.down))
			c.pass(2 * time.Second)
		}
		c.host(row.third).cut = true
		c.pass(4 * time.Second)
		c.kill(c.host(row.backup))
		c.kill(c.host(row.primary))
		c.host(row.third).cut = false
		c.start(c.host(row.primary))
		if took, ok := c.serves(12 * time.Second); !ok || took > 4*time.Second {
			t.Errorf("%s leads, %s is behind: served again after %s: %v\n%s", row.primary, row.third, took, ok, c.tell(30))
		}
		c.check()
	}
}

// TestAnEmptyMachineIsSeated loses one keeper's disk and measures from when an
// empty machine can be reached until it has a seat, at the address of the seat or
// at another. At the very address nothing needs to be waited for: the old seat is
// proved gone. At another one the old seat must have been silent.
func TestAnEmptyMachineIsSeated(t *testing.T) {
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
			c := newTrio(t)
			c.pass(2*time.Second + time.Duration(phase)*53*time.Millisecond)
			h := c.host(row.who)
			c.wipe(h)
			if row.at != row.who {
				c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
			}
			c.pass(row.after)
			if row.at == row.who {
				c.start(h)
			} else {
				h = c.add(row.at)
			}
			took, ok := c.seats(h, 12*time.Second)
			if worst = max(worst, took); !ok || took > row.bound {
				t.Errorf("%s lost, an empty machine at %s after %s: seated after %s: %v\n%s", row.who, row.at, row.after, took, ok, c.tell(12))
				break
			}
			c.check()
		}
		t.Logf("%s lost, an empty machine at %s after %s: seated after at most %s", row.who, row.at, row.after, worst)
	}
}

// TestAStoppingPrimaryHandsOver asks the primary to go, under a write each
// millisecond: it takes no more of them, names its backup in the same moment, and
// leaves. Measured until the next answer, and until the process has gone.
func TestAStoppingPrimaryHandsOver(t *testing.T) {
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
			c := newTrio(t)
			for _, h := range c.hosts {
				h.slow = row.slow
			}
			c.pass(2*time.Second + time.Duration(phase)*23*time.Millisecond)
			old, last := c.primary(), c.last
			c.step(old, machine.Input{Stop: true})
			from := c.now
			for c.now-from < 3*time.Second && (old.k != nil || c.primary() == nil || c.last <= from || c.last == last) {
				c.write()
				c.pass(stride)
				if old.k != nil {
					last = c.last
					gone = max(gone, c.now-from)
				}
			}
			if worst = max(worst, c.now-from); old.k != nil || c.now-from > row.bound {
				t.Errorf("%s: answered by another after %s, gone=%v\n%s", row.name, c.now-from, old.k == nil, c.tell(12))
				break
			}
			c.check()
		}
		t.Logf("%s: gone after at most %s, answered by another after at most %s", row.name, gone, worst)
	}
}

// TestRandomDays plays many short days of faults close upon each other and ends
// each with all cuts mended and two or three keepers up, of which one must be
// the primary or the backup and none has lost a disk that was still needed. The
// cluster must then serve, with all that it has answered.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if c := randomDay(newTrio(t), seed); t.Failed() {
				t.Log(c.tell(120))
			}
		})
	}
}

func randomDay(c *trio, seed uint64) *trio {
	t, chance := c.t, rand.New(rand.NewPCG(seed, 5))
	lost, added := "", 0
	for range 4 + chance.IntN(12) {
		h := c.hosts[chance.IntN(len(c.hosts))]
		if p := c.primary(); p != nil && chance.IntN(3) == 0 {
			h = p
		}
		switch chance.IntN(10) {
		case 0, 1:
			c.kill(h)
			if chance.IntN(2) == 0 {
				c.pass(time.Duration(chance.IntN(3000)) * time.Millisecond)
				c.start(h)
			}
		case 2, 3:
			h.cut = !h.cut
			c.say("cut %s %v", h.address, h.cut)
		case 4, 5:
			c.start(h)
		case 6:
			if lost == "" && c.seated() {
				c.wipe(h)
				lost = h.address
				c.start(h)
			}
		case 7:
			if h.slow = 0; chance.IntN(2) == 0 {
				h.slow = time.Duration(chance.IntN(900)) * time.Millisecond
			}
			c.say("disk of %s at %s", h.address, h.slow)
		case 8:
			if lost == "" && added < 2 && c.seated() && chance.IntN(2) == 0 {
				added++
				c.kill(h)
				c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
				lost = fmt.Sprintf("n%d", added)
				c.add(lost)
			}
		case 9:
			if h.k != nil {
				c.say("stop %s", h.address)
				c.step(h, machine.Input{Stop: true})
			}
		}
		c.pass(time.Duration(chance.IntN(3500)) * time.Millisecond)
		if lost != "" && c.seated() {
			lost = ""
		}
	}
	for _, h := range c.hosts {
		h.cut, h.slow = false, 0
		if h.k != nil && h.k.stopping {
			c.kill(h)
		}
	}
	c.say("all cuts are mended")
	// A keeper of the last view may stay away if no disk is missing.
	var away *host
	if lost == "" && c.seated() && chance.IntN(2) == 0 {
		away = c.hosts[chance.IntN(len(c.hosts))]
		c.kill(away)
	}
	for _, h := range c.hosts {
		if h != away {
			c.start(h)
		}
	}
	if took, ok := c.serves(12 * time.Second); !ok || took > 8*time.Second {
		t.Errorf("served again after %s: %v", took, ok)
	}
	c.pass(2 * time.Second)
	c.check()
	return c
}

// seated says whether every witness of the newest view stands with its disk.
func (c *trio) seated() bool {
	var newest wire.View
	for _, h := range c.hosts {
		if h.k != nil && h.k.View().Epoch > newest.Epoch {
			newest = h.k.View()
		}
	}
	p := c.primary()
	return p != nil && p.k.View().Epoch == newest.Epoch && !slices.ContainsFunc(newest.Witnesses, func(s wire.Seat) bool {
		return !slices.ContainsFunc(c.hosts, func(h *host) bool { return h.k != nil && h.k.ID() == s.ID })
	})
}

// TestASnapshotIsSentOnce has an empty keeper behind a slow line: what it says of the
// lines that were sent before the snapshot must not bring more snapshots, each larger
// than what the line carries meanwhile.
func TestASnapshotIsSentOnce(t *testing.T) {
	c := newTrio(t)
	c.pass(3 * time.Second)
	third := c.host("c")
	if c.primary() == third {
		third = c.host("b")
	}
	c.wipe(third)
	third.lag = 700 * time.Millisecond
	kind := "line " + wire.Snapshot + " to " + third.address
	c.primary().k.reset() // its tail no longer reaches back to an empty one
	before := c.logs[kind]
	c.start(third)
	c.pass(6 * time.Second)
	if sent := c.logs[kind] - before; sent < 1 || sent > 3 {
		t.Errorf("%d snapshots in 6 s\n%s", sent, c.tell(30))
	}
	c.check()
}
