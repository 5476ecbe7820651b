package state

import (
	"encoding/json"
	"sort"
	"time"

	"sorrelloom/core/config"
)

// Resources is what a task needs or a worker has.
type Resources = config.Resources

// JobSpec is a job as it was submitted. It names its tasks one by one or as steps.
// Host and Path, where set, choose service and class by the routes of the configuration.
type JobSpec struct {
	ID      string `json:"id"`
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
	Service string `json:"service"`
	Class   string `json:"class"`
	// Deadline is how long after its acceptance the job fails unless it has ended.
	Deadline config.Duration `json:"cutoff,omitzero"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Steps    []StepSpec      `json:"steps,omitempty"`
	Repeat   Repeat          `json:"repeat,omitzero"`
	Tasks    []TaskSpec      `json:"tasks,omitempty"`
}

// TaskSpec is one task as it was submitted.
type TaskSpec struct {
	ID string `json:"id"`
	// DependsOn names the tasks of the job that must be done before this one starts.
	DependsOn []string  `json:"after,omitempty"`
	Resources Resources `json:"room"`
	Labels    []string  `json:"labels,omitempty"`
	// Gang names the tasks that run at the same time or not at all.
	Gang     string          `json:"gang,omitempty"`
	RunLimit config.Duration `json:"runLimit,omitzero"`
	// MaxFailures is how many failures the task fails for good with.
	MaxFailures int `json:"allowedDefects,omitempty"`
	// LostWorkerPolicy overrides that of the class.
	LostWorkerPolicy string          `json:"silence,omitempty"`
	Payload          json.RawMessage `json:"payload,omitempty"`
	Placement
	// Dependencies are the indexes of the tasks in DependsOn; they are worked out, not sent.
	Dependencies []int `json:"-"`
	// Repetition and Step say where a task of a job in steps comes from.
	Repetition int `json:"-"`
	Step       int `json:"-"`
}

// Placement is what a task asks for besides resources and labels.
type Placement struct {
	// ExpectedRunTime is roughly how long an attempt takes.
	ExpectedRunTime config.Duration `json:"guess,omitzero"`
	// PreferredRack is the rack that holds the data; any other will do, but slower.
	PreferredRack string `json:"nearRack,omitempty"`
	// SameRack asks for a gang on one rack; spread it runs too, but slower.
	SameRack bool `json:"sameRack,omitempty"`
	// MaxPerWorker bounds how many tasks of a step one worker runs; 0 does not.
	MaxPerWorker int `json:"perWorker,omitempty"`
	// Checkpointed says that the checkpoint of an attempt is handed to the next one.
	Checkpointed bool `json:"progress,omitempty"`
	// AllowsDuplicates says that attempts beside one another do no harm.
	AllowsDuplicates bool `json:"copies,omitempty"`
	// LongRunning tasks run until their job is cancelled, and start again however they end.
	LongRunning bool `json:"lasting,omitempty"`
}

// StepSpec is many like tasks in one: the task with index N of step S in the
// repetition R has the id "R.S.N".
type StepSpec struct {
	Count int `json:"count"`
	// DependsOn are the indexes of earlier steps, all of whose tasks must be done.
	DependsOn []int     `json:"after,omitempty"`
	Resources Resources `json:"room"`
	Labels    []string  `json:"labels,omitempty"`
	Gang      bool      `json:"gang,omitempty"`
	// MaxFailures of each task; 0 stands for the class's.
	MaxFailures int `json:"allowedDefects,omitempty"`
	Placement
}

// Repeat has the steps run Count times; repetition R is due at FirstAt + R*Every.
type Repeat struct {
	Count   int             `json:"count"`
	FirstAt time.Time       `json:"firstAt"`
	Every   config.Duration `json:"every"`
}

// Job is the record of a job. Its tasks are records of their own on a disk.
type Job struct {
	Spec JobSpec `json:"spec"`
	// Tenant is the one whose key the job was submitted with; empty is none.
	Tenant string `json:"tenant,omitempty"`
	// Digest is that of the job as it was submitted.
	Digest string `json:"digest,omitempty"`
	// FirstTaskNumber is the Number of the job's first task; the others follow it.
	FirstTaskNumber uint64 `json:"first,omitempty"`
	// State is Waiting, Running, Done, Failed or Cancelled.
	State string `json:"state"`
	// EndingState, once set, is the state that the job will end in.
	EndingState string        `json:"ending,omitempty"`
	Reason      string        `json:"why,omitempty"`
	AcceptedAt  time.Duration `json:"acceptedAt"`
	EndedAt     time.Duration `json:"endedAt,omitempty"`
	Tasks       []*Task       `json:"tasks,omitempty"`
}

// Summary is the job without its tasks and payload.
func (j Job) Summary() Job {
	j.Spec.Tasks, j.Spec.Steps, j.Spec.Payload, j.Tasks = nil, nil, nil, nil
	return j
}

// jobEnded says whether a job is over: all its tasks are, and none is leased.
func jobEnded(job *Job) bool {
	return job.State == Done || job.State == Failed || job.State == Cancelled
}

// Job gives a job that is not forgotten yet, and an empty record if there is none.
func (s *Store) Job(id string) (*Job, bool) {
	if job, known := s.jobs[id]; known {
		return job, true
	}
	return &Job{}, false
}

// ActiveJobs gives every job that is not over, by acceptance.
func (s *Store) ActiveJobs() []*Job {
	jobs := make([]*Job, 0, len(s.activeJobs))
	for id := range s.activeJobs {
		jobs = append(jobs, s.jobs[id])
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].Tasks[0].Number < jobs[j].Tasks[0].Number })
	return jobs
}
