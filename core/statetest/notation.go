package statetest

import (
	"strings"

	"sorrelloom/core/state"
)

// defaultService is that of jobs, and of workers whose names give none.
const defaultService = "tickets"

// JobSpec is a job of the service "tickets". Tasks are written "b<a:2" for b after a
// with 2 slots; a gang stands in brackets, "x[g]", labels after a plus sign.
func JobSpec(id, class string, tasks ...string) state.JobSpec {
	spec := state.JobSpec{ID: id, Service: defaultService, Class: class}
	for _, text := range tasks {
		spec.Tasks = append(spec.Tasks, parseTask(text))
	}
	return spec
}

func parseTask(text string) state.TaskSpec {
	task := state.TaskSpec{Resources: state.Resources{Slots: 1}}
	if before, slots, ok := strings.Cut(text, ":"); ok {
		text, task.Resources.Slots = before, int(slots[0]-'0')
	}
	if before, label, ok := strings.Cut(text, "+"); ok {
		text, task.Labels = before, []string{label}
	}
	if before, dependencies, ok := strings.Cut(text, "<"); ok {
		text, task.DependsOn = before, strings.Split(dependencies, ",")
	}
	if before, gang, ok := strings.Cut(text, "["); ok {
		text, task.Gang = before, strings.TrimSuffix(gang, "]")
	}
	task.ID = text
	return task
}

// parseWorker reads a worker's name, which may carry a service before a slash and labels
// after plus signs, such as "podcasts/w1+ssd".
func parseWorker(name string) (service, id string, labels []string) {
	service, id = defaultService, name
	if before, after, ok := strings.Cut(name, "/"); ok {
		service, id = before, after
	}
	parts := strings.Split(id, "+")
	return service, parts[0], parts[1:]
}

// parseAssignment reads "job/task@worker"; the worker may be missing.
func parseAssignment(text string) state.Assignment {
	task, worker, _ := strings.Cut(text, "@")
	job, task, _ := strings.Cut(task, "/")
	return state.Assignment{Job: job, Task: task, Worker: worker}
}
