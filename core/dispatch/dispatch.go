// Package dispatch is Fela's fetching, in our words: one inbox of released
// tasks per worker and a map of entries that says which worker runs a task and
// which holds its output. A worker whose end report or free room comes in pulls
// its next task: from its own inbox first, the deepest released step first,
// then by locality_score, then the smallest number; with its own inbox empty it
// helps the straggler with the fewest helpers and the slowest progress. All of
// it is built from a copy of the ledger, decides nothing that the ledger does
// not check again, and is lost without harm.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
)

// Ref is a task by job and place in it.
type Ref struct {
	Job  string
	Task int
}

// Counters show which rules the ordinary path used.
type Counters struct {
	Releases, Own, Helped, Deepest, Locality, Smallest, Gangs, PushOuts, Reserved, Looked uint64
}

const (
	runs  = "runs"
	holds = "holds"
)

// kind is what tasks of one inbox may have in common: all that decides whether
// a worker may take them now. Only the first of a kind is looked at, unless the
// tasks depend on others and differ in locality.
type kind struct {
	service, class, labels string
	room                   ledger.Room
	gangSlots, level       int
	depends                bool
	near                   string
	// only is set where tasks of another step are judged apart.
	only string
}

type waiting struct {
	at     Ref
	number uint64
}

type group struct {
	kind  kind
	tasks []waiting
}

type placed struct {
	worker string
	kind   kind
	number uint64
}

type Dispatch struct {
	inbox    map[string][]group
	slots    map[string]int
	place    map[Ref]placed
	unplaced map[Ref]bool
	entries  map[string]map[Ref]string
	helping  map[Ref]string
	helpers  map[string]int
	rebuilds rebuild
	fresh    map[string]bool
	// standings are those of the workers when unplaced tasks were last tried on
	// them, moving the workers whose inboxes are being emptied.
	standings map[string]standing
	moving    map[string]bool
	ran       map[Ref]held
	done      map[string]int
	health    map[string]health
	usual     map[[2]string]float64
	claims    claims
	Counters  Counters
	central   bool
	news      map[string]uint64
	full      []string
	where     map[Ref]spot
	together  map[step]map[string]int
	inputs    map[input]map[string]int
	runs      map[string]int
	tried     map[string]time.Duration
	wellOff   map[string]wellOff
	sizes     map[string]int
	// choices are what the last seeding chose from, kept for its memory.
	choices []seat
}

// spot is where a task lies, runs or has ended; step and input name what the
// counts of such spots are kept for.
type spot struct {
	worker string
	level  int
	what   string
}

type step struct {
	job   string
	level int
}

type input struct {
	job           string
	first, length int
}

// put a task at another spot, or at none.
func (d *Dispatch) move(at Ref, to spot) {
	was := d.where[at]
	if was == to {
		return
	}
	count := func(s spot, by int) {
		if s.worker == "" {
			return
		}
		if s.what == runs {
			d.runs[s.worker] += by
		}
		key := step{at.Job, s.level}
		if d.together[key] == nil {
			d.together[key] = map[string]int{}
		}
		if d.together[key][s.worker] += by; d.together[key][s.worker] == 0 {
			delete(d.together[key], s.worker)
		}
		if len(d.together[key]) == 0 {
			delete(d.together, key)
		}
	}
	count(was, -1)
	count(to, 1)
	if d.where[at] = to; to.worker == "" {
		delete(d.where, at)
	}
}

// TakeFresh gives the workers into whose inboxes something has come, or whose turns
// have ended, since it was last called.
func (d *Dispatch) TakeFresh() map[string]bool {
	out := d.fresh
	d.fresh = map[string]bool{}
	return out
}

// helps notes that a task is run for the worker in whose inbox it lay, helped
// that this is over.
func (d *Dispatch) helps(at Ref, from string) {
	d.helped(at)
	d.helping[at] = from
	d.helpers[from]++
}

