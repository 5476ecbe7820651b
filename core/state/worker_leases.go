package state

import (
	"cmp"
	"slices"
)

// maxLinearSearch is the number of leases up to which finder searches linearly: for few
// leases, a map costs more to fill than it saves.
const maxLinearSearch = 32

// leasedTask is a leased task with its current specification and record, which are shared and
// must not be changed.
type leasedTask struct {
	ref  taskRef
	spec *TaskSpec
	task *Task
}

// attempt returns the attempt that the task is leased for.
func (l *leasedTask) attempt() Attempt {
	return Attempt{l.ref.job, l.spec.ID, l.task.Lease.AttemptNumber}
}

// compare orders leased tasks by task number, then by job and index.
func (l leasedTask) compare(other leasedTask) int {
	return cmp.Or(
		cmp.Compare(l.task.Number, other.task.Number),
		cmp.Compare(l.ref.job, other.ref.job), cmp.Compare(l.ref.index, other.ref.index),
	)
}

// workerLeases are the tasks that are leased to one worker, sorted by task number.
type workerLeases []leasedTask

func (l workerLeases) add(leased leasedTask) workerLeases {
	i, _ := slices.BinarySearchFunc(l, leased, leasedTask.compare)
	return slices.Insert(l, i, leased)
}

func (l workerLeases) remove(leased leasedTask) workerLeases {
	i, found := slices.BinarySearchFunc(l, leased, leasedTask.compare)
	if !found {
		return l
	}
	return slices.Delete(l, i, i+1)
}

// find returns the index of the lease of an attempt, or -1.
func (l workerLeases) find(attempt Attempt) int {
	return slices.IndexFunc(l, func(leased leasedTask) bool {
		return leased.task.Lease.AttemptNumber == attempt.Number && leased.ref.job == attempt.Job &&
			leased.spec.ID == attempt.Task
	})
}

// finder returns a function that does the same as find and is efficient for many attempts.
func (l workerLeases) finder() func(Attempt) int {
	if len(l) <= maxLinearSearch {
		return l.find
	}
	indexes := make(map[Attempt]int, len(l))
	for i := range l {
		indexes[l[i].attempt()] = i
	}
	return func(attempt Attempt) int {
		if i, found := indexes[attempt]; found {
			return i
		}
		return -1
	}
}
