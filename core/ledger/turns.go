// Turns: how a task is granted, confirmed, renewed, stopped and given back. A
// turn leaves its worker only when the worker says that it does not run it, or
// when the attempt must have ended: its run limit, the last cutoff that the
// worker can have been told, and a margin have passed. Even then a task that may
// have ended well is held for a word, unless its class or itself says restart. A
// good end counts from any attempt.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/plan"
)

const (
	gangStop = "the gang is not whole"
	limit    = "the run limit passed"
)

func (l *Ledger) find(a Attempt) (ref, Task, bool) {
	job, ok := l.jobs[a.Job]
	if !ok {
		return ref{}, Task{}, false
	}
	i := slices.IndexFunc(job.Spec.Tasks, func(t TaskSpec) bool { return t.ID == a.Task })
	if i < 0 {
		return ref{}, Task{}, false
	}
	return ref{a.Job, i}, job.Tasks[i], true
}

func (l *Ledger) attempt(at ref) Attempt {
	job := l.jobs[at.job]
	return Attempt{at.job, job.Spec.Tasks[at.task].ID, job.Tasks[at.task].Turn.Try}
}

func holds(t Turn, b Beat) bool { return t.Worker == b.Worker && t.Incarnation == b.Incarnation }

// beat takes a worker's report. The worker is believed about itself only.
func (l *Ledger) beat(b Beat) Answer {
	old, known := l.workers[b.Worker]
	if b.Worker == "" || b.Incarnation <= 0 || b.Number == 0 || b.Free.Slots < 0 {
		return bounce(code.Malformed, "a beat needs worker, incarnation, number and free room")
	}
	if known && (b.Incarnation < old.Incarnation || b.Incarnation == old.Incarnation && b.Number < old.Number) {
		a := bounce(code.StaleBeat, "beat %d/%d came after %d/%d", b.Incarnation, b.Number, old.Incarnation, old.Number)
		a.Orders.Incarnation, a.Orders.Number = old.Incarnation, old.Number
		return a
	}
	if known && b.Incarnation != old.Incarnation {
		for _, at := range l.turnsOn(b.Worker) {
			t := l.jobs[at.job].Tasks[at.task]
			if t.Turn.OrphanUntil == 0 {
				t.Turn.OrphanUntil = l.endedBy(t.Turn)
				l.setTask(at, t)
			}
		}
	}
	progress := b.Progress
	b.Progress = nil
	if !known && b.Address != "" {
		l.succeed(b)
	}
	w := Worker{Beat: b, Drained: old.Drained, SeenAt: l.at, CutoffAt: max(old.CutoffAt, l.at+l.plan.Limits.Lease.Duration)}
	w.Capacity = b.Free
	answer := Answer{Code: code.OK}
	answer.Orders.Lease = l.plan.Limits.Lease.Duration
	touched := map[string]bool{}
	for _, end := range b.Ended {
		answer.Orders.Acks = append(answer.Orders.Acks, end.Attempt)
		if at, t, ok := l.find(end.Attempt); ok && end.Try > 0 && end.Try <= t.Tries {
			l.end(at, t, end, b)
			touched[at.job] = true
		}
	}
	for _, p := range progress {
		if at, t, ok := l.find(p.Attempt); ok && holds(t.Turn, b) && t.Turn.Try == p.Try && l.jobs[at.job].Spec.Tasks[at.task].Progress {
			t.Saved, t.Percent = p.Saved, p.Percent
			l.setTask(at, t)
		}
	}
	listed := map[Attempt]bool{}
	for _, a := range b.Running {
		listed[a] = true
		at, t, ok := l.find(a)
		mine := ok && holds(t.Turn, b) && t.Turn.Try == a.Try
		if ok && !mine && l.adoptable(at, t, a, b) {
			l.decide(Decision{Kind: "adopt", Job: a.Job, Task: a.Task, Try: a.Try, Worker: b.Worker})
			t.Turn = Turn{Try: a.Try, Worker: b.Worker, Incarnation: b.Incarnation, Beat: b.Number, GrantedAt: l.at, StartedAt: l.at, Limit: l.runLimit(at)}
			l.setTask(at, t)
			mine = true
		}
		if ok {
			w.Capacity = w.Capacity.Add(l.jobs[a.Job].Spec.Tasks[at.task].Room)
		}
		if mine && t.Turn.StartedAt == 0 {
			t.Turn.StartedAt = l.at
			l.setTask(at, t)
			touched[at.job] = true
		}
		if ok && !mine {
			w.Stray = w.Stray.Add(l.jobs[a.Job].Spec.Tasks[at.task].Room)
		}
		if !mine || t.Turn.Stop != "" {
			answer.Orders.Stops = append(answer.Orders.Stops, a)
		}
	}
	if b.Total != (Room{}) {
		w.Capacity = b.Total
	}
	for _, at := range l.turnsOn(b.Worker) {
		t := l.jobs[at.job].Tasks[at.task]
		if !holds(t.Turn, b) || listed[l.attempt(at)] {
			continue
		}
		if t.Turn.StartedAt > 0 || b.Number >= t.Turn.Beat+2 {
			l.giveBack(at, t.Turn.StartedAt > 0 && t.Turn.Stop == "", "the worker does not run it")
			touched[at.job] = true
		} else if t.Turn.Stop == "" {
			answer.Orders.Starts = append(answer.Orders.Starts, l.start(at))
		}
	}
	l.workers[b.Worker] = w
	l.changes = append(l.changes, Changed{Worker: b.Worker})
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		l.release(id)
	}
	return answer
}

