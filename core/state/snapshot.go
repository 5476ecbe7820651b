package state

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
)

// The buckets of records, and the keys in the metadata bucket. The values are written to
// disk and sent to replicas of other versions, so they must never change.
const (
	bucketLeadership = "duty"
	bucketJob        = "job"
	bucketMetadata   = "meta"
	bucketPastJob    = "past"
	bucketRequest    = "request"
	bucketScheduler  = "daemon"
	bucketTask       = "task"
	bucketWorker     = "worker"
	bucketZone       = "site"

	keyPosition = "position"
	keyConfig   = "plan"
)

// Snapshot is the state at one position, for transfers to other replicas and for storage.
// Taking a snapshot copies the maps only. Jobs, workers and the other records are copied on
// write, so a snapshot can be encoded later, record by record and by another goroutine.
type Snapshot struct {
	metadata     metadata
	config       config.Config
	jobs         map[string]*Job
	workers      map[string]*Worker
	drainedZones map[string]bool
	leaderships  map[string]Leadership
	schedulers   map[string]Scheduler
	requests     map[string]Request
	pastJobs     map[string]PastJob
}

// metadata is the record of all state that is not kept in records of its own.
type metadata struct {
	Position          LogPosition   `json:"position"`
	Time              time.Duration `json:"at"`
	NextTaskNumber    uint64        `json:"next"`
	ForgottenUntil    time.Duration `json:"horizon,omitempty"`
	LastDecisionIndex uint64        `json:"decision,omitempty"`
	// ZoneOrders maps a zone to the log index of the last order to drain or refill it.
	ZoneOrders map[string]uint64 `json:"orders,omitempty"`
	// FormerLimits holds the limits of tenants that were removed from the configuration; see
	// Store.formerLimits.
	FormerLimits map[string]Resources `json:"formerLimits,omitempty"`
	// FormerClasses holds, by service and name, the classes that were removed from the
	// configuration; see Store.formerClasses.
	FormerClasses map[string]map[string]config.Class `json:"formerClasses,omitempty"`
}

// Snapshot returns a snapshot of the current state. It must be called between two commands.
func (s *Store) Snapshot() *Snapshot {
	return &Snapshot{
		metadata: metadata{
			Position:          s.position,
			Time:              s.now,
			NextTaskNumber:    s.nextTaskNumber,
			ForgottenUntil:    s.forgottenUntil,
			LastDecisionIndex: s.audit.lastIndex,
			ZoneOrders:        maps.Clone(s.zoneOrders),
			FormerLimits:      maps.Clone(s.formerLimits),
			FormerClasses:     s.formerClasses,
		},
		config:       s.config,
		jobs:         maps.Clone(s.jobs),
		workers:      maps.Clone(s.workers),
		drainedZones: maps.Clone(s.drainedZones),
		leaderships:  maps.Clone(s.leaderships),
		schedulers:   maps.Clone(s.schedulers),
		requests:     s.rememberedRequests(),
		pastJobs:     maps.Clone(s.pastJobs.byKey),
	}
}

// applyMetadata sets the fields of the store that the metadata record holds.
func (s *Store) applyMetadata(m metadata) {
	s.position, s.now, s.nextTaskNumber = m.Position, m.Time, m.NextTaskNumber
	s.forgottenUntil, s.audit.lastIndex = m.ForgottenUntil, m.LastDecisionIndex
	maps.Copy(s.zoneOrders, m.ZoneOrders)
	maps.Copy(s.formerLimits, m.FormerLimits)
	s.formerClasses = m.FormerClasses
}

// Records returns the whole state as encoded records.
func (s *Store) Records() []machine.Record { return slices.Collect(s.Snapshot().Records()) }

// Position returns the position at which the snapshot was taken.
func (c *Snapshot) Position() LogPosition { return c.metadata.Position }

// RecordKey identifies one record of a snapshot.
type RecordKey struct{ Bucket, Key string }

