package statetest

import (
	"strings"

	"sorrelloom/core/state"
)

// defaultService is the service of jobs, and of workers whose names contain no service.
const defaultService = "tickets"

// JobSpec returns a job of the service "tickets". A task is written as its ID, followed
// by any of these in this order: a gang in brackets, the tasks that it depends on after
// "<", a label after "+", and a number of slots (one digit, 1 if missing) after ":".
// "b<a:2" is a task b that depends on a and needs 2 slots; "x[g]" is a member of gang g.
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

// parseWorker parses a worker's name, which may contain a service before a slash and labels
// after plus signs, such as "podcasts/w1+ssd".
func parseWorker(name string) (service, id string, labels []string) {
	service, id = defaultService, name
	if before, after, ok := strings.Cut(name, "/"); ok {
		service, id = before, after
	}
	parts := strings.Split(id, "+")
	return service, parts[0], parts[1:]
}

// parseAssignment parses "job/task@worker"; the worker may be missing.
func parseAssignment(text string) state.Assignment {
	task, worker, _ := strings.Cut(text, "@")
	job, task, _ := strings.Cut(task, "/")
	return state.Assignment{Job: job, Task: task, Worker: worker}
}
