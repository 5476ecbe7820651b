package state

import (
	"encoding/json"
	"errors"
	"fmt"

	"sorrelloom/core/machine"
)

// Errors of a Loader, wrapped with the bucket and key of the record.
var (
	ErrUnknownBucket = errors.New("unknown bucket")
	ErrUnknownTask   = errors.New("task does not exist in its job")
)

// Load rebuilds a store from its records.
func Load(records []machine.Record) (*Store, error) {
	loader := NewLoader()
	for _, record := range records {
		if err := loader.Add(record); err != nil {
			return nil, err
		}
	}
	return loader.Store()
}

// Loader rebuilds a store from records that arrive one at a time, in any order.
type Loader struct {
	store *Store
	// deferredTasks are records of tasks that arrived before their jobs.
	deferredTasks []machine.Record
}

// NewLoader returns a Loader without any records.
func NewLoader() *Loader { return &Loader{store: New()} }

// Add adds the next record.
func (l *Loader) Add(record machine.Record) error { return recordError(record, l.add(record)) }

// recordError wraps an error with the bucket and key of its record.
func recordError(record machine.Record, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("record %s/%s: %w", record.Bucket, record.Key, err)
}

func (l *Loader) add(record machine.Record) error {
	s := l.store
	switch record.Bucket {
	case bucketJob:
		return l.addJob(record)
	case bucketTask:
		if _, ok := s.jobs[parseTaskKey(record.Key).job]; ok {
			return l.addTask(record)
		}
		l.deferredTasks = append(l.deferredTasks, record)
		return nil
	case bucketWorker:
		return decodeInto(s.workers, record)
	case bucketZone:
		return decodeInto(s.drainedZones, record)
	case bucketLeadership:
		return decodeInto(s.leaderships, record)
	case bucketScheduler:
		return decodeInto(s.schedulers, record)
	case bucketRequest:
		return s.loadRequest(record)
	case bucketPastJob:
		return decodeInto(s.pastJobs.byKey, record)
	case bucketMetadata:
		return l.addMetadata(record)
	}
	return ErrUnknownBucket
}

func (l *Loader) addJob(record machine.Record) error {
	if err := decodeInto(l.store.jobs, record); err != nil {
		return err
	}
	job := l.store.jobs[record.Key]
	job.Spec.Tasks = resolveDependencies(job.Spec)
	job.Tasks = newTasks(job)
	return nil
}

func (l *Loader) addTask(record machine.Record) error {
	ref := parseTaskKey(record.Key)
	job, ok := l.store.jobs[ref.job]
	if !ok || ref.index >= len(job.Tasks) {
		return ErrUnknownTask
	}
	return json.Unmarshal(record.Value, job.Tasks[ref.index])
}

func (l *Loader) addMetadata(record machine.Record) error {
	if record.Key == keyConfig {
		return json.Unmarshal(record.Value, &l.store.config)
	}
	var m metadata
	err := json.Unmarshal(record.Value, &m)
	l.store.applyMetadata(m)
	return err
}

// Store returns the loaded store. It must be called once all records have been added.
func (l *Loader) Store() (*Store, error) {
	for _, record := range l.deferredTasks {
		if err := recordError(record, l.addTask(record)); err != nil {
			return nil, err
		}
	}
	l.deferredTasks = nil
	l.store.setConfig(l.store.config)
	l.store.rebuildIndexes()
	return l.store, nil
}

func decodeInto[V any](into map[string]V, record machine.Record) error {
	var value V
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return err
	}
	into[record.Key] = value
	return nil
}
