// Package state is the trusted core: one pure and deterministic state machine
// of jobs, tasks, turns, workers, sites, duties and the plan. Every promise is
// checked here, in the one conditional write that makes a change; whoever asks
// for a change may be slow, stale or wrong, and is then bounced. The same code
// runs on the primary, the backup, the third keeper and every follower.
package state

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

type taskRef struct {
	job   string
	index int
}

type demand struct {
	service, class, labels string
	resources              Resources
	gangSlots              int
}

// Changed names a task or a worker that the last commands touched.
type Change struct {
	Job    string
	Task   int
	Worker string
	All    bool
}

type Store struct {
	position       LogPosition
	now            time.Duration
	nextTaskNumber uint64
	config         config.Config
	policies       config.CompiledPolicies
	jobs           map[string]Job
	workers        map[string]Worker
	drainedZones   map[string]bool
	// orders gives the sequence of the last order to each site.
	zoneOrders     map[string]uint64
	leaderships    map[string]Leadership
	schedulers     map[string]Scheduler
	requests       boundedMap[Request]
	configRequests boundedMap[Request]
	pastJobs       boundedMap[PastJob]
	forgottenUntil time.Duration

	leases     map[string]map[taskRef]bool
	usage      map[string]workerUsage
	unfinished map[[2]string]int
	waiting    map[demand]int
	activeJobs map[string]bool
	endedJobs  []string
	timedTasks map[taskRef]bool
	clonedJobs map[string]bool
	changes    []Change
	cache      queryCache
	// byName has the workers in order; nil until it is asked for.
	workerList   []Worker
	serviceLoads map[string]*cachedServiceLoad

	lastDecisionIndex uint64
	pendingDecisions  []Decision
	auditEntries      []AuditEntry
}

// load sums the turns of a worker: their room, that of the turns that its report
// did not count yet, and that of those being stopped.
type workerUsage struct {
	used, unreported, stopping Resources
	stopCount, unstartedCount  int
	slotsByClass               map[string]int
}

func (o workerUsage) adjusted(job Job, i, by int) workerUsage {
	t, room := job.Tasks[i].Lease, job.Spec.Tasks[i].Resources
	add := Resources.Add
	if by < 0 {
		add = Resources.Sub
	}
	o.used = add(o.used, room)
	if t.StartedAt == 0 || t.OrphanUntil > 0 {
		o.unreported = add(o.unreported, room)
	}
	if t.StopReason != "" {
		o.stopping, o.stopCount = add(o.stopping, room), o.stopCount+by
	} else if t.StartedAt == 0 {
		o.unstartedCount += by
	}
	if o.slotsByClass == nil {
		o.slotsByClass = map[string]int{}
	}
	o.slotsByClass[job.Spec.Class] += by * room.Slots
	return o
}

// lookups keeps what several questions at one position have in common.
type queryCache struct {
	position    LogPosition
	satisfiable map[demand]bool
}

func (l *Store) currentCache() queryCache {
	if l.cache.position != l.position || l.cache.satisfiable == nil {
		l.cache = queryCache{l.position, map[demand]bool{}}
	}
	return l.cache
}

func New() *Store {
	l := &Store{config: config.Default(), nextTaskNumber: 1}
	l.policies = l.config.Compile()
	l.jobs, l.workers, l.drainedZones = map[string]Job{}, map[string]Worker{}, map[string]bool{}
	l.leaderships, l.schedulers = map[string]Leadership{}, map[string]Scheduler{}
	l.requests.byKey, l.configRequests.byKey, l.pastJobs.byKey = map[string]Request{}, map[string]Request{}, map[string]PastJob{}
	l.zoneOrders = map[string]uint64{}
	l.clonedJobs = map[string]bool{}
	l.rebuildIndexes()
	return l
}

