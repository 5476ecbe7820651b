// Which workers a pass looks at. In the primary's own process that is those with
// news: a report, an answer from the disks, a turn that changed, or a task that came
// into their inbox. Every passEach all workers are looked at.

package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// noteChanges marks the workers that the ledger's changes concern.
func (s *Scheduler) markChangedWorkers(changes []state.Change) {
	if !s.access.IsLocal() {
		return
	}
	maps.Copy(s.changedWorkers, s.dispatcher.TakeChangedWorkers())
	for _, c := range changes {
		switch {
		case c.All:
			s.nextFullScan = 0
		case c.Worker != "":
			s.changedWorkers[c.Worker] = true
		case c.Task >= 0:
			if job, ok := s.access.State().Job(c.Job); ok && job.Tasks[c.Task].Lease.Held() {
				s.changedWorkers[job.Tasks[c.Task].Lease.Worker] = true
			}
		}
	}
}

// dueWorkers gives, in order, the workers that the pass looks at, of those that
// have a report here.
func (s *Scheduler) workersToScan(whole bool) []string {
	if whole {
		return slices.Sorted(maps.Keys(s.heartbeats))
	}
	out := make([]string, 0, len(s.changedWorkers))
	for worker := range s.changedWorkers {
		if _, waits := s.heartbeats[worker]; waits {
			out = append(out, worker)
		}
	}
	slices.Sort(out)
	return out
}

// pullLater leaves what is left of a pull to the next pass.
func (s *Scheduler) deferGrants(now time.Duration, able []string) {
	for _, worker := range able {
		s.changedWorkers[worker] = true
	}
	s.nextScan = min(s.nextScan, now+minScanGap)
}
