package dispatch

import (
	"maps"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// naiveOverdue returns the slowdown of each worker that has overdue runs, by a scan of all
// runs.
func naiveOverdue(d *Dispatcher, store *state.Store) map[string]float64 {
	jobs, longest := map[string]map[string]bool{}, map[string]float64{}
	for ref, attempt := range d.running {
		job, ok := store.Job(ref.Job)
		if !ok || !d.health.fullyObserved(attempt) || job.Spec.Tasks[ref.Index].LongRunning {
			continue
		}
		typical := d.typicalSeconds(store, job, ref.Index, attempt.worker)
		ratio := (store.Now() - attempt.startedAt).Seconds() / max(typical, minTypicalSeconds)
		if typical == 0 || ratio < overdueRatio {
			continue
		}
		if jobs[attempt.worker] == nil {
			jobs[attempt.worker] = map[string]bool{}
		}
		jobs[attempt.worker][ref.Job] = true
		longest[attempt.worker] = max(longest[attempt.worker], ratio)
	}
	maps.DeleteFunc(longest, func(worker string, _ float64) bool { return len(jobs[worker]) < overdueJobs })
	return longest
}

// checkHealth compares the cached health of the workers with that computed from each worker's
// records. It returns how many workers are deprioritized or on probation.
func (c *randomCluster) checkHealth(t *testing.T) (notable int) {
	t.Helper()
	d, store := c.dispatcher, c.Store
	impaired := 0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		health, lifetime := d.health.workers[worker.ID()], d.trust.lifetimes[worker.ID()]
		if health.impaired() {
			impaired++
		}
		inProbation := store.Now() < lifetime.firstSeen+lifetime.probation
		clear(d.health.majorities)
		d.trust.probationMajority = healthMajority{}
		deprioritized := health.impaired() && d.health.mostAreHealthy(store, worker.Service)
		if got := d.health.deprioritized(store, worker); got != deprioritized {
			t.Fatalf("%s deprioritized: got %v", worker.ID(), got)
		}
		onProbation := inProbation && d.trust.mostPassedProbation(store, worker.Service)
		if got := d.trust.onProbation(store, worker); got != onProbation {
			t.Fatalf("%s on probation: got %v", worker.ID(), got)
		}
		if deprioritized || onProbation {
			notable++
		}
	}
	if got := d.ImpairedWorkers(); got != impaired {
		t.Fatalf("%d impaired workers, want %d", got, impaired)
	}
	return notable
}

// TestHealthMatchesNaiveScan lets workers fail, become slow, and return after a loss at random.
func TestHealthMatchesNaiveScan(t *testing.T) {
	c := newRandomCluster(t, 1, 9)
	for _, worker := range c.workers {
		c.Heartbeat(worker, func(hb *state.Heartbeat) { hb.Address = worker })
	}
	c.update()
	notable, overdue := 0, 0
	for range 600 {
		c.step()
		worker := c.workers[c.random.IntN(len(c.workers))]
		if c.chance(20) {
			before := c.dispatcher.health.workers[worker]
			after := workerHealth{failureRate: c.random.Float64() * 0.7, slowdown: c.random.Float64() * 4}
			c.dispatcher.health.update(worker, before, after)
		}
		if c.chance(10) {
			trust := &c.dispatcher.trust
			delete(trust.lifetimes, worker)
			lasted := time.Duration(c.random.IntN(1000)) * time.Millisecond
			trust.lost[worker] = lostLifetime{lasted, c.Store.Now()}
			trust.observeWorker(c.Store, worker)
		}
		notable += c.checkHealth(t)
		before, want := maps.Clone(c.dispatcher.health.workers), naiveOverdue(c.dispatcher, c.Store)
		c.dispatcher.health.overdueCheckedAt = -overdueInterval
		c.dispatcher.observeRunning(c.Store)
		overdue += len(want)
		for _, worker := range c.workers {
			slowdown := max(before[worker].slowdown, min(want[worker], maxSlowdown))
			if got := c.dispatcher.health.workers[worker].slowdown; got != slowdown {
				t.Fatalf("%s: got slowdown %v, want %v", worker, got, slowdown)
			}
		}
	}
	if notable < 100 || overdue < 20 {
		t.Errorf("compared only %d deprioritized workers or workers on probation, and %d with overdue runs", notable, overdue)
	}
}
