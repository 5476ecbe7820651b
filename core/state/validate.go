package state

import (
	"regexp"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// validName matches valid IDs of jobs and tasks.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

const (
	// maxAllowedFailures is the upper bound of TaskSpec.MaxFailures.
	maxAllowedFailures = 1000
	// queueFullRetryAfter is the retry delay after a rejection with QueueFull.
	queueFullRetryAfter = 2 * time.Second
)

// ValidateJob checks a job for consistency and against the configuration, before it is
// accepted. The reason of the rejection begins with the path of the first violation in the
// job.
func (s *Store) ValidateJob(spec JobSpec) Result { return s.validate(&spec) }

// validate checks a job as ValidateJob does, and resolves the tasks and dependencies of spec.
func (s *Store) validate(spec *JobSpec) Result {
	if r := s.validateShape(spec); r.isSet() {
		return r.result()
	}
	service, class, r := s.findClass(spec)
	if r.isSet() {
		return r.result()
	}
	taskIndexes, r := indexTasks(spec.Tasks)
	if r.isSet() {
		return r.result()
	}
	if len(spec.Steps) == 0 {
		spec.Tasks = resolveDependencies(*spec)
	}
	for i := range spec.Tasks {
		if r := validateTask(spec, i, taskIndexes, &service); r.isSet() {
			return r.result()
		}
	}
	if taskLevels(*spec) == nil {
		return invalidJob("/tasks: the dependencies go in a circle").result()
	}
	unfinished := s.unfinished[spec.classKey()]
	if class.MaxUnfinishedTasks > 0 && unfinished+len(spec.Tasks) > class.MaxUnfinishedTasks {
		return rejectForNow(queueFullRetryAfter, status.QueueFull, "class %s has %d tasks waiting", spec.Class, unfinished)
	}
	return Result{Code: status.OK}
}

func invalidJob(format string, args ...any) rejection {
	return newRejection(status.InvalidJob, format, args...)
}

// validateShape checks a job's ID, steps and number of tasks, and expands its steps.
func (s *Store) validateShape(spec *JobSpec) rejection {
	if !validName.MatchString(spec.ID) {
		return invalidJob("/id: must match %s", validName)
	}
	if len(spec.Steps) > 0 {
		if r := s.validateSteps(spec); r.isSet() {
			return r
		}
		spec.Tasks = expandSteps(*spec)
	} else if spec.Repeat != (Repeat{}) {
		return invalidJob("/repeat: only a job in steps can be repeated")
	}
	if maxTasks := s.config.Limits.MaxTasks; len(spec.Tasks) == 0 || len(spec.Tasks) > maxTasks {
		return invalidJob("/tasks: between 1 and %d tasks are taken", maxTasks)
	}
	return rejection{}
}

// validateSteps checks everything that expandSteps relies on.
func (s *Store) validateSteps(spec *JobSpec) rejection {
	total, repeat, maxTasks := 0, spec.Repeat, s.config.Limits.MaxTasks
	if repeat.Count < 0 || repeat.Count > maxTasks || repeat.Count > 1 && repeat.Every.Duration <= 0 {
		return invalidJob("/repeat: count is at least 0, every is over 0")
	}
	for i, step := range spec.Steps {
		if step.Count < 1 || step.Count > maxTasks {
			return invalidJob("/steps/%d/count: between 1 and %d", i, maxTasks)
		}
		total += step.Count
		for j, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i || slices.Index(step.DependsOn, dependency) != j {
				return invalidJob("/steps/%d/after/%d: an earlier step, once", i, j)
			}
		}
	}
	if total*max(1, repeat.Count) > maxTasks {
		return invalidJob("/steps: at most %d tasks are taken", maxTasks)
	}
	return rejection{}
}

