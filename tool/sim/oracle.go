// The oracle judges a run from what workers, callers and operators noted down,
// never from the ledger's opinion of itself: one named check for each promise
// of the brief, with its bound. It counts how often each check had something to
// judge, and what it excused, since a check that judged nothing proves nothing.

package sim

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// Violation is one broken promise.
type Violation struct {
	Check string
	Why   string
}

const (
	drainBound  = 2 * time.Second
	emptyBound  = 5 * time.Second
	cancelBound = 3 * time.Second
	planBound   = 2 * time.Second
	gangBound   = 8 * time.Second
	// aloneBound is how long a member may wait for others of its gang in calm times.
	aloneBound = 2 * time.Second
	serveBound = 12 * time.Second
	quickBound = 2 * time.Second
	pullBound  = 700 * time.Millisecond
	// passBound is how far apart starts by different schedulers have no order: a
	// task is left to its inbox\'s worker for so long.
	passBound = dispatch.StealDelay
	newsBound = 3 * time.Second
	// silenceBound is lease and margin of the plans.
	silenceBound = 7 * time.Second
)

// Checks names every check, for the usage text and the tests.
var Checks = []string{
	"job-forgotten", "twice-at-once", "again-after-good", "before-dependency", "wrong-worker", "over-room", "defects-spent",
	"gang-alone", "start-while-draining", "start-in-emptied-site", "start-after-cancel", "finished-with-open-task",
	"plan-ignored", "plan-went-back", "quick-behind-batch", "quick-overtaken", "long-unfinished", "not-served-again", "bounce-without-time",
}

type emptied struct {
	site     string
	from, to time.Duration
}

// notes is all that the oracle sees.
type notes struct {
	runs    []run
	callers []*caller
	hands   map[string]*hand
	empties []*emptied
	faulty  [][2]time.Duration
	daemons []*node
	idle    [][2]time.Duration
	end     time.Duration
	broken  []Violation
	judged  map[string]int
	excused map[string]int
	restart map[string]bool
	share   map[string]int
	// steps says that jobs came in steps, to workers beside a side.
	steps bool
}

// judge counts that a check has something to judge.
func (n *notes) count(check string) { n.judged[check]++ }

// excuse counts what a check leaves out, by the name of the reason.
func (n *notes) excuse(check, why string) { n.excused[check+" "+why]++ }

func newNotes() notes {
	return notes{hands: map[string]*hand{}, judged: map[string]int{}, excused: map[string]int{}, restart: map[string]bool{}, share: map[string]int{}}
}

func (n *notes) fault(check, format string, args ...any) {
	n.broken = append(n.broken, Violation{check, fmt.Sprintf(format, args...)})
}