// Keys returns the keys of all records of the snapshot, in a fixed order: by bucket, then by
// key, tasks by job and index.
func (c *Snapshot) Keys() []RecordKey {
	keys := appendKeys(nil, bucketScheduler, c.schedulers)
	keys = appendKeys(keys, bucketLeadership, c.leaderships)
	keys = appendKeys(keys, bucketJob, c.jobs)
	keys = append(keys, RecordKey{bucketMetadata, keyPosition}, RecordKey{bucketMetadata, keyConfig})
	keys = appendKeys(keys, bucketPastJob, c.pastJobs)
	keys = appendKeys(keys, bucketRequest, c.requests)
	keys = appendKeys(keys, bucketZone, c.drainedZones)
	for _, job := range slices.Sorted(maps.Keys(c.jobs)) {
		for i := range c.jobs[job].Tasks {
			keys = append(keys, RecordKey{bucketTask, taskKey(taskRef{job, i})})
		}
	}
	return appendKeys(keys, bucketWorker, c.workers)
}

func appendKeys[V any](keys []RecordKey, bucket string, values map[string]V) []RecordKey {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		keys = append(keys, RecordKey{bucket, key})
	}
	return keys
}

// Record encodes the record with a key that Keys has returned.
func (c *Snapshot) Record(key RecordKey) machine.Record {
	return machine.Record{Bucket: key.Bucket, Key: key.Key, Value: machine.MustJSON(c.value(key))}
}

func (c *Snapshot) value(key RecordKey) any {
	switch key.Bucket {
	case bucketJob:
		return withoutTasks(c.jobs[key.Key])
	case bucketTask:
		ref := parseTaskKey(key.Key)
		return c.jobs[ref.job].Tasks[ref.index]
	case bucketWorker:
		return c.workers[key.Key]
	case bucketZone:
		return c.drainedZones[key.Key]
	case bucketLeadership:
		return c.leaderships[key.Key]
	case bucketScheduler:
		return c.schedulers[key.Key]
	case bucketRequest:
		return c.requests[key.Key]
	case bucketPastJob:
		return c.pastJobs[key.Key]
	}
	if key.Key == keyConfig {
		return c.config
	}
	return c.metadata
}

// withoutTasks returns a job's record without its tasks, which have records of their own,
// and without the task specifications that the steps of a job already define.
func withoutTasks(job *Job) Job {
	record := *job
	record.Tasks = nil
	if len(job.Spec.Steps) > 0 {
		record.Spec.Tasks = nil
	}
	return record
}

// Records iterates over the records of the snapshot and encodes them one at a time.
func (c *Snapshot) Records() iter.Seq[machine.Record] {
	return func(yield func(machine.Record) bool) {
		for _, key := range c.Keys() {
			if !yield(c.Record(key)) {
				return
			}
		}
	}
}

// Store returns a new store with the state of the snapshot.
func (c *Snapshot) Store() *Store {
	s := New()
	s.applyMetadata(c.metadata)
	s.setConfig(c.config)
	s.jobs, s.workers = maps.Clone(c.jobs), maps.Clone(c.workers)
	s.drainedZones = maps.Clone(c.drainedZones)
	s.leaderships, s.schedulers = maps.Clone(c.leaderships), maps.Clone(c.schedulers)
	s.pastJobs.byKey = maps.Clone(c.pastJobs)
	for key, request := range c.requests {
		s.addRequest(key, request)
	}
	s.rebuildIndexes()
	return s
}

// taskKey returns the key of a task's record: "job/index".
func taskKey(ref taskRef) string { return ref.job + "/" + strconv.Itoa(ref.index) }

func parseTaskKey(key string) taskRef {
	job, number, _ := strings.Cut(key, "/")
	i, err := strconv.Atoi(number)
	if err != nil {
		return taskRef{}
	}
	return taskRef{job, i}
}
