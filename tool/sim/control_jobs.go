package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// jobPayload is the payload of a job: for each step, how long its tasks run.
type jobPayload struct {
	RunMillis []int64 `json:"runMs"`
}

// maxFailures is the maximum number of failures of a task, by class; other classes have
// defaultMaxFailures.
var maxFailures = map[string]int{classLong: 5}

// newJob creates and registers a job of steps, with the steps expanded for the oracle. Steps
// without resources get one slot and 1 MB.
func (s *ControlScenario) newJob(
	class, id string, steps []state.StepSpec, runMillis []int64, repeat state.Repeat,
) *clientJob {
	service := mainService
	if class == classPrint {
		service = otherService
	}
	for i := range steps {
		if steps[i].Resources == (state.Resources{}) {
			steps[i].Resources = state.Resources{Slots: 1, MemoryMB: 1}
		}
	}
	job := &clientJob{gatewayIndex: s.world.rng.IntN(64)}
	job.request = state.JobSpec{
		ID: id, Host: controlHost, Path: "/" + class + "/" + id,
		Payload: machine.MustJSON(jobPayload{RunMillis: runMillis}), Steps: steps, Repeat: repeat,
	}
	job.spec = state.JobSpec{
		ID: id, Service: service, Class: class,
		Tasks: expandSteps(steps, max(1, repeat.Count), maxFailures[class]),
	}
	if s.options.Tenants {
		job.tenant = tenantOf(id)
	}
	s.jobs, s.jobsByID[id] = append(s.jobs, job), job
	return job
}

// taskID returns the ID of a task of a job of steps.
func taskID(repetition, step, number int) string {
	return fmt.Sprintf("%d.%d.%d", repetition, step, number)
}

// expandSteps expands a job's steps into tasks. It implements the rules in the documentation
// of StepSpec independently of the daemons' code, which it serves to check.
func expandSteps(steps []state.StepSpec, repetitions, failures int) []state.TaskSpec {
	var tasks []state.TaskSpec
	for repetition := range repetitions {
		for i, step := range steps {
			var dependencies []string
			for _, earlier := range step.DependsOn {
				for number := range steps[earlier].Count {
					dependencies = append(dependencies, taskID(repetition, earlier, number))
				}
			}
			gang := ""
			if step.Gang {
				gang = fmt.Sprintf("%d.%d", repetition, i)
			}
			for number := range step.Count {
				tasks = append(tasks, state.TaskSpec{
					ID: taskID(repetition, i, number), DependsOn: dependencies, Resources: step.Resources,
					Labels: step.Labels, Gang: gang, MaxFailures: failures, Placement: step.Placement,
					Repetition: repetition, Step: i,
				})
			}
		}
	}
	return tasks
}

// findTask returns the task of an attempt, its step, and when it is due, zero if immediately.
// The task is nil if there is none.
func (s *ControlScenario) findTask(attempt state.Attempt) (task *state.TaskSpec, step int, due time.Time) {
	job := s.jobsByID[attempt.Job]
	if job == nil {
		return nil, 0, due
	}
	for i := range job.spec.Tasks {
		task = &job.spec.Tasks[i]
		if task.ID != attempt.Task {
			continue
		}
		if repeat := job.request.Repeat; repeat.Count > 0 {
			due = repeat.FirstAt.Add(time.Duration(task.Repetition) * repeat.Every.Duration)
		}
		return task, task.Step, due
	}
	return nil, 0, due
}

// gangSize returns the number of members in a gang of a job.
func (s *ControlScenario) gangSize(job, gang string) int {
	count := 0
	for _, task := range s.jobsByID[job].spec.Tasks {
		if task.Gang == gang {
			count++
		}
	}
	return count
}
