package state

import (
	"slices"
	"time"
)

// The states of jobs and tasks. A task is Waiting until its dependencies are done and its
// due time has come. It is then Ready until it ends, including while it is leased and runs;
// Running is a state of jobs only. The values are stored.
const (
	Waiting   = "waiting"
	Ready     = "open"
	Done      = "done"
	Failed    = "failed"
	Cancelled = "cancelled"
	Running   = "running"
)

// Task is the record of a task. Times are state time.
type Task struct {
	// Number is unique in the cluster and increases in the order of acceptance.
	Number uint64 `json:"number"`
	State  string `json:"state"`
	// Level is the length of the longest chain of dependencies before the task.
	Level int `json:"level"`
	// Attempts is the number of the last attempt, 0 if there was none. Failures counts
	// the attempts that failed, Losses those whose worker was lost while they ran.
	Attempts int `json:"tries,omitempty"`
	Failures int `json:"defects,omitempty"`
	Losses   int `json:"losses,omitempty"`
	// ReadyAt is when the task last became ready without a lease.
	ReadyAt time.Duration `json:"releasedAt,omitempty"`
	EndedAt time.Duration `json:"endedAt,omitempty"`
	// CompletedOn is the worker whose attempt succeeded.
	CompletedOn string `json:"holder,omitempty"`
	// Reason is why the last attempt ended, unless it succeeded.
	Reason string `json:"why,omitempty"`
	// FailedOn are the workers on which attempts have failed.
	FailedOn []string `json:"failedOn,omitempty"`
	Lease    Lease    `json:"turn,omitzero"`
	// DueAt is the time before which the task must not start; 0 if there is none.
	DueAt time.Duration `json:"dueAt,omitempty"`
	// Checkpoint is the last checkpoint that the task's attempts have saved, Percent the
	// progress that it stands for.
	Checkpoint string `json:"saved,omitempty"`
	Percent    int    `json:"percent,omitempty"`
	// LastFailedAttempt is the number of the attempt whose failure was counted last. It
	// ensures that a failure of a gang counts only once.
	LastFailedAttempt int `json:"defectTry,omitempty"`
}

// Terminal reports whether the task will not be leased again.
func (t Task) Terminal() bool { return t.State == Done || t.State == Failed || t.State == Cancelled }

// taskRef identifies a task by its job and its index in the job.
type taskRef struct {
	job   string
	index int
}

// taskAt returns the record of a task. It is shared with snapshots and must not be changed;
// to change a task, store a changed copy with setTask.
func (s *Store) taskAt(ref taskRef) *Task { return s.jobs[ref.job].Tasks[ref.index] }

// specAt returns the specification of a task, which must not be changed.
func (s *Store) specAt(ref taskRef) *TaskSpec { return &s.jobs[ref.job].Spec.Tasks[ref.index] }

// findTask returns the task of an attempt, whatever the attempt's number, and whether the
// task exists.
func (s *Store) findTask(attempt Attempt) (taskRef, Task, bool) {
	job, ok := s.jobs[attempt.Job]
	if !ok {
		return taskRef{}, Task{}, false
	}
	i := job.Spec.taskIndex(attempt.Task)
	if i < 0 {
		return taskRef{}, Task{}, false
	}
	return taskRef{attempt.Job, i}, *job.Tasks[i], true
}

// setTask stores a changed task and updates the indexes; all changes of tasks go through it.
// The first change of a job in a command copies the job's record with its slice of tasks, so
// that records returned earlier stay as they are.
func (s *Store) setTask(ref taskRef, task Task) {
	s.cache = queryCache{}
	job := s.jobs[ref.job]
	s.countTask(job, ref.index, -1)
	if !s.clonedJobs[ref.job] {
		cloned := *job
		cloned.Tasks = slices.Clone(job.Tasks)
		job, s.jobs[ref.job], s.clonedJobs[ref.job] = &cloned, &cloned, true
	}
	job.Tasks[ref.index] = &task
	s.countTask(job, ref.index, 1)
	s.changes = append(s.changes, Change{Job: ref.job, Task: ref.index})
}

// dependenciesDone reports whether all dependencies of a task are done.
func (s *Store) dependenciesDone(ref taskRef) bool {
	job := s.jobs[ref.job]
	return allDone(job.Tasks, job.Spec.Tasks[ref.index].Dependencies)
}

// allDone reports whether all tasks with the given indexes are done.
func allDone(tasks []*Task, indexes []int) bool {
	return !slices.ContainsFunc(indexes, func(i int) bool { return tasks[i].State != Done })
}