// succeed takes a newcomer's address as the proof that the worker there before is
// gone, with all that it ran.
func (l *Ledger) succeed(b Beat) {
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if id == b.Worker || l.workers[id].Address != b.Address {
			continue
		}
		for _, at := range l.turnsOn(id) {
			l.giveBack(at, l.jobs[at.job].Tasks[at.task].Turn.StartedAt > 0, "its worker was replaced")
			l.release(at.job)
		}
		delete(l.workers, id)
		l.decide(Decision{Kind: "gone", Worker: id})
		l.changes = append(l.changes, Changed{Worker: id})
	}
}

// adoptable says whether an attempt that runs on after its turn was given back
// may simply have its turn again: safer than a stop, which may come too late.
func (l *Ledger) adoptable(at ref, t Task, a Attempt, b Beat) bool {
	spec := l.jobs[at.job].Spec
	return t.State == Open && !t.Turn.Held() && a.Try > 0 && a.Try <= t.Tries &&
		spec.Service == b.Service && spec.Tasks[at.task].Gang == ""
}

func (l *Ledger) start(at ref) Start {
	job := l.jobs[at.job]
	spec := job.Spec.Tasks[at.task]
	t := job.Tasks[at.task]
	payload := spec.Payload
	if payload == nil {
		payload = job.Spec.Payload
	}
	s := Start{Attempt: l.attempt(at), Saved: t.Saved, Service: job.Spec.Service, Class: job.Spec.Class, Room: spec.Room, Gang: spec.Gang, RunLimit: plan.Span{Duration: t.Turn.Limit}, Payload: payload}
	if len(job.Spec.Steps) == 0 {
		for _, i := range spec.Needs {
			s.Holders = append(s.Holders, job.Tasks[i].Holder)
		}
	}
	return s
}

// end takes one reported end. A good one closes the task whichever attempt it
// was; a bad one counts once, and only for the turn that is in force.
func (l *Ledger) end(at ref, t Task, end End, b Beat) {
	current := t.Turn.Held() && t.Turn.Worker == b.Worker && t.Turn.Try == end.Try
	spec := l.jobs[at.job].Spec.Tasks[at.task]
	if current && spec.Progress && end.Saved != "" {
		t.Saved, t.Percent = end.Saved, end.Percent
		l.setTask(at, t)
	}
	if spec.Lasting {
		if current {
			l.giveBack(at, false, "ended")
		}
		return
	}
	if end.Good && t.State != Done {
		l.decide(Decision{Kind: "end", Job: end.Job, Task: end.Task, Try: end.Try, Worker: b.Worker, Good: true})
		l.done(at, b.Worker, current)
		for i, other := range l.jobs[at.job].Tasks {
			// A gang ends as one: a good end of one member stands for them all.
			if spec.Gang != "" && i != at.task && l.jobs[at.job].Spec.Tasks[i].Gang == spec.Gang && other.State != Done {
				l.done(ref{at.job, i}, other.Turn.Worker, false)
			}
		}
		return
	}
	if !current {
		return
	}
	if end.Good || end.Lost || end.Stopped && t.Turn.Stop != limit {
		l.giveBack(at, t.Turn.Stop == "" && !end.Lost && !end.Good, "stopped")
		return
	}
	if t.Turn.Stop != "" && t.Turn.Stop != limit && !l.plan.Limits.EndsAtCutoff {
		l.giveBack(at, false, t.Turn.Stop)
		return
	}
	l.decide(Decision{Kind: "end", Job: end.Job, Task: end.Task, Try: end.Try, Worker: b.Worker})
	t = l.defect(at, t)
	t.FailedOn = failedOn(t.FailedOn, t.Turn.Worker)
	t.Turn = Turn{}
	t.Why = end.Why
	if t.Why == "" {
		t.Why = limit
	}
	l.close(at, t, t.Defects >= spec.AllowedDefects)
}

