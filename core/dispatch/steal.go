package dispatch

// steals counts the helpers of each straggler: the tasks from its queue that run on other
// workers.
type steals struct {
	from    map[TaskRef]string
	helpers map[string]int
}

func newSteals() steals {
	return steals{from: map[TaskRef]string{}, helpers: map[string]int{}}
}

func (s *steals) begin(ref TaskRef, straggler string) {
	s.end(ref)
	s.from[ref] = straggler
	s.helpers[straggler]++
}

func (s *steals) end(ref TaskRef) {
	straggler, stolen := s.from[ref]
	if !stolen {
		return
	}
	delete(s.from, ref)
	if s.helpers[straggler]--; s.helpers[straggler] == 0 {
		delete(s.helpers, straggler)
	}
}

// bestToSteal looks for the best task in the queues of other workers: one of the highest tier,
// from the straggler with the fewest helpers or, among equals, the slowest progress. If the
// worker's own queue has a task, given in own, a task of another queue is stolen only if its
// tier is higher. An unhealthy worker first of all gets the task that has failed least often.
func (d *Dispatcher) bestToSteal(pull *pullRequest, own bestCandidate) bestCandidate {
	best := own
	byPriority := pull.store.Policies().OrdersByPriority()
	for _, queue := range d.queues.nonEmpty {
		if queue.worker == pull.id || !queue.currentSummary().mayFit(&pull.free, pull.round.QuickOnly) {
			continue
		}
		bound := bestCandidate{candidate: candidate{tier: queue.summary.topTier()}, found: true}
		bound.helpers, bound.progress = d.straggler(queue)
		if byPriority && !bound.shouldBeStolenBefore(&best, pull.id) {
			continue
		}
		other := d.bestInQueue(pull, queue, false)
		if !other.found {
			continue
		}
		other.helpers, other.progress = bound.helpers, bound.progress
		if other.shouldBeStolenBefore(&best, pull.id) {
			best = other
		}
	}
	return best
}

// straggler returns the number of helpers and the progress of a queue's worker.
func (d *Dispatcher) straggler(queue *workerQueue) (helpers int, progress float64) {
	if d.options.WithoutHelperOrder {
		return 0, 0
	}
	return d.steals.helpers[queue.worker], d.Progress(queue.worker)
}

// shouldBeStolenBefore compares a straggler's best task with the best candidate so far, which
// may be from the worker's own queue.
func (b *bestCandidate) shouldBeStolenBefore(best *bestCandidate, ownQueue string) bool {
	switch {
	case best.found && b.failures != best.failures:
		return b.failures < best.failures
	case !best.found || best.tier.less(b.tier):
		return true
	case best.queue == ownQueue || b.tier.less(best.tier):
		return false
	case b.helpers != best.helpers:
		return b.helpers < best.helpers
	}
	return b.progress < best.progress
}

// Progress returns the fraction of a worker's tasks that it has completed, of those completed,
// running and queued; 1 if none is running or queued.
func (d *Dispatcher) Progress(worker string) float64 {
	completed := d.completed[worker]
	left := d.queues.of(worker).length + d.locations.running[worker]
	if left == 0 {
		return 1
	}
	return float64(completed) / float64(completed+left)
}
