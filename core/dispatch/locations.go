package dispatch

import "sorrelloom/core/state"

// location is the worker at which a task is, and in which role. The zero value means that the
// task is at no worker.
type location struct {
	worker string
	level  int
	role   taskRole
}

type taskRole int

const (
	taskQueued taskRole = iota + 1
	taskRunning
	outputHeld
)

// stepKey identifies the tasks of one job at one level.
type stepKey struct {
	job   string
	level int
}

// taskLocations records where each task is queued, runs or has its output.
type taskLocations struct {
	byTask map[TaskRef]location
	// byStep counts the tasks of each step at each worker, in any role.
	byStep map[stepKey]map[string]int
	// running counts the running tasks of each worker.
	running map[string]int
}

func newTaskLocations() taskLocations {
	return taskLocations{
		byTask:  map[TaskRef]location{},
		byStep:  map[stepKey]map[string]int{},
		running: map[string]int{},
	}
}

// move moves a task to another location, or to none.
func (t *taskLocations) move(ref TaskRef, to location) {
	from := t.byTask[ref]
	if from == to {
		return
	}
	t.count(ref.Job, from, -1)
	t.count(ref.Job, to, 1)
	if to.worker == "" {
		delete(t.byTask, ref)
	} else {
		t.byTask[ref] = to
	}
}

func (t *taskLocations) count(job string, at location, change int) {
	if at.worker == "" {
		return
	}
	if at.role == taskRunning {
		t.running[at.worker] += change
	}
	key := stepKey{job, at.level}
	byWorker := t.byStep[key]
	if byWorker == nil {
		byWorker = map[string]int{}
		t.byStep[key] = byWorker
	}
	if byWorker[at.worker] += change; byWorker[at.worker] == 0 {
		delete(byWorker, at.worker)
	}
	if len(byWorker) == 0 {
		delete(t.byStep, key)
	}
}

// stepPeers counts, for one task, the other tasks of its step at each worker.
type stepPeers struct {
	byWorker map[string]int
	// own is the worker at which the task itself is counted.
	own string
}

// at returns the count at a worker.
func (p stepPeers) at(worker string) int {
	count := p.byWorker[worker]
	if count > 0 && worker == p.own {
		count--
	}
	return count
}

// peersOf returns the counts for a task.
func (d *Dispatcher) peersOf(job *state.Job, ref TaskRef) stepPeers {
	if d.options.WithoutStepPeers {
		return stepPeers{}
	}
	level := job.Tasks[ref.Index].Level
	return stepPeers{d.locations.byStep[stepKey{ref.Job, level}], d.locations.byTask[ref].worker}
}
