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

// Records encodes the capture, one record at a time, in the order of buckets and keys.
func (c *Capture) Records() iter.Seq[machine.Record] {
	return func(yield func(machine.Record) bool) {
		_ = encodeAll("daemon", c.daemons, yield) &&
			encodeAll("duty", c.duties, yield) &&
			c.encodeJobs(yield) &&
			yield(machine.Record{Bucket: "meta", Key: "position", Value: machine.MustJSON(c.meta)}) &&
			yield(machine.Record{Bucket: "meta", Key: "plan", Value: machine.MustJSON(c.plan)}) &&
			encodeAll("past", c.past, yield) &&
			encodeAll("request", c.requests, yield) &&
			encodeAll("site", c.emptied, yield) &&
			c.encodeTasks(yield) &&
			encodeAll("worker", c.workers, yield)
	}
}

func encodeAll[V any](bucket string, values map[string]V, yield func(machine.Record) bool) bool {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if !yield(machine.Record{Bucket: bucket, Key: key, Value: machine.MustJSON(values[key])}) {
			return false
		}
	}
	return true
}

// encodeJobs leaves out the tasks, which are records of their own, and what the
// steps of a job say already.
func (c *Capture) encodeJobs(yield func(machine.Record) bool) bool {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[key]
		job.Tasks = nil
		if len(job.Spec.Steps) > 0 {
			job.Spec.Tasks = nil
		}
		if !yield(machine.Record{Bucket: "job", Key: key, Value: machine.MustJSON(job)}) {
			return false
		}
	}
	return true
}

func (c *Capture) encodeTasks(yield func(machine.Record) bool) bool {
	for _, job := range slices.Sorted(maps.Keys(c.jobs)) {
		for i, task := range c.jobs[job].Tasks {
			key := taskKey(ref{job, i})
			if !yield(machine.Record{Bucket: "task", Key: key, Value: machine.MustJSON(task)}) {
				return false
			}
		}
	}
	return true
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