// index rebuilds what is derived from the records.
func (l *Store) rebuildIndexes() {
	l.leases, l.unfinished, l.usage = map[string]map[taskRef]bool{}, map[[2]string]int{}, map[string]workerUsage{}
	l.waiting, l.activeJobs, l.timedTasks = map[demand]int{}, map[string]bool{}, map[taskRef]bool{}
	l.endedJobs, l.serviceLoads = nil, map[string]*cachedServiceLoad{}
	l.requests.sortByAge(func(r Request) time.Duration { return r.AnsweredAt })
	l.configRequests.sortByAge(func(r Request) time.Duration { return r.AnsweredAt })
	l.pastJobs.sortByAge(func(p PastJob) time.Duration { return p.EndedAt })
	for id, job := range l.jobs {
		if !jobEnded(job) {
			l.activeJobs[id] = true
		} else {
			l.endedJobs = append(l.endedJobs, id)
		}
		for i := range job.Tasks {
			l.countTask(job, i, 1)
		}
	}
	slices.SortFunc(l.endedJobs, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.jobs[a].EndedAt, l.jobs[b].EndedAt), cmp.Compare(a, b))
	})
	l.changes = append(l.changes, Change{All: true})
}

func jobEnded(job Job) bool {
	return job.State == Done || job.State == Failed || job.State == Cancelled
}

func (l *Store) countTask(job Job, i, by int) {
	t := job.Tasks[i]
	class := [2]string{job.Spec.Service, job.Spec.Class}
	if !t.Terminal() {
		l.unfinished[class] += by
	}
	at := taskRef{job.Spec.ID, i}
	if t.State == Waiting && t.DueAt > 0 && by > 0 {
		l.timedTasks[at] = true
	} else {
		delete(l.timedTasks, at)
	}
	if t.Lease.Held() {
		if l.leases[t.Lease.Worker] == nil {
			l.leases[t.Lease.Worker] = map[taskRef]bool{}
		}
		if by > 0 {
			l.leases[t.Lease.Worker][at] = true
		} else {
			delete(l.leases[t.Lease.Worker], at)
		}
		l.usage[t.Lease.Worker] = l.usage[t.Lease.Worker].adjusted(job, i, by)
		l.updateServiceLoad(t.Lease.Worker, job.Spec.Class, by*job.Spec.Tasks[i].Resources.Slots)
	} else if t.State == Ready {
		n := l.demandOf(job, i)
		if l.waiting[n] += by; l.waiting[n] == 0 {
			delete(l.waiting, n)
		}
	}
}

func (l *Store) demandOf(job Job, i int) demand {
	spec := job.Spec.Tasks[i]
	n := demand{job.Spec.Service, job.Spec.Class, strings.Join(spec.Labels, ","), spec.Resources, 0}
	if spec.Gang != "" && len(job.Spec.Steps) > 0 {
		n.gangSlots = job.Spec.Steps[spec.Step].Count * spec.Resources.Slots
	} else if spec.Gang != "" {
		for _, other := range job.Spec.Tasks {
			if other.Gang == spec.Gang {
				n.gangSlots += other.Resources.Slots
			}
		}
	}
	return n
}

// setTask is the only way a task changes; it keeps the counts right. The job's
// task slice is copied once for a command, so that copies handed out before stay
// as they were.
func (l *Store) setTask(at taskRef, t Task) {
	l.cache = queryCache{}
	job := l.jobs[at.job]
	l.countTask(job, at.index, -1)
	if !l.clonedJobs[at.job] {
		job.Tasks, l.clonedJobs[at.job] = slices.Clone(job.Tasks), true
	}
	job.Tasks[at.index] = t
	l.jobs[at.job] = job
	l.countTask(job, at.index, 1)
	l.changes = append(l.changes, Change{Job: at.job, Task: at.index})
}

func (l *Store) Position() LogPosition             { return l.position }
func (l *Store) Now() time.Duration                { return l.now }
func (l *Store) Config() config.Config             { return l.config }
func (l *Store) Policies() config.CompiledPolicies { return l.policies }