func (d *Dispatch) helped(at Ref) {
	from, known := d.helping[at]
	if !known {
		return
	}
	delete(d.helping, at)
	if d.helpers[from]--; d.helpers[from] == 0 {
		delete(d.helpers, from)
	}
}

// News changes whenever a task has come into a worker's inbox.
func (d *Dispatch) News(worker string) uint64 { return d.news[worker] }

// filled gives the workers whose inboxes are not empty, by name.
func (d *Dispatch) filled() []string {
	if d.full == nil {
		d.full = make([]string, 0, len(d.inbox))
		for id, groups := range d.inbox {
			if len(groups) > 0 {
				d.full = append(d.full, id)
			}
		}
		slices.Sort(d.full)
	}
	return d.full
}

// Patience is how long a task may wait in the inbox of a worker that has room
// for it before others may take it: its scheduler may be gone.
const Patience = 300 * time.Millisecond

// NewCentral is the variant that measurements compare with: one inbox for all
// workers, in the same order otherwise.
func NewCentral() *Dispatch {
	d := New()
	d.central = true
	return d
}

func New() *Dispatch {
	d := &Dispatch{fresh: map[string]bool{}, health: map[string]health{}, usual: map[[2]string]float64{}, news: map[string]uint64{}, wellOff: map[string]wellOff{}}
	d.clear()
	return d
}

func (d *Dispatch) clear() {
	d.full = nil
	d.where, d.together, d.inputs = map[Ref]spot{}, map[step]map[string]int{}, map[input]map[string]int{}
	d.runs, d.tried, d.sizes = map[string]int{}, map[string]time.Duration{}, map[string]int{}
	d.inbox, d.slots, d.place, d.unplaced = map[string][]group{}, map[string]int{}, map[Ref]placed{}, map[Ref]bool{}
	d.helpers, d.rebuilds = map[string]int{}, rebuild{}
	d.standings, d.moving = map[string]standing{}, map[string]bool{}
	d.entries, d.helping, d.ran, d.done = map[string]map[Ref]string{}, map[Ref]string{}, map[Ref]held{}, map[string]int{}
}

// Update takes what changed in the ledger, and goes on with a rebuild that is under way.
func (d *Dispatch) Update(l *ledger.Ledger, changes []ledger.Changed) {
	for _, c := range changes {
		switch {
		case c.All:
			d.claims = claims{}
			d.beginRebuild(l)
		case c.Worker != "":
			d.worker(l, c.Worker)
		case c.Task < 0:
			if _, ok := l.Job(c.Job); !ok {
				d.forget(c.Job)
			}
		default:
			d.task(l, Ref{c.Job, c.Task})
		}
	}
	d.goOn(l)
}

func (d *Dispatch) forget(job string) {
	for i := range d.sizes[job] {
		at := Ref{job, i}
		delete(d.entries[d.where[at].worker], at)
		d.remove(at)
		d.move(at, spot{})
	}
	delete(d.sizes, job)
	for key := range d.inputs {
		if key.job == job {
			delete(d.inputs, key)
		}
	}
}

func (d *Dispatch) remove(at Ref) {
	delete(d.unplaced, at)
	p, ok := d.place[at]
	if !ok {
		return
	}
	delete(d.place, at)
	d.move(at, spot{})
	d.full = nil
	d.slots[p.worker] -= p.kind.room.Slots
	groups := d.inbox[p.worker]
	for i := range groups {
		if groups[i].kind == p.kind {
			if j, found := find(groups[i].tasks, p.number); found {
				groups[i].tasks = slices.Delete(groups[i].tasks, j, j+1)
			}
			if len(groups[i].tasks) == 0 {
				groups = slices.Delete(groups, i, i+1)
			}
			break
		}
	}
	d.inbox[p.worker] = groups
}

func find(tasks []waiting, number uint64) (int, bool) {
	return slices.BinarySearchFunc(tasks, number, func(w waiting, n uint64) int { return cmp.Compare(w.number, n) })
}

