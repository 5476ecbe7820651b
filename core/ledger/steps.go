// Jobs in steps, and where a task stands in its job: what it needs done before
// it, which step and which due time it belongs to.
package ledger

import (
	"fmt"
	"time"
)

// expand writes a job's steps out as tasks, time by time and step by step.
func expand(spec JobSpec) []TaskSpec {
	times := max(1, spec.Repeat.Count)
	var out []TaskSpec
	for t := range times {
		first := make([]int, len(spec.Steps))
		for s, step := range spec.Steps {
			first[s] = len(out)
			var needs []int
			for _, dep := range step.After {
				for n := range spec.Steps[dep].Count {
					needs = append(needs, first[dep]+n)
				}
			}
			gang := ""
			if step.Gang {
				gang = fmt.Sprintf("%d.%d", t, s)
			}
			for n := range step.Count {
				out = append(out, TaskSpec{ID: fmt.Sprintf("%d.%d.%d", t, s, n), Room: step.Room, Labels: step.Labels, Gang: gang,
					AllowedDefects: step.AllowedDefects, Placing: step.Placing, Needs: needs, Time: t, Step: s})
			}
		}
	}
	return out
}

// placed works out what the tasks of a job need; names that do not exist are left
// out, the check of the job has them.
func placed(spec JobSpec) []TaskSpec {
	if len(spec.Steps) > 0 {
		return expand(spec)
	}
	index := make(map[string]int, len(spec.Tasks))
	for i, t := range spec.Tasks {
		index[t.ID] = i
	}
	out := make([]TaskSpec, len(spec.Tasks))
	for i, t := range spec.Tasks {
		t.Needs = nil
		for _, dep := range t.After {
			if j, ok := index[dep]; ok {
				t.Needs = append(t.Needs, j)
			}
		}
		out[i] = t
	}
	return out
}

// SameStep says whether two tasks of a job belong to one step of one due time.
func (j Job) SameStep(a, b int) bool {
	if len(j.Spec.Steps) > 0 {
		return j.Spec.Tasks[a].Step == j.Spec.Tasks[b].Step && j.Spec.Tasks[a].Time == j.Spec.Tasks[b].Time
	}
	return j.Tasks[a].Level == j.Tasks[b].Level
}

// Crowded says whether as many of a task's step stand on a worker as may.
func (l *Ledger) Crowded(job Job, i int, worker string, more int) bool {
	most := job.Spec.Tasks[i].PerWorker
	if most <= 0 {
		return false
	}
	for j, t := range job.Tasks {
		if j != i && t.Turn.Held() && t.Turn.Worker == worker && job.SameStep(i, j) {
			more++
		}
	}
	return more >= most
}

// Chain is the longest chain of guessed run times in a job, of one due time.
func (j Job) Chain() time.Duration {
	var longest time.Duration
	if len(j.Spec.Steps) > 0 {
		ends := make([]time.Duration, len(j.Spec.Steps))
		for s, step := range j.Spec.Steps {
			for _, dep := range step.After {
				ends[s] = max(ends[s], ends[dep])
			}
			ends[s] += step.Guess.Duration
			longest = max(longest, ends[s])
		}
		return longest
	}
	for _, t := range j.Spec.Tasks {
		longest = max(longest, t.Guess.Duration)
	}
	return longest
}