// TakeChanges hands over what changed since it was last called.
func (l *Store) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Apply makes one change, or bounces it leaving everything as it was. It never
// looks at a clock: cmd.At is ledger time, and never runs backwards.
func (l *Store) Apply(cmd Command) Result {
	l.position = cmd.LogPosition
	l.clonedJobs = map[string]bool{}
	defer func() {
		l.cache = queryCache{}
		l.closeAuditEntry()
	}()
	l.now = max(l.now, cmd.Time)
	switch cmd.Kind {
	case KindAcceptJob:
		return l.acceptJob(cmd)
	case KindCancelJob:
		return l.cancelJob(cmd)
	case KindHeartbeat:
		return l.heartbeat(cmd.Heartbeat)
	case KindGrantLeases:
		return l.grantLeases(cmd.Grant)
	case KindPreempt:
		return l.preempt(cmd.Grant)
	case KindChangeConfig:
		return l.applyOnce(cmd, func() Result { return l.changeConfig(cmd.ConfigChange) })
	case KindDrainZone:
		return l.applyOnce(cmd, func() Result { return l.drainZone(cmd) })
	case KindDrainWorker:
		return l.applyOnce(cmd, func() Result { return l.drainWorker(cmd.Name, cmd.Drain) })
	case KindConfirmWorkerDead:
		return l.applyOnce(cmd, func() Result { return l.confirmWorkerDead(cmd.Name) })
	case KindSchedulerHeartbeat:
		return l.schedulerHeartbeat(cmd.SchedulerHeartbeat)
	case KindTransferLeadership:
		return l.applyOnce(cmd, func() Result { return l.transferLeadership(cmd.Name, cmd.SchedulerHeartbeat.Candidate) })
	case KindTick:
		return l.tick()
	case KindTakeLeadership:
		return l.takeLeadership(cmd.Name, cmd.SchedulerHeartbeat)
	case KindRenewWorkers:
		return l.renewWorkers(cmd.Renewals)
	}
	return reject(status.Malformed, "unknown command %q", cmd.Kind)
}

// resolve finds the class of a job that names host and path.
func (l *Store) resolveRoute(host, path string) (config.Route, Result) {
	if l.config.Version == 0 {
		a := reject(status.NoConfig, "there is no plan yet")
		a.RetryAfter = time.Second
		return config.Route{}, a
	}
	e, ok := l.config.FindRoute(host, path)
	if !ok {
		return e, reject(status.NoRoute, "the plan has no entry for %s%s", host, path)
	}
	return e, Result{Code: status.OK}
}

func (l *Store) jobResult(cmd Command, c status.Code, job Job) Result {
	if cmd.Summary {
		job = job.Summary()
	}
	return Result{Code: c, Job: job}
}

func (l *Store) acceptJob(cmd Command) Result {
	spec := cmd.Job
	if spec.Host != "" {
		e, a := l.routeOf(spec)
		if !a.Code.IsSuccess() {
			return a
		}
		spec.Service, spec.Class = e.Service, e.Class
	}
	sum := digest(Normalize(spec))
	if old, ok := l.jobs[spec.ID]; ok {
		if old.Digest != sum {
			return reject(status.JobConflict, "job %s was accepted before with other content", spec.ID)
		}
		return l.jobResult(cmd, status.AlreadyDone, old)
	}
	if old, ok := l.pastJobs.byKey[spec.ID]; ok {
		if old.Digest != sum {
			return reject(status.JobConflict, "job %s was accepted before with other content", spec.ID)
		}
		job, _ := l.PastJob(spec.ID)
		return Result{Code: status.AlreadyDone, Job: job}
	}
	spec = l.withClassDefaults(Normalize(spec))
	if a := l.ValidateJob(spec); !a.Code.IsSuccess() {
		return a
	}
	spec.Tasks = resolveDependencies(spec)
	job := Job{Spec: spec, Digest: sum, FirstTaskNumber: l.nextTaskNumber, State: Waiting, AcceptedAt: l.now}
	job.Tasks = newTasks(job)
	for i, t := range spec.Tasks {
		if spec.Repeat.Count > 0 {
			due := spec.Repeat.FirstAt.Add(time.Duration(t.Repetition) * spec.Repeat.Every.Duration)
			job.Tasks[i].DueAt = max(1, l.now+due.Sub(cmd.WallTime))
		}
	}
	l.nextTaskNumber += uint64(len(spec.Tasks))
	l.jobs[spec.ID], l.activeJobs[spec.ID] = job, true
	l.recordDecision(Decision{Kind: "accept", Job: spec.ID, Digest: job.Digest})
	for i := range job.Tasks {
		l.countTask(job, i, 1)
	}
	l.makeTasksReady(spec.ID)
	return l.jobResult(cmd, status.OK, l.jobs[spec.ID])
}