func kindOf(job ledger.Job, i int) kind {
	spec := job.Spec.Tasks[i]
	k := kind{job.Spec.Service, job.Spec.Class, strings.Join(spec.Labels, ","), spec.Room, 0, job.Tasks[i].Level, len(spec.Needs) > 0, spec.NearRack, ""}
	if spec.PerWorker > 0 {
		k.only = fmt.Sprintf("%s/%d/%d", job.Spec.ID, spec.Time, job.Tasks[i].Level)
	}
	if spec.Gang != "" {
		k.gangSlots = gangSlots(job, i)
	}
	return k
}

func (d *Dispatch) enter(worker string, at Ref, what string) {
	if d.entries[worker] == nil {
		d.entries[worker] = map[Ref]string{}
	}
	d.entries[worker][at] = what
}

func (d *Dispatch) task(l *ledger.Ledger, at Ref) {
	job, ok := l.Job(at.Job)
	if !ok {
		return
	}
	t := job.Tasks[at.Task]
	d.sizes[at.Job] = len(job.Tasks)
	if was, ok := d.ran[at]; ok && (!t.Turn.Held() || t.Turn.Worker != was.worker) {
		d.learn(l, job, at.Task, was)
		delete(d.entries[was.worker], at)
		delete(d.ran, at)
		d.helped(at)
		d.fresh[was.worker] = true
	}
	switch {
	case t.State == ledger.Done:
		if d.entries[t.Holder][at] != holds {
			d.done[t.Holder]++
		}
		d.remove(at)
		d.enter(t.Holder, at, holds)
		d.move(at, spot{t.Holder, t.Level, holds})
	case t.Turn.Held():
		if from := d.place[at].worker; from != "" && from != t.Turn.Worker {
			d.helps(at, from)
		}
		d.remove(at)
		d.enter(t.Turn.Worker, at, runs)
		d.move(at, spot{t.Turn.Worker, t.Level, runs})
		d.ran[at] = held{t.Turn.Worker, t.Turn.StartedAt, t.Defects, t.Losses}
	case t.State == ledger.Open:
		if _, placed := d.place[at]; !placed && leads(job, at.Task) {
			d.Counters.Releases++
			d.seed(l, job, at)
		}
	default:
		d.remove(at)
		d.move(at, spot{})
	}
}

// leads says whether a task stands in an inbox for itself, or for its gang, of
// which only the first member does.
func leads(job ledger.Job, i int) bool {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return true
	}
	if len(job.Spec.Steps) > 0 {
		return i == 0 || job.Spec.Tasks[i-1].Gang != gang
	}
	return slices.IndexFunc(job.Spec.Tasks, func(t ledger.TaskSpec) bool { return t.Gang == gang }) == i
}

// worker moves tasks away from a worker that can no longer take them, and
// tries those for whom no worker was found before.
func (d *Dispatch) worker(l *ledger.Ledger, id string) {
	d.settle(l, id, rebuildMost)
}

// settle does the same with so many tasks at most, and gives how many of those are
// left. What is not done waits for the next Update.
func (d *Dispatch) settle(l *ledger.Ledger, id string, most int) int {
	most = d.moveAway(l, id, most)
	d.tryUnplaced(l, id)
	return most
}

// tryUnplaced puts the tasks for whom no worker was found into a worker's inbox if
// it is not as it was when they were last tried.
func (d *Dispatch) tryUnplaced(l *ledger.Ledger, id string) {
	w, known := l.Worker(id)
	standing := standingOf(l, w, known)
	if d.standings[id] == standing {
		return
	}
	d.standings[id] = standing
	if len(d.unplaced) == 0 {
		return
	}
	left := unplacedMost
	for _, at := range d.sorted(l, d.unplaced) {
		if job, ok := l.Job(at.Job); ok && l.Fits(job, at.Task, w) == code.OK && w.Capacity.Holds(job.Spec.Tasks[at.Task].Room) {
			if left--; left < 0 {
				delete(d.standings, id)
				d.moving[id] = true
				return
			}
			d.put(job, at, id)
		}
	}
}

