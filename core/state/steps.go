package state

import (
	"fmt"
	"strconv"
	"strings"
)

// expandSteps returns the tasks of a job's steps, ordered by repetition and then by step.
// The tasks of a step share one slice of dependencies.
func expandSteps(spec JobSpec) []TaskSpec {
	repetitions, perRepetition := max(1, spec.Repeat.Count), 0
	for i := range spec.Steps {
		perRepetition += spec.Steps[i].Count
	}
	tasks := make([]TaskSpec, 0, repetitions*perRepetition)
	for repetition := range repetitions {
		// first holds the index of the first task of each step.
		first := make([]int, len(spec.Steps))
		for i, step := range spec.Steps {
			first[i] = len(tasks)
			task := TaskSpec{
				Resources: step.Resources, Labels: step.Labels, MaxFailures: step.MaxFailures,
				Placement: step.Placement, Repetition: repetition, Step: i,
			}
			for _, dependency := range step.DependsOn {
				for n := range spec.Steps[dependency].Count {
					task.Dependencies = append(task.Dependencies, first[dependency]+n)
				}
			}
			prefix := fmt.Sprintf("%d.%d.", repetition, i)
			if step.Gang {
				task.Gang = strings.TrimSuffix(prefix, ".")
			}
			for n := range step.Count {
				task.ID = prefix + strconv.Itoa(n)
				tasks = append(tasks, task)
			}
		}
	}
	return tasks
}

// taskIndex returns the index of the task with an ID, or -1.
func (spec *JobSpec) taskIndex(id string) int {
	if i := spec.stepTaskIndex(id); i >= 0 && i < len(spec.Tasks) && spec.Tasks[i].ID == id {
		return i
	}
	for i := range spec.Tasks {
		if spec.Tasks[i].ID == id {
			return i
		}
	}
	return -1
}

// stepTaskIndex returns the index that the task "repetition.step.number" of a job in steps
// would have, which may be out of range. It returns -1 for an ID of another form.
func (spec *JobSpec) stepTaskIndex(id string) int {
	repetitionText, rest, _ := strings.Cut(id, ".")
	stepText, numberText, _ := strings.Cut(rest, ".")
	repetition, err := strconv.Atoi(repetitionText)
	step, stepErr := strconv.Atoi(stepText)
	number, numberErr := strconv.Atoi(numberText)
	if err != nil || stepErr != nil || numberErr != nil || step < 0 || step >= len(spec.Steps) {
		return -1
	}
	perRepetition, before := 0, 0
	for i := range spec.Steps {
		if i < step {
			before += spec.Steps[i].Count
		}
		perRepetition += spec.Steps[i].Count
	}
	return repetition*perRepetition + before + number
}

// resolveDependencies returns the tasks of a job with the indexes of their dependencies.
// Names that do not exist are skipped; the validation of the job rejects them.
func resolveDependencies(spec JobSpec) []TaskSpec {
	if len(spec.Steps) > 0 {
		return expandSteps(spec)
	}
	index := make(map[string]int, len(spec.Tasks))
	for i, task := range spec.Tasks {
		index[task.ID] = i
	}
	tasks := make([]TaskSpec, len(spec.Tasks))
	for i, task := range spec.Tasks {
		task.Dependencies = nil
		for _, id := range task.DependsOn {
			if dependency, ok := index[id]; ok {
				task.Dependencies = append(task.Dependencies, dependency)
			}
		}
		tasks[i] = task
	}
	return tasks
}

// taskLevels returns the level of each task, which is the length of the longest chain of
// dependencies before it. All members of a gang have the highest level among them. A gang
// counts as one node, so cycles through a gang are found too. taskLevels returns nil if
// there is a cycle.
func taskLevels(spec JobSpec) []int {
	if len(spec.Steps) > 0 {
		return stepLevels(spec)
	}
	levels, gangLevels := make([]int, len(spec.Tasks)), map[string]int{}
	// Without a cycle, each round determines the final levels of one more layer of tasks
	// and gangs.
	for range 2*len(spec.Tasks) + 2 {
		changed := false
		for i, task := range spec.Tasks {
			level := max(levels[i], gangLevels[task.Gang])
			for _, dependency := range task.Dependencies {
				level = max(level, levels[dependency]+1)
			}
			if task.Gang != "" {
				gangLevels[task.Gang] = level
			}
			changed = changed || level != levels[i]
			levels[i] = level
		}
		if !changed {
			return levels
		}
	}
	return nil
}

// stepLevels returns the level of each task of a job in steps, which is that of its step.
// Steps depend only on earlier ones, so there is no cycle.
func stepLevels(spec JobSpec) []int {
	ofStep := make([]int, len(spec.Steps))
	for i, step := range spec.Steps {
		for _, dependency := range step.DependsOn {
			ofStep[i] = max(ofStep[i], ofStep[dependency]+1)
		}
	}
	levels := make([]int, len(spec.Tasks))
	for i, task := range spec.Tasks {
		levels[i] = ofStep[task.Step]
	}
	return levels
}

// sameStep reports whether two tasks of a job belong to the same step of the same
// repetition. In a job without steps, the tasks of one level count as a step.
func (j *Job) sameStep(a, b int) bool {
	if len(j.Spec.Steps) > 0 {
		one, other := &j.Spec.Tasks[a], &j.Spec.Tasks[b]
		return one.Step == other.Step && one.Repetition == other.Repetition
	}
	return j.Tasks[a].Level == j.Tasks[b].Level
}

// AtWorkerLimit reports whether a worker has as many leases for other tasks of a task's step as
// the task's MaxPerWorker allows. pending is the number of further tasks of the step that are
// about to be leased to the worker.
func (s *Store) AtWorkerLimit(job *Job, i int, worker string, pending int) bool {
	limit := job.Spec.Tasks[i].MaxPerWorker
	if limit <= 0 {
		return false
	}
	count := pending
	for _, leased := range s.usageOf(worker).leases {
		if leased.ref.job == job.Spec.ID && leased.ref.index != i && job.sameStep(i, leased.ref.index) {
			count++
		}
	}
	return count >= limit
}
