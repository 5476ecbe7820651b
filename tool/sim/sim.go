// Package sim runs the very machines of the daemons, and the stand-in workers,
// over a simulated network, disks and clocks. One seed gives one run, to the
// byte. Nothing here decides anything that a daemon would decide.
package sim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/control"
	"sorrelloom/core/gateway"
	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/membership"
	"sorrelloom/core/replica"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/wire"
)

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type runState int

const (
	up runState = iota
	frozen
	down
)

type node struct {
	name, role, site, address string
	seeds                     []string
	founders                  []string
	state                     runState
	life                      uint64
	boot                      time.Duration
	main                      machine.Machine
	member                    *membership.Gossiper
	disk                      machine.MemoryDisk
	diskSlow                  float64
	diskLies                  bool
	lands                     bool
	inbox                     []work
	stalls                    bool
	limbo                     []encoded
	wakeOrder                 uint64
	wakeAt                    time.Duration
	answers                   map[uint64]func(any)
	sequence                  uint64
	cuts                      int
	troubles                  [][2]time.Duration
	processor                 *processor
	sender                    *sender
	diskStalls                bool
	diskFull                  bool
	wallSkew                  time.Duration
	used                      Usage
}

// trouble notes when a daemon is down, frozen or cut, and when it is no more.
func (w *World) trouble(n *node) {
	bad, k := n.state != up || n.stalls || n.cuts > 0, len(n.troubles)
	open := k > 0 && n.troubles[k-1][1] == 0
	if bad && !open {
		n.troubles = append(n.troubles, [2]time.Duration{w.Now, 0})
	} else if !bad && open {
		n.troubles[k-1][1] = w.Now
	}
}

// troubled says whether a daemon was in fault at some time of a span.
func (n *node) troubled(from, to time.Duration) bool {
	return slices.ContainsFunc(n.troubles, func(t [2]time.Duration) bool { return t[0] <= to && (t[1] == 0 || t[1] >= from) })
}

// World is one simulated cluster.
type World struct {
	Now      time.Duration
	Seed     uint64
	chance   *rand.Rand
	agenda   events
	order    uint64
	nodes    map[string]*node
	cuts     map[[2]string]bool
	last     map[[2]string]time.Duration
	wallSkew time.Duration
	nextAsk  uint64
	Trace    uint64
	Lines    int
	Verbose  func(text string)
	Logs     map[string]int
	central  bool
	meddle   func(n *node, s machine.OutgoingMessage) bool
	alter    func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage
	onPlan   func(n *node, sequence uint64)
	held     map[[2]string][]machine.Message
	// hardware bounds what the processes can do; without, work costs nothing.
	hardware *Hardware
	// copies is how many backups a center's view shall have.
	copies int
}

func NewWorld(seed uint64) *World {
	return &World{Seed: seed, chance: rand.New(rand.NewPCG(seed, 77)), nodes: map[string]*node{}, cuts: map[[2]string]bool{},
		last: map[[2]string]time.Duration{}, Logs: map[string]int{}, held: map[[2]string][]machine.Message{}}
}

// At puts something on the agenda.
func (w *World) At(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, event{max(at, w.Now), w.order, do})
}

func (w *World) After(d time.Duration, do func()) { w.At(w.Now+d, do) }

// Run works the agenda off until the given time.
func (w *World) Run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		e := heap.Pop(&w.agenda).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// trace folds what happened into one number, to compare runs by.
func (w *World) trace(parts ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.Trace, w.Now, parts)
	w.Trace = h.Sum64()
}

