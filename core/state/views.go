package state

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// What others may see of the state: copies of records, never the maps behind. The
// slices in them are shared and must not be changed.

// Job gives a job that is not forgotten yet.
func (s *Store) Job(id string) (Job, bool) {
	job, ok := s.jobs[id]
	return job, ok
}

// Worker gives a worker by its name.
func (s *Store) Worker(id string) (Worker, bool) {
	worker, ok := s.workers[id]
	return worker, ok
}

// Leadership gives a leadership by its name, the zero value if nobody had it yet.
func (s *Store) Leadership(name string) Leadership { return s.leaderships[name] }

// Leaderships gives every leadership by name.
func (s *Store) Leaderships() []Leadership {
	leaderships := make([]Leadership, 0, len(s.leaderships))
	for _, name := range slices.Sorted(maps.Keys(s.leaderships)) {
		leaderships = append(leaderships, s.leaderships[name])
	}
	return leaderships
}

// DrainedZones gives the zones that are drained, in order; never nil.
func (s *Store) DrainedZones() []string {
	return append([]string{}, slices.Sorted(maps.Keys(s.drainedZones))...)
}

// Schedulers gives the schedulers that were heard within the given span.
func (s *Store) Schedulers(within time.Duration) []Scheduler {
	var schedulers []Scheduler
	for _, id := range slices.Sorted(maps.Keys(s.schedulers)) {
		if scheduler := s.schedulers[id]; s.now-scheduler.LastSeenAt <= within {
			schedulers = append(schedulers, scheduler)
		}
	}
	return schedulers
}

// ActiveJobs gives every job that is not over, by acceptance.
func (s *Store) ActiveJobs() []Job {
	jobs := make([]Job, 0, len(s.activeJobs))
	for id := range s.activeJobs {
		jobs = append(jobs, s.jobs[id])
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Tasks[0].Number < jobs[j].Tasks[0].Number })
	return jobs
}

// LeasedAttempt is an attempt that is leased, with the orders that concern it.
type LeasedAttempt struct {
	Attempt
	Lease Lease
	Start StartOrder
}

func (s *Store) leasedAttempt(ref taskRef) LeasedAttempt {
	return LeasedAttempt{s.attemptOf(ref), s.taskAt(ref).Lease, s.startOrder(ref)}
}

// LeasesOn gives what is leased to a worker, by task number.
func (s *Store) LeasesOn(worker string) []LeasedAttempt {
	refs := s.leasedTasks(worker)
	attempts := make([]LeasedAttempt, 0, len(refs))
	for _, ref := range refs {
		attempts = append(attempts, s.leasedAttempt(ref))
	}
	return attempts
}

// PendingOrders gives what is leased to a worker and is to be started or stopped.
func (s *Store) PendingOrders(worker string) []LeasedAttempt {
	var attempts []LeasedAttempt
	for _, ref := range s.leasedTasks(worker) {
		if lease := &s.taskAt(ref).Lease; lease.StopReason != "" || lease.StartedAt == 0 {
			attempts = append(attempts, s.leasedAttempt(ref))
		}
	}
	return attempts
}

// HasPendingOrders says whether a worker has something to be started or stopped.
func (s *Store) HasPendingOrders(worker string) bool {
	usage := s.usage[worker]
	return usage.stopCount+usage.unstartedCount > 0
}

// LeaseCount is how many leases a worker holds.
func (s *Store) LeaseCount(worker string) int { return len(s.leases[worker]) }
