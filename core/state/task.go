package state

import (
	"slices"
	"time"
)

// The states of jobs and tasks. A task is Waiting until its dependencies are done
// and its due time has come, then Ready, also while it is leased and runs; Running
// is a state of jobs only. The values are stored.
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
	// Number orders all tasks of the cluster by their acceptance.
	Number uint64 `json:"number"`
	State  string `json:"state"`
	// Level is the length of the longest chain of dependencies before the task.
	Level int `json:"level"`
	// Attempts, Failures and Losses count attempts: all, those that failed, and those
	// whose worker was lost while they ran.
	Attempts int `json:"tries,omitempty"`
	Failures int `json:"defects,omitempty"`
	Losses   int `json:"losses,omitempty"`
	// ReadyAt is since when the task could have been leased.
	ReadyAt time.Duration `json:"releasedAt,omitempty"`
	EndedAt time.Duration `json:"endedAt,omitempty"`
	// CompletedOn is the worker whose attempt succeeded.
	CompletedOn string `json:"holder,omitempty"`
	// Reason is why the last attempt ended, unless it succeeded.
	Reason string `json:"why,omitempty"`
	// FailedOn are the workers that attempts have failed on.
	FailedOn []string `json:"failedOn,omitempty"`
	Lease    Lease    `json:"turn,omitzero"`
	// DueAt keeps a task waiting until then.
	DueAt time.Duration `json:"dueAt,omitempty"`
	// Checkpoint is what the task's attempts have saved, Percent how far that is.
	Checkpoint string `json:"saved,omitempty"`
	Percent    int    `json:"percent,omitempty"`
	// LastFailedAttempt is the number of the attempt whose failure was counted last,
	// so that a gang's counts once.
	LastFailedAttempt int `json:"defectTry,omitempty"`
}

// Terminal says whether the task will not be leased again.
func (t Task) Terminal() bool { return t.State == Done || t.State == Failed || t.State == Cancelled }

// taskRef is the place of a task: its job and its index in it.
type taskRef struct {
	job   string
	index int
}

// taskAt gives a task to be looked at. It is shared with snapshots and must not be
// changed: a change is made to a copy, which setTask stores.
func (s *Store) taskAt(ref taskRef) *Task { return s.jobs[ref.job].Tasks[ref.index] }

// specAt gives the specification of a task, which must not be changed.
func (s *Store) specAt(ref taskRef) *TaskSpec { return &s.jobs[ref.job].Spec.Tasks[ref.index] }

// findTask gives the task that an attempt is of.
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

// setTask is the only way a task changes; it keeps the indexes right. The job's record
// is copied once for a command, with its slice of tasks, so that records handed out
// before stay as they were.
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

// dependenciesDone says whether all that a task depends on is done.
func (s *Store) dependenciesDone(ref taskRef) bool {
	job := s.jobs[ref.job]
	return allDone(job.Tasks, job.Spec.Tasks[ref.index].Dependencies)
}

// allDone says whether all tasks with the given indexes are done.
func allDone(tasks []*Task, indexes []int) bool {
	return !slices.ContainsFunc(indexes, func(i int) bool { return tasks[i].State != Done })
}