// done closes a task that ended well. A turn that is not the one that did is left
// to end by itself, or told to if it is another attempt of the same task.
func (l *Ledger) done(at ref, holder string, current bool) {
	t := l.jobs[at.job].Tasks[at.task]
	gang := l.jobs[at.job].Spec.Tasks[at.task].Gang
	t.State, t.EndedAt, t.Holder = Done, l.at, holder
	if current {
		t.Turn = Turn{}
	} else if t.Turn.Held() && t.Turn.Stop == "" && gang == "" {
		t.Turn.Stop = "another attempt ended well"
	}
	l.setTask(at, t)
}

// defect counts a bad end. One of a gang's run counts for every member, once.
func (l *Ledger) defect(at ref, t Task) Task {
	gang, try := l.jobs[at.job].Spec.Tasks[at.task].Gang, t.Turn.Try
	if gang == "" || t.DefectTry != try {
		t.Defects, t.DefectTry = t.Defects+1, try
	}
	for i, other := range l.jobs[at.job].Tasks {
		if gang != "" && i != at.task && l.jobs[at.job].Spec.Tasks[i].Gang == gang && other.DefectTry != try && !other.Closed() {
			other.Defects, other.DefectTry = other.Defects+1, try
			l.setTask(ref{at.job, i}, other)
		}
	}
	return t
}

// failedOn adds a worker to those that a task has failed on.
func failedOn(workers []string, worker string) []string {
	if slices.Contains(workers, worker) {
		return workers
	}
	return append(slices.Clone(workers), worker)
}

// giveBack returns a turn without a defect; a loss is counted if the worker had
// started it and nobody had asked for the stop.
func (l *Ledger) giveBack(at ref, lost bool, why string) {
	t := l.jobs[at.job].Tasks[at.task]
	if t.Turn.Stop == limit {
		t = l.defect(at, t)
		t.FailedOn = failedOn(t.FailedOn, t.Turn.Worker)
		why = limit
	}
	l.decide(Decision{Kind: "back", Job: at.job, Task: l.jobs[at.job].Spec.Tasks[at.task].ID, Try: t.Turn.Try, Worker: t.Turn.Worker})
	if lost {
		t.Losses++
	}
	t.Turn, t.Why = Turn{}, why
	spent := t.Losses > l.plan.Limits.MaxLosses || t.Defects >= l.jobs[at.job].Spec.Tasks[at.task].AllowedDefects
	l.close(at, t, spent)
}

// close stores a task whose turn is over: open again, or failed for good. The
// rest of its gang goes back with it.
func (l *Ledger) close(at ref, t Task, spent bool) {
	if t.State == Open {
		t.ReleasedAt = l.at
	}
	if spent && !t.Closed() {
		t.State, t.EndedAt = Failed, l.at
	}
	l.setTask(at, t)
	spec := l.jobs[at.job].Spec.Tasks[at.task]
	for i, other := range l.jobs[at.job].Tasks {
		if spec.Gang != "" && i != at.task && l.jobs[at.job].Spec.Tasks[i].Gang == spec.Gang && other.Turn.Held() && other.Turn.Stop == "" {
			other.Turn.Stop = gangStop
			l.setTask(ref{at.job, i}, other)
		}
	}
	if t.State == Failed {
		l.finish(at.job, Failed, "task "+spec.ID+" failed: "+t.Why)
	}
	l.settle(at.job)
}

// Room is what a worker has left: what it reported free, less every turn that
// it had not yet listed when it did, less what may still run of an earlier
// incarnation; and never more than its capacity less all turns.
func (l *Ledger) Room(worker string) Room {
	w := l.workers[worker]
	o := l.loads[worker]
	return w.Free.Less(o.unheard).Least(w.Capacity.Less(w.Stray).Less(o.used))
}

