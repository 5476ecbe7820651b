package dispatch

import "sorrelloom/core/state"

// A pull asks of each queue whether it could take anything from it. Summaries answer most of
// these questions without a look at the tasks. They may only err on the side of a look.

// needFloor holds lower bounds of what tasks need, resource by resource: of all tasks, of
// those of quick classes, and of gangs. None of them is known for an empty set of tasks.
type needFloor struct {
	all, quick, gangs                state.Resources
	hasTasks, hasQuickTask, hasGangs bool
	// stale says that tasks were taken out since, so that the bounds may be too low.
	stale bool
}

// add takes the tasks of a key in.
func (f *needFloor) add(key *groupKey) {
	lower(&f.all, &f.hasTasks, key.resources)
	if key.quick {
		lower(&f.quick, &f.hasQuickTask, key.resources)
	}
	if key.isGang() {
		lower(&f.gangs, &f.hasGangs, key.resources)
	}
}

// merge takes the tasks of another floor in.
func (f *needFloor) merge(other *needFloor) {
	if other.hasTasks {
		lower(&f.all, &f.hasTasks, other.all)
	}
	if other.hasQuickTask {
		lower(&f.quick, &f.hasQuickTask, other.quick)
	}
	if other.hasGangs {
		lower(&f.gangs, &f.hasGangs, other.gangs)
	}
}

func lower(bound *state.Resources, known *bool, need state.Resources) {
	if *known {
		need = bound.Min(need)
	}
	*bound, *known = need, true
}

// mayFit reports whether a task may fit into free resources, of a quick class if that is
// asked for.
func (f *needFloor) mayFit(free *state.Resources, quickOnly bool) bool {
	if quickOnly {
		return f.hasQuickTask && free.Covers(f.quick)
	}
	return f.hasTasks && free.Covers(f.all)
}

// mayFitGang reports the same of a gang's member.
func (f *needFloor) mayFitGang(free *state.Resources) bool {
	return f.hasGangs && free.Covers(f.gangs)
}

// queueSummary tells in short what a queue holds.
type queueSummary struct {
	needFloor
	// topPriority is the largest priority among the quick tasks if there are any, and else
	// among all; hasQuickTask says which.
	topPriority int
}

// add takes the tasks of a key in.
func (s *queueSummary) add(key *groupKey) {
	switch {
	case !s.hasTasks, key.quick && !s.hasQuickTask:
		s.topPriority = key.priority
	case key.quick == s.hasQuickTask:
		s.topPriority = max(s.topPriority, key.priority)
	}
	s.needFloor.add(key)
}

// topTier returns the tier of the queue's first task where classes are ordered by priority.
func (s *queueSummary) topTier() tier { return tier{s.hasQuickTask, float64(s.topPriority)} }

// upToDate returns the summary of a queue, made anew if it is stale.
func (w *workerQueue) upToDate() *queueSummary {
	if w.summary.stale {
		w.summary = queueSummary{}
		for _, group := range w.groups {
			w.summary.add(&group.key)
		}
	}
	return &w.summary
}

// currentFloor returns the bounds of all queues together, made anew if they are stale.
func (q *workerQueues) currentFloor() *needFloor {
	if q.floor.stale {
		q.floor = needFloor{}
		for _, queue := range q.nonEmpty {
			q.floor.merge(&queue.upToDate().needFloor)
		}
	}
	return &q.floor
}
