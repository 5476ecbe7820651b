package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// waitingGroups indexes the tasks of all queues by key, whichever queue they are in. It leaves
// out gangs, for which no lease is preempted.
type waitingGroups struct {
	byKey   map[groupKey]*waitingGroup
	byClass map[state.ClassKey]*waitingClass
}

// waitingGroup holds the tasks of one key in all queues, by task number. It is never empty.
type waitingGroup struct {
	key groupKey
	// firstNumber is the number of the first task.
	firstNumber uint64
	tasks       []queuedTask
	// refusedPull is the number of the last pull that may take none of the tasks.
	refusedPull uint64
}

// refuse records that a pull may take none of the tasks.
func (g *waitingGroup) refuse(pull *pullRequest) {
	if g != nil {
		g.refusedPull = pull.number
	}
}

// refusedBy reports whether refuse was called for a pull.
func (g *waitingGroup) refusedBy(pull *pullRequest) bool {
	return g != nil && pull.number > 0 && g.refusedPull == pull.number
}

// waitingClass holds the groups of one class, by the numbers of their first tasks, and the
// progress of the preemption round over them.
type waitingClass struct {
	key    state.ClassKey
	groups []*waitingGroup
	round  preemptionRound
}

// preemptionRound examines each group of a class once. It may take several scans.
type preemptionRound struct {
	startedAt time.Duration
	// nextNumber is the smallest first number of the groups left to examine.
	nextNumber uint64
	// complete is set when all groups have been examined.
	complete bool
}

func newWaitingGroups() waitingGroups {
	return waitingGroups{byKey: map[groupKey]*waitingGroup{}, byClass: map[state.ClassKey]*waitingClass{}}
}

func (k *groupKey) classKey() state.ClassKey {
	return state.ClassKey{Service: k.service, Class: k.class}
}

// group returns the group of a key, a new empty one if there is none, and nil for gangs.
func (w *waitingGroups) group(key *groupKey) *waitingGroup {
	if key.isGang() {
		return nil
	}
	if group := w.byKey[*key]; group != nil {
		return group
	}
	return &waitingGroup{key: *key}
}

// insert adds a task that was added to a queue to the group of its key.
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

// remove removes a task that has left its queue from the group of its key.
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

// class returns the class with a key, and creates it if there is none. Empty classes are kept,
// since there are few.
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

// reorder moves a group whose first task may have changed to its new position.
func (c *waitingClass) reorder(group *waitingGroup) {
	number := group.tasks[0].number
	if number == group.firstNumber {
		return
	}
	c.remove(group)
	group.firstNumber = number
	c.add(group)
}

// deleteNearEnd deletes an element, moving the elements before it or those after it, whichever
// are fewer.
func deleteNearEnd[T any](list []T, i int) []T {
	if i >= len(list)/2 {
		return slices.Delete(list, i, i+1)
	}
	copy(list[1:i+1], list[:i])
	clear(list[:1])
	return list[1:]
}
