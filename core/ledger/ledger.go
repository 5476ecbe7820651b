// Package ledger is the trusted core: one pure and deterministic state machine
// of jobs, tasks, turns, workers, sites, duties and the plan. Every promise is
// checked here, in the one conditional write that makes a change; whoever asks
// for a change may be slow, stale or wrong, and is then bounced. The same code
// runs on the primary, the backup, the third keeper and every follower.
package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
)

type ref struct {
	job  string
	task int
}

type need struct {
	service, class, labels string
	room                   Room
	gang                   int
}

// Changed names a task or a worker that the last commands touched.
type Changed struct {
	Job    string
	Task   int
	Worker string
	All    bool
}

type Ledger struct {
	position Position
	at       time.Duration
	next     uint64
	plan     plan.Plan
	rules    plan.Rules
	jobs     map[string]Job
	workers  map[string]Worker
	emptied  map[string]bool
	// orders gives the sequence of the last order to each site.
	orders   map[string]uint64
	duties   map[string]Duty
	daemons  map[string]Daemon
	requests memory[Request]
	plans    memory[Request]
	past     memory[Past]
	horizon  time.Duration

	turns   map[string]map[ref]bool
	loads   map[string]load
	inbox   map[[2]string]int
	waiting map[need]int
	active  map[string]bool
	over    []string
	timed   map[ref]bool
	cloned  map[string]bool
	changes []Changed
	lookups lookups

	decision uint64
	decided  []Decision
	entries  []Entry
}

// load sums the turns of a worker: their room, that of the turns that its report
// did not count yet, and that of those being stopped.
type load struct {
	used, unheard, stopping Room
	stops, fresh            int
	classes                 map[string]int
}

func (o load) with(job Job, i, by int) load {
	t, room := job.Tasks[i].Turn, job.Spec.Tasks[i].Room
	add := Room.Add
	if by < 0 {
		add = Room.Less
	}
	o.used = add(o.used, room)
	if t.StartedAt == 0 || t.OrphanUntil > 0 {
		o.unheard = add(o.unheard, room)
	}
	if t.Stop != "" {
		o.stopping, o.stops = add(o.stopping, room), o.stops+by
	} else if t.StartedAt == 0 {
		o.fresh += by
	}
	if o.classes == nil {
		o.classes = map[string]int{}
	}
	o.classes[job.Spec.Class] += by * room.Slots
	return o
}

// lookups keeps what several questions at one position have in common.
type lookups struct {
	at       Position
	busyness map[string]Busyness
	meetable map[need]bool
	workers  []Worker
}

func (l *Ledger) cached() lookups {
	if l.lookups.at != l.position || l.lookups.busyness == nil {
		l.lookups = lookups{l.position, map[string]Busyness{}, map[need]bool{}, nil}
	}
	return l.lookups
}

func New() *Ledger {
	l := &Ledger{plan: plan.Default(), next: 1}
	l.rules = l.plan.Compile()
	l.jobs, l.workers, l.emptied = map[string]Job{}, map[string]Worker{}, map[string]bool{}
	l.duties, l.daemons = map[string]Duty{}, map[string]Daemon{}
	l.requests.byKey, l.plans.byKey, l.past.byKey = map[string]Request{}, map[string]Request{}, map[string]Past{}
	l.orders = map[string]uint64{}
	l.cloned = map[string]bool{}
	l.index()
	return l
}

// index rebuilds what is derived from the records.
func (l *Ledger) index() {
	l.turns, l.inbox, l.loads = map[string]map[ref]bool{}, map[[2]string]int{}, map[string]load{}
	l.waiting, l.active, l.timed = map[need]int{}, map[string]bool{}, map[ref]bool{}
	l.over = nil
	l.requests.sort(func(r Request) time.Duration { return r.At })
	l.plans.sort(func(r Request) time.Duration { return r.At })
	l.past.sort(func(p Past) time.Duration { return p.EndedAt })
	for id, job := range l.jobs {
		if !ended(job) {
			l.active[id] = true
		} else {
			l.over = append(l.over, id)
		}
		for i := range job.Tasks {
			l.count(job, i, 1)
		}
	}
	slices.SortFunc(l.over, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.jobs[a].EndedAt, l.jobs[b].EndedAt), cmp.Compare(a, b))
	})
	l.changes = append(l.changes, Changed{All: true})
}

