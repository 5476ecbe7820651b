package state

import (
	"encoding/json"

	"sorrelloom/core/config"
)

// StartOrder is an order to run one attempt.
type StartOrder struct {
	Attempt
	Service   string          `json:"service"`
	Class     string          `json:"class"`
	Resources Resources       `json:"room"`
	Gang      string          `json:"gang,omitempty"`
	RunLimit  config.Duration `json:"runLimit,omitzero"`
	// DependencyWorkers are the workers on which the task's dependencies succeeded.
	DependencyWorkers []string        `json:"holders,omitempty"`
	Payload           json.RawMessage `json:"payload,omitempty"`
	Checkpoint        string          `json:"saved,omitempty"`
}

// startOrder is the order to start what a task is leased for.
func (s *Store) startOrder(ref taskRef) StartOrder {
	job := s.jobs[ref.job]
	spec, task := &job.Spec.Tasks[ref.index], job.Tasks[ref.index]
	payload := spec.Payload
	if payload == nil {
		payload = job.Spec.Payload
	}
	order := StartOrder{
		Attempt: s.attemptOf(ref), Service: job.Spec.Service, Class: job.Spec.Class,
		Resources: spec.Resources, Gang: spec.Gang, RunLimit: config.Duration{Duration: task.Lease.RunLimit},
		Payload: payload, Checkpoint: task.Checkpoint,
	}
	if len(job.Spec.Steps) == 0 {
		for _, i := range spec.Dependencies {
			order.DependencyWorkers = append(order.DependencyWorkers, job.Tasks[i].CompletedOn)
		}
	}
	return order
}

// LeasedAttempt is an attempt that is leased, with the orders that concern it.
type LeasedAttempt struct {
	Attempt
	// Index is that of the task in its job.
	Index int
	Lease Lease
	Start StartOrder
}

func (s *Store) leasedAttempt(ref taskRef) LeasedAttempt {
	return LeasedAttempt{s.attemptOf(ref), ref.index, s.taskAt(ref).Lease, s.startOrder(ref)}
}

// LeasesOn gives what is leased to a worker, by task number.
func (s *Store) LeasesOn(worker string) []LeasedAttempt {
	leases := s.usageOf(worker).leases
	attempts := make([]LeasedAttempt, 0, len(leases))
	for i := range leases {
		attempts = append(attempts, s.leasedAttempt(leases[i].ref))
	}
	return attempts
}

// PendingOrders gives what is leased to a worker and is to be started or stopped.
func (s *Store) PendingOrders(worker string) []LeasedAttempt {
	var attempts []LeasedAttempt
	for _, leased := range s.usageOf(worker).leases {
		if lease := &leased.task.Lease; lease.StopReason != "" || lease.StartedAt == 0 {
			attempts = append(attempts, s.leasedAttempt(leased.ref))
		}
	}
	return attempts
}

// HasPendingOrders says whether a worker has something to be started or stopped.
func (s *Store) HasPendingOrders(worker string) bool {
	usage := s.usageOf(worker)
	return usage.stopCount+usage.unstartedCount > 0
}

// LeaseCount is how many leases a worker holds.
func (s *Store) LeaseCount(worker string) int { return len(s.usageOf(worker).leases) }