// findClass returns the configured service and class of a job, or a rejection if either does
// not exist.
func (s *Store) findClass(spec *JobSpec) (config.Service, config.Class, rejection) {
	service, ok := s.config.Services[spec.Service]
	if !ok {
		r := newRejection(status.UnknownClass, "/service: %q is not in the plan", spec.Service)
		return service, config.Class{}, r
	}
	class, ok := service.Classes[spec.Class]
	if !ok {
		r := newRejection(status.UnknownClass, "/class: %q is not a class of %s", spec.Class, spec.Service)
		return service, class, r
	}
	return service, class, rejection{}
}

// indexTasks returns the index of each task by its ID. It rejects IDs that are malformed or
// used twice.
func indexTasks(tasks []TaskSpec) (map[string]int, rejection) {
	indexes := map[string]int{}
	for i, task := range tasks {
		if !validName.MatchString(task.ID) {
			return nil, invalidJob("/tasks/%d/id: must match %s", i, validName)
		}
		if _, isDuplicate := indexes[task.ID]; isDuplicate {
			return nil, invalidJob("/tasks/%d/id: %q is used twice", i, task.ID)
		}
		indexes[task.ID] = i
	}
	return indexes, rejection{}
}

// validateTask checks one task of a job.
func validateTask(spec *JobSpec, i int, taskIndexes map[string]int, service *config.Service) rejection {
	task := &spec.Tasks[i]
	if r := validateDependencies(spec, i, taskIndexes); r.isSet() {
		return r
	}
	if r := validateResources(spec, i, service); r.isSet() {
		return r
	}
	for j, label := range task.Labels {
		if !service.AllowAnyLabel && !slices.Contains(service.Labels, label) {
			return newRejection(status.Unsatisfiable, "/tasks/%d/labels/%d: no worker of %s may have %q",
				i, j, spec.Service, label)
		}
	}
	switch task.LostWorkerPolicy {
	case "", config.RestartOnLostWorker, config.HoldOnLostWorker:
	default:
		return invalidJob("/tasks/%d/silence: %q is neither %s nor %s",
			i, task.LostWorkerPolicy, config.RestartOnLostWorker, config.HoldOnLostWorker)
	}
	if task.MaxFailures < 1 || task.MaxFailures > maxAllowedFailures {
		return invalidJob("/tasks/%d/allowedDefects: between 1 and %d", i, maxAllowedFailures)
	}
	return rejection{}
}

// validateDependencies checks that the dependencies of a task exist in the job, are named
// once each, and are not members of the task's gang.
func validateDependencies(spec *JobSpec, i int, taskIndexes map[string]int) rejection {
	task := &spec.Tasks[i]
	for j, id := range task.DependsOn {
		dependency, ok := taskIndexes[id]
		if !ok {
			return invalidJob("/tasks/%d/after/%d: no task %q", i, j, id)
		}
		if slices.Index(task.DependsOn, id) != j {
			return invalidJob("/tasks/%d/after/%d: %q stands twice", i, j, id)
		}
		if task.Gang != "" && spec.Tasks[dependency].Gang == task.Gang {
			return invalidJob("/tasks/%d/after/%d: members of a gang start together", i, j)
		}
	}
	return rejection{}
}

// validateResources checks the resources that a task needs, which the largest worker of the
// service must cover.
func validateResources(spec *JobSpec, i int, service *config.Service) rejection {
	task := &spec.Tasks[i]
	needed, largest := task.Resources, service.LargestWorker
	switch {
	case needed.Slots < 1 || needed.Cores < 0 || needed.MemoryMB < 0:
		return invalidJob("/tasks/%d/room: at least 1 slot, nothing below 0", i)
	case task.MaxPerWorker < 0 || needed.Accelerators < 0:
		return invalidJob("/tasks/%d: nothing below 0", i)
	case largest != (Resources{}) && !largest.Covers(needed):
		return newRejection(status.Unsatisfiable, "/tasks/%d/room: the largest worker of %s has %+v",
			i, spec.Service, largest)
	}
	return rejection{}
}