func ended(job Job) bool {
	return job.State == Done || job.State == Failed || job.State == Cancelled
}

func (l *Ledger) count(job Job, i, by int) {
	t := job.Tasks[i]
	class := [2]string{job.Spec.Service, job.Spec.Class}
	if !t.Closed() {
		l.inbox[class] += by
	}
	at := ref{job.Spec.ID, i}
	if t.State == Waiting && t.DueAt > 0 && by > 0 {
		l.timed[at] = true
	} else {
		delete(l.timed, at)
	}
	if t.Turn.Held() {
		if l.turns[t.Turn.Worker] == nil {
			l.turns[t.Turn.Worker] = map[ref]bool{}
		}
		if by > 0 {
			l.turns[t.Turn.Worker][at] = true
		} else {
			delete(l.turns[t.Turn.Worker], at)
		}
		l.loads[t.Turn.Worker] = l.loads[t.Turn.Worker].with(job, i, by)
	} else if t.State == Open {
		n := l.needOf(job, i)
		if l.waiting[n] += by; l.waiting[n] == 0 {
			delete(l.waiting, n)
		}
	}
}

func (l *Ledger) needOf(job Job, i int) need {
	spec := job.Spec.Tasks[i]
	n := need{job.Spec.Service, job.Spec.Class, strings.Join(spec.Labels, ","), spec.Room, 0}
	if spec.Gang != "" && len(job.Spec.Steps) > 0 {
		n.gang = job.Spec.Steps[spec.Step].Count * spec.Room.Slots
	} else if spec.Gang != "" {
		for _, other := range job.Spec.Tasks {
			if other.Gang == spec.Gang {
				n.gang += other.Room.Slots
			}
		}
	}
	return n
}

// setTask is the only way a task changes; it keeps the counts right. The job's
// task slice is copied once for a command, so that copies handed out before stay
// as they were.
func (l *Ledger) setTask(at ref, t Task) {
	l.lookups = lookups{}
	job := l.jobs[at.job]
	l.count(job, at.task, -1)
	if !l.cloned[at.job] {
		job.Tasks, l.cloned[at.job] = slices.Clone(job.Tasks), true
	}
	job.Tasks[at.task] = t
	l.jobs[at.job] = job
	l.count(job, at.task, 1)
	l.changes = append(l.changes, Changed{Job: at.job, Task: at.task})
}

func (l *Ledger) Position() Position { return l.position }
func (l *Ledger) At() time.Duration  { return l.at }
func (l *Ledger) Plan() plan.Plan    { return l.plan }
func (l *Ledger) Rules() plan.Rules  { return l.rules }

// TakeChanges hands over what changed since it was last called.
func (l *Ledger) TakeChanges() []Changed {
	out := l.changes
	l.changes = nil
	return out
}

// Apply makes one change, or bounces it leaving everything as it was. It never
// looks at a clock: cmd.At is ledger time, and never runs backwards.
func (l *Ledger) Apply(cmd Command) Answer {
	l.position = cmd.Position
	l.cloned = map[string]bool{}
	defer func() {
		l.lookups = lookups{}
		l.enter()
	}()
	l.at = max(l.at, cmd.At)
	switch cmd.Kind {
	case KindAccept:
		return l.accept(cmd)
	case KindCancel:
		return l.cancel(cmd)
	case KindBeat:
		return l.beat(cmd.Beat)
	case KindGrant:
		return l.grant(cmd.Grant)
	case KindPushOut:
		return l.pushOut(cmd.Grant)
	case KindPlan:
		return l.once(cmd, func() Answer { return l.change(cmd.Plan) })
	case KindSite:
		return l.once(cmd, func() Answer { return l.site(cmd) })
	case KindDrain:
		return l.once(cmd, func() Answer { return l.drain(cmd.Name, cmd.On) })
	case KindGone:
		return l.once(cmd, func() Answer { return l.gone(cmd.Name) })
	case KindHello:
		return l.hello(cmd.Hello)
	case KindMove:
		return l.once(cmd, func() Answer { return l.move(cmd.Name, cmd.Hello.For) })
	case KindTick:
		return l.tick()
	case KindTake:
		return l.take(cmd.Name, cmd.Hello)
	}
	return bounce(code.Malformed, "unknown command %q", cmd.Kind)
}

