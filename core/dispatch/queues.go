package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"

	"sorrelloom/core/state"
)

// groupKey is what the tasks of one group of a queue have in common: all that
// decides whether a worker may take them now. Only the first tasks of a group are
// examined, unless they have inputs and so differ in locality.
type groupKey struct {
	service   string
	class     string
	tenant    string
	labels    string // joined by commas
	resources state.Resources
	// gangSlots are the slots of the whole gang, 0 for a task without one.
	gangSlots     int
	level         int
	hasInputs     bool
	preferredRack string
	// spreadKey is set for tasks of which a worker may run a limited number at once.
	// It keeps those of other steps in groups of their own.
	spreadKey string
}

func (k *groupKey) isGang() bool { return k.gangSlots > 0 }

// taskGroup holds the tasks of one key in one queue, by number. It is never empty.
type taskGroup struct {
	key   groupKey
	tasks []queuedTask
}

type queuedTask struct {
	ref    TaskRef
	number uint64
	// anyRack says that no worker in the rack of the task's data fits it.
	anyRack bool
}

// head returns the task with the smallest number.
func (g *taskGroup) head() TaskRef { return g.tasks[0].ref }

// workerQueues holds a queue of runnable tasks per worker.
type workerQueues struct {
	groups map[string][]taskGroup
	// slots are those of all tasks in a queue together.
	slots     map[string]int
	positions map[TaskRef]queuePosition
	// versions count the tasks that ever came into a queue.
	versions map[string]uint64
	// gangs counts the gangs in each queue that has any.
	gangs map[string]int
	// nonEmptyCache holds the result of nonEmpty, withGangsCache that of withGangs; nil is
	// unknown.
	nonEmptyCache  []string
	withGangsCache []string
}

type queuePosition struct {
	worker string
	key    groupKey
	number uint64
}

// reset empties all queues. The versions stay, since they only ever grow.
func (q *workerQueues) reset() {
	q.groups = map[string][]taskGroup{}
	q.slots = map[string]int{}
	q.positions = map[TaskRef]queuePosition{}
	q.gangs = map[string]int{}
	q.nonEmptyCache, q.withGangsCache = nil, nil
}

func (q *workerQueues) contains(ref TaskRef) bool {
	_, ok := q.positions[ref]
	return ok
}

func (q *workerQueues) insert(task queuedTask, worker string, key groupKey) {
	q.versions[worker]++
	q.nonEmptyCache = nil
	q.positions[task.ref] = queuePosition{worker, key, task.number}
	q.slots[worker] += key.resources.Slots
	q.countGang(worker, &key, 1)
	groups := q.groups[worker]
	i := indexOfKey(groups, &key)
	if i < 0 {
		groups = append(groups, taskGroup{key: key})
		i = len(groups) - 1
	}
	j, _ := searchNumber(groups[i].tasks, task.number)
	groups[i].tasks = slices.Insert(groups[i].tasks, j, task)
	q.groups[worker] = groups
}

// remove reports whether the task was in a queue.
func (q *workerQueues) remove(ref TaskRef) bool {
	position, ok := q.positions[ref]
	if !ok {
		return false
	}
	delete(q.positions, ref)
	q.nonEmptyCache = nil
	q.slots[position.worker] -= position.key.resources.Slots
	q.countGang(position.worker, &position.key, -1)
	groups := q.groups[position.worker]
	i := indexOfKey(groups, &position.key)
	if i < 0 {
		return true
	}
	if j, found := searchNumber(groups[i].tasks, position.number); found {
		groups[i].tasks = slices.Delete(groups[i].tasks, j, j+1)
	}
	if len(groups[i].tasks) == 0 {
		groups = slices.Delete(groups, i, i+1)
	}
	q.groups[position.worker] = groups
	return true
}

// nonEmpty returns the workers whose queues hold a task, by name.
func (q *workerQueues) nonEmpty() []string {
	if q.nonEmptyCache == nil {
		q.nonEmptyCache = make([]string, 0, len(q.groups))
		for worker, groups := range q.groups {
			if len(groups) > 0 {
				q.nonEmptyCache = append(q.nonEmptyCache, worker)
			}
		}
		slices.Sort(q.nonEmptyCache)
	}
	return q.nonEmptyCache
}

// length returns the number of tasks in a worker's queue.
func (q *workerQueues) length(worker string) int {
	length := 0
	for _, group := range q.groups[worker] {
		length += len(group.tasks)
	}
	return length
}

func (q *workerQueues) lengths() map[string]int {
	lengths := map[string]int{}
	for _, position := range q.positions {
		lengths[position.worker]++
	}
	return lengths
}

// countAlike counts the tasks of a key in all queues.
func (q *workerQueues) countAlike(key groupKey) int {
	count := 0
	for _, groups := range q.groups {
		for _, group := range groups {
			if group.key == key {
				count += len(group.tasks)
			}
		}
	}
	return count
}

// indexOfKey returns the index of the group with a key, or -1.
func indexOfKey(groups []taskGroup, key *groupKey) int {
	for i := range groups {
		if groups[i].key == *key {
			return i
		}
	}
	return -1
}

// countGang counts a task that came into a queue, by 1, or left it, by -1, if it is a gang.
func (q *workerQueues) countGang(worker string, key *groupKey, by int) {
	if !key.isGang() {
		return
	}
	if q.gangs[worker] += by; q.gangs[worker] == 0 {
		delete(q.gangs, worker)
	}
	q.withGangsCache = nil
}

// withGangs returns the workers whose queues hold a gang, by name.
func (q *workerQueues) withGangs() []string {
	if q.withGangsCache == nil {
		q.withGangsCache = slices.AppendSeq(make([]string, 0, len(q.gangs)), maps.Keys(q.gangs))
		slices.Sort(q.withGangsCache)
	}
	return q.withGangsCache
}

func searchNumber(tasks []queuedTask, number uint64) (int, bool) {
	compare := func(task queuedTask, number uint64) int { return cmp.Compare(task.number, number) }
	return slices.BinarySearchFunc(tasks, number, compare)
}

func groupKeyOf(job *state.Job, i int) groupKey {
	spec := job.Spec.Tasks[i]
	key := groupKey{
		service:       job.Spec.Service,
		class:         job.Spec.Class,
		tenant:        job.Tenant,
		labels:        strings.Join(spec.Labels, ","),
		resources:     spec.Resources,
		level:         job.Tasks[i].Level,
		hasInputs:     len(spec.Dependencies) > 0,
		preferredRack: spec.PreferredRack,
	}
	if spec.MaxPerWorker > 0 {
		key.spreadKey = fmt.Sprintf("%s/%d/%d", job.Spec.ID, spec.Repetition, job.Tasks[i].Level)
	}
	if spec.Gang != "" {
		key.gangSlots = gangSlots(job, i)
	}
	return key
}

// sortedByNumber returns the tasks of a set in the order of their numbers. Tasks of
// unknown jobs come last.
func sortedByNumber(store *state.Store, set map[TaskRef]bool) []TaskRef {
	refs := make([]TaskRef, 0, len(set))
	for ref := range set {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return taskNumber(store, refs[i]) < taskNumber(store, refs[j]) })
	return refs
}

func taskNumber(store *state.Store, ref TaskRef) uint64 {
	if job, ok := store.Job(ref.Job); ok {
		return job.Tasks[ref.Index].Number
	}
	return math.MaxUint64
}