// entryOf gives service and class of a job by its entry. One that was accepted
// before keeps its own, also once its entry leads elsewhere: it is the same job.
func (l *Store) routeOf(spec JobSpec) (config.Route, Result) {
	e, a := l.resolveRoute(spec.Host, spec.Path)
	if old, ok := l.jobs[spec.ID]; ok {
		e.Service, e.Class = old.Spec.Service, old.Spec.Class
	} else if old, ok := l.pastJobs.byKey[spec.ID]; ok {
		e.Service, e.Class = old.Service, old.Class
	}
	return e, a
}

// filled takes what the class says where steps say nothing.
func (l *Store) withClassDefaults(spec JobSpec) JobSpec {
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		if spec.Steps[i].MaxFailures == 0 {
			spec.Steps[i].MaxFailures = cmp.Or(l.config.Services[spec.Service].Classes[spec.Class].MaxFailures, 3)
		}
	}
	return spec
}

// fresh is how the tasks of a job begin.
func newTasks(job Job) []Task {
	levels := taskLevels(job.Spec)
	out := make([]Task, len(job.Spec.Tasks))
	for i := range out {
		out[i] = Task{Number: job.FirstTaskNumber + uint64(i), State: Waiting, Level: levels[i]}
	}
	return out
}

// release opens every task whose time has come and whose dependencies are all
// done, and ends the job once nothing of it is open or runs.
func (l *Store) makeTasksReady(id string) {
	job := l.jobs[id]
	type answer struct{ known, ready bool }
	steps := map[*int]answer{}
	for i, spec := range job.Spec.Tasks {
		t := job.Tasks[i]
		if t.State != Waiting || job.EndingState != "" || t.DueAt > l.now {
			continue
		}
		ready := true
		if len(spec.Dependencies) > 0 {
			known := steps[&spec.Dependencies[0]]
			if !known.known {
				known = answer{true, !slices.ContainsFunc(spec.Dependencies, func(j int) bool { return job.Tasks[j].State != Done })}
				steps[&spec.Dependencies[0]] = known
			}
			ready = known.ready
		}
		if ready {
			t.State, t.ReadyAt = Ready, l.now
			l.setTask(taskRef{id, i}, t)
		}
	}
	l.updateJobState(id)
}

func (l *Store) updateJobState(id string) {
	job := l.jobs[id]
	if jobEnded(job) {
		return
	}
	stateOf := Done
	for _, t := range job.Tasks {
		if !t.Terminal() || t.Lease.Held() {
			stateOf = Waiting
			for _, other := range job.Tasks {
				if other.Lease.StartedAt > 0 || other.State == Done {
					stateOf = Running
				}
			}
			break
		}
		if t.State != Done {
			stateOf = job.EndingState
		}
	}
	if stateOf != job.State {
		job.State = stateOf
		if jobEnded(job) {
			l.recordDecision(Decision{Kind: "over", Job: id, Succeeded: stateOf == Done})
			job.EndedAt = l.now
			delete(l.activeJobs, id)
			l.endedJobs = append(l.endedJobs, id)
		}
		l.jobs[id] = job
		l.changes = append(l.changes, Change{Job: id, Task: -1})
	}
}

