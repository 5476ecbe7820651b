// The checks that a job must pass before it is accepted: its own shape, then
// its fit with the plan. The answer names the place of the first fault.
package ledger

import (
	"regexp"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/plan"
)

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Normal fills what the caller left out.
func Normal(spec JobSpec) JobSpec {
	spec.Steps = slices.Clone(spec.Steps)
	for i := range spec.Steps {
		if spec.Steps[i].Room == (Room{}) {
			spec.Steps[i].Room.Slots = 1
		}
	}
	if len(spec.Steps) > 0 {
		spec.Tasks = nil
		return spec
	}
	spec.Tasks = slices.Clone(spec.Tasks)
	for i, t := range spec.Tasks {
		if t.Room == (Room{}) {
			t.Room.Slots = 1
		}
		if t.AllowedDefects == 0 {
			t.AllowedDefects = 3
		}
		spec.Tasks[i] = t
	}
	return spec
}

// Check judges a job against its own rules and the plan.
func (l *Ledger) Check(spec JobSpec) Answer {
	if !nameShape.MatchString(spec.ID) {
		return bounce(code.BadJob, "/id: must match %s", nameShape)
	}
	if len(spec.Steps) > 0 {
		if a := l.checkSteps(spec); !a.Code.Good() {
			return a
		}
		spec.Tasks = expand(spec)
	} else if spec.Repeat != (Repeat{}) {
		return bounce(code.BadJob, "/repeat: only a job in steps can be repeated")
	}
	if len(spec.Tasks) == 0 || len(spec.Tasks) > l.plan.Limits.MaxTasks {
		return bounce(code.BadJob, "/tasks: between 1 and %d tasks are taken", l.plan.Limits.MaxTasks)
	}
	service, ok := l.plan.Services[spec.Service]
	if !ok {
		return bounce(code.UnknownClass, "/service: %q is not in the plan", spec.Service)
	}
	class, ok := service.Classes[spec.Class]
	if !ok {
		return bounce(code.UnknownClass, "/class: %q is not a class of %s", spec.Class, spec.Service)
	}
	index := map[string]int{}
	for i, t := range spec.Tasks {
		if !nameShape.MatchString(t.ID) {
			return bounce(code.BadJob, "/tasks/%d/id: must match %s", i, nameShape)
		}
		if _, twice := index[t.ID]; twice {
			return bounce(code.BadJob, "/tasks/%d/id: %q is used twice", i, t.ID)
		}
		index[t.ID] = i
	}
	if spec.Steps == nil {
		spec.Tasks = placed(spec)
	}
	for i, t := range spec.Tasks {
		for j, dep := range t.After {
			if _, ok := index[dep]; !ok {
				return bounce(code.BadJob, "/tasks/%d/after/%d: no task %q", i, j, dep)
			}
			if slices.Index(t.After, dep) != j {
				return bounce(code.BadJob, "/tasks/%d/after/%d: %q stands twice", i, j, dep)
			}
			if t.Gang != "" && spec.Tasks[index[dep]].Gang == t.Gang {
				return bounce(code.BadJob, "/tasks/%d/after/%d: members of a gang start together", i, j)
			}
		}
		if t.Room.Slots < 1 || t.Room.Cores < 0 || t.Room.MemoryMB < 0 {
			return bounce(code.BadJob, "/tasks/%d/room: at least 1 slot, nothing below 0", i)
		}
		if t.PerWorker < 0 || t.Room.Accelerators < 0 {
			return bounce(code.BadJob, "/tasks/%d: nothing below 0", i)
		}
		if service.Largest != (Room{}) && !service.Largest.Holds(t.Room) {
			return bounce(code.Impossible, "/tasks/%d/room: the largest worker of %s has %+v", i, spec.Service, service.Largest)
		}
		for j, label := range t.Labels {
			if !service.AnyLabel && !slices.Contains(service.Labels, label) {
				return bounce(code.Impossible, "/tasks/%d/labels/%d: no worker of %s may have %q", i, j, spec.Service, label)
			}
		}
		if t.Silence != "" && t.Silence != plan.Restart && t.Silence != plan.Hold {
			return bounce(code.BadJob, "/tasks/%d/silence: %q is neither %s nor %s", i, t.Silence, plan.Restart, plan.Hold)
		}
		if t.AllowedDefects < 1 || t.AllowedDefects > 1000 {
			return bounce(code.BadJob, "/tasks/%d/allowedDefects: between 1 and 1000", i)
		}
	}
	if levels := levelsOf(spec); levels == nil {
		return bounce(code.BadJob, "/tasks: the dependencies go in a circle")
	}
	if class.InboxMax > 0 && l.inbox[[2]string{spec.Service, spec.Class}]+len(spec.Tasks) > class.InboxMax {
		a := bounce(code.InboxFull, "class %s has %d tasks waiting", spec.Class, l.inbox[[2]string{spec.Service, spec.Class}])
		a.RetryAfter = 2 * time.Second
		return a
	}
	return Answer{Code: code.OK}
}

// levelsOf gives each task the length of the longest chain before it, all
// members of a gang the level of the deepest; nil if there is a circle. A
// gang counts as one point, so a circle through a gang is found too.
func levelsOf(spec JobSpec) []int {
	levels := make([]int, len(spec.Tasks))
	if len(spec.Steps) > 0 {
		ofStep := make([]int, len(spec.Steps))
		for s, step := range spec.Steps {
			for _, dep := range step.After {
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
			for _, dep := range t.Needs {
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
func (l *Ledger) checkSteps(spec JobSpec) Answer {
	total, r := 0, spec.Repeat
	if r.Count < 0 || r.Count > l.plan.Limits.MaxTasks || r.Count > 1 && r.Every.Duration <= 0 {
		return bounce(code.BadJob, "/repeat: count is at least 0, every is over 0")
	}
	for s, step := range spec.Steps {
		if step.Count < 1 || step.Count > l.plan.Limits.MaxTasks {
			return bounce(code.BadJob, "/steps/%d/count: between 1 and %d", s, l.plan.Limits.MaxTasks)
		}
		total += step.Count
		for j, dep := range step.After {
			if dep < 0 || dep >= s || slices.Index(step.After, dep) != j {
				return bounce(code.BadJob, "/steps/%d/after/%d: an earlier step, once", s, j)
			}
		}
	}
	if total*max(1, r.Count) > l.plan.Limits.MaxTasks {
		return bounce(code.BadJob, "/steps: at most %d tasks are taken", l.plan.Limits.MaxTasks)
	}
	return Answer{Code: code.OK}
}
