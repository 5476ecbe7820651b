package dispatch

import "sorrelloom/core/state"

// inputKey identifies the inputs of a task if they are consecutive tasks.
type inputKey struct {
	job    string
	first  int
	length int
}

// inputIndex counts, per set of inputs and worker, the outputs that the worker holds. It
// contains only sets of consecutive tasks that are all complete, since these are shared by the
// tasks of a step and no longer change.
type inputIndex map[inputKey]map[string]int

func (x inputIndex) forgetJob(job string) {
	for key := range x {
		if key.job == job {
			delete(x, key)
		}
	}
}

// LocalityScore returns |H ∩ D| / |D| (Fela, see docs/fela.md), where H are the tasks that the
// worker has completed and D are the dependencies of the task. It is 0 for a task without
// dependencies.
func (d *Dispatcher) LocalityScore(job *state.Job, ref TaskRef, worker string) float64 {
	return d.localityScores(job, ref).of(worker)
}

// localityScores holds the scores of one task for all workers.
type localityScores struct {
	// outputs counts the task's inputs that each worker holds, and inputs is the number of all
	// inputs.
	outputs map[string]int
	inputs  int
}

// of returns the score of a worker.
func (l localityScores) of(worker string) float64 {
	if l.inputs == 0 {
		return 0
	}
	return float64(l.outputs[worker]) / float64(l.inputs)
}

// localityScores returns the scores of a task for all workers.
func (d *Dispatcher) localityScores(job *state.Job, ref TaskRef) localityScores {
	dependencies := job.Spec.Tasks[ref.Index].Dependencies
	if len(dependencies) == 0 || d.options.WithoutLocality {
		return localityScores{}
	}
	key := inputKey{ref.Job, dependencies[0], len(dependencies)}
	outputs, known := d.inputs[key]
	if !known {
		var complete bool
		outputs, complete = countOutputs(job, dependencies)
		span := dependencies[len(dependencies)-1] - dependencies[0]
		if complete && span == len(dependencies)-1 {
			d.inputs[key] = outputs
		}
	}
	return localityScores{outputs, len(dependencies)}
}

// countOutputs counts those of the given tasks of a job that are complete, by the worker that
// holds the output, and reports whether all are complete.
func countOutputs(job *state.Job, tasks []int) (outputs map[string]int, complete bool) {
	outputs, complete = map[string]int{}, true
	for _, i := range tasks {
		if job.Tasks[i].State == state.Done {
			outputs[job.Tasks[i].CompletedOn]++
		} else {
			complete = false
		}
	}
	return outputs, complete
}
