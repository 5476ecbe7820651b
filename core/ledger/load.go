package ledger

import (
	"encoding/json"
	"fmt"
	"maps"

	"sorrelloom/core/machine"
)

// Load rebuilds a ledger from its records.
func Load(records []machine.Record) (*Ledger, error) {
	loader := NewLoader()
	for _, r := range records {
		if err := loader.Add(r); err != nil {
			return nil, err
		}
	}
	return loader.Ledger()
}

// Loader rebuilds a ledger from records that come piece by piece.
type Loader struct {
	ledger *Ledger
	// tasks came before their jobs.
	tasks []machine.Record
}

// NewLoader begins with an empty ledger.
func NewLoader() *Loader { return &Loader{ledger: New()} }

// Add takes the next record.
func (o *Loader) Add(r machine.Record) error {
	if err := o.add(r); err != nil {
		return fmt.Errorf("record %s/%s: %w", r.Bucket, r.Key, err)
	}
	return nil
}

func (o *Loader) add(r machine.Record) error {
	l := o.ledger
	switch r.Bucket {
	case "job":
		return o.addJob(r)
	case "task":
		if _, ok := l.jobs[refOf(r.Key).job]; ok {
			return o.addTask(r)
		}
		o.tasks = append(o.tasks, r)
		return nil
	case "worker":
		return loadInto(l.workers, r)
	case "site":
		return loadInto(l.emptied, r)
	case "duty":
		return loadInto(l.duties, r)
	case "daemon":
		return loadInto(l.daemons, r)
	case "request":
		return l.loadRequest(r)
	case "past":
		return loadInto(l.past.byKey, r)
	case "meta":
		return o.addMeta(r)
	}
	return fmt.Errorf("unknown bucket")
}

func (o *Loader) addJob(r machine.Record) error {
	if err := loadInto(o.ledger.jobs, r); err != nil {
		return err
	}
	job := o.ledger.jobs[r.Key]
	job.Spec.Tasks = placed(job.Spec)
	job.Tasks = fresh(job)
	o.ledger.jobs[r.Key] = job
	return nil
}

func (o *Loader) addTask(r machine.Record) error {
	at := refOf(r.Key)
	job, ok := o.ledger.jobs[at.job]
	if !ok || at.task >= len(job.Tasks) {
		return fmt.Errorf("there is no such task")
	}
	return json.Unmarshal(r.Value, &job.Tasks[at.task])
}

func (o *Loader) addMeta(r machine.Record) error {
	l := o.ledger
	if r.Key == "plan" {
		return json.Unmarshal(r.Value, &l.plan)
	}
	var m meta
	err := json.Unmarshal(r.Value, &m)
	l.position, l.at, l.next, l.horizon, l.decision = m.Position, m.At, m.Next, m.Horizon, m.Decision
	maps.Copy(l.orders, m.Orders)
	return err
}

// Ledger is the whole once all records are there.
func (o *Loader) Ledger() (*Ledger, error) {
	for _, r := range o.tasks {
		if err := o.addTask(r); err != nil {
			return nil, fmt.Errorf("record %s/%s: %w", r.Bucket, r.Key, err)
		}
	}
	o.tasks = nil
	o.ledger.rules = o.ledger.plan.Compile()
	o.ledger.index()
	return o.ledger, nil
}

func loadInto[V any](into map[string]V, r machine.Record) error {
	var v V
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return err
	}
	into[r.Key] = v
	return nil
}
