package sim

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// usageChange is the start or the end of a run, which allocates or frees its resources.
type usageChange struct {
	at        time.Duration
	resources state.Resources
	isStart   bool
}

// compareUsageChanges orders changes by time, and ends before starts at the same time.
func compareUsageChanges(a, b usageChange) int {
	if a.at == b.at && a.isStart != b.isStart {
		if a.isStart {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.at, b.at)
}

// checkCapacity checks that the runs on a worker never use more resources than it has. A
// worker that overstates its slots is not checked.
func (o *oracle) checkCapacity(worker *simWorker, runs []run) {
	var changes []usageChange
	for _, r := range runs {
		changes = append(changes,
			usageChange{r.startedAt, r.Resources, true},
			usageChange{r.endOr(o.end), r.Resources, false})
	}
	slices.SortStableFunc(changes, compareUsageChanges)
	var used state.Resources
	for _, change := range changes {
		if change.isStart {
			o.countCheck(checkOverCapacity)
			used = used.Add(change.resources)
		} else {
			used = used.Sub(change.resources)
		}
		if !worker.config.Capacity.Covers(used) && worker.worker.Faults().OverstatedSlots == 0 {
			o.violate(checkOverCapacity, "%s has %+v, at %s it runs %+v",
				worker.name(), worker.config.Capacity, seconds(change.at), used)
			return
		}
	}
}

// checkPerWorkerLimit checks that no worker runs more tasks of a step at a time than the
// step's MaxPerWorker.
func (o *oracle) checkPerWorkerLimit() {
	type stepOnWorker struct {
		worker, job      string
		repetition, step int
	}
	jobs := o.indexJobs()
	byStep := map[stepOnWorker][]run{}
	for _, r := range o.runs {
		job := jobs[r.Job]
		if job == nil {
			continue
		}
		for _, task := range job.spec.Tasks {
			if task.ID != r.Task || task.MaxPerWorker == 0 {
				continue
			}
			o.countCheck(checkOverPerWorkerLimit)
			step := stepOnWorker{r.Worker, r.Job, task.Repetition, task.Step}
			running := 1
			for _, e := range byStep[step] {
				if e.endOr(o.end) > r.startedAt {
					running++
				}
			}
			byStep[step] = append(byStep[step], r)
			if running > task.MaxPerWorker {
				o.violate(checkOverPerWorkerLimit, "%s is number %d of its step on %s at %s, the limit is %d",
					r.Attempt, running, r.Worker, seconds(r.startedAt), task.MaxPerWorker)
			}
		}
	}
}

// checkDraining checks that no task starts on a worker later than drainBound after the worker
// announced that it leaves. It also counts the drains that are long enough to judge;
// checkPlacement checks the starts in drained zones.
func (o *oracle) checkDraining() {
	for _, worker := range o.workers {
		for _, drain := range worker.leaving {
			if drain.to > drain.from+drainBound {
				o.countCheck(checkStartWhileDraining)
			}
		}
	}
	for _, drain := range o.drainedZones {
		if drain.isOpen() || drain.to > drain.from+zoneDrainBound {
			o.countCheck(checkStartInDrainedZone)
		}
	}
	for _, r := range o.runs {
		for _, drain := range o.workers[r.Worker].leaving {
			if r.startedAt > drain.from+drainBound && r.startedAt < drain.to {
				o.violate(checkStartWhileDraining, "%s starts on %s at %s, leaving since %s",
					taskKey(r.Job, r.Task), r.Worker, seconds(r.startedAt), seconds(drain.from))
			}
		}
	}
}

// anyWorkerSilent reports whether a worker went silent between two times.
func (o *oracle) anyWorkerSilent(from, to time.Duration) bool {
	for _, worker := range o.workers {
		fellSilent := func(s span) bool { return s.from > from && s.from < to }
		if slices.ContainsFunc(worker.silences, fellSilent) {
			return true
		}
	}
	return false
}

// available reports whether some worker with a task's labels was available for an entire
// interval: not silent, not leaving, and not in a drained zone.
func (o *oracle) available(task state.TaskSpec, from, to time.Duration) bool {
	// A worker counts as absent until quickBound after the end of a span.
	absent := func(s span) bool { return s.overlaps(from-quickBound, to) }
	for _, worker := range o.workers {
		drained := slices.ContainsFunc(o.drainedZones, func(drain *zoneDrain) bool {
			return drain.zone == worker.config.Zone && absent(drain.span)
		})
		if worker.hasLabels(task.Labels) && !drained &&
			!slices.ContainsFunc(worker.silences, absent) && !slices.ContainsFunc(worker.leaving, absent) {
			return true
		}
	}
	return false
}

// couldRun reports whether a task could have run in place of a run: the run's worker has the
// task's labels, and the run's resources suffice for the task.
func (o *oracle) couldRun(task state.TaskSpec, r run) bool {
	return o.workers[r.Worker].hasLabels(task.Labels) && r.Resources.Covers(task.Resources)
}
