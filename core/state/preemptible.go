package state

import (
	"iter"
	"slices"
	"time"
)

// PreemptibleLeases sums those leases of one class on a worker that are not being stopped.
type PreemptibleLeases struct {
	Class ClassKey
	// All are the resources of all of them, Borrowed those of the borrowed ones.
	All, Borrowed Resources
	// LastGrantAt is when the last lease of the class was granted, whether it is held still or
	// not.
	LastGrantAt time.Duration
}

// PreemptibleLeases gives the sums of the worker's leases by class. The list is shared: it is
// not to be changed, and good until the next command.
func (e *WorkerEntry) PreemptibleLeases() []PreemptibleLeases { return e.usage.preemptible }

// LeasedTasks gives the jobs and the indexes of the tasks that are leased to a worker, by
// task number. Nothing is copied: no command may be applied meanwhile.
func (s *Store) LeasedTasks(worker *WorkerEntry) iter.Seq2[*Job, int] {
	return func(yield func(*Job, int) bool) {
		for _, leased := range worker.usage.leases {
			if !yield(s.jobs[leased.ref.job], leased.ref.index) {
				return
			}
		}
	}
}

// adjustPreemptible adds a lease that is not being stopped to the sums of its class, or takes
// it off.
func (u *workerUsage) adjustPreemptible(class ClassKey, lease *Lease, resources Resources, add resourceSum) {
	i := slices.IndexFunc(u.preemptible, func(sum PreemptibleLeases) bool { return sum.Class == class })
	if i < 0 {
		u.preemptible = append(u.preemptible, PreemptibleLeases{Class: class})
		i = len(u.preemptible) - 1
	}
	sum := &u.preemptible[i]
	sum.LastGrantAt = max(sum.LastGrantAt, lease.GrantedAt)
	sum.All = add(sum.All, resources)
	if lease.Borrowed {
		sum.Borrowed = add(sum.Borrowed, resources)
	}
}
