package dispatch

import (
	"math"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
)

// tier ranks tasks by their classes: quick classes come before all others, then the larger
// result of the order policy comes first.
type tier struct {
	quick bool
	score float64
}

func (t tier) less(other tier) bool {
	if t.quick != other.quick {
		return !t.quick
	}
	return t.score < other.score
}

// tierOf returns the tier of a task that has the given key.
func tierOf(store *state.Store, key *groupKey, job *state.Job, i int) tier {
	if store.Policies().OrdersByPriority() {
		return tier{key.quick, float64(key.priority)}
	}
	usedSlots, shareSlots := store.ClassUse(job.Spec.Service, job.Spec.Class)
	score := store.Policies().Order(config.OrderInput{
		Priority:      key.priority,
		Level:         job.Tasks[i].Level,
		WaitedSeconds: (store.Now() - job.Tasks[i].ReadyAt).Seconds(),
		Share:         shareSlots,
		Used:          usedSlots,
		Class:         job.Spec.Class,
		Service:       job.Spec.Service,
		Slots:         job.Spec.Tasks[i].Resources.Slots,
	})
	return tier{key.quick, math.Floor(score)}
}

// candidate is a task that a worker could take.
type candidate struct {
	ref      TaskRef
	job      *state.Job
	tier     tier
	level    int
	locality float64
	number   uint64
	// failures is the number of failures of the task if the pulling worker's circuit breaker is
	// not closed; 0 otherwise.
	failures int
}

// precedes defines the order of the tasks of one queue. An unhealthy worker is given the task
// that has failed least often. Then the tiers decide, and within a tier Fela's order: the
// deepest step first, then the largest locality score, then the smallest number.
func (c *candidate) precedes(other *candidate) bool {
	switch {
	case c.failures != other.failures:
		return c.failures < other.failures
	case c.tier != other.tier:
		return other.tier.less(c.tier)
	case c.level != other.level:
		return c.level > other.level
	case c.locality != other.locality:
		return c.locality > other.locality
	}
	return c.number < other.number
}

// bestCandidate is the best of the candidates examined so far.
type bestCandidate struct {
	candidate
	found bool
	// queue is the worker in whose queue the task is; the pulling worker for gangs outside of
	// steal rounds.
	queue string
	// helpers and progress are those of that worker, if it is not the pulling one.
	helpers  int
	progress float64
	// These record which rules ranked the best candidate above another one.
	decidedByLevel    bool
	decidedByLocality bool
	decidedByNumber   bool
}

// consider compares a candidate from a queue with the best one so far.
func (b *bestCandidate) consider(other *candidate, queue string) {
	switch {
	case !b.found:
	case other.precedes(&b.candidate):
		b.recordRule(other, &b.candidate)
	default:
		b.recordRule(&b.candidate, other)
		return
	}
	b.candidate, b.found, b.queue = *other, true, queue
}

func (b *bestCandidate) recordRule(first, second *candidate) {
	switch {
	case first.failures != second.failures || first.tier != second.tier:
	case first.level != second.level:
		b.decidedByLevel = true
	case first.locality != second.locality:
		b.decidedByLocality = true
	default:
		b.decidedByNumber = true
	}
}
