// How a worker's pull is answered. Classes come first: a quick task stands
// before all others, then the larger result of the order policy. Within one
// tier Fela decides. A gang is answered whole, over several workers, or not at
// all.
package dispatch

import (
	"math"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/plan"
)

// Held is what the caller has asked the ledger for and not heard of yet, or
// was refused a moment ago.
type Held struct {
	Tasks map[Ref]bool
	Room  map[string]ledger.Room
	Slots map[[2]string]int
	// Closed are classes that were over their share a moment ago.
	Closed map[[2]string]bool
}

type tier struct {
	quick bool
	order float64
}

func (t tier) less(o tier) bool {
	if t.quick != o.quick {
		return !t.quick
	}
	return t.order < o.order
}

type candidate struct {
	at       Ref
	job      ledger.Job
	tier     tier
	level    int
	locality float64
	number   uint64
}

// better is the order within one inbox; it counts the rule that decided.
func (d *Dispatch) better(a, b candidate) bool {
	switch {
	case a.tier != b.tier:
		return b.tier.less(a.tier)
	case a.level != b.level:
		return a.level > b.level
	case a.locality != b.locality:
		return a.locality > b.locality
	}
	return a.number < b.number
}

func (d *Dispatch) tierOf(l *ledger.Ledger, job ledger.Job, i int) tier {
	class := l.Plan().Services[job.Spec.Service].Classes[job.Spec.Class]
	if l.Rules().ByPriority() {
		return tier{class.Quick, float64(class.Priority)}
	}
	usedSlots, shareSlots := l.ClassUse(job.Spec.Service, job.Spec.Class)
	order := l.Rules().Order(plan.OrderNames{
		Priority: class.Priority, Level: job.Tasks[i].Level, Waited: (l.At() - job.Tasks[i].ReleasedAt).Seconds(),
		Share: shareSlots, Used: usedSlots, Class: job.Spec.Class, Service: job.Spec.Service, Slots: job.Spec.Tasks[i].Room.Slots,
	})
	return tier{class.Quick, math.Floor(order)}
}

// Choice is the answer to one pull.
type Choice struct {
	Picks  []ledger.Pick
	Refs   []Ref
	Helped string
	For    ledger.Pick
}

type best struct {
	candidate
	found              bool
	from               string
	helpers            int
	progress           float64
	sawShallow, sawFar bool
	sawLater           bool
}

// Pull is one round over the workers that wait for work: their own inboxes or
// others' too, quick classes alone or all. Pulls is their order: class first,
// whatever inbox a quick task lies in, then own inbox, then help.
type Pull struct{ Help, Quick bool }

var Pulls = []Pull{{Quick: true}, {Help: true, Quick: true}, {}, {Help: true}}

// Next answers the pull of one worker in one round.
func (d *Dispatch) Next(l *ledger.Ledger, worker string, held Held, pull Pull) (Choice, bool) {
	w, ok := l.Worker(worker)
	if !ok {
		return Choice{}, false
	}
	free := l.Room(worker).Less(held.Room[worker])
	if free.Slots < 1 || !d.ration(l, w, held.Room[worker].Slots) {
		return Choice{}, false
	}
	skip := map[Ref]bool{}
	for {
		inbox := worker
		if d.central {
			inbox = ""
		}
		chosen := d.bestOf(l, w, inbox, free, held, skip, pull, false)
		if !pull.Help && !d.central {
			// A gang lies in one inbox for all its members, which are every worker's own.
			for _, other := range d.filled() {
				if other == worker || !d.hasGang(other) {
					continue
				}
				if b := d.bestOf(l, w, other, free, held, skip, pull, true); b.found && (!chosen.found || d.better(b.candidate, chosen.candidate)) {
					b.from = worker
					chosen = b
				}
			}
		}
		if pull.Help && !d.central {
			chosen = d.bestHelp(l, w, free, held, skip, pull, chosen)
		}
		if !chosen.found {
			return Choice{}, false
		}
		choice, ok := d.complete(l, chosen, worker, held)
		if !ok {
			skip[chosen.at] = true
			continue
		}
		d.note(chosen, worker, len(choice.Picks))
		return choice, true
	}
}

func (d *Dispatch) note(b best, worker string, picks int) {
	if b.from == worker {
		d.Counters.Own++
	} else {
		d.Counters.Helped++
	}
	if picks > 1 {
		d.Counters.Gangs++
	}
	switch {
	case b.sawShallow:
		d.Counters.Deepest++
	case b.sawFar:
		d.Counters.Locality++
	case b.sawLater:
		d.Counters.Smallest++
	}
}

