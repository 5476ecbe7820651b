package state

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/status"
)

// Explain returns a sentence for operators on why a job has not ended yet. For its ready tasks
// it names the reason for which a grant would be rejected now.
func (s *Store) Explain(id string) string {
	job, ok := s.jobs[id]
	if !ok {
		return "job " + id + " is not known"
	}
	if jobEnded(job) {
		if job.Reason != "" {
			return fmt.Sprintf("job %s is %s: %s", id, job.State, job.Reason)
		}
		return fmt.Sprintf("job %s is %s", id, job.State)
	}
	var parts []string
	for i := range job.Tasks {
		if part := s.explainTask(job, i); part != "" {
			parts = append(parts, part)
		}
	}
	return "job " + id + ": " + strings.Join(parts, "; ")
}

// explainTask describes what a task is doing or waiting for; it is empty for one that ended.
func (s *Store) explainTask(job *Job, i int) string {
	name, task := job.Spec.Tasks[i].ID, job.Tasks[i]
	lease := &task.Lease
	switch {
	case lease.Held() && lease.StopReason != "":
		return fmt.Sprintf("task %s is being stopped on %s: %s", name, lease.Worker, lease.StopReason)
	case lease.Held() && !s.Live(s.workerRecord(lease.Worker)):
		return fmt.Sprintf("task %s is %s", name, s.explainSilence(job, i))
	case lease.StartedAt > 0:
		return fmt.Sprintf("task %s runs on %s", name, lease.Worker)
	case lease.Held():
		return fmt.Sprintf("task %s is granted to %s, which has not confirmed it yet", name, lease.Worker)
	case task.State == Waiting:
		return fmt.Sprintf("task %s waits for %s", name, strings.Join(s.missingDependencies(job, i), ", "))
	case task.State == Ready:
		return fmt.Sprintf("task %s waits: %s", name, s.explainObstacle(job, i))
	}
	return ""
}

// explainSilence describes what a task is waiting for if its worker sends no heartbeats.
func (s *Store) explainSilence(job *Job, i int) string {
	lease := job.Tasks[i].Lease
	silence := (s.now - s.workerRecord(lease.Worker).LastSeenAt).Round(100 * time.Millisecond)
	if s.heldForLostWorker(job, i) {
		return fmt.Sprintf("held: %s has been silent for %s and may have ended it well; "+
			"it goes on when the worker is heard, or an operator says that it is gone", lease.Worker, silence)
	}
	return fmt.Sprintf("on %s, which has been silent for %s; without a word it is free in %s",
		lease.Worker, silence, max(0, s.latestEnd(lease)-s.now).Round(100*time.Millisecond))
}

// missingDependencies returns what a waiting task waits for: the names of the tasks that it
// depends on and that are not done, and its due time.
func (s *Store) missingDependencies(job *Job, i int) []string {
	var missing []string
	for _, dependency := range job.Spec.Tasks[i].Dependencies {
		if job.Tasks[dependency].State != Done {
			missing = append(missing, job.Spec.Tasks[dependency].ID)
		}
	}
	if dueAt := job.Tasks[i].DueAt; dueAt > s.now {
		missing = append(missing, fmt.Sprintf("its time in %s", (dueAt-s.now).Round(time.Second)))
	}
	return missing
}

// workerCounts counts the workers of a service by their suitability for a task.
type workerCounts struct {
	total int
	// byCode counts them by the result of Fits. Of those that fit, withResources counts the
	// ones with the resources free beside their leases, and reportingResources the ones that
	// have them free by their own heartbeats, whatever they hold leases for.
	byCode             map[status.Code]int
	withResources      int
	reportingResources int
	// lastHeardAt is the time of the latest heartbeat from any of them.
	lastHeardAt time.Duration
}

// countWorkers counts the workers of a job's service for the task with index i.
func (s *Store) countWorkers(job *Job, i int) workerCounts {
	counts := workerCounts{byCode: map[status.Code]int{}}
	for _, worker := range s.workers {
		if worker.Service != job.Spec.Service {
			continue
		}
		counts.total++
		counts.lastHeardAt = max(counts.lastHeardAt, worker.LastSeenAt)
		code := s.Fits(job, i, worker)
		counts.byCode[code]++
		if code == status.OK {
			counts.countResources(s, worker, job.Spec.Tasks[i].Resources)
		}
	}
	return counts
}

// countResources counts a worker that fits a task, if it has the needed resources.
func (c *workerCounts) countResources(s *Store, worker *Worker, needed Resources) {
	if s.FreeResources(worker.ID()).Covers(needed) {
		c.withResources++
	}
	if worker.Free.Covers(needed) {
		c.reportingResources++
	}
}

// unfitReasons gives the explanation of each code of Fits other than status.OK.
var unfitReasons = []struct {
	code   status.Code
	reason string
}{
	{status.WorkerMismatch, "lack a label"},
	{status.WorkerUnresponsive, "are silent"},
	{status.Draining, "are draining"},
	{status.ZoneDrained, "are in a drained zone"},
}

// explainUnfit describes why no worker of the service fits a task.
func (c workerCounts) explainUnfit(now time.Duration) string {
	var reasons []string
	for _, unfit := range unfitReasons {
		if n := c.byCode[unfit.code]; n > 0 {
			reasons = append(reasons, fmt.Sprintf("%d %s", n, unfit.reason))
		}
	}
	if c.byCode[status.WorkerUnresponsive] == c.total {
		silence := (now - c.lastHeardAt).Round(100 * time.Millisecond)
		return fmt.Sprintf("none of %d workers has been heard for %s", c.total, silence)
	}
	return fmt.Sprintf("of %d workers none may take it: %s", c.total, strings.Join(reasons, ", "))
}

// explainObstacle describes why a ready task has no lease: by the workers of its service, its
// tenant's limit, its class's share and the free resources.
func (s *Store) explainObstacle(job *Job, i int) string {
	service, class, spec := job.Spec.Service, job.Spec.Class, &job.Spec.Tasks[i]
	counts := s.countWorkers(job, i)
	switch {
	case counts.total == 0:
		return "no worker of service " + service + " has sent a heartbeat yet"
	case counts.byCode[status.OK] == 0:
		return counts.explainUnfit(s.now)
	}
	if reason := s.explainTenantLimit(job, i); reason != "" {
		return reason
	}
	if allowed, _ := s.CheckShare(job.Spec.classKey(), spec.Resources.Slots, nil); !allowed {
		usedSlots, shareSlots := s.ClassUse(service, class)
		return fmt.Sprintf("class %s uses %d slots of its share of %d, and may not borrow now",
			class, usedSlots, shareSlots)
	}
	if counts.withResources == 0 {
		return fmt.Sprintf("%d workers may take it, none has room for %d slots and %d cores now",
			counts.byCode[status.OK], spec.Resources.Slots, spec.Resources.Cores)
	}
	if spec.Gang == "" {
		return fmt.Sprintf("%d workers have room; it is leased next", counts.withResources)
	}
	if needed, slots := demandOf(job, i).gangSlots, s.ServiceLoad(service).Slots; needed > slots {
		return fmt.Sprintf("the gang %s needs %d slots at once, the workers there have %d", spec.Gang, needed, slots)
	}
	return "the gang " + spec.Gang + " needs room for all its members at once"
}
