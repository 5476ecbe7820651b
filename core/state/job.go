package state

import (
	"encoding/json"
	"sort"
	"time"

	"sorrelloom/core/config"
)

// Resources are the resources that a task needs or a worker has.
type Resources = config.Resources

// JobSpec is a job as it was submitted. It lists its tasks either one by one or as steps. Host
// and Path, where set, select the service and class by the routes of the configuration.
type JobSpec struct {
	ID      string `json:"id"`
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
	Service string `json:"service"`
	Class   string `json:"class"`
	// Deadline is the time after acceptance at which a job that has not ended fails; 0 means
	// no deadline.
	Deadline config.Duration `json:"cutoff,omitzero"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Steps    []StepSpec      `json:"steps,omitempty"`
	Repeat   Repeat          `json:"repeat,omitzero"`
	Tasks    []TaskSpec      `json:"tasks,omitempty"`
}

// TaskSpec is one task as it was submitted.
type TaskSpec struct {
	ID string `json:"id"`
	// DependsOn has the ids of the tasks of the job that must be done before this one starts.
	DependsOn []string  `json:"after,omitempty"`
	Resources Resources `json:"room"`
	Labels    []string  `json:"labels,omitempty"`
	// Gang is the name of the task's gang: its members run at the same time or not at all.
	Gang string `json:"gang,omitempty"`
	// RunLimit is the maximum run time of an attempt; 0 stands for that of the class or, if the
	// class has none, the global one.
	RunLimit config.Duration `json:"runLimit,omitzero"`
	// MaxFailures is the number of failures with which the task fails for good.
	MaxFailures int `json:"allowedDefects,omitempty"`
	// LostWorkerPolicy, where set, overrides that of the class.
	LostWorkerPolicy string          `json:"silence,omitempty"`
	Payload          json.RawMessage `json:"payload,omitempty"`
	Placement
	// Dependencies are the indexes of the tasks in DependsOn. They are computed, not sent.
	Dependencies []int `json:"-"`
	// Repetition and Step are the indexes of the repetition and the step that a task of a job
	// in steps belongs to.
	Repetition int `json:"-"`
	Step       int `json:"-"`
}

// Placement holds the properties of a task that influence its placement and restarts, besides
// resources and labels.
type Placement struct {
	// ExpectedRunTime is a rough estimate of the run time of an attempt.
	ExpectedRunTime config.Duration `json:"guess,omitzero"`
	// PreferredRack is the rack that holds the task's data. The task can run on any other
	// rack, but more slowly.
	PreferredRack string `json:"nearRack,omitempty"`
	// SameRack asks for all members of a gang on one rack. The gang can run spread over
	// several racks, but more slowly.
	SameRack bool `json:"sameRack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of a step on one worker; 0 means no limit.
	MaxPerWorker int `json:"perWorker,omitempty"`
	// Checkpointed says that the checkpoint of an attempt is passed to the next one.
	Checkpointed bool `json:"progress,omitempty"`
	// AllowsDuplicates says that concurrent attempts of the task do no harm.
	AllowsDuplicates bool `json:"copies,omitempty"`
	// LongRunning says that the task runs until its job is cancelled, and starts again
	// however an attempt ends.
	LongRunning bool `json:"lasting,omitempty"`
}

// StepSpec describes Count identical tasks. The task with index N of step S in repetition R has
// the id "R.S.N".
type StepSpec struct {
	Count int `json:"count"`
	// DependsOn are the indexes of earlier steps, all of whose tasks must be done first.
	DependsOn []int     `json:"after,omitempty"`
	Resources Resources `json:"room"`
	Labels    []string  `json:"labels,omitempty"`
	// Gang says that the tasks of a repetition of the step form a gang.
	Gang bool `json:"gang,omitempty"`
	// MaxFailures is that of each task; 0 stands for that of the class.
	MaxFailures int `json:"allowedDefects,omitempty"`
	Placement
}

// Repeat lets the steps run Count times. Repetition R is due at FirstAt + R*Every.
type Repeat struct {
	Count   int             `json:"count"`
	FirstAt time.Time       `json:"firstAt"`
	Every   config.Duration `json:"every"`
}

// Job is the record of a job. In storage, its tasks are separate records.
type Job struct {
	Spec JobSpec `json:"spec"`
	// Tenant is the tenant with whose key the job was submitted; empty if there was none.
	Tenant string `json:"tenant,omitempty"`
	// Digest is the digest of the job as it was submitted.
	Digest string `json:"digest,omitempty"`
	// FirstTaskNumber is the Number of the job's first task. The other tasks have the
	// numbers after it.
	FirstTaskNumber uint64 `json:"first,omitempty"`
	// State is Waiting, Running, Done, Failed or Cancelled.
	State string `json:"state"`
	// EndingState, once the job has failed or was cancelled, is the state in which it will
	// end.
	EndingState string        `json:"ending,omitempty"`
	Reason      string        `json:"why,omitempty"`
	AcceptedAt  time.Duration `json:"acceptedAt"`
	EndedAt     time.Duration `json:"endedAt,omitempty"`
	Tasks       []*Task       `json:"tasks,omitempty"`
}

// Summary returns the job without its tasks, steps and payload.
func (j Job) Summary() Job {
	j.Spec.Tasks, j.Spec.Steps, j.Spec.Payload, j.Tasks = nil, nil, nil, nil
	return j
}

// jobEnded reports whether a job has ended: all its tasks are terminal and none is leased.
func jobEnded(job *Job) bool {
	return job.State == Done || job.State == Failed || job.State == Cancelled
}

// Job returns the record of a job that is not forgotten yet, and an empty record and false if
// there is none.
func (s *Store) Job(id string) (*Job, bool) {
	if job, known := s.jobs[id]; known {
		return job, true
	}
	return &Job{}, false
}

// ActiveJobs returns the jobs that have not ended, in the order of their acceptance.
func (s *Store) ActiveJobs() []*Job {
	jobs := make([]*Job, 0, len(s.activeJobs))
	for id := range s.activeJobs {
		jobs = append(jobs, s.jobs[id])
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Tasks[0].Number < jobs[j].Tasks[0].Number })
	return jobs
}