// finish closes what is left of a job that failed or was cancelled.
func (l *Store) endJob(id, ending, why string) {
	job := l.jobs[id]
	if job.EndingState != "" || jobEnded(job) {
		return
	}
	job.EndingState, job.Reason = ending, why
	l.jobs[id] = job
	for i, t := range job.Tasks {
		if t.Terminal() {
			continue
		}
		t.State, t.EndedAt, t.Reason = Cancelled, l.now, why
		if t.Lease.Held() && t.Lease.StopReason == "" {
			t.Lease.StopReason = why
		}
		l.setTask(taskRef{id, i}, t)
	}
	l.updateJobState(id)
}

func (l *Store) cancelJob(cmd Command) Result {
	id := cmd.Name
	if cmd.Host != "" {
		if _, a := l.resolveRoute(cmd.Host, cmd.Path); !a.Code.IsSuccess() {
			return a
		}
	}
	if past, ok := l.PastJob(id); ok {
		return Result{Code: status.AlreadyDone, Job: past}
	}
	job, ok := l.jobs[id]
	if !ok {
		return l.RejectUnknownJob(id)
	}
	if jobEnded(job) || job.EndingState != "" {
		return l.jobResult(cmd, status.AlreadyDone, job)
	}
	l.recordDecision(Decision{Kind: "cancel", Job: id})
	l.endJob(id, Cancelled, "cancelled by the caller")
	return l.jobResult(cmd, status.OK, l.jobs[id])
}

func (l *Store) changeConfig(c ConfigChange) Result {
	if !c.Forced && c.BaseVersion != l.config.Version {
		a := reject(status.StaleConfig, "the plan is at sequence %d, not %d", l.config.Version, c.BaseVersion)
		a.ConfigVersion = l.config.Version
		return a
	}
	var next config.Config
	var faults []config.Violation
	if c.Patch {
		next, faults = config.ApplyPatch(l.config, c.Body)
	} else {
		next, faults = config.Parse(c.Body)
	}
	if len(faults) > 0 {
		a := reject(faults[0].Code, "%s: %s", faults[0].Path, faults[0].Reason)
		a.Violations, a.ConfigVersion = faults, l.config.Version
		return a
	}
	next.Version = l.config.Version + 1
	if c.Version > 0 {
		if c.Version <= l.config.Version {
			return reject(status.InvalidConfig, "/sequence: %d is not above %d", c.Version, l.config.Version)
		}
		next.Version = c.Version
	}
	// Where tasks may go does not hang on the entries, nor on what classes come and go.
	same := reflect.DeepEqual(l.config.Policies, next.Policies) && l.config.Limits == next.Limits && classesUnchanged(l.config, next)
	l.config, l.policies = next, next.Compile()
	clear(l.serviceLoads)
	l.recordDecision(Decision{Kind: "plan", ConfigVersion: next.Version, Digest: digest(next)})
	if !same {
		l.changes = append(l.changes, Change{All: true})
	}
	return Result{Code: status.OK, ConfigVersion: next.Version}
}

// kept says whether every class of a plan stands in the next as it was.
func classesUnchanged(old, next config.Config) bool {
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
func (l *Store) drainZone(cmd Command) Result {
	name, on := cmd.Name, cmd.Drain
	if known := l.knownZones(); !slices.Contains(known, name) {
		if l.config.Version == 0 {
			a := reject(status.NoConfig, "there is no plan yet, and nobody has been heard of in site %q", name)
			a.RetryAfter = time.Second
			return a
		}
		return rejectUnknownName("site", name, known)
	}
	if cmd.MaxAge > 0 && l.now-cmd.RequestedAt > cmd.MaxAge {
		return reject(status.RequestExpired, "asked %s ago; an order older than %s is not carried out", l.now-cmd.RequestedAt, cmd.MaxAge)
	}
	if cmd.MaxAge > 0 && l.zoneOrders[name] > cmd.ConfirmedIndex {
		if l.drainedZones[name] != on {
			return reject(status.RequestExpired, "a later order was carried out for site %q", name)
		}
		return Result{Code: status.AlreadyDone}
	}
	l.zoneOrders[name] = l.position.Index
	clear(l.serviceLoads)
	l.drainedZones[name] = on
	if !on {
		delete(l.drainedZones, name)
	}
	l.recordDecision(Decision{Kind: map[bool]string{true: "empty", false: "refill"}[on], Name: name})
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[id]; on && w.Zone == name {
			l.stopUnstarted(id, "the site is emptied")
		}
	}
	l.changes = append(l.changes, Change{All: true})
	return Result{Code: status.OK}
}