// Fits checks the standing rules between a task and a worker, without room.
func (l *Ledger) Fits(job Job, i int, w Worker) code.Code {
	spec := job.Spec.Tasks[i]
	if w.Service != job.Spec.Service {
		return code.WrongWorker
	}
	for _, label := range spec.Labels {
		if !slices.Contains(w.Labels, label) {
			return code.WrongWorker
		}
	}
	if w.Leaving || w.Drained {
		return code.Draining
	}
	if l.emptied[w.Site] {
		return code.SiteEmptied
	}
	if !l.Live(w) {
		return code.WorkerSilent
	}
	return code.OK
}

func (l *Ledger) Live(w Worker) bool { return l.at-w.SeenAt <= l.plan.Limits.Silent.Duration }

// Busyness is how a service's slots stand. Slots are those that shares are
// parts of: of all workers that take work and may still hold a lease. Idle are
// the free ones among those heard lately. Used counts turns by class; a turn
// that waits for a word from a lost worker is no use of what is left.
type Busyness struct {
	Slots, Idle int
	Used        map[string]int
}

func (l *Ledger) Busyness(service string) Busyness {
	cache := l.cached().busyness
	if known, ok := cache[service]; ok {
		return known
	}
	b := Busyness{Used: map[string]int{}}
	for id, w := range l.workers {
		if w.Service != service || w.Leaving || w.Drained || l.emptied[w.Site] || l.at > w.CutoffAt && !l.Live(w) {
			continue
		}
		for class, slots := range l.loads[id].classes {
			if slots != 0 {
				b.Used[class] += slots
			}
		}
		b.Slots += w.Capacity.Slots
		if l.Live(w) {
			b.Idle += w.Capacity.Slots - l.loads[id].used.Slots
		}
	}
	cache[service] = b
	return b
}

func (l *Ledger) shareSlots(service, class string, totalSlots int) int {
	share := l.plan.Services[service].Classes[class].Share
	return (totalSlots*share + 99) / 100
}

// Owed counts the tasks of other classes that are within their own share, wait,
// and could run on some live worker: those for whom room is kept.
func (l *Ledger) Owed(service, class string) int {
	owed, b := 0, l.Busyness(service)
	for n, count := range l.waiting {
		if n.service != service || n.class == class || n.gang > b.Slots {
			continue
		}
		if b.Used[n.class]+n.room.Slots > l.shareSlots(service, n.class, b.Slots) {
			continue
		}
		if l.meetable(n) {
			owed += count
		}
	}
	return owed
}

func (l *Ledger) meetable(n need) bool {
	cache := l.cached().meetable
	if known, ok := cache[n]; ok {
		return known
	}
	cache[n] = l.meets(n)
	return cache[n]
}

func (l *Ledger) meets(n need) bool {
	for _, w := range l.workers {
		probe := Job{Spec: JobSpec{Service: n.service, Tasks: []TaskSpec{{Room: n.room}}}}
		if n.labels != "" {
			probe.Spec.Tasks[0].Labels = splitLabels(n.labels)
		}
		if l.Fits(probe, 0, w) == code.OK && w.Capacity.Holds(n.room) {
			return true
		}
	}
	return false
}

// Allowed checks the share of a class, then asks the borrowing policy. Under
// way are slots by service and class that were asked for and are not here yet.
func (l *Ledger) Allowed(service, class string, askedSlots int, underWay map[[2]string]int) (allowed, borrowed bool) {
	b := l.Busyness(service)
	idle := b.Idle
	for of, slots := range underWay {
		if of[0] == service {
			idle -= slots
		}
	}
	share := l.shareSlots(service, class, b.Slots)
	used := b.Used[class] + underWay[[2]string{service, class}]
	if used+askedSlots <= share || used == 0 && share > 0 {
		// What is larger than the share starts alone in its class, or it never could.
		return true, false
	}
	if l.rules.AlwaysLends() {
		return true, true
	}
	names := plan.BorrowNames{
		Total: b.Slots, Idle: idle, Asked: askedSlots, Used: used, Share: share,
		Waiting: l.Owed(service, class), Class: class, Service: service,
	}
	return l.rules.Borrow(names), true
}

