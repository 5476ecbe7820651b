// Rebuilding a ledger from records.

package state

import (
	"encoding/json"
	"fmt"
	"maps"

	"sorrelloom/core/machine"
)

// Load rebuilds a ledger from its records.
func Load(records []machine.Record) (*Store, error) {
	loader := NewLoader()
	for _, r := range records {
		if err := loader.Add(r); err != nil {
			return nil, err
		}
	}
	return loader.Store()
}

// Loader rebuilds a ledger from records that come piece by piece.
type Loader struct {
	store *Store
	// tasks came before their jobs.
	deferredTasks []machine.Record
}

// NewLoader begins with an empty ledger.
func NewLoader() *Loader { return &Loader{store: New()} }

// Add takes the next record.
func (o *Loader) Add(r machine.Record) error {
	if err := o.add(r); err != nil {
		return fmt.Errorf("record %s/%s: %w", r.Bucket, r.Key, err)
	}
	return nil
}

func (o *Loader) add(r machine.Record) error {
	l := o.store
	switch r.Bucket {
	case "job":
		return o.addJob(r)
	case "task":
		if _, ok := l.jobs[parseTaskKey(r.Key).job]; ok {
			return o.addTask(r)
		}
		o.deferredTasks = append(o.deferredTasks, r)
		return nil
	case "worker":
		return decodeInto(l.workers, r)
	case "site":
		return decodeInto(l.drainedZones, r)
	case "duty":
		return decodeInto(l.leaderships, r)
	case "daemon":
		return decodeInto(l.schedulers, r)
	case "request":
		return l.loadRequest(r)
	case "past":
		return decodeInto(l.pastJobs.byKey, r)
	case "meta":
		return o.addMeta(r)
	}
	return fmt.Errorf("unknown bucket")
}

func (o *Loader) addJob(r machine.Record) error {
	if err := decodeInto(o.store.jobs, r); err != nil {
		return err
	}
	job := o.store.jobs[r.Key]
	job.Spec.Tasks = resolveDependencies(job.Spec)
	job.Tasks = newTasks(job)
	o.store.jobs[r.Key] = job
	return nil
}

func (o *Loader) addTask(r machine.Record) error {
	at := parseTaskKey(r.Key)
	job, ok := o.store.jobs[at.job]
	if !ok || at.index >= len(job.Tasks) {
		return fmt.Errorf("there is no such task")
	}
	return json.Unmarshal(r.Value, &job.Tasks[at.index])
}

func (o *Loader) addMeta(r machine.Record) error {
	l := o.store
	if r.Key == "plan" {
		return json.Unmarshal(r.Value, &l.config)
	}
	var m metadata
	err := json.Unmarshal(r.Value, &m)
	l.applyMetadata(m)
	return err
}

func (l *Store) applyMetadata(m metadata) {
	l.position, l.now, l.nextTaskNumber, l.forgottenUntil, l.lastDecisionIndex = m.Position, m.Time, m.NextTaskNumber, m.ForgottenUntil, m.LastDecisionIndex
	maps.Copy(l.zoneOrders, m.ZoneOrders)
}

// Ledger is the whole once all records are there.
func (o *Loader) Store() (*Store, error) {
	for _, r := range o.deferredTasks {
		if err := o.addTask(r); err != nil {
			return nil, fmt.Errorf("record %s/%s: %w", r.Bucket, r.Key, err)
		}
	}
	o.deferredTasks = nil
	o.store.policies = o.store.config.Compile()
	o.store.rebuildIndexes()
	return o.store, nil
}

func decodeInto[V any](into map[string]V, r machine.Record) error {
	var v V
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return err
	}
	into[r.Key] = v
	return nil
}