// standing is all of a worker that decides which tasks it may ever take. While it
// stays the same, a task for which no worker was found finds none in this one.
type standing struct {
	service, site, labels   string
	capacity                ledger.Room
	leaving, drained, alive bool
}

func standingOf(l *ledger.Ledger, w ledger.Worker, known bool) standing {
	if !known {
		return standing{}
	}
	return standing{w.Service, w.Site, strings.Join(w.Labels, ","), w.Capacity, w.Leaving, w.Drained, l.Live(w)}
}

// forgetSilent has unplaced tasks tried on the workers that are silent now as soon as
// they are heard: a worker falls silent without a change of the ledger.
func (d *Dispatch) forgetSilent(l *ledger.Ledger) {
	for _, w := range l.Workers() {
		if !l.Live(w) {
			delete(d.standings, w.ID())
		}
	}
}

// moveAway seeds anew what lies in a worker's inbox and does not fit it, so many
// tasks at most; it gives how many of those are left. The rest waits for the next
// Update.
func (d *Dispatch) moveAway(l *ledger.Ledger, id string, most int) int {
	w, known := l.Worker(id)
	delete(d.moving, id)
	for _, g := range slices.Clone(d.inbox[id]) {
		if job, ok := l.Job(g.tasks[0].at.Job); known && ok && l.Fits(job, g.tasks[0].at.Task, w) == code.OK {
			continue
		}
		for _, t := range slices.Backward(slices.Clone(g.tasks)) {
			if most == 0 {
				d.moving[id] = true
				return 0
			}
			most--
			d.remove(t.at)
			if job, ok := l.Job(t.at.Job); ok {
				d.seed(l, job, t.at)
			}
		}
	}
	return most
}