// grant gives turns for one task or one whole gang, all or none.
func (l *Ledger) grant(g Grant) Answer {
	if d := l.duties[g.Duty]; d.Epoch != g.Epoch || g.Epoch == 0 {
		return bounce(code.StaleEpoch, "duty %s is at epoch %d, not %d", g.Duty, d.Epoch, g.Epoch)
	}
	if len(g.Picks) == 0 {
		return bounce(code.Malformed, "nothing is picked")
	}
	taken, chosen := map[string]Room{}, map[ref]string{}
	slots, try, crowd := 0, 0, map[string]int{}
	for _, p := range g.Picks {
		at, t, ok := l.find(Attempt{Job: p.Job, Task: p.Task})
		if !ok {
			return bounce(code.UnknownJob, "no task %s/%s", p.Job, p.Task)
		}
		if p.Job != g.Picks[0].Job || chosen[at] != "" {
			return bounce(code.GangBroken, "one grant is one task or one gang")
		}
		job := l.jobs[p.Job]
		spec := job.Spec.Tasks[at.task]
		switch {
		case job.Ending != "":
			return bounce(code.JobCancelled, "job %s is ending", p.Job)
		case t.State == Waiting:
			return bounce(code.NotReleased, "task %s/%s waits for others", p.Job, p.Task)
		case t.State != Open || t.Turn.Held():
			return bounce(code.TaskNotOpen, "task %s/%s is %s", p.Job, p.Task, t.State)
		case t.DueAt > l.at:
			return bounce(code.NotReleased, "task %s/%s is due in %s", p.Job, p.Task, t.DueAt-l.at)
		case t.Defects >= spec.AllowedDefects && !spec.Lasting:
			return bounce(code.DefectsSpent, "task %s/%s has %d defects", p.Job, p.Task, t.Defects)
		}
		w, ok := l.workers[p.Worker]
		if !ok {
			return bounce(code.UnknownName, "no worker %s", p.Worker)
		}
		if c := l.Fits(job, at.task, w); c != code.OK {
			return bounce(c, "worker %s, task %s/%s", p.Worker, p.Job, p.Task)
		}
		taken[p.Worker] = taken[p.Worker].Add(spec.Room)
		if free := l.Room(p.Worker); !free.Holds(taken[p.Worker]) {
			return bounce(code.NoRoom, "worker %s has %+v", p.Worker, free)
		}
		if l.Crowded(job, at.task, p.Worker, crowd[p.Worker]) {
			return bounce(code.Crowded, "worker %s has %d tasks of this step", p.Worker, spec.PerWorker)
		}
		crowd[p.Worker]++
		chosen[at] = p.Worker
		slots, try = slots+spec.Room.Slots, max(try, t.Tries+1)
	}
	job := l.jobs[g.Picks[0].Job]
	first, _, _ := l.find(Attempt{Job: g.Picks[0].Job, Task: g.Picks[0].Task})
	gang := job.Spec.Tasks[first.task].Gang
	members := 0
	for i, spec := range job.Spec.Tasks {
		if gang != "" && spec.Gang == gang && job.Tasks[i].State != Done {
			members++
			if chosen[ref{job.Spec.ID, i}] == "" {
				return bounce(code.GangBroken, "task %s/%s is not in the grant", job.Spec.ID, spec.ID)
			}
		}
	}
	if len(g.Picks) != max(members, 1) {
		return bounce(code.GangBroken, "one grant is one task or one gang")
	}
	allowed, borrowed := l.Allowed(job.Spec.Service, job.Spec.Class, slots, nil)
	if !allowed {
		return bounce(code.OverShare, "class %s may not take %d slots more", job.Spec.Class, slots)
	}
	saved, percent := l.gangSaved(job, g.Picks)
	for _, p := range g.Picks {
		at, t, _ := l.find(Attempt{Job: p.Job, Task: p.Task})
		w := l.workers[p.Worker]
		t.Tries = try
		if gang != "" {
			t.Saved, t.Percent = saved, percent
		}
		t.Turn = Turn{Try: t.Tries, Worker: p.Worker, Incarnation: w.Incarnation, Beat: w.Number, GrantedAt: l.at, Limit: l.runLimit(at), Borrowed: borrowed}
		l.setTask(at, t)
		l.decide(Decision{Kind: "grant", Job: p.Job, Task: p.Task, Try: t.Tries, Worker: p.Worker})
	}
	return Answer{Code: code.OK}
}