// resolve finds the class of a job that names host and path.
func (l *Ledger) resolve(host, path string) (plan.Entry, Answer) {
	if l.plan.Sequence == 0 {
		a := bounce(code.NoPlan, "there is no plan yet")
		a.RetryAfter = time.Second
		return plan.Entry{}, a
	}
	e, ok := l.plan.Find(host, path)
	if !ok {
		return e, bounce(code.NoEntry, "the plan has no entry for %s%s", host, path)
	}
	return e, Answer{Code: code.OK}
}

func (l *Ledger) brief(cmd Command, c code.Code, job Job) Answer {
	if cmd.Brief {
		job = job.Brief()
	}
	return Answer{Code: c, Job: job}
}

func (l *Ledger) accept(cmd Command) Answer {
	spec := cmd.Accept
	if spec.Host != "" {
		e, a := l.entryOf(spec)
		if !a.Code.Good() {
			return a
		}
		spec.Service, spec.Class = e.Service, e.Class
	}
	sum := digest(Normal(spec))
	if old, ok := l.jobs[spec.ID]; ok {
		if old.Digest != sum {
			return bounce(code.OtherContent, "job %s was accepted before with other content", spec.ID)
		}
		return l.brief(cmd, code.Same, old)
	}
	if old, ok := l.past.byKey[spec.ID]; ok {
		if old.Digest != sum {
			return bounce(code.OtherContent, "job %s was accepted before with other content", spec.ID)
		}
		job, _ := l.Past(spec.ID)
		return Answer{Code: code.Same, Job: job}
	}
	spec = l.filled(Normal(spec))
	if a := l.Check(spec); !a.Code.Good() {
		return a
	}
	spec.Tasks = placed(spec)
	job := Job{Spec: spec, Digest: sum, First: l.next, State: Waiting, AcceptedAt: l.at}
	job.Tasks = fresh(job)
	for i, t := range spec.Tasks {
		if spec.Repeat.Count > 0 {
			due := spec.Repeat.FirstAt.Add(time.Duration(t.Time) * spec.Repeat.Every.Duration)
			job.Tasks[i].DueAt = max(1, l.at+due.Sub(cmd.Wall))
		}
	}
	l.next += uint64(len(spec.Tasks))
	l.jobs[spec.ID], l.active[spec.ID] = job, true
	l.decide(Decision{Kind: "accept", Job: spec.ID, Digest: job.Digest})
	for i := range job.Tasks {
		l.count(job, i, 1)
	}
	l.release(spec.ID)
	return l.brief(cmd, code.OK, l.jobs[spec.ID])
}

// entryOf gives service and class of a job by its entry. One that was accepted
// before keeps its own, also once its entry leads elsewhere: it is the same job.
func (l *Ledger) entryOf(spec JobSpec) (plan.Entry, Answer) {
	e, a := l.resolve(spec.Host, spec.Path)
	if old, ok := l.jobs[spec.ID]; ok {
		e.Service, e.Class = old.Spec.Service, old.Spec.Class
	} else if old, ok := l.past.byKey[spec.ID]; ok {
		e.Service, e.Class = old.Service, old.Class
	}
	return e, a
}

// filled takes what the class says where steps say nothing.
func (l *Ledger) filled(spec JobSpec) JobSpec {
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		if spec.Steps[i].AllowedDefects == 0 {
			spec.Steps[i].AllowedDefects = cmp.Or(l.plan.Services[spec.Service].Classes[spec.Class].AllowedDefects, 3)
		}
	}
	return spec
}

// fresh is how the tasks of a job begin.
func fresh(job Job) []Task {
	levels := levelsOf(job.Spec)
	out := make([]Task, len(job.Spec.Tasks))
	for i := range out {
		out[i] = Task{Number: job.First + uint64(i), State: Waiting, Level: levels[i]}
	}
	return out
}

