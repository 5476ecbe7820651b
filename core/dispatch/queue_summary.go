package dispatch

import "sorrelloom/core/state"

// Each pull asks every queue whether it holds a task that the worker could take. Summaries
// answer most of these questions without examining the tasks. They may report too many
// candidate queues, never too few.

// needFloor holds lower bounds of what tasks need of each resource: of all tasks, of those of
// quick classes, and of gangs. A bound is unknown while its set of tasks is empty.
type needFloor struct {
	all, quick, gangs                state.Resources
	hasTasks, hasQuickTask, hasGangs bool
	// stale is set if tasks have been removed since the bounds were computed, so that the
	// bounds may be too low.
	stale bool
}

// add includes the tasks of a key.
func (f *needFloor) add(key *groupKey) {
	lower(&f.all, &f.hasTasks, key.resources)
	if key.quick {
		lower(&f.quick, &f.hasQuickTask, key.resources)
	}
	if key.isGang() {
		lower(&f.gangs, &f.hasGangs, key.resources)
	}
}

// merge includes the tasks of another floor.
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

// mayFit reports whether a task may fit into free resources; with quickOnly, a task of a quick
// class.
func (f *needFloor) mayFit(free *state.Resources, quickOnly bool) bool {
	if quickOnly {
		return f.hasQuickTask && free.Covers(f.quick)
	}
	return f.hasTasks && free.Covers(f.all)
}

// mayFitGang reports whether a member of a gang may fit into free resources.
func (f *needFloor) mayFitGang(free *state.Resources) bool {
	return f.hasGangs && free.Covers(f.gangs)
}

// queueSummary summarizes the tasks of a queue.
type queueSummary struct {
	needFloor
	// topPriority is the largest priority among the quick tasks if there are any, else among
	// all; hasQuickTask tells which.
	topPriority int
}

// add includes the tasks of a key.
func (s *queueSummary) add(key *groupKey) {
	switch {
	case !s.hasTasks, key.quick && !s.hasQuickTask:
		s.topPriority = key.priority
	case key.quick == s.hasQuickTask:
		s.topPriority = max(s.topPriority, key.priority)
	}
	s.needFloor.add(key)
}

// topTier returns the tier of the queue's first task if classes are ordered by priority.
func (s *queueSummary) topTier() tier { return tier{s.hasQuickTask, float64(s.topPriority)} }

// currentSummary returns the summary of a queue, recomputed if it is stale.
func (w *workerQueue) currentSummary() *queueSummary {
	if w.summary.stale {
		w.summary = queueSummary{}
		for _, group := range w.groups {
			w.summary.add(&group.key)
		}
	}
	return &w.summary
}

// currentFloor returns the bounds of all queues together, recomputed if they are stale.
func (q *workerQueues) currentFloor() *needFloor {
	if q.floor.stale {
		q.floor = needFloor{}
		for _, queue := range q.nonEmpty {
			q.floor.merge(&queue.currentSummary().needFloor)
		}
	}
	return &q.floor
}
