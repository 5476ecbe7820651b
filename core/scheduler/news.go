// Which workers a pass looks at. In the primary's own process that is those with
// news: a report, an answer from the disks, a turn that changed, or a task that came
// into their inbox. Every passEach all workers are looked at.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/ledger"
)

// noteChanges marks the workers that the ledger's changes concern.
func (s *Scheduler) noteChanges(changes []ledger.Changed) {
	if !s.copy.Own() {
		return
	}
	maps.Copy(s.news, s.dispatch.TakeFresh())
	for _, c := range changes {
		switch {
		case c.All:
			s.wholeAt = 0
		case c.Worker != "":
			s.news[c.Worker] = true
		case c.Task >= 0:
			if job, ok := s.copy.View().Job(c.Job); ok && job.Tasks[c.Task].Turn.Held() {
				s.news[job.Tasks[c.Task].Turn.Worker] = true
			}
		}
	}
}

// dueWorkers gives, in order, the workers that the pass looks at, of those that
// have a report here.
func (s *Scheduler) dueWorkers(whole bool) []string {
	if whole {
		return slices.Sorted(maps.Keys(s.records))
	}
	out := make([]string, 0, len(s.news))
	for worker := range s.news {
		if _, waits := s.records[worker]; waits {
			out = append(out, worker)
		}
	}
	slices.Sort(out)
	return out
}

// pullLater leaves what is left of a pull to the next pass.
func (s *Scheduler) pullLater(now time.Duration, able []string) {
	for _, worker := range able {
		s.news[worker] = true
	}
	s.passAt = min(s.passAt, now+passGap)
}