// gangSaved is what all members of a gang go on from: what one of them has saved
// that was furthest.
func (l *Ledger) gangSaved(job Job, picks []Pick) (saved string, percent int) {
	for _, p := range picks {
		_, t, _ := l.find(Attempt{Job: p.Job, Task: p.Task})
		if t.Saved != "" && (saved == "" || t.Percent > percent) {
			saved, percent = t.Saved, t.Percent
		}
	}
	return saved, percent
}

// pushOut asks for a turn back: a borrowed one for the class that owns the room,
// or any that is not quick for a quick task that waits within its class's share.
func (l *Ledger) pushOut(g Grant) Answer {
	if d := l.duties[g.Duty]; d.Epoch != g.Epoch || g.Epoch == 0 {
		return bounce(code.StaleEpoch, "duty %s is at epoch %d, not %d", g.Duty, d.Epoch, g.Epoch)
	}
	for _, p := range g.Picks {
		at, t, ok := l.find(Attempt{Job: p.Job, Task: p.Task})
		if !ok || !t.Turn.Held() || t.Turn.Stop != "" || t.Turn.Worker != p.Worker || !t.Turn.Borrowed && (l.quick(l.jobs[p.Job].Spec) || !l.quickWaits(g.For, p.Worker)) {
			return bounce(code.TaskNotOpen, "task %s/%s holds no turn that may be pushed out", p.Job, p.Task)
		}
		t.Turn.Stop = "pushed out for " + g.For.Job + "/" + g.For.Task
		l.decide(Decision{Kind: "push-out", Job: p.Job, Task: p.Task, Try: t.Turn.Try, Worker: p.Worker})
		l.setTask(at, t)
	}
	return Answer{Code: code.OK}
}

func (l *Ledger) quick(spec JobSpec) bool {
	return l.plan.Services[spec.Service].Classes[spec.Class].Quick
}

// quickWaits says whether a quick task waits, within its class's share, that
// could run on a worker.
func (l *Ledger) quickWaits(p Pick, worker string) bool {
	at, t, ok := l.find(Attempt{Job: p.Job, Task: p.Task})
	if !ok || t.State != Open || t.Turn.Held() || !l.quick(l.jobs[p.Job].Spec) {
		return false
	}
	job := l.jobs[p.Job]
	usedSlots, shareSlots := l.ClassUse(job.Spec.Service, job.Spec.Class)
	return usedSlots+job.Spec.Tasks[at.task].Room.Slots <= shareSlots && l.Fits(job, at.task, l.workers[worker]) == code.OK
}

// startWithin is how long after a beat a worker takes starts from its reply.
const startWithin = 2 * time.Second

func (l *Ledger) runLimit(at ref) time.Duration {
	spec := l.jobs[at.job].Spec
	if limit := spec.Tasks[at.task].RunLimit.Duration; limit > 0 {
		return limit
	}
	return l.plan.RunLimit(spec.Service, spec.Class)
}

// endedBy is when an attempt must have ended without a word from its worker, by
// its lease and, should the worker run on, by its run limit.
func (l *Ledger) endedBy(t Turn) time.Duration {
	if t.OrphanUntil > 0 {
		return t.OrphanUntil
	}
	limits, w, began := l.plan.Limits, l.workers[t.Worker], t.StartedAt
	if limits.EndsAtCutoff {
		return max(w.CutoffAt, t.GrantedAt+limits.Lease.Duration) + limits.Margin.Duration
	}
	if began == 0 {
		began = max(w.SeenAt, t.GrantedAt) + startWithin
	}
	return max(w.CutoffAt, t.GrantedAt+limits.Lease.Duration, began+t.Limit) + limits.Margin.Duration
}

// Held says whether only a word, the worker's or an operator's, frees a task
// whose worker is silent: it may have ended well, and is not to start again.
func (l *Ledger) Held(job Job, i int) bool {
	t, silence := job.Tasks[i], job.Spec.Tasks[i].Silence
	if silence == "" {
		silence = l.plan.Services[job.Spec.Service].Classes[job.Spec.Class].Silence
	}
	return t.Turn.Held() && !t.Closed() && silence != plan.Restart && t.Turn.OrphanUntil == 0 && !l.workers[t.Turn.Worker].Gone
}

type due struct {
	job string
	do  func()
}

// Due says whether a tick at the given time would change anything.
func (l *Ledger) Due(at time.Duration) bool { return len(l.dues(at)) > 0 }