// lookAt bounds how many tasks of one kind are compared by locality.
const lookAt = 64

// bestOf looks through one inbox with the eyes of one worker.
func (d *Dispatch) bestOf(l *ledger.Ledger, w ledger.Worker, inbox string, free ledger.Room, held Held, skip map[Ref]bool, pull Pull, gangs bool) best {
	var out best
	own := inbox == w.ID()
	owner, _ := l.Worker(inbox)
	ownerRoom := l.Room(inbox).Less(held.Room[inbox])
	if !own && !d.ration(l, owner, held.Room[inbox].Slots) {
		ownerRoom = ledger.Room{}
	}
	for _, g := range d.inbox[inbox] {
		if gangs && g.kind.gangSlots == 0 {
			continue
		}
		if pull.Quick && !l.Plan().Services[g.kind.service].Classes[g.kind.class].Quick {
			continue
		}
		head, ok := l.Job(g.tasks[0].at.Job)
		if !ok || !free.Holds(g.kind.room) || l.Fits(head, g.tasks[0].at.Task, w) != code.OK {
			continue
		}
		if held.Closed[[2]string{g.kind.service, g.kind.class}] {
			continue
		}
		if !l.Rules().AlwaysLends() {
			if allowed, _ := l.Allowed(g.kind.service, g.kind.class, max(g.kind.room.Slots, g.kind.gangSlots), held.Slots); !allowed {
				continue
			}
		}
		ownerTakes := !own && !gangs && ownerRoom.Holds(g.kind.room) && l.Fits(head, g.tasks[0].at.Task, owner) == code.OK
		looked := 0
		for _, t := range g.tasks {
			job, ok := l.Job(t.at.Job)
			if !ok || held.Tasks[t.at] || skip[t.at] || ownerTakes && l.At()-job.Tasks[t.at.Task].ReleasedAt < Patience {
				continue
			}
			if g.kind.gangSlots > 0 && d.triedLately(l, t.at.Job, job.Spec.Tasks[t.at.Task].Gang) {
				continue
			}
			if l.Crowded(job, t.at.Task, w.ID(), 0) || d.barred(l, job, t.at.Task, w) || d.kept(l, w, g.kind, t.number) {
				continue
			}
			d.Counters.Looked++
			c := candidate{t.at, job, d.tierOf(l, job, t.at.Task), g.kind.level, d.Locality(job, t.at, w.ID()), t.number}
			if !out.found || d.better(c, out.candidate) {
				if out.found {
					out.mark(c, out.candidate)
				}
				out.candidate, out.found, out.from = c, true, inbox
			} else {
				out.mark(out.candidate, c)
			}
			if looked++; looked >= lookAt || !g.kind.depends && looked >= 2 {
				break
			}
		}
	}
	return out
}

func (b *best) mark(won, lost candidate) {
	switch {
	case won.tier != lost.tier:
	case won.level != lost.level:
		b.sawShallow = true
	case won.locality != lost.locality:
		b.sawFar = true
	default:
		b.sawLater = true
	}
}

// bestHelp looks for a straggler, unless its own inbox has as good a tier.
func (d *Dispatch) bestHelp(l *ledger.Ledger, w ledger.Worker, free ledger.Room, held Held, skip map[Ref]bool, pull Pull, own best) best {
	if len(d.filled()) == 0 {
		return own
	}
	out := own
	for _, other := range d.filled() {
		if other == w.ID() {
			continue
		}
		b := d.bestOf(l, w, other, free, held, skip, pull, false)
		if !b.found {
			continue
		}
		b.helpers, b.progress = d.helpers[other], d.Progress(other)
		switch {
		case !out.found || out.tier.less(b.tier):
			out = b
		case out.from == w.ID() || b.tier.less(out.tier):
		case b.helpers != out.helpers:
			if b.helpers < out.helpers {
				out = b
			}
		case b.progress < out.progress:
			out = b
		}
	}
	return out
}

// Progress is the part of a worker's work that is done: completed against
// completed, running and waiting.
func (d *Dispatch) Progress(worker string) float64 {
	left := 0
	for _, g := range d.inbox[worker] {
		left += len(g.tasks)
	}
	left += d.runs[worker]
	if left == 0 {
		return 1
	}
	return float64(d.done[worker]) / float64(d.done[worker]+left)
}

func gangSlots(job ledger.Job, i int) int {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return job.Spec.Tasks[i].Room.Slots
	}
	if steps := job.Spec.Steps; len(steps) > 0 {
		return steps[job.Spec.Tasks[i].Step].Count * job.Spec.Tasks[i].Room.Slots
	}
	slots := 0
	for j, spec := range job.Spec.Tasks {
		if spec.Gang == gang && job.Tasks[j].State != ledger.Done {
			slots += spec.Room.Slots
		}
	}
	return slots
}