func secs(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// judge runs every check that is made at the end.
func (n *notes) judge() {
	byTask := map[string][]run{}
	byWorker := map[string][]run{}
	specs := map[string]*caller{}
	for _, c := range n.callers {
		specs[c.spec.ID] = c
	}
	sort.SliceStable(n.runs, func(i, j int) bool { return n.runs[i].from < n.runs[j].from })
	for _, r := range n.runs {
		key := r.Job + "/" + r.Task
		byTask[key] = append(byTask[key], r)
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
	}
	keys := make([]string, 0, len(byTask))
	for key := range byTask {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		n.taskRuns(key, byTask[key], specs[byTask[key][0].Job], byTask)
	}
	for _, name := range slices.Sorted(maps.Keys(n.hands)) {
		n.workerRuns(n.hands[name], byWorker[name])
	}
	for _, c := range n.callers {
		n.job(c, byTask)
	}
	if !n.steps {
		n.overtaken(byTask)
	}
}

func (r run) end(now time.Duration) time.Duration {
	if r.to == 0 {
		return now
	}
	return r.to
}

func (n *notes) taskRuns(key string, runs []run, c *caller, byTask map[string][]run) {
	if c == nil {
		n.fault("wrong-worker", "%s runs and nobody asked for it", key)
		return
	}
	var spec state.TaskSpec
	for _, t := range c.spec.Tasks {
		if c.spec.ID+"/"+t.ID == key {
			spec = t
		}
	}
	allowed := spec.MaxFailures
	if allowed == 0 {
		allowed = 3
	}
	defects := 0
	for i, r := range runs {
		n.count("wrong-worker")
		if i > 0 {
			n.count("twice-at-once")
		}
		for _, earlier := range runs[:i] {
			if spec.AllowsDuplicates && earlier.end(n.end) > r.from && earlier.Attempt != r.Attempt {
				n.excuse("twice-at-once", "copies do no harm")
				continue
			}
			if earlier.end(n.end) > r.from && earlier.Attempt != r.Attempt || earlier.Attempt == r.Attempt {
				n.fault("twice-at-once", "%s: try %d on %s from %s to %s, try %d on %s from %s", key, earlier.Number, earlier.Worker, secs(earlier.from), secs(earlier.end(n.end)), r.Number, r.Worker, secs(r.from))
			}
		}
		if !spec.LongRunning {
			n.again(key, runs[:i], r, c)
		}
		if r.Outcome == "good" {
			n.count("again-after-good")
		}
		if n.steps {
			defects = n.known(c, spec, byTask, r)
		}
		if defects > 0 {
			n.count("defects-spent")
		}
		if defects >= allowed && !spec.LongRunning {
			n.fault("defects-spent", "%s: try %d starts at %s after %d defects of %d", key, r.Number, secs(r.from), defects, allowed)
		}
		if r.Outcome == "bad" {
			defects++
		}
		for _, dep := range spec.DependsOn {
			n.count("before-dependency")
			done := false
			for _, d := range byTask[c.spec.ID+"/"+dep] {
				done = done || d.Outcome == "good" && d.to > 0 && d.to <= r.from
			}
			if !done {
				n.fault("before-dependency", "%s starts at %s, %s has not ended well by then", key, secs(r.from), dep)
			}
		}
		if c.cancelAt > 0 && r.from > c.cancelAt+cancelBound {
			n.fault("start-after-cancel", "%s starts at %s, cancelled at %s", key, secs(r.from), secs(c.cancelAt))
		}
		if c.overAt > 0 && r.from > c.overAt {
			n.fault("finished-with-open-task", "%s starts at %s, its job was %s at %s", key, secs(r.from), c.state, secs(c.overAt))
		}
		h := n.hands[r.Worker]
		if h.env.Service != c.spec.Service {
			n.fault("wrong-worker", "%s of %s runs on %s of %s", key, c.spec.Service, r.Worker, h.env.Service)
		}
		for _, label := range spec.Labels {
			has := false
			for _, l := range h.env.Labels {
				has = has || l == label
			}
			if !has {
				n.fault("wrong-worker", "%s needs %s, %s has %v", key, label, r.Worker, h.env.Labels)
			}
		}
		for _, e := range n.empties {
			if h.env.Site == e.site && r.from > e.from+emptyBound && (e.to == 0 || r.from < e.to) {
				n.fault("start-in-emptied-site", "%s starts on %s at %s, site %s emptied at %s", key, r.Worker, secs(r.from), e.site, secs(e.from))
			}
		}
		if r.Gang != "" {
			n.gang(key, r, c, byTask)
		}
	}
}

// again checks that nothing starts after it has ended well, whether the worker
// could say so or not. Where it could not, since nothing was heard of it, the
// plan may have chosen to start again, or an operator has said that it is gone.
func (n *notes) again(key string, earlier []run, r run, c *caller) {
	for _, e := range earlier {
		if e.Outcome != "good" || e.to >= r.from {
			continue
		}
		h := n.hands[e.Worker]
		at, told := h.acked[e.Attempt]
		unheard := slices.ContainsFunc(h.unheard, func(s [2]time.Duration) bool { return s[0] < r.from && (s[1] == 0 || s[1] > e.to) })
		saidGone := slices.ContainsFunc(h.gone, func(g time.Duration) bool { return g > e.from && g <= r.from })
		lapsed := n.steps && told && at <= r.from && r.from <= at+newsBound && slices.ContainsFunc(h.unheard, func(s [2]time.Duration) bool { return s[0] < at && (s[1] == 0 || s[1] > e.to) })
		switch {
		case lapsed:
			n.excuse("again-after-good", "its hold was over before the end was taken note of")
		case unheard && (!told || at > r.from) && n.restart[c.spec.Class]:
			n.excuse("again-after-good", "unheard, and its class restarts")
		case unheard && (!told || at > r.from) && saidGone:
			n.excuse("again-after-good", "said to be gone by an operator")
		default:
			n.fault("again-after-good", "%s: try %d on %s at %s, try %d had ended well on %s at %s", key, r.Number, r.Worker, secs(r.from), e.Number, e.Worker, secs(e.to))
		}
	}
}

// overtaken checks the order of starts, in all weathers: no task that is not
// quick starts where a quick one could have, while that one has waited longer
// than a pull, or, under faults of the daemons, than news takes.
func (n *notes) overtaken(byTask map[string][]run) {
	type wait struct {
		c        *caller
		task     state.TaskSpec
		from, to time.Duration
		runs     []run
	}
	var waits []wait
	var quick []run
	for _, c := range n.callers {
		if c.spec.Class != quickClass(c.spec.Service) || c.acceptedAt == 0 || c.impossible || len(c.spec.Tasks) != 1 {
			continue
		}
		runs := byTask[c.spec.ID+"/"+c.spec.Tasks[0].ID]
		quick = append(quick, runs...)
		from := c.acceptedAt
		for i := 0; i <= len(runs) && (i == 0 || runs[i-1].Outcome != "good"); i++ {
			to := n.end
			if c.cancelAt > 0 {
				to = c.cancelAt
			} else if c.overAt > 0 {
				to = c.overAt
			}
			if i < len(runs) {
				to = min(to, runs[i].from)
			}
			if to > from+pullBound {
				waits = append(waits, wait{c, c.spec.Tasks[0], from, to, runs[:i]})
			}
			if i < len(runs) {
				from = max(from, runs[i].end(n.end)+quickBound)
				if n.hands[runs[i].Worker].silentAt(runs[i].end(n.end)) {
					from += silenceBound
				}
			}
		}
	}
	for _, r := range n.runs {
		if r.Class == quickClass(r.Service) {
			continue
		}
		n.count("quick-overtaken")
		busy := -1
		for _, w := range waits {
			w.from = n.servedSince(w.from, r.from)
			bound := pullBound
			if n.disturbed(w.from, r.from) {
				bound = newsBound
			}
			if w.from+bound >= r.from || w.to <= r.from+passBound || !n.couldRun(w.task, r) {
				continue
			}
			if busy < 0 {
				busy = 0
				for _, q := range quick {
					if q.from <= r.from && q.end(n.end) > r.from {
						busy += q.Room.Slots
					}
				}
			}
			failedHere := slices.ContainsFunc(w.runs, func(e run) bool { return e.Worker == r.Worker && e.Outcome != "good" })
			switch {
			case busy+w.task.Resources.Slots > n.share[w.c.spec.Class]:
				n.excuse("quick-overtaken", "quick work fills its class's share")
			case n.someSilent(min(w.from-quickBound, w.c.sentAt-passBound), r.from):
				n.excuse("quick-overtaken", "may have been granted to a worker that went silent")
			case n.schedulerDied(w.from-passBound, w.from+passBound):
				n.excuse("quick-overtaken", "may have been granted by a scheduler that was in fault in that moment")
			case n.hands[r.Worker].spoiledAt(r.from) || failedHere:
				n.excuse("quick-overtaken", "the worker is sick, and gets no quick work")
			default:
				n.fault("quick-overtaken", "%s of class %s starts on %s at %s; quick %s has waited there since %s until %s", r.Attempt, r.Class, r.Worker, secs(r.from), w.c.spec.ID, secs(w.from), secs(w.to))
			}
		}
	}
}

// couldRun says whether a task would have fitted where another one started.
func (n *notes) couldRun(task state.TaskSpec, r run) bool {
	labels := n.hands[r.Worker].env.Labels
	for _, label := range task.Labels {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return r.Room.Covers(task.Resources)
}

// someSilent says whether a worker fell silent in a span, or was heard again
// just before it.
func (n *notes) someSilent(from, to time.Duration) bool {
	for _, h := range n.hands {
		if slices.ContainsFunc(h.unheard, func(s [2]time.Duration) bool { return s[0] > from && s[0] < to }) {
			return true
		}
	}
	return false
}

// servedSince moves the start of a wait past the times in which no keeper said
// that it serves: nothing is granted then, so nothing is overtaken. How long such
// a time may be is judged by speed, not by order.
func (n *notes) servedSince(from, to time.Duration) time.Duration {
	for _, s := range n.idle {
		if s[0] < to && s[1] > from {
			from = s[1]
		}
	}
	return from
}

func (n *notes) schedulerDied(from, to time.Duration) bool {
	return slices.ContainsFunc(n.daemons, func(d *node) bool { return d.role == "scheduler" && d.troubled(from, to) })
}

func (h *hand) silentAt(at time.Duration) bool {
	return slices.ContainsFunc(h.unheard, func(s [2]time.Duration) bool { return s[0] <= at && (s[1] == 0 || s[1]+quickBound > at) })
}

// spoiledAt says whether a worker was told to do badly lately.
func (h *hand) spoiledAt(at time.Duration) bool {
	return slices.ContainsFunc(h.spoiled, func(s [2]time.Duration) bool { return s[0] <= at && (s[1] == 0 || s[1]+30*time.Second > at) })
}

// gang checks that a member does not run long while another never came.
func (n *notes) gang(key string, r run, c *caller, byTask map[string][]run) {
	n.count("gang-alone")
	if r.alone && r.to > r.from+aloneBound && !n.disturbed(r.from, r.to) {
		n.fault("gang-alone", "%s waits on %s from %s to %s, and others never came", key, r.Worker, secs(r.from), secs(r.to))
	}
	if r.end(n.end)-r.from < gangBound {
		return
	}
	for _, other := range c.spec.Tasks {
		if other.Gang != r.Gang {
			continue
		}
		came := false
		for _, o := range byTask[c.spec.ID+"/"+other.ID] {
			came = came || o.from < r.from+gangBound && o.end(n.end) > r.from || o.Outcome == "good" && o.to <= r.from
		}
		if !came {
			n.fault("gang-alone", "%s runs from %s to %s, %s never came", key, secs(r.from), secs(r.end(n.end)), other.ID)
		}
	}
}

// known counts the defects of a task that were taken note of before a run began.
// The bad end of one member counts for its whole gang, once for each try.
func (n *notes) known(c *caller, spec state.TaskSpec, byTask map[string][]run, r run) int {
	tries := map[int]bool{}
	for _, other := range c.spec.Tasks {
		if other.ID != spec.ID && (spec.Gang == "" || other.Gang != spec.Gang) {
			continue
		}
		for _, e := range byTask[c.spec.ID+"/"+other.ID] {
			if at, told := n.hands[e.Worker].acked[e.Attempt]; e.Outcome == "bad" && told && at <= r.from && e.Number < r.Number {
				tries[e.Number] = true
			}
		}
	}
	return len(tries)
}

// crowded checks that no more of a step stand on one worker than may.
func (n *notes) crowded() {
	specs := map[string]*caller{}
	for _, c := range n.callers {
		specs[c.spec.ID] = c
	}
	type place struct {
		worker, job string
		time, step  int
	}
	byPlace := map[place][]run{}
	for _, r := range n.runs {
		c := specs[r.Job]
		if c == nil {
			continue
		}
		for _, t := range c.spec.Tasks {
			if t.ID != r.Task || t.MaxPerWorker == 0 {
				continue
			}
			n.count("crowded-worker")
			at, beside := place{r.Worker, r.Job, t.Repetition, t.Step}, 1
			for _, e := range byPlace[at] {
				if e.end(n.end) > r.from {
					beside++
				}
			}
			if byPlace[at] = append(byPlace[at], r); beside > t.MaxPerWorker {
				n.fault("crowded-worker", "%s is the number %d of its step on %s at %s, %d may be", r.Attempt, beside, r.Worker, secs(r.from), t.MaxPerWorker)
			}
		}
	}
}

func (n *notes) workerRuns(h *hand, runs []run) {
	type edge struct {
		at   time.Duration
		room state.Resources
		sign int
	}
	var edges []edge
	for _, r := range runs {
		edges = append(edges, edge{r.from, r.Room, 1}, edge{r.end(n.end), r.Room, -1})
	}
	sort.SliceStable(edges, func(i, j int) bool {
		return edges[i].at < edges[j].at || edges[i].at == edges[j].at && edges[i].sign < edges[j].sign
	})
	var used state.Resources
	for _, e := range edges {
		if e.sign > 0 {
			n.count("over-room")
			used = used.Add(e.room)
		} else {
			used = used.Sub(e.room)
		}
		if !h.env.Total.Covers(used) && h.w.Faults().LieSlots == 0 {
			n.fault("over-room", "%s has %+v, at %s it runs %+v", h.name(), h.env.Total, secs(e.at), used)
			return
		}
	}
}

func (n *notes) job(c *caller, byTask map[string][]run) {
	id := c.spec.ID
	for check, has := range map[string]bool{
		"job-forgotten": c.acceptedAt > 0 && c.asked > 0, "finished-with-open-task": c.overAt > 0, "start-after-cancel": c.cancelAt > 0,
		"long-unfinished": c.acceptedAt > 0 && !c.impossible && c.spec.Class != quickClass(c.spec.Service), "not-served-again": c.probe,
	} {
		if has {
			n.count(check)
		}
	}
	if c.acceptedAt > 0 && c.forgotten > 0 {
		n.fault("job-forgotten", "%s accepted at %s, called unknown at %s", id, secs(c.acceptedAt), secs(c.forgotten))
	}
	if c.early != "" {
		n.fault("finished-with-open-task", "%s shows as %s while task %s is open", id, c.state, c.early)
	}
	if c.acceptedAt > 0 && c.overAt == 0 && !c.impossible {
		n.fault("long-unfinished", "%s accepted at %s is still %q at %s", id, secs(c.acceptedAt), c.state, secs(n.end))
	}
	if c.probe {
		first, bound := n.first(c, byTask), 10*time.Second
		if c.spec.Class == quickClass(c.spec.Service) {
			bound = quickBound
		}
		if c.acceptedAt == 0 || c.acceptedAt > c.sentAt+3*time.Second || first > c.acceptedAt+bound {
			n.fault("not-served-again", "probe %s of class %s sent at %s, accepted at %s, first run at %s", id, c.spec.Class, secs(c.sentAt), secs(c.acceptedAt), secs(first))
		}
	}
	if c.state == state.Failed && c.dependable {
		n.fault("long-unfinished", "%s failed, though nothing in it was to fail", id)
	}
	if c.spec.Class != quickClass(c.spec.Service) || c.acceptedAt == 0 || n.disturbed(c.sentAt, c.sentAt+quickBound) {
		return
	}
	n.count("quick-behind-batch")
	first := n.first(c, byTask)
	if first > c.acceptedAt+quickBound && !n.available(c.spec.Tasks[0], c.acceptedAt, first) {
		n.excuse("quick-behind-batch", "no worker with its label was there")
		return
	}
	if first > c.acceptedAt+quickBound && c.cancelAt == 0 && !c.impossible {
		n.fault("quick-behind-batch", "%s accepted at %s, first run at %s", id, secs(c.acceptedAt), secs(first))
	}
}

// available says whether some worker with a task's labels was there for a while:
// neither silent nor leaving, nor in an emptied site.
func (n *notes) available(task state.TaskSpec, from, to time.Duration) bool {
	for _, h := range n.hands {
		fits := !slices.ContainsFunc(task.Labels, func(label string) bool { return !slices.Contains(h.env.Labels, label) })
		over := func(s [2]time.Duration) bool { return s[0] < to && (s[1] == 0 || s[1]+quickBound > from) }
		emptied := slices.ContainsFunc(n.empties, func(e *emptied) bool { return e.site == h.env.Site && over([2]time.Duration{e.from, e.to}) })
		if fits && !emptied && !slices.ContainsFunc(h.unheard, over) && !slices.ContainsFunc(h.lefts, over) {
			return true
		}
	}
	return false
}

// first is when a job's first run began.
func (n *notes) first(c *caller, byTask map[string][]run) time.Duration {
	first := n.end
	for _, t := range c.spec.Tasks {
		for _, r := range byTask[c.spec.ID+"/"+t.ID] {
			first = min(first, r.from)
		}
	}
	return first
}

func quickClass(service string) string {
	if service == "podcasts" {
		return "preview"
	}
	return "lookup"
}

func (n *notes) disturbed(from, to time.Duration) bool {
	for _, span := range n.faulty {
		if from < span[1] && to > span[0] {
			return true
		}
	}
	return false
}

// drained checks starts on workers that had said that they leave.
func (n *notes) drained() {
	for _, h := range n.hands {
		for _, left := range h.lefts {
			if left[1] > left[0]+drainBound {
				n.count("start-while-draining")
			}
		}
	}
	for _, e := range n.empties {
		if e.to == 0 || e.to > e.from+emptyBound {
			n.count("start-in-emptied-site")
		}
	}
	for _, r := range n.runs {
		for _, left := range n.hands[r.Worker].lefts {
			if r.from > left[0]+drainBound && r.from < left[1] {
				n.fault("start-while-draining", "%s/%s starts on %s at %s, leaving since %s", r.Job, r.Task, r.Worker, secs(r.from), secs(left[0]))
			}
		}
	}
}

// Story is what was noted of a real fleet, in one clock.
type Story struct {
	Runs    []fakeworker.Run
	Workers []fakeworker.Env
	Jobs    []JobNote
	Emptied []SiteNote
	Left    []WorkerNote
}

// JobNote is a job as its caller saw it; Cancelled and Over are when the answers
// came, zero if none did.
type JobNote struct {
	Spec            state.JobSpec
	Cancelled, Over time.Duration
	State           string
}

// SiteNote is a site from the request to empty it to the request to refill it.
type SiteNote struct {
	Site     string
	From, To time.Duration
}

// WorkerNote is a worker from its word that it leaves, or the operator's, on.
type WorkerNote struct {
	Worker   string
	From, To time.Duration
}

// JudgeStory judges a real fleet, and says how often each check had something to
// judge. An end counts from when it happened, not from its acknowledgement.
func JudgeStory(s Story) ([]Violation, map[string]int) {
	n := newNotes()
	for _, e := range s.Workers {
		n.hands[e.ID] = &hand{env: e, w: fakeworker.New(e), acked: map[state.Attempt]time.Duration{}}
	}
	for _, j := range s.Jobs {
		c := &caller{spec: j.Spec, state: j.State, overAt: j.Over, cancelAt: j.Cancelled}
		if c.overAt == 0 {
			c.overAt = 1 << 62
		}
		n.callers = append(n.callers, c)
	}
	for _, r := range s.Runs {
		n.runs = append(n.runs, run{Run: r, from: r.From, to: r.To})
		n.end = max(n.end, r.From+time.Millisecond, r.To)
	}
	for _, e := range s.Emptied {
		n.empties = append(n.empties, &emptied{site: e.Site, from: e.From, to: e.To})
	}
	for _, l := range s.Left {
		h := n.hands[l.Worker]
		h.lefts = append(h.lefts, [2]time.Duration{l.From, l.To})
	}
	n.judge()
	n.drained()
	return n.broken, n.judged
}