func (l *Ledger) dues(now time.Duration) []due {
	var out []due
	limits := l.plan.Limits
	for _, id := range slices.Sorted(maps.Keys(l.active)) {
		job := l.jobs[id]
		if job.Spec.Cutoff.Duration > 0 && job.Ending == "" && now > job.AcceptedAt+job.Spec.Cutoff.Duration {
			out = append(out, due{id, func() { l.finish(id, Failed, "the job's cutoff passed") }})
		}
	}
	var timed []ref
	for at := range l.timed {
		if t := l.jobs[at.job].Tasks[at.task]; now >= t.DueAt && l.jobs[at.job].Ending == "" && l.ready(at) {
			timed = append(timed, at)
		}
	}
	slices.SortFunc(timed, func(a, b ref) int { return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task)) })
	for _, at := range timed {
		out = append(out, due{at.job, func() {}})
	}
	for _, worker := range slices.Sorted(maps.Keys(l.turns)) {
		for _, at := range l.turnsOn(worker) {
			id, job, i := at.job, l.jobs[at.job], at.task
			t, spec := job.Tasks[i], job.Spec.Tasks[i]
			stop := ""
			switch {
			case now > l.endedBy(t.Turn) && !l.Held(job, i):
				lost := t.Turn.StartedAt > 0
				out = append(out, due{id, func() {
					if l.jobs[at.job].Tasks[at.task].Turn.Held() {
						l.giveBack(at, lost, "the worker went silent")
					}
				}})
			case t.Turn.Stop != "":
			case t.Turn.StartedAt > 0 && !limits.EndsAtCutoff && l.workers[t.Turn.Worker].SeenAt > t.Turn.StartedAt+t.Turn.Limit:
				stop = limit
			case t.Turn.StartedAt == 0 && spec.Gang != "" && now > t.Turn.GrantedAt+limits.StartBy.Duration:
				stop = gangStop
			}
			if stop != "" {
				out = append(out, due{id, func() { l.stopTurn(at, stop) }})
			}
		}
	}
	for _, id := range l.over {
		if now <= l.jobs[id].EndedAt+limits.Keep.Duration {
			break
		}
		out = append(out, due{"", func() { l.forget(id) }})
	}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[id]; now > w.CutoffAt+limits.Margin.Duration+limits.Keep.Duration && len(l.turns[id]) == 0 {
			out = append(out, due{"", func() { delete(l.workers, id) }})
		}
	}
	if requests, plans, past := l.forgotten(now); len(requests)+len(plans)+len(past) > 0 {
		out = append(out, due{"", func() { l.forgetOld(now) }})
	}
	for _, id := range slices.Sorted(maps.Keys(l.daemons)) {
		if now > l.daemons[id].SeenAt+limits.Keep.Duration {
			out = append(out, due{"", func() { delete(l.daemons, id) }})
		}
	}
	return out
}

// ready says whether all that a task needs is done.
func (l *Ledger) ready(at ref) bool {
	job := l.jobs[at.job]
	return !slices.ContainsFunc(job.Spec.Tasks[at.task].Needs, func(i int) bool { return job.Tasks[i].State != Done })
}

func (l *Ledger) stopTurn(at ref, why string) {
	t := l.jobs[at.job].Tasks[at.task]
	t.Turn.Stop = why
	l.setTask(at, t)
	gang := l.jobs[at.job].Spec.Tasks[at.task].Gang
	for i, other := range l.jobs[at.job].Tasks {
		if gang != "" && l.jobs[at.job].Spec.Tasks[i].Gang == gang && other.Turn.Held() && other.Turn.Stop == "" {
			other.Turn.Stop = gangStop
			l.setTask(ref{at.job, i}, other)
		}
	}
}

func (l *Ledger) forget(id string) {
	job := l.jobs[id]
	for i := range job.Tasks {
		l.count(job, i, -1)
	}
	delete(l.jobs, id)
	l.over = slices.DeleteFunc(l.over, func(other string) bool { return other == id })
	l.past.put(id, Past{job.Digest, job.Spec.Service, job.Spec.Class, job.State, job.EndedAt})
	l.changes = append(l.changes, Changed{Job: id, Task: -1})
}

func (l *Ledger) tick() Answer {
	for _, d := range l.dues(l.at) {
		d.do()
		if d.job != "" {
			l.release(d.job)
		}
	}
	return Answer{Code: code.OK}
}