// complete turns the best task into picks; for a gang it finds room for every
// member at once, the asking worker first, then by free room.
func (d *Dispatch) complete(l *ledger.Ledger, b best, worker string, held Held) (Choice, bool) {
	choice := Choice{Helped: b.from}
	if b.from == worker {
		choice.Helped = ""
	}
	add := func(i int, to string) {
		choice.Refs = append(choice.Refs, Ref{b.at.Job, i})
		choice.Picks = append(choice.Picks, ledger.Pick{Job: b.at.Job, Task: b.job.Spec.Tasks[i].ID, Worker: to})
	}
	gang := b.job.Spec.Tasks[b.at.Task].Gang
	if gang == "" {
		add(b.at.Task, worker)
		return choice, true
	}
	// A gang that found no room a moment ago has none for another worker's pull.
	if d.triedLately(l, b.at.Job, gang) {
		return Choice{}, false
	}
	key := b.at.Job + "/" + gang
	d.tried[key] = l.At()
	var members []int
	for i, spec := range b.job.Spec.Tasks {
		t := b.job.Tasks[i]
		if spec.Gang != gang || t.State == ledger.Done {
			continue
		}
		if t.State != ledger.Open || t.Turn.Held() || held.Tasks[Ref{b.at.Job, i}] {
			return Choice{}, false
		}
		members = append(members, i)
	}
	for _, rack := range d.racks(l, b, worker) {
		if seats, ok := d.seats(l, b.job, members, worker, rack, held); ok {
			for n, i := range members {
				add(i, seats[n])
			}
			delete(d.tried, key)
			return choice, true
		}
	}
	return Choice{}, false
}

func (d *Dispatch) hasGang(inbox string) bool {
	return slices.ContainsFunc(d.inbox[inbox], func(g group) bool { return g.kind.gangSlots > 0 })
}

func (d *Dispatch) triedLately(l *ledger.Ledger, job, gang string) bool {
	at, tried := d.tried[job+"/"+gang]
	return tried && l.At() < at+gangEach
}

const gangEach = 10 * time.Millisecond

// racks are the places to try for a gang: one rack after the other, that of its
// data and the asking worker's first, if it asks for one; then all of them.
func (d *Dispatch) racks(l *ledger.Ledger, b best, worker string) []string {
	spec := b.job.Spec.Tasks[b.at.Task]
	if !spec.SameRack {
		return []string{""}
	}
	w, _ := l.Worker(worker)
	var out []string
	for _, rack := range []string{spec.NearRack, w.Rack} {
		if rack != "" && !slices.Contains(out, rack) {
			out = append(out, rack)
		}
	}
	for _, other := range l.Workers() {
		if other.Rack != "" && !slices.Contains(out, other.Rack) {
			out = append(out, other.Rack)
		}
	}
	return append(out, "")
}

// seats finds room for every member of a gang at once, on one rack if that is
// named: by the asking worker first, then near its data, then by free room.
func (d *Dispatch) seats(l *ledger.Ledger, job ledger.Job, members []int, worker, rack string, held Held) ([]string, bool) {
	workers := l.Workers()
	free, on := make([]ledger.Room, len(workers)), make([]int, len(workers))
	fits, most := make([]bool, len(workers)), 0
	head := job.Spec.Tasks[members[0]]
	alike := len(job.Spec.Steps) > 0
	for n, w := range workers {
		if rack != "" && w.Rack != rack {
			continue
		}
		if fits[n] = !alike || l.Fits(job, members[0], w) == code.OK; fits[n] {
			free[n] = l.Room(w.ID()).Less(held.Room[w.ID()])
			for r := free[n]; alike && r.Holds(head.Room) && most < len(members); r = r.Less(head.Room) {
				most++
			}
		}
	}
	if alike && most < len(members) {
		return nil, false
	}
	out := make([]string, 0, len(members))
	for _, i := range members {
		to, need := -1, job.Spec.Tasks[i].Room
		for n, w := range workers {
			if !fits[n] || !free[n].Holds(need) || !alike && l.Fits(job, i, w) != code.OK || head.PerWorker > 0 && l.Crowded(job, i, w.ID(), on[n]) {
				continue
			}
			if to < 0 {
				to = n
				continue
			}
			isNear, wasNear := near(job, i, w), near(job, i, workers[to])
			if isNear != wasNear {
				if isNear {
					to = n
				}
			} else if w.ID() == worker || workers[to].ID() != worker && free[n].Slots > free[to].Slots {
				to = n
			}
		}
		if to < 0 {
			return nil, false
		}
		free[to] = free[to].Less(need)
		on[to]++
		out = append(out, workers[to].ID())
	}
	return out, true
}

