// Captures of the ledger at one position, for snapshots and checkpoints.

package state

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
)

// Capture is a ledger as it stood at one position. To take one costs a copy of
// the maps; jobs, workers and the rest are copied on write, so that a capture
// can be encoded later, piece by piece and by another goroutine.
type Snapshot struct {
	metadata     metadata
	config       config.Config
	jobs         map[string]Job
	workers      map[string]Worker
	drainedZones map[string]bool
	leaderships  map[string]Leadership
	schedulers   map[string]Scheduler
	requests     map[string]Request
	pastJobs     map[string]PastJob
}

// Capture takes the ledger between two commands.
func (l *Store) Snapshot() *Snapshot {
	return &Snapshot{
		metadata:     metadata{l.position, l.now, l.nextTaskNumber, l.forgottenUntil, l.lastDecisionIndex, maps.Clone(l.zoneOrders)},
		config:       l.config,
		jobs:         maps.Clone(l.jobs),
		workers:      maps.Clone(l.workers),
		drainedZones: maps.Clone(l.drainedZones),
		leaderships:  maps.Clone(l.leaderships),
		schedulers:   maps.Clone(l.schedulers),
		requests:     l.rememberedRequests(),
		pastJobs:     maps.Clone(l.pastJobs.byKey),
	}
}

// Position is where the ledger stood.
func (c *Snapshot) Position() LogPosition { return c.metadata.Position }

// Key names one record of a capture.
type RecordKey struct{ Bucket, Key string }

// Keys names all records of the capture, in the order of buckets and keys.
func (c *Snapshot) Keys() []RecordKey {
	out := appendKeys(nil, "daemon", c.schedulers)
	out = appendKeys(out, "duty", c.leaderships)
	out = appendKeys(out, "job", c.jobs)
	out = append(out, RecordKey{"meta", "position"}, RecordKey{"meta", "plan"})
	out = appendKeys(out, "past", c.pastJobs)
	out = appendKeys(out, "request", c.requests)
	out = appendKeys(out, "site", c.drainedZones)
	for _, job := range slices.Sorted(maps.Keys(c.jobs)) {
		for i := range c.jobs[job].Tasks {
			out = append(out, RecordKey{"task", taskKey(taskRef{job, i})})
		}
	}
	return appendKeys(out, "worker", c.workers)
}

func appendKeys[V any](out []RecordKey, bucket string, values map[string]V) []RecordKey {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		out = append(out, RecordKey{bucket, key})
	}
	return out
}

// Record encodes one record, which Keys has named.
func (c *Snapshot) Record(k RecordKey) machine.Record {
	return machine.Record{Bucket: k.Bucket, Key: k.Key, Value: machine.MustJSON(c.value(k))}
}

func (c *Snapshot) value(k RecordKey) any {
	switch k.Bucket {
	case "job":
		return withoutTasks(c.jobs[k.Key])
	case "task":
		at := parseTaskKey(k.Key)
		return c.jobs[at.job].Tasks[at.index]
	case "worker":
		return c.workers[k.Key]
	case "site":
		return c.drainedZones[k.Key]
	case "duty":
		return c.leaderships[k.Key]
	case "daemon":
		return c.schedulers[k.Key]
	case "request":
		return c.requests[k.Key]
	case "past":
		return c.pastJobs[k.Key]
	}
	if k.Key == "plan" {
		return c.config
	}
	return c.metadata
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
func (c *Snapshot) Records() iter.Seq[machine.Record] {
	return func(yield func(machine.Record) bool) {
		for _, k := range c.Keys() {
			if !yield(c.Record(k)) {
				return
			}
		}
	}
}

// Ledger gives a ledger that stands where the captured one stood.
func (c *Snapshot) Store() *Store {
	l := New()
	l.applyMetadata(c.metadata)
	l.config, l.policies = c.config, c.config.Compile()
	l.jobs, l.workers, l.drainedZones = maps.Clone(c.jobs), maps.Clone(c.workers), maps.Clone(c.drainedZones)
	l.leaderships, l.schedulers = maps.Clone(c.leaderships), maps.Clone(c.schedulers)
	l.pastJobs.byKey = maps.Clone(c.pastJobs)
	for token, r := range c.requests {
		l.addRequest(token, r)
	}
	l.rebuildIndexes()
	return l
}

func taskKey(at taskRef) string { return at.job + "/" + strconv.Itoa(at.index) }

func parseTaskKey(key string) taskRef {
	job, number, _ := strings.Cut(key, "/")
	i, err := strconv.Atoi(number)
	if err != nil {
		return taskRef{}
	}
	return taskRef{job, i}
}