func (w *World) say(format string, args ...any) {
	if w.Verbose != nil {
		w.Verbose(fmt.Sprintf("%9.3f ", w.Now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// Add places a daemon and boots it.
func (w *World) Add(role, name, site, address string, seeds, founders []string) *node {
	n := &node{
		name: name, role: role, site: site, address: address, seeds: seeds, founders: founders,
		state: down, diskSlow: 1, disk: emptyDisk(),
	}
	w.nodes[address] = n
	w.Boot(n)
	return n
}

// Boot starts a daemon's process on what its disk holds.
func (w *World) Boot(n *node) {
	if n.state != down || n.diskFull {
		return
	}
	n.life++
	n.lands, n.wakeAt = false, 0
	n.state, n.boot, n.inbox, n.answers, n.sequence = up, w.Now, nil, map[uint64]func(any){}, 0
	w.trouble(n)
	id := n.address
	first := w.chance.Uint64() >> 1
	switch n.role {
	case "keeper":
		k, err := replica.New(replica.Config{
			Address: n.address, Zone: n.site, Founders: n.founders,
			NewID: fmt.Sprintf("%s-%d-%x", n.name, n.life, first), BootID: first,
		}, n.disk.Load())
		if err != nil {
			panic(fmt.Sprintf("%s refuses its own disk: %v", n.name, err))
		}
		n.main, id = k, k.ID()
	case "scheduler":
		n.main = scheduler.New(scheduler.Config{Address: n.address, Zone: n.site, FirstCommandID: first, SingleQueue: w.central})
	case "front":
		n.main = gateway.New(gateway.Config{Address: n.address, Zone: n.site, FirstCommandID: first})
	case "center":
		c, err := control.New(control.Config{
			Address: n.address, Zone: n.site, Founders: n.founders,
			NewID: fmt.Sprintf("%s-%d-%x", n.name, n.life, first), BootID: first, BackupCount: w.copies,
		}, n.disk.Load())
		if err != nil {
			panic(fmt.Sprintf("%s refuses its own disk: %v", n.name, err))
		}
		n.main, id = c, c.ID()
	case "proxy":
		id = fmt.Sprintf("%s-%d-%x", n.name, n.life, first)
		n.main = control.NewProxy(wire.Member{ID: id, Address: n.address, Zone: n.site}, n.seeds)
	case "door":
		n.main = leaderclient.New(leaderclient.Config{Address: n.address, Replicas: n.seeds, FirstCommandID: first})
	case "side":
		n.main = agent.New(agent.Config{Address: n.address, Zone: n.site, Replicas: n.seeds, FirstReportID: first})
	}
	n.member = nil
	w.say("boot %s %s", n.name, id)
	if role := memberRole[n.role]; role != "" {
		n.member = membership.New(membership.Config{
			Self:  wire.Node{ID: id, Role: role, Zone: n.site, Address: n.address, Incarnation: int64((w.Now + w.wallSkew + n.wallSkew + 1000*time.Hour) / time.Millisecond)},
			Seeds: n.seeds, Seed: first,
		})
	}
	n.processor = w.newProcessor(n)
	w.occupy(n, work{do: func() {
		if n.processor != nil {
			n.processor.load(n.stored())
		}
		if n.member != nil {
			w.step(n, machine.Input{}, true)
		}
		w.step(n, machine.Input{}, false)
	}})
}

// memberRole is what a daemon is called among the members; doors and sides are none.
var memberRole = map[string]string{"keeper": "keeper", "scheduler": "scheduler", "front": "front", "center": "keeper", "proxy": "proxy"}

// began is the time of day at which every simulation begins.
var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *World) wall() time.Time { return began.Add(w.Now + w.wallSkew) }

func (n *node) local(now time.Duration) time.Duration { return now - n.boot + time.Microsecond }

// into runs something in a daemon, later if it is frozen, never if it is down.
func (w *World) into(n *node, life uint64, do func()) { w.intoAs(n, life, work{do: do}) }

// intoAs is into for a thing of a kind.
func (w *World) intoAs(n *node, life uint64, one work) {
	switch {
	case n.life != life || n.state == down:
	case n.state == frozen:
		n.inbox = append(n.inbox, one)
	default:
		w.occupy(n, one)
	}
}

func (w *World) step(n *node, in machine.Input, toMember bool) {
	m := n.main
	if toMember {
		m = n.member
	}
	if n.role == "center" {
		in.WallTime = w.wall().Add(n.wallSkew)
	}
	before := n.position()
	out := m.Step(n.local(w.Now), in)
	if p := n.processor; p != nil {
		p.charge(in, int(max(n.position(), before)-before), out)
		lines := make([]encoded, 0, len(out.Messages))
		for _, s := range out.Messages {
			lines = append(lines, w.encode(n, s))
		}
		p.outputs = append(p.outputs, func() { w.emit(n, out, lines, toMember) })
	} else {
		w.emit(n, out, nil, toMember)
	}
	if s, ok := n.main.(interface{ Sequence() uint64 }); ok && w.onPlan != nil && !toMember {
		w.onPlan(n, s.Sequence())
	}
	w.wake(n)
	if out.Stopped && !toMember && n.processor == nil {
		w.Kill(n)
	}
}

// emit does what a step returned. Lines are encoded already where that was paid for.
func (w *World) emit(n *node, out machine.Output, lines []encoded, toMember bool) {
	for _, e := range out.LogEvents {
		w.Logs[e.Name]++
		w.say("%s %s %v", n.name, e.Name, e.Fields)
	}
	for _, a := range out.AuditEntries {
		w.say("%s decided %s", n.name, a.Data)
	}
	for i, s := range out.Messages {
		one := encoded{send: s}
		if lines != nil {
			one = lines[i]
		}
		if n.stalls {
			n.limbo = append(n.limbo, one)
		} else {
			w.send(n, one)
		}
	}
	for _, b := range out.Writes {
		w.write(n, b)
	}
	for _, a := range out.Responses {
		if back, ok := n.answers[a.RequestID]; ok {
			delete(n.answers, a.RequestID)
			back(a.Body)
		}
	}
	if out.Stopped && !toMember && n.processor != nil {
		w.Kill(n)
	}
}

// wake keeps one event on the agenda for the earlier wakeup of both machines.
func (w *World) wake(n *node) {
	at := n.main.NextTimer()
	if n.member != nil {
		if other := n.member.NextTimer(); at == 0 || other > 0 && other < at {
			at = other
		}
	}
	if at == 0 {
		return
	}
	at += n.boot - time.Microsecond
	if n.wakeOrder > 0 && n.wakeAt <= at && n.wakeAt > w.Now {
		return
	}
	n.wakeAt = max(at, w.Now+time.Millisecond)
	n.wakeOrder++
	life, order := n.life, n.wakeOrder
	w.At(n.wakeAt, func() {
		if n.wakeOrder != order {
			return
		}
		do := func() {
			if n.member != nil && n.member.NextTimer() <= n.local(w.Now) {
				w.step(n, machine.Input{}, true)
			}
			w.step(n, machine.Input{}, false)
		}
		if n.processor != nil && n.life == life && n.state == up {
			n.processor.wakeup(do)
		} else {
			w.into(n, life, do)
		}
	})
}

func (w *World) latency(a, b string) time.Duration {
	base := 200 * time.Microsecond
	if a != b {
		base = time.Millisecond
	}
	return base + time.Duration(w.chance.Int64N(int64(base)))
}

// Cut stops what goes from one name to another; names are addresses.
func (w *World) Cut(from, to string)      { w.setCut(from, to, 1) }
func (w *World) Mend(from, to string)     { w.setCut(from, to, -1) }
func (w *World) isCut(a, b string) bool   { return w.cuts[[2]string{a, b}] }
func (w *World) Isolate(address string)   { w.each(address, w.Cut) }
func (w *World) Reconnect(address string) { w.each(address, w.Mend) }

func (w *World) setCut(from, to string, by int) {
	if w.isCut(from, to) == (by > 0) {
		return
	}
	if by > 0 {
		w.cuts[[2]string{from, to}] = true
	} else {
		delete(w.cuts, [2]string{from, to})
	}
	a, isA := w.nodes[from]
	b, isB := w.nodes[to]
	if isA && isB {
		a.cuts += by
		b.cuts += by
		w.trouble(a)
		w.trouble(b)
	}
}

// addresses lists all processes in a fixed order.
func (w *World) addresses() []string { return slices.Sorted(maps.Keys(w.nodes)) }

func (w *World) each(address string, f func(a, b string)) {
	for other := range w.nodes {
		if other != address {
			f(address, other)
			f(other, address)
		}
	}
}

// encoded is a line to send, with its body once it has been encoded.
type encoded struct {
	send machine.OutgoingMessage
	body []byte
}

// encode writes a line's body, and has the processor pay for it.
func (w *World) encode(n *node, s machine.OutgoingMessage) encoded {
	if w.alter != nil {
		s = w.alter(n, s)
	}
	one := encoded{s, machine.MustMarshal(s.Body)}
	n.processor.encode(s, len(one.body))
	return one
}

func (w *World) send(n *node, one encoded) {
	s, body := one.send, one.body
	if w.meddle != nil && w.meddle(n, s) {
		return
	}
	if body == nil {
		if w.alter != nil {
			s = w.alter(n, s)
		}
		body = machine.MustMarshal(s.Body)
	}
	line := machine.Message{Version: machine.ProtocolVersion, Kind: s.Kind, From: n.address, Body: body}
	life := n.life
	if s.To == "" || s.To == n.address {
		w.After(0, func() { w.into(n, life, func() { w.step(n, machine.Input{Message: line}, false) }) })
		return
	}
	w.Lines++
	w.trace(n.address, s.To, s.Kind, len(body))
	to, ok := w.nodes[s.To]
	if !ok || w.isCut(n.address, s.To) {
		return
	}
	if w.holds(n.address, s.To, line) {
		return
	}
	if w.hardware != nil && w.hardware.Links.Window > 0 {
		w.queueLine(n, to, line)
		return
	}
	pair := [2]string{n.address, s.To}
	at := max(w.Now+w.latency(n.site, to.site), w.last[pair]+time.Nanosecond)
	w.last[pair] = at
	w.At(at, func() {
		if !w.isCut(n.address, to.address) {
			w.deliver(to, line, nil)
		}
	})
}

// snapshotEach is small, so that short days have snapshots.
const snapshotEach = 64 << 10

func emptyDisk() machine.MemoryDisk { return machine.MemoryDisk{SnapshotThreshold: snapshotEach} }

// deliver hands a line to a process; taken is told when it is done with it.
func (w *World) deliver(to *node, line machine.Message, taken func()) {
	key := ""
	if w.hardware != nil && w.hardware.Order.Replaces != nil {
		key = w.hardware.Order.Replaces(line)
	}
	w.intoAs(to, to.life, work{kind: line.Kind, from: line.From, key: key, taken: taken, do: func() {
		toMember := line.Kind == wire.KindShuffle || line.Kind == wire.KindShuffleReply
		if !toMember || to.member != nil {
			w.step(to, machine.Input{Message: line}, toMember)
		}
	}})
}

// Kill ends a process; writes that were not synced are gone, as with power.
func (w *World) Kill(n *node) {
	if n.state != down {
		w.say("kill %s", n.name)
	}
	n.state, n.inbox, n.answers, n.stalls, n.limbo = down, nil, nil, false, nil
	if n.processor != nil {
		n.used = n.used.add(n.processor.used)
		n.processor = nil
	}
	n.sender = nil
	w.trouble(n)
}

// KillProcess ends a process whose machine goes on: a write under way is finished.
func (w *World) KillProcess(n *node) {
	w.Kill(n)
	n.lands = true
}

// Stop asks a daemon to hand over and go.
func (w *World) Stop(n *node) {
	w.into(n, n.life, func() { w.step(n, machine.Input{Stop: true}, false) })
}

func (w *World) Wipe(n *node) {
	w.Kill(n)
	w.say("wipe %s", n.name)
	n.disk = emptyDisk()
}

// Freeze stops a process between deciding and sending: what it decides in the
// last moments before is sent only when it wakes.
func (w *World) Freeze(n *node) {
	if n.state != up || n.stalls {
		return
	}
	w.say("freeze %s", n.name)
	life := n.life
	n.stalls = true
	w.trouble(n)
	w.After(20*time.Millisecond, func() {
		if n.life == life && n.state == up && n.stalls {
			n.state = frozen
		}
	})
}

// Wake lets a frozen process go on with all that came meanwhile.
func (w *World) Wake(n *node) {
	if n.state == down || !n.stalls {
		return
	}
	w.say("wake %s", n.name)
	n.state, n.stalls = up, false
	w.trouble(n)
	inbox, limbo := n.inbox, n.limbo
	n.inbox, n.limbo = nil, nil
	for _, one := range limbo {
		w.send(n, one)
	}
	if n.processor != nil {
		n.processor.resume()
	}
	if n.sender != nil {
		n.sender.pump()
	}
	for _, one := range inbox {
		w.occupy(n, one)
	}
}

// Call is an HTTP request from outside to a front.
func (w *World) Call(client, site, address string, ask machine.Request, timeout time.Duration, back func(gateway.Reply, bool)) {
	w.Ask(client, site, address, ask, timeout, func(v any) {
		reply := v.(gateway.Reply)
		body := machine.MustJSON(reply.Body)
		w.trace(client, address, ask.Kind, reply.StatusCode, len(body))
	}, func(v any, ok bool) {
		reply, _ := v.(gateway.Reply)
		back(reply, ok)
	})
}

// Ask is a request from outside. The name stands for the client in cuts; note is
// told of an answer as it is given, and back gets false when nothing came in time.
func (w *World) Ask(client, site, address string, ask machine.Request, timeout time.Duration, note func(any), back func(any, bool)) {
	n, ok := w.nodes[address]
	done := false
	finish := func(v any, good bool) {
		if !done {
			done = true
			back(v, good)
		}
	}
	w.After(timeout, func() { finish(nil, false) })
	if !ok || n.state == down {
		w.After(2*time.Millisecond, func() { finish(nil, false) })
		return
	}
	w.nextAsk++
	ask.ID = w.nextAsk
	life := n.life
	w.After(w.latency(site, n.site), func() {
		if w.isCut(client, address) || n.life != life || n.state == down {
			return
		}
		w.into(n, life, func() {
			n.answers[ask.ID] = func(v any) {
				note(v)
				w.After(w.latency(site, n.site), func() {
					if !w.isCut(address, client) {
						finish(v, true)
					}
				})
			}
			w.step(n, machine.Input{Request: ask}, false)
		})
	})
}