// PushOut finds borrowed turns to ask back on a site's workers: for tasks that
// wait, as many as their class's share still holds, where the fitting workers
// have no room for that many, not even with the turns being stopped already.
func (d *Dispatch) PushOut(l *ledger.Ledger, site string, held Held) (Choice, bool) {
	seen := map[kind]bool{}
	for _, w := range l.Workers() {
		if w.Site != site {
			continue
		}
		for _, g := range d.inbox[w.ID()] {
			if seen[g.kind] {
				continue
			}
			at := g.tasks[0].at
			job, ok := l.Job(at.Job)
			if !ok || held.Tasks[at] || g.kind.gangSlots > 0 || l.At()-job.Tasks[at.Task].ReleasedAt < 20*time.Millisecond {
				continue
			}
			seen[g.kind] = true
			usedSlots, shareSlots := l.ClassUse(job.Spec.Service, job.Spec.Class)
			wanted := min(d.alike(g.kind), (shareSlots-usedSlots)/g.kind.room.Slots)
			if wanted <= 0 || d.coming(l, job, at.Task) >= wanted {
				continue
			}
			if pick, ok := d.victim(l, job, at.Task, site, held); ok {
				d.Counters.PushOuts++
				return Choice{Picks: []ledger.Pick{pick}, For: ledger.Pick{Job: at.Job, Task: job.Spec.Tasks[at.Task].ID}}, true
			}
		}
	}
	return Choice{}, false
}

// alike counts the tasks of a kind in all inboxes.
func (d *Dispatch) alike(k kind) int {
	count := 0
	for _, groups := range d.inbox {
		for _, g := range groups {
			if g.kind == k {
				count += len(g.tasks)
			}
		}
	}
	return count
}

// heardFor is how long a worker that beats as it should may be unheard.
const heardFor = 1500 * time.Millisecond

// coming counts how often the fitting workers that beat as they should, and may
// pull, have or are about to have the room of a task.
func (d *Dispatch) coming(l *ledger.Ledger, job ledger.Job, i int) int {
	count, need := 0, job.Spec.Tasks[i].Room
	for _, w := range l.Workers() {
		if l.Fits(job, i, w) != code.OK {
			continue
		}
		if l.At()-w.SeenAt > heardFor || !d.ration(l, w, 0) {
			continue
		}
		room := l.Room(w.ID()).Add(l.Stopping(w.ID()))
		for ; room.Holds(need); room = room.Less(need) {
			count++
		}
	}
	return count
}

// victim is the turn to ask back: a borrowed one, or, for a quick task, any that
// is not quick, since quick work never waits for other work to end.
func (d *Dispatch) victim(l *ledger.Ledger, job ledger.Job, i int, site string, held Held) (ledger.Pick, bool) {
	quick := func(j ledger.Job) bool { return l.Plan().Services[j.Spec.Service].Classes[j.Spec.Class].Quick }
	pick, ok := d.newest(l, job, i, site, func(p ledger.Pending, other ledger.Job) bool {
		return p.Turn.Borrowed && other.Spec.Class != job.Spec.Class
	})
	if !ok && quick(job) {
		pick, ok = d.newest(l, job, i, site, func(_ ledger.Pending, other ledger.Job) bool { return !quick(other) })
	}
	return pick, ok
}

// newest is the turn granted last, of those that may go, on a worker where all
// of those together would make the room.
func (d *Dispatch) newest(l *ledger.Ledger, job ledger.Job, i int, site string, may func(ledger.Pending, ledger.Job) bool) (ledger.Pick, bool) {
	var pick ledger.Pick
	var newest time.Duration
	for _, w := range l.Workers() {
		if w.Site != site || l.Fits(job, i, w) != code.OK {
			continue
		}
		room := l.Room(w.ID())
		turns := l.TurnsOn(w.ID())
		for _, p := range turns {
			if other, _ := l.Job(p.Job); may(p, other) {
				room = room.Add(p.Start.Room)
			}
		}
		if !room.Holds(job.Spec.Tasks[i].Room) {
			continue
		}
		for _, p := range turns {
			other, _ := l.Job(p.Job)
			if p.Turn.Stop == "" && p.Turn.GrantedAt >= newest && may(p, other) {
				newest, pick = p.Turn.GrantedAt, ledger.Pick{Job: p.Job, Task: p.Task, Worker: w.ID()}
			}
		}
	}
	return pick, pick.Job != ""
}
