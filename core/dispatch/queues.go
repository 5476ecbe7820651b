package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/state"
)

// groupKey holds the properties that the tasks of one group of a queue share: all that decide
// whether a worker may take them now. Only the first tasks of a group are examined, unless they
// have inputs and so differ in locality.
type groupKey struct {
	service   string
	class     string
	tenant    string
	labels    string // joined by commas
	resources state.Resources
	// gangSlots is the number of slots of the whole gang; 0 for a task without one.
	gangSlots int
	level     int
	hasInputs bool
	// longRunning is set for tasks that run until their job is cancelled.
	longRunning   bool
	preferredRack string
	// spreadKey is set for tasks of a step that limits how many of its tasks a worker may run
	// at once. It puts the tasks of different steps into different groups.
	spreadKey string
	// quick and priority are properties of the class.
	quick    bool
	priority int
}

func (k *groupKey) isGang() bool { return k.gangSlots > 0 }

// taskGroup holds the tasks with the same key in one queue, by task number. It is never empty.
type taskGroup struct {
	key   groupKey
	tasks []queuedTask
	// waiting holds the tasks with the same key in all queues; nil for gangs.
	waiting *waitingGroup
	// backoffUntil is the time until which the gangs of the group are not tried again, after no
	// workers were found for any of them.
	backoffUntil time.Duration
}

type queuedTask struct {
	ref    TaskRef
	number uint64
	// anyRack is set if the task need not wait for the rack of its data, since each worker
	// there is deprioritized or does not fit the task.
	anyRack bool
}

// head returns the task with the smallest number.
func (g *taskGroup) head() TaskRef { return g.tasks[0].ref }

// workerQueue holds the runnable tasks of one worker.
type workerQueue struct {
	worker string
	groups []*taskGroup
	// length is the number of tasks, slots is the sum of the slots of the tasks, and gangs is
	// the number of gangs.
	length int
	slots  int
	gangs  int
	// gangBackoffUntil is the time until which none of its gangs is tried again; see
	// taskGroup.backoffUntil.
	gangBackoffUntil time.Duration
	// version counts the tasks that were ever added to the queue.
	version uint64
	// summary bounds what the queued tasks need; read it with currentSummary.
	summary queueSummary
}

// workerQueues holds the queues of runnable tasks of all workers.
type workerQueues struct {
	byWorker  map[string]*workerQueue
	positions map[TaskRef]queuePosition
	// nonEmpty lists the queues that hold a task, and withGangs those that hold a gang, by the
	// names of their workers.
	nonEmpty  queueList
	withGangs queueList
	// waiting indexes the tasks of all queues by their keys.
	waiting waitingGroups
	// floor holds lower bounds of what the queued tasks need.
	floor needFloor
	// longRunningCount is the number of queued tasks that run until their job is cancelled.
	longRunningCount int
}

// queuePosition is the queue and the group that hold a task.
type queuePosition struct {
	queue  *workerQueue
	group  *taskGroup
	number uint64
}

func newWorkerQueues() workerQueues {
	queues := workerQueues{byWorker: map[string]*workerQueue{}}
	queues.reset()
	return queues
}

// reset empties all queues. It keeps the versions, since they must only grow.
func (q *workerQueues) reset() {
	for _, queue := range q.byWorker {
		*queue = workerQueue{worker: queue.worker, version: queue.version}
	}
	q.positions = map[TaskRef]queuePosition{}
	q.nonEmpty, q.withGangs = nil, nil
	q.waiting = newWaitingGroups()
	q.floor = needFloor{}
	q.longRunningCount = 0
}

// of returns the queue of a worker, and creates it if there is none.
func (q *workerQueues) of(worker string) *workerQueue {
	queue := q.byWorker[worker]
	if queue == nil {
		queue = &workerQueue{worker: worker}
		q.byWorker[worker] = queue
	}
	return queue
}

// contains reports whether a task is in a queue.
func (q *workerQueues) contains(ref TaskRef) bool {
	_, ok := q.positions[ref]
	return ok
}