// release opens every task whose time has come and whose dependencies are all
// done, and ends the job once nothing of it is open or runs.
func (l *Ledger) release(id string) {
	job := l.jobs[id]
	type answer struct{ known, ready bool }
	steps := map[*int]answer{}
	for i, spec := range job.Spec.Tasks {
		t := job.Tasks[i]
		if t.State != Waiting || job.Ending != "" || t.DueAt > l.at {
			continue
		}
		ready := true
		if len(spec.Needs) > 0 {
			known := steps[&spec.Needs[0]]
			if !known.known {
				known = answer{true, !slices.ContainsFunc(spec.Needs, func(j int) bool { return job.Tasks[j].State != Done })}
				steps[&spec.Needs[0]] = known
			}
			ready = known.ready
		}
		if ready {
			t.State, t.ReleasedAt = Open, l.at
			l.setTask(ref{id, i}, t)
		}
	}
	l.settle(id)
}

func (l *Ledger) settle(id string) {
	job := l.jobs[id]
	if ended(job) {
		return
	}
	state := Done
	for _, t := range job.Tasks {
		if !t.Closed() || t.Turn.Held() {
			state = Waiting
			for _, other := range job.Tasks {
				if other.Turn.StartedAt > 0 || other.State == Done {
					state = Running
				}
			}
			break
		}
		if t.State != Done {
			state = job.Ending
		}
	}
	if state != job.State {
		job.State = state
		if ended(job) {
			l.decide(Decision{Kind: "over", Job: id, Good: state == Done})
			job.EndedAt = l.at
			delete(l.active, id)
			l.over = append(l.over, id)
		}
		l.jobs[id] = job
		l.changes = append(l.changes, Changed{Job: id, Task: -1})
	}
}

// finish closes what is left of a job that failed or was cancelled.
func (l *Ledger) finish(id, ending, why string) {
	job := l.jobs[id]
	if job.Ending != "" || ended(job) {
		return
	}
	job.Ending, job.Why = ending, why
	l.jobs[id] = job
	for i, t := range job.Tasks {
		if t.Closed() {
			continue
		}
		t.State, t.EndedAt, t.Why = Cancelled, l.at, why
		if t.Turn.Held() && t.Turn.Stop == "" {
			t.Turn.Stop = why
		}
		l.setTask(ref{id, i}, t)
	}
	l.settle(id)
}

func (l *Ledger) cancel(cmd Command) Answer {
	id := cmd.Name
	if cmd.Host != "" {
		if _, a := l.resolve(cmd.Host, cmd.Path); !a.Code.Good() {
			return a
		}
	}
	if past, ok := l.Past(id); ok {
		return Answer{Code: code.Same, Job: past}
	}
	job, ok := l.jobs[id]
	if !ok {
		return l.Unknown(id)
	}
	if ended(job) || job.Ending != "" {
		return l.brief(cmd, code.Same, job)
	}
	l.decide(Decision{Kind: "cancel", Job: id})
	l.finish(id, Cancelled, "cancelled by the caller")
	return l.brief(cmd, code.OK, l.jobs[id])
}

func (l *Ledger) change(c PlanChange) Answer {
	if !c.Forced && c.Base != l.plan.Sequence {
		a := bounce(code.StalePlan, "the plan is at sequence %d, not %d", l.plan.Sequence, c.Base)
		a.Sequence = l.plan.Sequence
		return a
	}
	var next plan.Plan
	var faults []plan.Fault
	if c.Patch {
		next, faults = plan.Merge(l.plan, c.Body)
	} else {
		next, faults = plan.Parse(c.Body)
	}
	if len(faults) > 0 {
		a := bounce(faults[0].Code, "%s: %s", faults[0].Place, faults[0].Why)
		a.Faults, a.Sequence = faults, l.plan.Sequence
		return a
	}
	next.Sequence = l.plan.Sequence + 1
	if c.Sequence > 0 {
		if c.Sequence <= l.plan.Sequence {
			return bounce(code.BadPlan, "/sequence: %d is not above %d", c.Sequence, l.plan.Sequence)
		}
		next.Sequence = c.Sequence
	}
	// Where tasks may go does not hang on the entries, nor on what classes come and go.
	same := reflect.DeepEqual(l.plan.Policies, next.Policies) && l.plan.Limits == next.Limits && kept(l.plan, next)
	l.plan, l.rules = next, next.Compile()
	l.decide(Decision{Kind: "plan", Plan: next.Sequence, Digest: digest(next)})
	if !same {
		l.changes = append(l.changes, Changed{All: true})
	}
	return Answer{Code: code.OK, Sequence: next.Sequence}
}