// sites are those that the ledger has heard of, by a worker or a scheduler, and
// those that are emptied.
func (l *Store) knownZones() []string {
	set := maps.Clone(l.drainedZones)
	for _, name := range l.config.Zones {
		set[name] = true
	}
	for _, w := range l.workers {
		set[w.Zone] = true
	}
	for _, d := range l.schedulers {
		set[d.Zone] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// unknown is the answer to a name that does not exist; it gives those that do.
func rejectUnknownName(what, name string, known []string) Result {
	text := strings.Join(known[:min(20, len(known))], ", ")
	if len(known) > 20 {
		text += fmt.Sprintf(" and %d more", len(known)-20)
	}
	return reject(status.UnknownName, "no %s %q; known are: %s", what, name, text)
}

func (l *Store) drainWorker(name string, on bool) Result {
	w, ok := l.workers[name]
	if !ok {
		return rejectUnknownName("worker", name, slices.Sorted(maps.Keys(l.workers)))
	}
	w.Drained = on
	l.recordDecision(Decision{Kind: map[bool]string{true: "drain", false: "undrain"}[on], Worker: name})
	l.setWorker(w)
	l.changes = append(l.changes, Change{Worker: name})
	return Result{Code: status.OK}
}

// gone takes an operator's word that a silent worker will not come back: what is
// held for it waits only until its attempts must have ended.
func (l *Store) confirmWorkerDead(name string) Result {
	w, ok := l.workers[name]
	switch {
	case !ok:
		return rejectUnknownName("worker", name, slices.Sorted(maps.Keys(l.workers)))
	case l.Live(w):
		return reject(status.WorkerAlive, "worker %s was heard %s ago", name, l.now-w.LastSeenAt)
	case w.ConfirmedDead:
		return Result{Code: status.AlreadyDone}
	}
	w.ConfirmedDead = true
	l.recordDecision(Decision{Kind: "gone", Worker: name})
	l.setWorker(w)
	l.changes = append(l.changes, Change{Worker: name})
	return Result{Code: status.OK}
}

// stopAll sends back what a worker has not started yet; what runs may end.
func (l *Store) stopUnstarted(worker, why string) {
	for _, at := range l.leasedTasks(worker) {
		t := l.jobs[at.job].Tasks[at.index]
		if t.Lease.StartedAt == 0 && t.Lease.StopReason == "" {
			t.Lease.StopReason = why
			l.setTask(at, t)
		}
	}
}

func (l *Store) leasedTasks(worker string) []taskRef {
	out := make([]taskRef, 0, len(l.leases[worker]))
	for at := range l.leases[worker] {
		out = append(out, at)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return l.jobs[a.job].Tasks[a.index].Number < l.jobs[b.job].Tasks[b.index].Number
	})
	return out
}

// liveFor is how long a daemon counts among those whose majority decides.
const schedulerTimeout = 4 * time.Second

// hello keeps a scheduler known and moves duties: the holder may name its
// successor; when it is silent, a majority of the schedulers that are alive do.
func (l *Store) schedulerHeartbeat(h SchedulerHeartbeat) Result {
	if h.Leaving {
		delete(l.schedulers, h.Scheduler)
	} else {
		l.schedulers[h.Scheduler] = Scheduler{ID: h.Scheduler, Zone: h.Zone, LastSeenAt: l.now}
	}
	for _, name := range slices.Sorted(maps.Keys(l.leaderships)) {
		if d := l.leaderships[name]; d.Leader == h.Scheduler && !h.Leaving {
			d.LastSeenAt = l.now
			l.leaderships[name] = d
		}
	}
	if h.Leadership == "" {
		return Result{Code: status.OK}
	}
	d := l.leaderships[h.Leadership]
	silent := d.Leader == "" || l.now-d.LastSeenAt > l.config.Limits.HeartbeatTimeout.Duration/2
	passed := h.Transfer && d.Leader == h.Scheduler
	if h.Epoch != d.Epoch || !silent && !passed {
		return reject(status.StaleEpoch, "duty %s is held by %s at epoch %d", h.Leadership, d.Leader, d.Epoch)
	}
	if _, ok := l.schedulers[h.Candidate]; !ok {
		return reject(status.UnknownName, "no scheduler %s has said hello", h.Candidate)
	}
	votes := map[string]string{h.Scheduler: h.Candidate}
	for voter, to := range d.Votes {
		if voter != h.Scheduler {
			votes[voter] = to
		}
	}
	d.Name, d.Votes = h.Leadership, votes
	if alive := l.Schedulers(schedulerTimeout); passed || l.hasMajority(votes, h.Candidate, alive) {
		l.recordDecision(Decision{Kind: "duty", Name: h.Leadership, Worker: h.Candidate})
		d = Leadership{Name: h.Leadership, Leader: h.Candidate, Epoch: d.Epoch + 1, LastSeenAt: l.now}
		l.changes = append(l.changes, Change{All: true})
	}
	l.leaderships[h.Leadership] = d
	return Result{Code: status.OK}
}

// move hands a duty over because an operator asks for it.
func (l *Store) transferLeadership(name, to string) Result {
	d, known := l.leaderships[name]
	if !known {
		return rejectUnknownName("duty", name, slices.Sorted(maps.Keys(l.leaderships)))
	}
	if _, ok := l.schedulers[to]; !ok {
		return rejectUnknownName("scheduler", to, slices.Sorted(maps.Keys(l.schedulers)))
	}
	if d.Leader == to {
		return Result{Code: status.AlreadyDone}
	}
	l.recordDecision(Decision{Kind: "duty", Name: name, Worker: to})
	l.leaderships[name] = Leadership{Name: name, Leader: to, Epoch: d.Epoch + 1, LastSeenAt: l.now}
	l.changes = append(l.changes, Change{All: true})
	return Result{Code: status.OK}
}

// take gives a duty to the primary's own dispatcher, which needs no vote: whoever
// leads the ledger is fenced by its epoch already.
func (l *Store) takeLeadership(name string, h SchedulerHeartbeat) Result {
	l.schedulers[h.Scheduler] = Scheduler{ID: h.Scheduler, Zone: h.Zone, LastSeenAt: l.now}
	l.recordDecision(Decision{Kind: "duty", Name: name, Worker: h.Scheduler})
	l.leaderships[name] = Leadership{Name: name, Leader: h.Scheduler, Epoch: l.leaderships[name].Epoch + 1, LastSeenAt: l.now}
	return Result{Code: status.OK}
}

func (l *Store) hasMajority(votes map[string]string, to string, alive []Scheduler) bool {
	count := 0
	for _, d := range alive {
		if votes[d.ID] == to {
			count++
		}
	}
	return count > len(alive)/2
}

type metadata struct {
	Position          LogPosition   `json:"position"`
	Time              time.Duration `json:"at"`
	NextTaskNumber    uint64        `json:"next"`
	ForgottenUntil    time.Duration `json:"horizon,omitempty"`
	LastDecisionIndex uint64        `json:"decision,omitempty"`
	// Orders gives the sequence of the last order to each site.
	ZoneOrders map[string]uint64 `json:"orders,omitempty"`
}

// ForgetEntries is for a copy whose decisions nobody audits.
func (l *Store) DiscardAuditEntries() { l.auditEntries = nil }

// Records is the whole ledger, encoded.
func (l *Store) Records() []machine.Record { return slices.Collect(l.Snapshot().Records()) }
