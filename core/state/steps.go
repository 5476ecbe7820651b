// Jobs in steps, and where a task stands in its job: what it needs done before
// it, which step and which due time it belongs to.

package state

import (
	"fmt"
	"time"
)

// expand writes a job's steps out as tasks, time by time and step by step.
func expandSteps(spec JobSpec) []TaskSpec {
	times := max(1, spec.Repeat.Count)
	var out []TaskSpec
	for t := range times {
		first := make([]int, len(spec.Steps))
		for s, step := range spec.Steps {
			first[s] = len(out)
			var needs []int
			for _, dep := range step.DependsOn {
				for n := range spec.Steps[dep].Count {
					needs = append(needs, first[dep]+n)
				}
			}
			gang := ""
			if step.Gang {
				gang = fmt.Sprintf("%d.%d", t, s)
			}
			for n := range step.Count {
				out = append(out, TaskSpec{ID: fmt.Sprintf("%d.%d.%d", t, s, n), Resources: step.Resources, Labels: step.Labels, Gang: gang,
					MaxFailures: step.MaxFailures, Placement: step.Placement, Dependencies: needs, Repetition: t, Step: s})
			}
		}
	}
	return out
}

// placed works out what the tasks of a job need; names that do not exist are left
// out, the check of the job has them.
func resolveDependencies(spec JobSpec) []TaskSpec {
	if len(spec.Steps) > 0 {
		return expandSteps(spec)
	}
	index := make(map[string]int, len(spec.Tasks))
	for i, t := range spec.Tasks {
		index[t.ID] = i
	}
	out := make([]TaskSpec, len(spec.Tasks))
	for i, t := range spec.Tasks {
		t.Dependencies = nil
		for _, dep := range t.DependsOn {
			if j, ok := index[dep]; ok {
				t.Dependencies = append(t.Dependencies, j)
			}
		}
		out[i] = t
	}
	return out
}

// SameStep says whether two tasks of a job belong to one step of one due time.
func (j Job) SameStep(a, b int) bool {
	if len(j.Spec.Steps) > 0 {
		return j.Spec.Tasks[a].Step == j.Spec.Tasks[b].Step && j.Spec.Tasks[a].Repetition == j.Spec.Tasks[b].Repetition
	}
	return j.Tasks[a].Level == j.Tasks[b].Level
}

// Crowded says whether as many of a task's step stand on a worker as may.
func (l *Store) AtWorkerLimit(job Job, i int, worker string, more int) bool {
	most := job.Spec.Tasks[i].MaxPerWorker
	if most <= 0 {
		return false
	}
	for j, t := range job.Tasks {
		if j != i && t.Lease.Held() && t.Lease.Worker == worker && job.SameStep(i, j) {
			more++
		}
	}
	return more >= most
}

// Chain is the longest chain of guessed run times in a job, of one due time.
func (j Job) CriticalPath() time.Duration {
	var longest time.Duration
	if len(j.Spec.Steps) > 0 {
		ends := make([]time.Duration, len(j.Spec.Steps))
		for s, step := range j.Spec.Steps {
			for _, dep := range step.DependsOn {
				ends[s] = max(ends[s], ends[dep])
			}
			ends[s] += step.ExpectedRunTime.Duration
			longest = max(longest, ends[s])
		}
		return longest
	}
	for _, t := range j.Spec.Tasks {
		longest = max(longest, t.ExpectedRunTime.Duration)
	}
	return longest
}
