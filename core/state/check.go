// The checks that a job must pass before it is accepted: its own shape, then
// its fit with the plan. The answer names the place of the first fault.

package state

import (
	"regexp"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Normal fills what the caller left out.
func Normalize(spec JobSpec) JobSpec {
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		if spec.Steps[i].Resources == (Resources{}) {
			spec.Steps[i].Resources.Slots = 1
		}
	}
	if len(spec.Steps) > 0 {
		spec.Tasks = nil
		return spec
	}
	spec.Tasks = slices.Clone(spec.Tasks)
	for i, t := range spec.Tasks {
		if t.Resources == (Resources{}) {
			t.Resources.Slots = 1
		}
		if t.MaxFailures == 0 {
			t.MaxFailures = 3
		}
		spec.Tasks[i] = t
	}
	return spec
}

// Check judges a job against its own rules and the plan.
func (l *Store) ValidateJob(spec JobSpec) Result {
	if !validName.MatchString(spec.ID) {
		return reject(status.InvalidJob, "/id: must match %s", validName)
	}
	if len(spec.Steps) > 0 {
		if a := l.validateSteps(spec); !a.Code.IsSuccess() {
			return a
		}
		spec.Tasks = expandSteps(spec)
	} else if spec.Repeat != (Repeat{}) {
		return reject(status.InvalidJob, "/repeat: only a job in steps can be repeated")
	}
	if len(spec.Tasks) == 0 || len(spec.Tasks) > l.config.Limits.MaxTasks {
		return reject(status.InvalidJob, "/tasks: between 1 and %d tasks are taken", l.config.Limits.MaxTasks)
	}
	service, ok := l.config.Services[spec.Service]
	if !ok {
		return reject(status.UnknownClass, "/service: %q is not in the plan", spec.Service)
	}
	class, ok := service.Classes[spec.Class]
	if !ok {
		return reject(status.UnknownClass, "/class: %q is not a class of %s", spec.Class, spec.Service)
	}
	index := map[string]int{}
	for i, t := range spec.Tasks {
		if !validName.MatchString(t.ID) {
			return reject(status.InvalidJob, "/tasks/%d/id: must match %s", i, validName)
		}
		if _, twice := index[t.ID]; twice {
			return reject(status.InvalidJob, "/tasks/%d/id: %q is used twice", i, t.ID)
		}
		index[t.ID] = i
	}
	if spec.Steps == nil {
		spec.Tasks = resolveDependencies(spec)
	}
	for i, t := range spec.Tasks {
		for j, dep := range t.DependsOn {
			if _, ok := index[dep]; !ok {
				return reject(status.InvalidJob, "/tasks/%d/after/%d: no task %q", i, j, dep)
			}
			if slices.Index(t.DependsOn, dep) != j {
				return reject(status.InvalidJob, "/tasks/%d/after/%d: %q stands twice", i, j, dep)
			}
			if t.Gang != "" && spec.Tasks[index[dep]].Gang == t.Gang {
				return reject(status.InvalidJob, "/tasks/%d/after/%d: members of a gang start together", i, j)
			}
		}
		if t.Resources.Slots < 1 || t.Resources.Cores < 0 || t.Resources.MemoryMB < 0 {
			return reject(status.InvalidJob, "/tasks/%d/room: at least 1 slot, nothing below 0", i)
		}
		if t.MaxPerWorker < 0 || t.Resources.Accelerators < 0 {
			return reject(status.InvalidJob, "/tasks/%d: nothing below 0", i)
		}
		if service.LargestWorker != (Resources{}) && !service.LargestWorker.Covers(t.Resources) {
			return reject(status.Unsatisfiable, "/tasks/%d/room: the largest worker of %s has %+v", i, spec.Service, service.LargestWorker)
		}
		for j, label := range t.Labels {
			if !service.AllowAnyLabel && !slices.Contains(service.Labels, label) {
				return reject(status.Unsatisfiable, "/tasks/%d/labels/%d: no worker of %s may have %q", i, j, spec.Service, label)
			}
		}
		if t.LostWorkerPolicy != "" && t.LostWorkerPolicy != config.RestartOnLostWorker && t.LostWorkerPolicy != config.HoldOnLostWorker {
			return reject(status.InvalidJob, "/tasks/%d/silence: %q is neither %s nor %s", i, t.LostWorkerPolicy, config.RestartOnLostWorker, config.HoldOnLostWorker)
		}
		if t.MaxFailures < 1 || t.MaxFailures > 1000 {
			return reject(status.InvalidJob, "/tasks/%d/allowedDefects: between 1 and 1000", i)
		}
	}
	if levels := taskLevels(spec); levels == nil {
		return reject(status.InvalidJob, "/tasks: the dependencies go in a circle")
	}
	if class.QueueLimit > 0 && l.unfinished[[2]string{spec.Service, spec.Class}]+len(spec.Tasks) > class.QueueLimit {
		a := reject(status.QueueFull, "class %s has %d tasks waiting", spec.Class, l.unfinished[[2]string{spec.Service, spec.Class}])
		a.RetryAfter = 2 * time.Second
		return a
	}
	return Result{Code: status.OK}
}

// levelsOf gives each task the length of the longest chain before it, all
// members of a gang the level of the deepest; nil if there is a circle. A
// gang counts as one point, so a circle through a gang is found too.
func taskLevels(spec JobSpec) []int {
	levels := make([]int, len(spec.Tasks))
	if len(spec.Steps) > 0 {
		ofStep := make([]int, len(spec.Steps))
		for s, step := range spec.Steps {
			for _, dep := range step.DependsOn {
				ofStep[s] = max(ofStep[s], ofStep[dep]+1)
			}
		}
		for i, t := range spec.Tasks {
			levels[i] = ofStep[t.Step]
		}
		return levels
	}
	gangs := map[string]int{}
	for range 2*len(spec.Tasks) + 2 {
		moved := false
		for i, t := range spec.Tasks {
			level := max(levels[i], gangs[t.Gang])
			for _, dep := range t.Dependencies {
				level = max(level, levels[dep]+1)
			}
			if t.Gang != "" {
				gangs[t.Gang] = level
			}
			moved = moved || level != levels[i]
			levels[i] = level
		}
		if !moved {
			return levels
		}
	}
	return nil
}

// checkSteps judges what expanding the steps rests on.
func (l *Store) validateSteps(spec JobSpec) Result {
	total, r := 0, spec.Repeat
	if r.Count < 0 || r.Count > l.config.Limits.MaxTasks || r.Count > 1 && r.Every.Duration <= 0 {
		return reject(status.InvalidJob, "/repeat: count is at least 0, every is over 0")
	}
	for s, step := range spec.Steps {
		if step.Count < 1 || step.Count > l.config.Limits.MaxTasks {
			return reject(status.InvalidJob, "/steps/%d/count: between 1 and %d", s, l.config.Limits.MaxTasks)
		}
		total += step.Count
		for j, dep := range step.DependsOn {
			if dep < 0 || dep >= s || slices.Index(step.DependsOn, dep) != j {
				return reject(status.InvalidJob, "/steps/%d/after/%d: an earlier step, once", s, j)
			}
		}
	}
	if total*max(1, r.Count) > l.config.Limits.MaxTasks {
		return reject(status.InvalidJob, "/steps: at most %d tasks are taken", l.config.Limits.MaxTasks)
	}
	return Result{Code: status.OK}
}
