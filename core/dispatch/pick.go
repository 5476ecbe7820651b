// How a worker's pull is answered. Classes come first: a quick task stands
// before all others, then the larger result of the order policy. Within one
// tier Fela decides. A gang is answered whole, over several workers, or not at
// all.

package dispatch

import (
	"math"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// Held is what the caller has asked the ledger for and not heard of yet, or
// was refused a moment ago.
type InFlight struct {
	Tasks     map[TaskRef]bool
	Resources map[string]state.Resources
	Slots     map[[2]string]int
	// Closed are classes that were over their share a moment ago.
	OverShare map[[2]string]bool
}

type tier struct {
	quick bool
	score float64
}

func (t tier) less(o tier) bool {
	if t.quick != o.quick {
		return !t.quick
	}
	return t.score < o.score
}

type candidate struct {
	ref      TaskRef
	job      state.Job
	tier     tier
	level    int
	locality float64
	number   uint64
}

// better is the order within one inbox; it counts the rule that decided.
func (d *Dispatcher) precedes(a, b candidate) bool {
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

func (d *Dispatcher) tierOf(store *state.Store, job state.Job, i int) tier {
	class := store.Config().Services[job.Spec.Service].Classes[job.Spec.Class]
	if store.Policies().OrdersByPriority() {
		return tier{class.Quick, float64(class.Priority)}
	}
	usedSlots, shareSlots := store.ClassUse(job.Spec.Service, job.Spec.Class)
	order := store.Policies().Order(config.OrderInput{
		Priority: class.Priority, Level: job.Tasks[i].Level, WaitedSeconds: (store.Now() - job.Tasks[i].ReadyAt).Seconds(),
		Share: shareSlots, Used: usedSlots, Class: job.Spec.Class, Service: job.Spec.Service, Slots: job.Spec.Tasks[i].Resources.Slots,
	})
	return tier{class.Quick, math.Floor(order)}
}

// Choice is the answer to one pull.
type Proposal struct {
	Assignments []state.Assignment
	Tasks       []TaskRef
	StolenFrom  string
	PreemptFor  state.Assignment
}

type bestCandidate struct {
	candidate
	found                             bool
	queue                             string
	helpers                           int
	progress                          float64
	decidedByLevel, decidedByLocality bool
	decidedByNumber                   bool
}

// Pull is one round over the workers that wait for work: their own inboxes or
// others' too, quick classes alone or all. Pulls is their order: class first,
// whatever inbox a quick task lies in, then own inbox, then help.
type PullRound struct{ Steal, QuickOnly bool }

var PullRounds = []PullRound{{QuickOnly: true}, {Steal: true, QuickOnly: true}, {}, {Steal: true}}

// Next answers the pull of one worker in one round.
func (d *Dispatcher) Pull(store *state.Store, worker string, held InFlight, pull PullRound) (Proposal, bool) {
	w, ok := store.Worker(worker)
	if !ok {
		return Proposal{}, false
	}
	free := store.FreeResources(worker).Sub(held.Resources[worker])
	if free.Slots < 1 || !d.mayPull(store, w, held.Resources[worker].Slots) {
		return Proposal{}, false
	}
	skip := map[TaskRef]bool{}
	for {
		inbox := worker
		if d.singleQueue {
			inbox = ""
		}
		chosen := d.bestInQueue(store, w, inbox, free, held, skip, pull, false)
		if !pull.Steal && !d.singleQueue {
			// A gang lies in one inbox for all its members, which are every worker's own.
			for _, other := range d.nonEmptyQueues() {
				if other == worker || !d.hasGang(other) {
					continue
				}
				if b := d.bestInQueue(store, w, other, free, held, skip, pull, true); b.found && (!chosen.found || d.precedes(b.candidate, chosen.candidate)) {
					b.queue = worker
					chosen = b
				}
			}
		}
		if pull.Steal && !d.singleQueue {
			chosen = d.bestToSteal(store, w, free, held, skip, pull, chosen)
		}
		if !chosen.found {
			return Proposal{}, false
		}
		choice, ok := d.propose(store, chosen, worker, held)
		if !ok {
			skip[chosen.ref] = true
			continue
		}
		d.countPull(chosen, worker, len(choice.Assignments))
		return choice, true
	}
}

func (d *Dispatcher) countPull(b bestCandidate, worker string, picks int) {
	if b.queue == worker {
		d.Counters.Own++
	} else {
		d.Counters.Helped++
	}
	if picks > 1 {
		d.Counters.Gangs++
	}
	switch {
	case b.decidedByLevel:
		d.Counters.Deepest++
	case b.decidedByLocality:
		d.Counters.Locality++
	case b.decidedByNumber:
		d.Counters.Smallest++
	}
}

// lookAt bounds how many tasks of one kind are compared by locality.
const maxExaminedPerGroup = 64

// bestOf looks through one inbox with the eyes of one worker.
func (d *Dispatcher) bestInQueue(store *state.Store, w state.Worker, inbox string, free state.Resources, held InFlight, skip map[TaskRef]bool, pull PullRound, gangs bool) bestCandidate {
	var out bestCandidate
	own := inbox == w.ID()
	owner, _ := store.Worker(inbox)
	ownerRoom := store.FreeResources(inbox).Sub(held.Resources[inbox])
	if !own && !d.mayPull(store, owner, held.Resources[inbox].Slots) {
		ownerRoom = state.Resources{}
	}
	for _, g := range d.queues[inbox] {
		if gangs && g.key.gangSlots == 0 {
			continue
		}
		if pull.QuickOnly && !store.Config().Services[g.key.service].Classes[g.key.class].Quick {
			continue
		}
		head, ok := store.Job(g.tasks[0].ref.Job)
		if !ok || !free.Covers(g.key.resources) || store.Fits(head, g.tasks[0].ref.Index, w) != status.OK {
			continue
		}
		if held.OverShare[[2]string{g.key.service, g.key.class}] {
			continue
		}
		if !store.Policies().AlwaysAllowsBorrowing() {
			if allowed, _ := store.CheckShare(g.key.service, g.key.class, max(g.key.resources.Slots, g.key.gangSlots), held.Slots); !allowed {
				continue
			}
		}
		ownerTakes := !own && !gangs && ownerRoom.Covers(g.key.resources) && store.Fits(head, g.tasks[0].ref.Index, owner) == status.OK
		looked := 0
		for _, t := range g.tasks {
			job, ok := store.Job(t.ref.Job)
			if !ok || held.Tasks[t.ref] || skip[t.ref] || ownerTakes && store.Now()-job.Tasks[t.ref.Index].ReadyAt < StealDelay {
				continue
			}
			if g.key.gangSlots > 0 && d.gangTriedRecently(store, t.ref.Job, job.Spec.Tasks[t.ref.Index].Gang) {
				continue
			}
			if store.AtWorkerLimit(job, t.ref.Index, w.ID(), 0) || d.failedHere(store, job, t.ref.Index, w) || d.reservedFromTask(store, w, g.key, t.number) {
				continue
			}
			d.Counters.Looked++
			c := candidate{t.ref, job, d.tierOf(store, job, t.ref.Index), g.key.level, d.LocalityScore(job, t.ref, w.ID()), t.number}
			if !out.found || d.precedes(c, out.candidate) {
				if out.found {
					out.recordRule(c, out.candidate)
				}
				out.candidate, out.found, out.queue = c, true, inbox
			} else {
				out.recordRule(out.candidate, c)
			}
			if looked++; looked >= maxExaminedPerGroup || !g.key.hasInputs && looked >= 2 {
				break
			}
		}
	}
	return out
}

func (b *bestCandidate) recordRule(won, lost candidate) {
	switch {
	case won.tier != lost.tier:
	case won.level != lost.level:
		b.decidedByLevel = true
	case won.locality != lost.locality:
		b.decidedByLocality = true
	default:
		b.decidedByNumber = true
	}
}

// bestHelp looks for a straggler, unless its own inbox has as good a tier.
func (d *Dispatcher) bestToSteal(store *state.Store, w state.Worker, free state.Resources, held InFlight, skip map[TaskRef]bool, pull PullRound, own bestCandidate) bestCandidate {
	if len(d.nonEmptyQueues()) == 0 {
		return own
	}
	out := own
	for _, other := range d.nonEmptyQueues() {
		if other == w.ID() {
			continue
		}
		b := d.bestInQueue(store, w, other, free, held, skip, pull, false)
		if !b.found {
			continue
		}
		b.helpers, b.progress = d.helpers[other], d.Progress(other)
		switch {
		case !out.found || out.tier.less(b.tier):
			out = b
		case out.queue == w.ID() || b.tier.less(out.tier):
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
func (d *Dispatcher) Progress(worker string) float64 {
	left := 0
	for _, g := range d.queues[worker] {
		left += len(g.tasks)
	}
	left += d.runningCount[worker]
	if left == 0 {
		return 1
	}
	return float64(d.completedCount[worker]) / float64(d.completedCount[worker]+left)
}

func gangSlots(job state.Job, i int) int {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return job.Spec.Tasks[i].Resources.Slots
	}
	if steps := job.Spec.Steps; len(steps) > 0 {
		return steps[job.Spec.Tasks[i].Step].Count * job.Spec.Tasks[i].Resources.Slots
	}
	slots := 0
	for j, spec := range job.Spec.Tasks {
		if spec.Gang == gang && job.Tasks[j].State != state.Done {
			slots += spec.Resources.Slots
		}
	}
	return slots
}

// complete turns the best task into picks; for a gang it finds room for every
// member at once, the asking worker first, then by free room.
func (d *Dispatcher) propose(store *state.Store, b bestCandidate, worker string, held InFlight) (Proposal, bool) {
	choice := Proposal{StolenFrom: b.queue}
	if b.queue == worker {
		choice.StolenFrom = ""
	}
	add := func(i int, to string) {
		choice.Tasks = append(choice.Tasks, TaskRef{b.ref.Job, i})
		choice.Assignments = append(choice.Assignments, state.Assignment{Job: b.ref.Job, Task: b.job.Spec.Tasks[i].ID, Worker: to})
	}
	gang := b.job.Spec.Tasks[b.ref.Index].Gang
	if gang == "" {
		add(b.ref.Index, worker)
		return choice, true
	}
	// A gang that found no room a moment ago has none for another worker's pull.
	if d.gangTriedRecently(store, b.ref.Job, gang) {
		return Proposal{}, false
	}
	key := b.ref.Job + "/" + gang
	d.gangTriedAt[key] = store.Now()
	var members []int
	for i, spec := range b.job.Spec.Tasks {
		t := b.job.Tasks[i]
		if spec.Gang != gang || t.State == state.Done {
			continue
		}
		if t.State != state.Ready || t.Lease.Held() || held.Tasks[TaskRef{b.ref.Job, i}] {
			return Proposal{}, false
		}
		members = append(members, i)
	}
	for _, rack := range d.candidateRacks(store, b, worker) {
		if seats, ok := d.placeGang(store, b.job, members, worker, rack, held); ok {
			for n, i := range members {
				add(i, seats[n])
			}
			delete(d.gangTriedAt, key)
			return choice, true
		}
	}
	return Proposal{}, false
}

func (d *Dispatcher) hasGang(inbox string) bool {
	return slices.ContainsFunc(d.queues[inbox], func(g taskGroup) bool { return g.key.gangSlots > 0 })
}

func (d *Dispatcher) gangTriedRecently(store *state.Store, job, gang string) bool {
	ref, tried := d.gangTriedAt[job+"/"+gang]
	return tried && store.Now() < ref+gangRetryInterval
}

const gangRetryInterval = 10 * time.Millisecond

// racks are the places to try for a gang: one rack after the other, that of its
// data and the asking worker's first, if it asks for one; then all of them.
func (d *Dispatcher) candidateRacks(store *state.Store, b bestCandidate, worker string) []string {
	spec := b.job.Spec.Tasks[b.ref.Index]
	if !spec.SameRack {
		return []string{""}
	}
	w, _ := store.Worker(worker)
	var out []string
	for _, rack := range []string{spec.PreferredRack, w.Rack} {
		if rack != "" && !slices.Contains(out, rack) {
			out = append(out, rack)
		}
	}
	for _, other := range store.Workers() {
		if other.Rack != "" && !slices.Contains(out, other.Rack) {
			out = append(out, other.Rack)
		}
	}
	return append(out, "")
}

// seats finds room for every member of a gang at once, on one rack if that is
// named: by the asking worker first, then near its data, then by free room.
func (d *Dispatcher) placeGang(store *state.Store, job state.Job, members []int, worker, rack string, held InFlight) ([]string, bool) {
	workers := store.Workers()
	free, on := make([]state.Resources, len(workers)), make([]int, len(workers))
	fits, most := make([]bool, len(workers)), 0
	head := job.Spec.Tasks[members[0]]
	alike := len(job.Spec.Steps) > 0
	for n, w := range workers {
		if rack != "" && w.Rack != rack {
			continue
		}
		if fits[n] = !alike || store.Fits(job, members[0], w) == status.OK; fits[n] {
			free[n] = store.FreeResources(w.ID()).Sub(held.Resources[w.ID()])
			for r := free[n]; alike && r.Covers(head.Resources) && most < len(members); r = r.Sub(head.Resources) {
				most++
			}
		}
	}
	if alike && most < len(members) {
		return nil, false
	}
	out := make([]string, 0, len(members))
	for _, i := range members {
		to, need := -1, job.Spec.Tasks[i].Resources
		for n, w := range workers {
			if !fits[n] || !free[n].Covers(need) || !alike && store.Fits(job, i, w) != status.OK || head.MaxPerWorker > 0 && store.AtWorkerLimit(job, i, w.ID(), on[n]) {
				continue
			}
			if to < 0 {
				to = n
				continue
			}
			isNear, wasNear := isNearData(job, i, w), isNearData(job, i, workers[to])
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
		free[to] = free[to].Sub(need)
		on[to]++
		out = append(out, workers[to].ID())
	}
	return out, true
}

// PushOut finds borrowed turns to ask back on a site's workers: for tasks that
// wait, as many as their class's share still holds, where the fitting workers
// have no room for that many, not even with the turns being stopped already.
func (d *Dispatcher) Preempt(store *state.Store, site string, held InFlight) (Proposal, bool) {
	seen := map[groupKey]bool{}
	for _, w := range store.Workers() {
		if w.Zone != site {
			continue
		}
		for _, g := range d.queues[w.ID()] {
			if seen[g.key] {
				continue
			}
			ref := g.tasks[0].ref
			job, ok := store.Job(ref.Job)
			if !ok || held.Tasks[ref] || g.key.gangSlots > 0 || store.Now()-job.Tasks[ref.Index].ReadyAt < 20*time.Millisecond {
				continue
			}
			seen[g.key] = true
			usedSlots, shareSlots := store.ClassUse(job.Spec.Service, job.Spec.Class)
			wanted := min(d.queuedAlike(g.key), (shareSlots-usedSlots)/g.key.resources.Slots)
			if wanted <= 0 || d.upcomingFits(store, job, ref.Index) >= wanted {
				continue
			}
			if pick, ok := d.preemptionVictim(store, job, ref.Index, site, held); ok {
				d.Counters.PushOuts++
				return Proposal{Assignments: []state.Assignment{pick}, PreemptFor: state.Assignment{Job: ref.Job, Task: job.Spec.Tasks[ref.Index].ID}}, true
			}
		}
	}
	return Proposal{}, false
}

// alike counts the tasks of a kind in all inboxes.
func (d *Dispatcher) queuedAlike(k groupKey) int {
	count := 0
	for _, groups := range d.queues {
		for _, g := range groups {
			if g.key == k {
				count += len(g.tasks)
			}
		}
	}
	return count
}

// heardFor is how long a worker that beats as it should may be unheard.
const heartbeatFreshness = 1500 * time.Millisecond

// coming counts how often the fitting workers that beat as they should, and may
// pull, have or are about to have the room of a task.
func (d *Dispatcher) upcomingFits(store *state.Store, job state.Job, i int) int {
	count, need := 0, job.Spec.Tasks[i].Resources
	for _, w := range store.Workers() {
		if store.Fits(job, i, w) != status.OK {
			continue
		}
		if store.Now()-w.LastSeenAt > heartbeatFreshness || !d.mayPull(store, w, 0) {
			continue
		}
		room := store.FreeResources(w.ID()).Add(store.StoppingResources(w.ID()))
		for ; room.Covers(need); room = room.Sub(need) {
			count++
		}
	}
	return count
}

// victim is the turn to ask back: a borrowed one, or, for a quick task, any that
// is not quick, since quick work never waits for other work to end.
func (d *Dispatcher) preemptionVictim(store *state.Store, job state.Job, i int, site string, held InFlight) (state.Assignment, bool) {
	quick := func(j state.Job) bool { return store.Config().Services[j.Spec.Service].Classes[j.Spec.Class].Quick }
	pick, ok := d.newestLease(store, job, i, site, func(p state.LeasedAttempt, other state.Job) bool {
		return p.Lease.Borrowed && other.Spec.Class != job.Spec.Class
	})
	if !ok && quick(job) {
		pick, ok = d.newestLease(store, job, i, site, func(_ state.LeasedAttempt, other state.Job) bool { return !quick(other) })
	}
	return pick, ok
}

// newest is the turn granted last, of those that may go, on a worker where all
// of those together would make the room.
func (d *Dispatcher) newestLease(store *state.Store, job state.Job, i int, site string, may func(state.LeasedAttempt, state.Job) bool) (state.Assignment, bool) {
	var pick state.Assignment
	var newest time.Duration
	for _, w := range store.Workers() {
		if w.Zone != site || store.Fits(job, i, w) != status.OK {
			continue
		}
		room := store.FreeResources(w.ID())
		turns := store.LeasesOn(w.ID())
		for _, p := range turns {
			if other, _ := store.Job(p.Job); may(p, other) {
				room = room.Add(p.Start.Resources)
			}
		}
		if !room.Covers(job.Spec.Tasks[i].Resources) {
			continue
		}
		for _, p := range turns {
			other, _ := store.Job(p.Job)
			if p.Lease.StopReason == "" && p.Lease.GrantedAt >= newest && may(p, other) {
				newest, pick = p.Lease.GrantedAt, state.Assignment{Job: p.Job, Task: p.Task, Worker: w.ID()}
			}
		}
	}
	return pick, pick.Job != ""
}