// workerOf returns the worker in whose queue a task is.
func (q *workerQueues) workerOf(ref TaskRef) (worker string, queued bool) {
	position, queued := q.positions[ref]
	if !queued {
		return "", false
	}
	return position.queue.worker, true
}

func (q *workerQueues) insert(task queuedTask, worker string, key groupKey) {
	queue := q.of(worker)
	group := queue.group(&key)
	if group == nil {
		group = &taskGroup{key: key, waiting: q.waiting.group(&key)}
		queue.groups = append(queue.groups, group)
		queue.summary.add(&group.key)
		q.floor.add(&group.key)
	}
	i, _ := searchNumber(group.tasks, task.number)
	group.tasks = slices.Insert(group.tasks, i, task)
	q.positions[task.ref] = queuePosition{queue, group, task.number}
	q.waiting.insert(task, group.waiting)
	queue.version++
	queue.length++
	queue.slots += key.resources.Slots
	if key.longRunning {
		q.longRunningCount++
	}
	if queue.length == 1 {
		q.nonEmpty.add(queue)
	}
	if !key.isGang() {
		return
	}
	group.backoffUntil, queue.gangBackoffUntil = 0, 0
	if queue.gangs++; queue.gangs == 1 {
		q.withGangs.add(queue)
	}
}

// remove takes a task out of its queue, and reports whether it was in one.
func (q *workerQueues) remove(ref TaskRef) bool {
	position, ok := q.positions[ref]
	if !ok {
		return false
	}
	delete(q.positions, ref)
	queue, group := position.queue, position.group
	q.waiting.remove(position.number, group.waiting)
	if i, found := searchNumber(group.tasks, position.number); found {
		group.tasks = slices.Delete(group.tasks, i, i+1)
	}
	if len(group.tasks) == 0 {
		i := slices.Index(queue.groups, group)
		queue.groups = slices.Delete(queue.groups, i, i+1)
		queue.summary.stale = true
		q.floor.stale = true
	}
	queue.slots -= group.key.resources.Slots
	if group.key.longRunning {
		q.longRunningCount--
	}
	if queue.length--; queue.length == 0 {
		q.nonEmpty.remove(queue)
	}
	if group.key.isGang() {
		if queue.gangs--; queue.gangs == 0 {
			q.withGangs.remove(queue)
		}
	}
	return true
}

// group returns the group with the key, or nil.
func (w *workerQueue) group(key *groupKey) *taskGroup {
	for _, group := range w.groups {
		if group.key == *key {
			return group
		}
	}
	return nil
}

func (q *workerQueues) lengths() map[string]int {
	lengths := map[string]int{}
	for _, queue := range q.nonEmpty {
		lengths[queue.worker] = queue.length
	}
	return lengths
}

// queueList is a list of queues, sorted by the names of their workers.
type queueList []*workerQueue

func (l *queueList) add(queue *workerQueue) {
	if i, found := l.search(queue.worker); !found {
		*l = slices.Insert(*l, i, queue)
	}
}

func (l *queueList) remove(queue *workerQueue) {
	if i, found := l.search(queue.worker); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

func (l *queueList) search(worker string) (int, bool) {
	return slices.BinarySearchFunc(*l, worker, func(queue *workerQueue, worker string) int {
		return cmp.Compare(queue.worker, worker)
	})
}

func searchNumber(tasks []queuedTask, number uint64) (int, bool) {
	compare := func(task queuedTask, number uint64) int { return cmp.Compare(task.number, number) }
	return slices.BinarySearchFunc(tasks, number, compare)
}

func groupKeyOf(store *state.Store, job *state.Job, i int) groupKey {
	spec := &job.Spec.Tasks[i]
	class := store.Class(job.Spec.Service, job.Spec.Class)
	key := groupKey{
		quick:         class.Quick,
		priority:      class.Priority,
		service:       job.Spec.Service,
		class:         job.Spec.Class,
		tenant:        job.Tenant,
		labels:        strings.Join(spec.Labels, ","),
		resources:     spec.Resources,
		level:         job.Tasks[i].Level,
		hasInputs:     len(spec.Dependencies) > 0,
		longRunning:   spec.LongRunning,
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

// sortedByNumber returns the tasks of a set by task number. Tasks of unknown jobs come last.
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
