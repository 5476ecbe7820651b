// Why a job waits, in a sentence: the reasons that a grant would be bounced
// with now, told for people.

package state

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/status"
)

// Explain says why a job has not ended yet.
func (l *Store) Explain(id string) string {
	job, ok := l.jobs[id]
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
	for i, t := range job.Tasks {
		name := job.Spec.Tasks[i].ID
		switch {
		case t.Lease.Held() && t.Lease.StopReason != "":
			parts = append(parts, fmt.Sprintf("task %s is being stopped on %s: %s", name, t.Lease.Worker, t.Lease.StopReason))
		case t.Lease.Held() && !l.Live(l.workers[t.Lease.Worker]):
			parts = append(parts, fmt.Sprintf("task %s is %s", name, l.explainSilence(job, i)))
		case t.Lease.StartedAt > 0:
			parts = append(parts, fmt.Sprintf("task %s runs on %s", name, t.Lease.Worker))
		case t.Lease.Held():
			parts = append(parts, fmt.Sprintf("task %s is granted to %s, which has not confirmed it yet", name, t.Lease.Worker))
		case t.State == Waiting:
			parts = append(parts, fmt.Sprintf("task %s waits for %s", name, strings.Join(l.missingDependencies(job, i), ", ")))
		case t.State == Ready:
			parts = append(parts, fmt.Sprintf("task %s waits: %s", name, l.explainObstacle(job, i)))
		}
	}
	return "job " + id + ": " + strings.Join(parts, "; ")
}

// silence says what a task on a silent worker waits for.
func (l *Store) explainSilence(job Job, i int) string {
	turn := job.Tasks[i].Lease
	since := (l.now - l.workers[turn.Worker].LastSeenAt).Round(100 * time.Millisecond)
	if l.HeldForLostWorker(job, i) {
		return fmt.Sprintf("held: %s has been silent for %s and may have ended it well; it goes on when the worker is heard, or an operator says that it is gone", turn.Worker, since)
	}
	return fmt.Sprintf("on %s, which has been silent for %s; without a word it is free in %s", turn.Worker, since, max(0, l.latestEnd(turn)-l.now).Round(100*time.Millisecond))
}

func (l *Store) missingDependencies(job Job, i int) []string {
	var out []string
	for _, j := range job.Spec.Tasks[i].Dependencies {
		if job.Tasks[j].State != Done {
			out = append(out, job.Spec.Tasks[j].ID)
		}
	}
	if job.Tasks[i].DueAt > l.now {
		out = append(out, fmt.Sprintf("its time in %s", (job.Tasks[i].DueAt-l.now).Round(time.Second)))
	}
	return out
}

// obstacle counts, over the workers of the service, what keeps a task away.
func (l *Store) explainObstacle(job Job, i int) string {
	spec := job.Spec.Tasks[i]
	counts := map[status.Code]int{}
	of, room := 0, 0
	for _, w := range l.workers {
		if w.Service != job.Spec.Service {
			continue
		}
		of++
		c := l.Fits(job, i, w)
		if c == status.OK {
			if l.FreeResources(w.ID()).Covers(spec.Resources) {
				room++
			}
		}
		counts[c]++
	}
	switch {
	case of == 0:
		return "no worker of service " + job.Spec.Service + " has beaten yet"
	case counts[status.OK] == 0:
		var why []string
		for _, c := range []status.Code{status.WorkerMismatch, status.WorkerUnresponsive, status.Draining, status.ZoneDrained} {
			if counts[c] > 0 {
				why = append(why, fmt.Sprintf("%d %s", counts[c], map[status.Code]string{
					status.WorkerMismatch: "lack a label", status.WorkerUnresponsive: "are silent", status.Draining: "are draining", status.ZoneDrained: "stand in an emptied site",
				}[c]))
			}
		}
		return fmt.Sprintf("of %d workers none may take it: %s", of, strings.Join(why, ", "))
	}
	if allowed, _ := l.CheckShare(job.Spec.Service, job.Spec.Class, spec.Resources.Slots, nil); !allowed {
		usedSlots, shareSlots := l.ClassUse(job.Spec.Service, job.Spec.Class)
		return fmt.Sprintf("class %s uses %d slots of its share of %d, and may not borrow now", job.Spec.Class, usedSlots, shareSlots)
	}
	switch {
	case room == 0:
		return fmt.Sprintf("%d workers may take it, none has room for %d slots and %d cores now", counts[status.OK], spec.Resources.Slots, spec.Resources.Cores)
	case spec.Gang != "" && l.demandOf(job, i).gangSlots > l.ServiceLoad(job.Spec.Service).Slots:
		return fmt.Sprintf("the gang %s needs %d slots at once, the workers there have %d", spec.Gang, l.demandOf(job, i).gangSlots, l.ServiceLoad(job.Spec.Service).Slots)
	case spec.Gang != "":
		return "the gang " + spec.Gang + " needs room for all its members at once"
	}
	return fmt.Sprintf("%d workers have room; its turn comes next", room)
}
