package state

import (
	"iter"
	"slices"
	"time"
)

// PreemptibleLeases sums up the leases of one class on a worker that are not being stopped.
type PreemptibleLeases struct {
	Class ClassKey
	// All is the resources of all these leases, Borrowed those of the borrowed ones.
	All, Borrowed Resources
	// LastGrantAt is when the newest lease of the class was granted, even if that one has been
	// returned since.
	LastGrantAt time.Duration
}

// PreemptibleLeases returns the sums of the worker's leases by class. The list is shared: it
// must not be changed, and is valid until the next command.
func (e *WorkerEntry) PreemptibleLeases() []PreemptibleLeases { return e.usage.preemptible }

// LeasedTasks iterates over the tasks that are leased to a worker, as job and index in it,
// in the order of task numbers. Nothing is copied, so no command may be applied during the
// iteration.
func (s *Store) LeasedTasks(worker *WorkerEntry) iter.Seq2[*Job, int] {
	return func(yield func(*Job, int) bool) {
		for _, leased := range worker.usage.leases {
			if !yield(s.jobs[leased.ref.job], leased.ref.index) {
				return
			}
		}
	}
}

// adjustPreemptible adds a lease that is not being stopped to the sums of its class, or
// subtracts it, as add says.
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