// Sweep moves tasks out of the inboxes of workers that have gone silent.
func (d *Dispatch) Sweep(l *ledger.Ledger) {
	ids := make([]string, 0, len(d.inbox))
	for id, inbox := range d.inbox {
		if w, ok := l.Worker(id); len(inbox) > 0 && id != "" && (!ok || !l.Live(w)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.worker(l, id)
	}
}

func (d *Dispatch) put(job ledger.Job, at Ref, worker string) {
	d.news[worker]++
	d.fresh[worker] = true
	d.full = nil
	delete(d.unplaced, at)
	k, number := kindOf(job, at.Task), job.Tasks[at.Task].Number
	d.place[at] = placed{worker, k, number}
	d.move(at, spot{worker, job.Tasks[at.Task].Level, "waits"})
	d.slots[worker] += k.room.Slots
	groups := d.inbox[worker]
	i := slices.IndexFunc(groups, func(g group) bool { return g.kind == k })
	if i < 0 {
		groups = append(groups, group{kind: k})
		i = len(groups) - 1
	}
	j, _ := find(groups[i].tasks, number)
	groups[i].tasks = slices.Insert(groups[i].tasks, j, waiting{at, number})
	d.inbox[worker] = groups
}

// window is how much busier than the least busy worker, in parts of its slots,
// a worker may be and still be chosen for what it holds.
const window = 0.5

type seat struct {
	worker             string
	spared, near       bool
	locality, busyness float64
	siblings           int
}

// seed puts a released task into the inbox of a fitting worker, one that is not
// spared if there is any. Among those that are about as busy as the least busy
// one, it is the worker that holds most of its inputs, then the one that has
// most tasks of the same job and step, whose outputs are likely to be wanted
// together; then the least busy, then the smallest identity.
func (d *Dispatch) seed(l *ledger.Ledger, job ledger.Job, at Ref) {
	if d.central {
		d.put(job, at, "")
		return
	}
	seats := d.choices[:0]
	least, allSpared := math.Inf(1), true
	workers := l.Workers()
	for i := range workers {
		if workers[i].Service != job.Spec.Service || !workers[i].Capacity.Holds(job.Spec.Tasks[at.Task].Room) {
			continue
		}
		w := workers[i]
		if l.Fits(job, at.Task, w) != code.OK || d.barred(l, job, at.Task, w) {
			continue
		}
		s := seat{w.ID(), d.spared(l, w) && !d.probes(l, job, w), near(job, at.Task, w), d.Locality(job, at, w.ID()), d.busyness(l, w), d.siblings(job, at, w.ID())}
		if allSpared && !s.spared {
			least, allSpared = s.busyness, false
		} else if s.spared == allSpared {
			least = math.Min(least, s.busyness)
		}
		seats = append(seats, s)
	}
	d.choices = seats
	best := -1
	for i, s := range seats {
		if s.spared == allSpared && s.busyness <= least+window && (best < 0 || s.before(seats[best])) {
			best = i
		}
	}
	if best < 0 {
		d.unplaced[at] = true
		d.forgetSilent(l)
		return
	}
	d.put(job, at, seats[best].worker)
}

// near says whether a worker stands at the rack that holds a task's data.
func near(job ledger.Job, i int, w ledger.Worker) bool {
	rack := job.Spec.Tasks[i].NearRack
	return rack == "" || rack == w.Rack
}

func (s seat) before(o seat) bool {
	switch {
	case s.near != o.near:
		return s.near
	case s.locality != o.locality:
		return s.locality > o.locality
	case s.siblings != o.siblings:
		return s.siblings > o.siblings
	}
	return s.busyness < o.busyness
}

// siblings counts tasks of the same job and step that a worker has.
func (d *Dispatch) siblings(job ledger.Job, at Ref, worker string) int {
	count := d.together[step{at.Job, job.Tasks[at.Task].Level}][worker]
	if d.where[at].worker == worker {
		count--
	}
	return count
}

func (d *Dispatch) busyness(l *ledger.Ledger, w ledger.Worker) float64 {
	slots := d.slots[w.ID()] + w.Capacity.Slots - l.Room(w.ID()).Slots
	return float64(slots) / math.Max(1, float64(w.Capacity.Slots))
}

// Locality is |H ∩ D| / |D|: of what the task depends on, the part that the
// worker has completed. Without dependencies it is 0 for every worker.
func (d *Dispatch) Locality(job ledger.Job, at Ref, worker string) float64 {
	needs := job.Spec.Tasks[at.Task].Needs
	if len(needs) == 0 {
		return 0
	}
	key := input{at.Job, needs[0], len(needs)}
	held, known := d.inputs[key]
	if !known {
		held = map[string]int{}
		all := true
		for _, i := range needs {
			if all = all && job.Tasks[i].State == ledger.Done; job.Tasks[i].State == ledger.Done {
				held[job.Tasks[i].Holder]++
			}
		}
		if consecutive := needs[len(needs)-1]-needs[0] == len(needs)-1; all && consecutive {
			d.inputs[key] = held
		}
	}
	return float64(held[worker]) / float64(len(needs))
}

func (d *Dispatch) sorted(l *ledger.Ledger, set map[Ref]bool) []Ref {
	out := make([]Ref, 0, len(set))
	for at := range set {
		out = append(out, at)
	}
	sort.Slice(out, func(i, j int) bool { return number(l, out[i]) < number(l, out[j]) })
	return out
}

func number(l *ledger.Ledger, at Ref) uint64 {
	if job, ok := l.Job(at.Job); ok {
		return job.Tasks[at.Task].Number
	}
	return math.MaxUint64
}

// Inboxes counts, per worker, what waits in its inbox.
func (d *Dispatch) Inboxes() map[string]int {
	out := map[string]int{}
	for _, p := range d.place {
		out[p.worker]++
	}
	return out
}

// Unplaced gives the tasks that no present worker could take.
func (d *Dispatch) Unplaced(l *ledger.Ledger) []Ref { return d.sorted(l, d.unplaced) }
