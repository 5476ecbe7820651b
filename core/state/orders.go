package state

import (
	"encoding/json"
	"iter"
	"time"

	"sorrelloom/core/config"
)

// StartReplies is how many heartbeats of a worker are answered with the same start order: the
// one on which the lease was granted, and the next one in case the first reply was lost.
const StartReplies = 2

// StartOrder is an order to run one attempt.
type StartOrder struct {
	Attempt
	Service   string          `json:"service"`
	Class     string          `json:"class"`
	Resources Resources       `json:"room"`
	Gang      string          `json:"gang,omitempty"`
	RunLimit  config.Duration `json:"runLimit,omitzero"`
	// DependencyWorkers are the workers on which the task's dependencies succeeded. It is empty
	// for jobs in steps.
	DependencyWorkers []string        `json:"holders,omitempty"`
	Payload           json.RawMessage `json:"payload,omitempty"`
	Checkpoint        string          `json:"saved,omitempty"`
	// GangWait is how long after the reply a gang member may wait for the other members. The
	// primary sets it when it sends the order, and then reports gangs that have started.
	GangWait time.Duration `json:"gangWait,omitempty"`
	// GrantedOnHeartbeat is the HeartbeatNumber of the lease. It is set by a primary that evaluates
	// Heartbeat.LastReply: the order is valid until a heartbeat whose LastReply is at least
	// GrantedOnHeartbeat + StartReplies has been sent.
	GrantedOnHeartbeat uint64 `json:"grantedOn,omitempty"`
}

// startOrder returns the order to start the attempt that a task is leased for.
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

// LeasedAttempt is a leased attempt with its lease and its start order.
type LeasedAttempt struct {
	Attempt
	// Index is the index of the task in its job.
	Index int
	Lease Lease
	Start StartOrder
}

func (s *Store) leasedAttempt(ref taskRef) LeasedAttempt {
	return LeasedAttempt{s.attemptOf(ref), ref.index, s.taskAt(ref).Lease, s.startOrder(ref)}
}

// LeasesOn returns the attempts that are leased to a worker, sorted by task number.
func (s *Store) LeasesOn(worker string) []LeasedAttempt {
	leases := s.usageOf(worker).leases
	attempts := make([]LeasedAttempt, 0, len(leases))
	for i := range leases {
		attempts = append(attempts, s.leasedAttempt(leases[i].ref))
	}
	return attempts
}

// PendingOrder is a leased attempt that is to be started or stopped. The lease is shared and
// must not be changed.
type PendingOrder struct {
	Attempt
	Lease *Lease
	ref   taskRef
}

// PendingOrders returns the leased attempts of a worker that are to be started or stopped.
func (s *Store) PendingOrders(worker string) iter.Seq[PendingOrder] {
	return func(yield func(PendingOrder) bool) {
		leases := s.usageOf(worker).leases
		for i := range leases {
			leased := &leases[i]
			lease := &leased.task.Lease
			isPending := lease.StopReason != "" || lease.StartedAt == 0
			if isPending && !yield(PendingOrder{leased.attempt(), lease, leased.ref}) {
				return
			}
		}
	}
}

// StartOrder returns the order to start a pending attempt.
func (s *Store) StartOrder(pending PendingOrder) StartOrder { return s.startOrder(pending.ref) }

// HasPendingOrders reports whether a worker has leases to be started or stopped.
func (s *Store) HasPendingOrders(worker string) bool {
	usage := s.usageOf(worker)
	return usage.stopCount+usage.unstartedCount > 0
}

// LeaseCount returns the number of leases that a worker holds.
func (s *Store) LeaseCount(worker string) int { return len(s.usageOf(worker).leases) }
