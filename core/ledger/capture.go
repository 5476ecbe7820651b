package ledger

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
)

// Capture is a ledger as it stood at one position. To take one costs a copy of
// the maps; jobs, workers and the rest are copied on write, so that a capture
// can be encoded later, piece by piece and by another goroutine.
type Capture struct {
	meta     meta
	plan     plan.Plan
	jobs     map[string]Job
	workers  map[string]Worker
	emptied  map[string]bool
	duties   map[string]Duty
	daemons  map[string]Daemon
	requests map[string]Request
	past     map[string]Past
}

// Capture takes the ledger between two commands.
func (l *Ledger) Capture() *Capture {
	return &Capture{
		meta:     meta{l.position, l.at, l.next, l.horizon, l.decision, maps.Clone(l.orders)},
		plan:     l.plan,
		jobs:     maps.Clone(l.jobs),
		workers:  maps.Clone(l.workers),
		emptied:  maps.Clone(l.emptied),
		duties:   maps.Clone(l.duties),
		daemons:  maps.Clone(l.daemons),
		requests: l.remembered(),
		past:     maps.Clone(l.past.byKey),
	}
}

// Position is where the ledger stood.
func (c *Capture) Position() Position { return c.meta.Position }

// Key names one record of a capture.
type Key struct{ Bucket, Key string }

// Keys names all records of the capture, in the order of buckets and keys.
func (c *Capture) Keys() []Key {
	out := appendKeys(nil, "daemon", c.daemons)
	out = appendKeys(out, "duty", c.duties)
	out = appendKeys(out, "job", c.jobs)
	out = append(out, Key{"meta", "position"}, Key{"meta", "plan"})
	out = appendKeys(out, "past", c.past)
	out = appendKeys(out, "request", c.requests)
	out = appendKeys(out, "site", c.emptied)
	for _, job := range slices.Sorted(maps.Keys(c.jobs)) {
		for i := range c.jobs[job].Tasks {
			out = append(out, Key{"task", taskKey(ref{job, i})})
		}
	}
	return appendKeys(out, "worker", c.workers)
}

func appendKeys[V any](out []Key, bucket string, values map[string]V) []Key {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		out = append(out, Key{bucket, key})
	}
	return out
}

// Record encodes one record, which Keys has named.
func (c *Capture) Record(k Key) machine.Record {
	return machine.Record{Bucket: k.Bucket, Key: k.Key, Value: machine.MustJSON(c.value(k))}
}

func (c *Capture) value(k Key) any {
	switch k.Bucket {
	case "job":
		return withoutTasks(c.jobs[k.Key])
	case "task":
		at := refOf(k.Key)
		return c.jobs[at.job].Tasks[at.task]
	case "worker":
		return c.workers[k.Key]
	case "site":
		return c.emptied[k.Key]
	case "duty":
		return c.duties[k.Key]
	case "daemon":
		return c.daemons[k.Key]
	case "request":
		return c.requests[k.Key]
	case "past":
		return c.past[k.Key]
	}
	if k.Key == "plan" {
		return c.plan
	}
	return c.meta
}

// withoutTasks leaves out the tasks, which are records of their own, and what the
// steps of a job say already.
func withoutTasks(job Job) Job {
	job.Tasks = nil
	if len(job.Spec.Steps) > 0 {
		job.Spec.Tasks = nil
	}
	return job
}

// Records encodes the capture, one record at a time.
func (c *Capture) Records() iter.Seq[machine.Record] {
	return func(yield func(machine.Record) bool) {
		for _, k := range c.Keys() {
			if !yield(c.Record(k)) {
				return
			}
		}
	}
}

// Ledger gives a ledger that stands where the captured one stood.
func (c *Capture) Ledger() *Ledger {
	l := New()
	m := c.meta
	l.position, l.at, l.next, l.horizon, l.decision = m.Position, m.At, m.Next, m.Horizon, m.Decision
	l.plan, l.rules = c.plan, c.plan.Compile()
	l.jobs, l.workers, l.emptied = maps.Clone(c.jobs), maps.Clone(c.workers), maps.Clone(c.emptied)
	l.duties, l.daemons = maps.Clone(c.duties), maps.Clone(c.daemons)
	l.requests.byKey, l.past.byKey = maps.Clone(c.requests), maps.Clone(c.past)
	l.index()
	return l
}

func taskKey(at ref) string { return at.job + "/" + strconv.Itoa(at.task) }

func refOf(key string) ref {
	job, number, _ := strings.Cut(key, "/")
	i, err := strconv.Atoi(number)
	if err != nil {
		return ref{}
	}
	return ref{job, i}
}