// kept says whether every class of a plan stands in the next as it was.
func kept(old, next plan.Plan) bool {
	for name, service := range old.Services {
		for class, was := range service.Classes {
			if now, ok := next.Services[name].Classes[class]; !ok || now.Priority != was.Priority || now.Quick != was.Quick {
				return false
			}
		}
	}
	return len(old.Services) > 0
}

// site empties a site or takes that back, unless a later order says otherwise.
func (l *Ledger) site(cmd Command) Answer {
	name, on := cmd.Name, cmd.On
	if known := l.sites(); !slices.Contains(known, name) {
		if l.plan.Sequence == 0 {
			a := bounce(code.NoPlan, "there is no plan yet, and nobody has been heard of in site %q", name)
			a.RetryAfter = time.Second
			return a
		}
		return unknown("site", name, known)
	}
	if cmd.MaxAge > 0 && l.at-cmd.Asked > cmd.MaxAge {
		return bounce(code.TooLate, "asked %s ago; an order older than %s is not carried out", l.at-cmd.Asked, cmd.MaxAge)
	}
	if cmd.MaxAge > 0 && l.orders[name] > cmd.Proven {
		if l.emptied[name] != on {
			return bounce(code.TooLate, "a later order was carried out for site %q", name)
		}
		return Answer{Code: code.Same}
	}
	l.orders[name] = l.position.Sequence
	l.emptied[name] = on
	if !on {
		delete(l.emptied, name)
	}
	l.decide(Decision{Kind: map[bool]string{true: "empty", false: "refill"}[on], Name: name})
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[id]; on && w.Site == name {
			l.stopAll(id, "the site is emptied")
		}
	}
	l.changes = append(l.changes, Changed{All: true})
	return Answer{Code: code.OK}
}

// sites are those that the ledger has heard of, by a worker or a scheduler, and
// those that are emptied.
func (l *Ledger) sites() []string {
	set := maps.Clone(l.emptied)
	for _, name := range l.plan.Sites {
		set[name] = true
	}
	for _, w := range l.workers {
		set[w.Site] = true
	}
	for _, d := range l.daemons {
		set[d.Site] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// unknown is the answer to a name that does not exist; it gives those that do.
func unknown(what, name string, known []string) Answer {
	text := strings.Join(known[:min(20, len(known))], ", ")
	if len(known) > 20 {
		text += fmt.Sprintf(" and %d more", len(known)-20)
	}
	return bounce(code.UnknownName, "no %s %q; known are: %s", what, name, text)
}

func (l *Ledger) drain(name string, on bool) Answer {
	w, ok := l.workers[name]
	if !ok {
		return unknown("worker", name, slices.Sorted(maps.Keys(l.workers)))
	}
	w.Drained = on
	l.decide(Decision{Kind: map[bool]string{true: "drain", false: "undrain"}[on], Worker: name})
	l.workers[name] = w
	l.changes = append(l.changes, Changed{Worker: name})
	return Answer{Code: code.OK}
}

// gone takes an operator's word that a silent worker will not come back: what is
// held for it waits only until its attempts must have ended.
func (l *Ledger) gone(name string) Answer {
	w, ok := l.workers[name]
	switch {
	case !ok:
		return unknown("worker", name, slices.Sorted(maps.Keys(l.workers)))
	case l.Live(w):
		return bounce(code.WorkerHeard, "worker %s was heard %s ago", name, l.at-w.SeenAt)
	case w.Gone:
		return Answer{Code: code.Same}
	}
	w.Gone = true
	l.decide(Decision{Kind: "gone", Worker: name})
	l.workers[name] = w
	l.changes = append(l.changes, Changed{Worker: name})
	return Answer{Code: code.OK}
}

// stopAll sends back what a worker has not started yet; what runs may end.
func (l *Ledger) stopAll(worker, why string) {
	for _, at := range l.turnsOn(worker) {
		t := l.jobs[at.job].Tasks[at.task]
		if t.Turn.StartedAt == 0 && t.Turn.Stop == "" {
			t.Turn.Stop = why
			l.setTask(at, t)
		}
	}
}

func (l *Ledger) turnsOn(worker string) []ref {
	out := make([]ref, 0, len(l.turns[worker]))
	for at := range l.turns[worker] {
		out = append(out, at)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return l.jobs[a.job].Tasks[a.task].Number < l.jobs[b.job].Tasks[b.task].Number
	})
	return out
}

// liveFor is how long a daemon counts among those whose majority decides.
const liveFor = 4 * time.Second

// hello keeps a scheduler known and moves duties: the holder may name its
// successor; when it is silent, a majority of the schedulers that are alive do.
func (l *Ledger) hello(h Hello) Answer {
	if h.Leaving {
		delete(l.daemons, h.Daemon)
	} else {
		l.daemons[h.Daemon] = Daemon{ID: h.Daemon, Site: h.Site, SeenAt: l.at}
	}
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		if d := l.duties[name]; d.Holder == h.Daemon && !h.Leaving {
			d.SeenAt = l.at
			l.duties[name] = d
		}
	}
	if h.Want == "" {
		return Answer{Code: code.OK}
	}
	d := l.duties[h.Want]
	silent := d.Holder == "" || l.at-d.SeenAt > l.plan.Limits.Silent.Duration/2
	passed := h.Pass && d.Holder == h.Daemon
	if h.Epoch != d.Epoch || !silent && !passed {
		return bounce(code.StaleEpoch, "duty %s is held by %s at epoch %d", h.Want, d.Holder, d.Epoch)
	}
	if _, ok := l.daemons[h.For]; !ok {
		return bounce(code.UnknownName, "no scheduler %s has said hello", h.For)
	}
	votes := map[string]string{h.Daemon: h.For}
	for voter, to := range d.Votes {
		if voter != h.Daemon {
			votes[voter] = to
		}
	}
	d.Name, d.Votes = h.Want, votes
	if alive := l.Daemons(liveFor); passed || l.majority(votes, h.For, alive) {
		l.decide(Decision{Kind: "duty", Name: h.Want, Worker: h.For})
		d = Duty{Name: h.Want, Holder: h.For, Epoch: d.Epoch + 1, SeenAt: l.at}
		l.changes = append(l.changes, Changed{All: true})
	}
	l.duties[h.Want] = d
	return Answer{Code: code.OK}
}

