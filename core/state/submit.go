package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// defaultMaxFailures is the MaxFailures of tasks if neither they nor their class set it.
const defaultMaxFailures = 3

// noConfigRetryAfter is the retry delay of a job rejected because there is no configuration
// yet.
const noConfigRetryAfter = time.Second

// resolveRoute returns the route for a host and path, and whether a call with the given key
// may use the route's class.
func (s *Store) resolveRoute(host, path, keyDigest string) (config.Route, Result) {
	if s.config.Version == 0 {
		return config.Route{}, rejectForNow(noConfigRetryAfter, status.NoConfig, "there is no plan yet")
	}
	route, ok := s.config.FindRoute(host, path)
	if !ok {
		return route, reject(status.NoRoute, "the plan has no entry for %s%s", host, path)
	}
	return route, s.checkKey(route.Service, route.Class, keyDigest)
}

// routeOf returns the service and class of a job by its route. A job that was accepted
// before keeps its service and class, even if its route now leads to others: it is the same
// job.
func (s *Store) routeOf(spec JobSpec, keyDigest string) (config.Route, Result) {
	route, result := s.resolveRoute(spec.Host, spec.Path, keyDigest)
	if old, ok := s.jobs[spec.ID]; ok {
		route.Service, route.Class = old.Spec.Service, old.Spec.Class
	} else if old, ok := s.pastJobs.byKey[spec.ID]; ok {
		route.Service, route.Class = old.Service, old.Class
	}
	return route, result
}

// jobResult returns a result with a job, or with the job's summary if the command asks for
// it.
func (s *Store) jobResult(cmd Command, code status.Code, job Job) Result {
	if cmd.Summary {
		job = job.Summary()
	}
	return Result{Code: code, Job: job}
}

// acceptJob accepts a job once. If the same job is submitted again, the result says that it
// was accepted already, even after its record has been dropped, as long as it is remembered
// as a PastJob. A job with the same ID and other content is rejected.
func (s *Store) acceptJob(cmd Command) Result {
	spec := cmd.Job
	if spec.Host != "" {
		route, result := s.routeOf(spec, cmd.KeyDigest)
		if !result.Code.IsSuccess() {
			return result
		}
		spec.Service, spec.Class = route.Service, route.Class
	} else if result := s.checkKey(spec.Service, spec.Class, cmd.KeyDigest); !result.Code.IsSuccess() {
		return result
	}
	spec = Normalize(spec)
	submitted := digest(spec)
	if result, known := s.acceptedBefore(cmd, submitted); known {
		return result
	}
	spec = s.withClassDefaults(spec)
	if result := s.validate(&spec); !result.Code.IsSuccess() {
		return result
	}
	job := Job{Spec: spec, Tenant: s.tenantsByKey[cmd.KeyDigest], Digest: submitted}
	s.addJob(job, cmd.WallTime)
	return s.jobResult(cmd, status.OK, *s.jobs[spec.ID])
}

// acceptedBefore returns the result for a job whose ID is known already, and whether it is.
func (s *Store) acceptedBefore(cmd Command, submitted string) (result Result, known bool) {
	id := cmd.Job.ID
	job, exists := s.Job(id)
	past, remembered := s.pastJobs.byKey[id]
	if !exists && remembered {
		job, _ = s.PastJob(id)
	}
	foreign := (exists || remembered) && !s.CheckAccess(job, cmd.KeyDigest).Code.IsSuccess()
	switch {
	case foreign, exists && job.Digest != submitted, !exists && remembered && past.Digest != submitted:
		return reject(status.JobConflict, "job %s was accepted before with other content", id), true
	case exists:
		return s.jobResult(cmd, status.AlreadyDone, *job), true
	case remembered:
		return Result{Code: status.AlreadyDone, Job: *job}, true
	}
	return Result{}, false
}

// addJob completes and stores the record of a validated job and creates its tasks. Tasks that
// have no dependencies and are due are ready at once.
func (s *Store) addJob(job Job, wallTime time.Time) {
	job.FirstTaskNumber, job.State, job.AcceptedAt = s.nextTaskNumber, Waiting, s.now
	job.Tasks = newTasks(&job)
	spec := &job.Spec
	if spec.Repeat.Count > 0 {
		for i, task := range spec.Tasks {
			due := spec.Repeat.FirstAt.Add(time.Duration(task.Repetition) * spec.Repeat.Every.Duration)
			job.Tasks[i].DueAt = max(1, s.now+due.Sub(wallTime))
		}
	}
	s.nextTaskNumber += uint64(len(spec.Tasks))
	s.jobs[spec.ID], s.activeJobs[spec.ID] = &job, true
	s.audit.record(Decision{Kind: decisionAcceptJob, Job: spec.ID, Digest: job.Digest})
	for i := range job.Tasks {
		s.countTask(&job, i, 1)
	}
	s.makeTasksReady(spec.ID)
}

// Normalize returns a job with defaults for the resources and MaxFailures that the client
// left out; the class's defaults for steps are not applied. The tasks of a job in steps are
// removed, since they follow from the steps.
func Normalize(spec JobSpec) JobSpec {
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		spec.Steps[i].Resources = orOneSlot(spec.Steps[i].Resources)
	}
	if len(spec.Steps) > 0 {
		spec.Tasks = nil
		return spec
	}
	spec.Tasks = slices.Clone(spec.Tasks)
	for i := range spec.Tasks {
		task := &spec.Tasks[i]
		task.Resources = orOneSlot(task.Resources)
		task.MaxFailures = cmp.Or(task.MaxFailures, defaultMaxFailures)
	}
	return spec
}

// orOneSlot returns the given resources, or one slot if none are given.
func orOneSlot(resources Resources) Resources { return cmp.Or(resources, Resources{Slots: 1}) }

// withClassDefaults sets MaxFailures in steps that have none, to that of the class or else to
// defaultMaxFailures.
func (s *Store) withClassDefaults(spec JobSpec) JobSpec {
	maxFailures := cmp.Or(s.config.Services[spec.Service].Classes[spec.Class].MaxFailures, defaultMaxFailures)
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		spec.Steps[i].MaxFailures = cmp.Or(spec.Steps[i].MaxFailures, maxFailures)
	}
	return spec
}

// newTasks returns the initial records of a job's tasks.
func newTasks(job *Job) []*Task {
	levels := taskLevels(job.Spec)
	tasks := make([]*Task, len(job.Spec.Tasks))
	for i := range tasks {
		tasks[i] = &Task{Number: job.FirstTaskNumber + uint64(i), State: Waiting, Level: levels[i]}
	}
	return tasks
}
