package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// waitingGroups holds the tasks of all queues by what they have in common, whichever queue
// they are in. It leaves out gangs, for which no lease is preempted.
type waitingGroups struct {
	byKey   map[groupKey]*waitingGroup
	byClass map[state.ClassKey]*waitingClass
}

// waitingGroup holds the tasks of one key in all queues, by number. It is never empty.
type waitingGroup struct {
	key groupKey
	// firstNumber is that of its first task.
	firstNumber uint64
	tasks       []queuedTask
	// refusedPull is the number of the last pull that may take none of the tasks.
	refusedPull uint64
}

// refuse notes that a pull may take none of the tasks.
func (g *waitingGroup) refuse(pull *pullRequest) {
	if g != nil {
		g.refusedPull = pull.number
	}
}

// refusedBy reports whether it was noted that a pull may take none of the tasks.
func (g *waitingGroup) refusedBy(pull *pullRequest) bool {
	return g != nil && pull.number > 0 && g.refusedPull == pull.number
}

// waitingClass holds the groups of one class, by their first numbers, and how far the round
// of preemption over them has come.
type waitingClass struct {
	key    state.ClassKey
	groups []*waitingGroup
	round  preemptionRound
}

// preemptionRound looks at each group of a class once. It may take several scans.
type preemptionRound struct {
	startedAt time.Duration
	// nextNumber is the first number of the next group to look at.
	nextNumber uint64
	// complete says that all groups have been looked at.
	complete bool
}

func newWaitingGroups() waitingGroups {
	return waitingGroups{byKey: map[groupKey]*waitingGroup{}, byClass: map[state.ClassKey]*waitingClass{}}
}

func (k *groupKey) classKey() state.ClassKey {
	return state.ClassKey{Service: k.service, Class: k.class}
}

// group returns that of a key, which is empty until a task is inserted; nil for gangs.
func (w *waitingGroups) group(key *groupKey) *waitingGroup {
	if key.isGang() {
		return nil
	}
	if group := w.byKey[*key]; group != nil {
		return group
	}
	return &waitingGroup{key: *key}
}

// insert takes a task that came into a queue into the group of its key.
func (w *waitingGroups) insert(task queuedTask, group *waitingGroup) {
	if group == nil {
		return
	}
	class := w.class(group.key.classKey())
	if len(group.tasks) == 0 {
		group.firstNumber = task.number
		w.byKey[group.key] = group
		class.add(group)
	}
	i, _ := searchNumber(group.tasks, task.number)
	group.tasks = slices.Insert(group.tasks, i, task)
	class.reorder(group)
}

// remove takes a task that left its queue out of the group of its key.
func (w *waitingGroups) remove(number uint64, group *waitingGroup) {
	if group == nil {
		return
	}
	if i, found := searchNumber(group.tasks, number); found {
		group.tasks = deleteNearEnd(group.tasks, i)
	}
	class := w.class(group.key.classKey())
	if len(group.tasks) > 0 {
		class.reorder(group)
		return
	}
	delete(w.byKey, group.key)
	class.remove(group)
}

// class returns that of a key. It stays when it is empty: classes are few.
func (w *waitingGroups) class(key state.ClassKey) *waitingClass {
	class := w.byClass[key]
	if class == nil {
		class = &waitingClass{key: key}
		w.byClass[key] = class
	}
	return class
}

// search returns the index of the group with a first number, or of the next one.
func (c *waitingClass) search(firstNumber uint64) (int, bool) {
	return slices.BinarySearchFunc(c.groups, firstNumber, func(group *waitingGroup, number uint64) int {
		return cmp.Compare(group.firstNumber, number)
	})
}

func (c *waitingClass) add(group *waitingGroup) {
	i, _ := c.search(group.firstNumber)
	c.groups = slices.Insert(c.groups, i, group)
}

func (c *waitingClass) remove(group *waitingGroup) {
	if i, found := c.search(group.firstNumber); found {
		c.groups = deleteNearEnd(c.groups, i)
	}
}

// reorder moves a group whose first task may have changed to its place.
func (c *waitingClass) reorder(group *waitingGroup) {
	number := group.tasks[0].number
	if number == group.firstNumber {
		return
	}
	c.remove(group)
	group.firstNumber = number
	c.add(group)
}

// deleteNearEnd deletes an element and moves the fewer elements of those before and after it.
func deleteNearEnd[T any](list []T, i int) []T {
	if i >= len(list)/2 {
		return slices.Delete(list, i, i+1)
	}
	copy(list[1:i+1], list[:i])
	clear(list[:1])
	return list[1:]
}