// move hands a duty over because an operator asks for it.
func (l *Ledger) move(name, to string) Answer {
	d, known := l.duties[name]
	if !known {
		return unknown("duty", name, slices.Sorted(maps.Keys(l.duties)))
	}
	if _, ok := l.daemons[to]; !ok {
		return unknown("scheduler", to, slices.Sorted(maps.Keys(l.daemons)))
	}
	if d.Holder == to {
		return Answer{Code: code.Same}
	}
	l.decide(Decision{Kind: "duty", Name: name, Worker: to})
	l.duties[name] = Duty{Name: name, Holder: to, Epoch: d.Epoch + 1, SeenAt: l.at}
	l.changes = append(l.changes, Changed{All: true})
	return Answer{Code: code.OK}
}

// take gives a duty to the primary's own dispatcher, which needs no vote: whoever
// leads the ledger is fenced by its epoch already.
func (l *Ledger) take(name string, h Hello) Answer {
	l.daemons[h.Daemon] = Daemon{ID: h.Daemon, Site: h.Site, SeenAt: l.at}
	l.decide(Decision{Kind: "duty", Name: name, Worker: h.Daemon})
	l.duties[name] = Duty{Name: name, Holder: h.Daemon, Epoch: l.duties[name].Epoch + 1, SeenAt: l.at}
	return Answer{Code: code.OK}
}

func (l *Ledger) majority(votes map[string]string, to string, alive []Daemon) bool {
	count := 0
	for _, d := range alive {
		if votes[d.ID] == to {
			count++
		}
	}
	return count > len(alive)/2
}

type meta struct {
	Position Position      `json:"position"`
	At       time.Duration `json:"at"`
	Next     uint64        `json:"next"`
	Horizon  time.Duration `json:"horizon,omitempty"`
	Decision uint64        `json:"decision,omitempty"`
	// Orders gives the sequence of the last order to each site.
	Orders map[string]uint64 `json:"orders,omitempty"`
}

// ForgetEntries is for a copy whose decisions nobody audits.
func (l *Ledger) ForgetEntries() { l.entries = nil }

// Records is the whole ledger, encoded.
func (l *Ledger) Records() []machine.Record { return slices.Collect(l.Capture().Records()) }
