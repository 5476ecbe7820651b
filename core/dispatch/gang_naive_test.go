package dispatch

import (
	"slices"
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// naiveRacks returns the racks to try for a gang in order; the empty name represents all racks
// together.
func naiveRacks(pull *pullRequest, task *state.TaskSpec) []string {
	if !task.SameRack {
		return []string{""}
	}
	var racks []string
	add := func(rack string) {
		if rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	add(task.PreferredRack)
	add(pull.worker.Rack)
	for _, entry := range pull.store.WorkerEntries() {
		add(entry.Record().Rack)
	}
	return append(racks, "")
}

// naiveGangPlaces scans all workers for each member of a gang, rack by rack.
func naiveGangPlaces(d *Dispatcher, pull *pullRequest, job *state.Job, members []int) []string {
	for _, rack := range naiveRacks(pull, &job.Spec.Tasks[members[0]]) {
		if places := naiveGangPlacesIn(d, pull, job, members, rack); places != nil {
			return places
		}
	}
	return nil
}

func naiveGangPlacesIn(
	d *Dispatcher, pull *pullRequest, job *state.Job, members []int, rack string,
) (places []string) {
	workers := pull.store.WorkerEntries()
	free, placed := make([]state.Resources, len(workers)), make([]int, len(workers))
	for n, entry := range workers {
		free[n] = pull.store.FreeResources(entry.ID()).Sub(pull.inFlight.Resources[entry.ID()])
	}
	for _, member := range members {
		need, chosen := job.Spec.Tasks[member].Resources, -1
		for n, entry := range workers {
			worker := entry.Record()
			if rack != "" && worker.Rack != rack || !free[n].Covers(need) ||
				pull.store.Fits(job, member, worker) != status.OK ||
				pull.store.AtWorkerLimit(job, member, worker.ID(), placed[n]) || !naiveBreakerAdmits(d, pull, job, worker) {
				continue
			}
			if chosen < 0 || naivePrefers(d, pull, job, member, worker, workers[chosen].Record(), free[n], free[chosen]) {
				chosen = n
			}
		}
		if chosen < 0 {
			return nil
		}
		free[chosen] = free[chosen].Sub(need)
		placed[chosen]++
		places = append(places, workers[chosen].ID())
	}
	return places
}

// naiveBreakerAdmits reports whether a worker's circuit breaker, computed from its leases,
// admits a gang.
func naiveBreakerAdmits(d *Dispatcher, pull *pullRequest, job *state.Job, worker *state.Worker) bool {
	health, now := d.health.workers[worker.ID()], pull.store.Now()
	if !health.impaired() || !health.tripped() || !d.health.mostAreHealthy(pull.store, worker.Service) {
		return true
	}
	lastTrialAt := health.lastFailureAt
	for _, other := range pull.store.ActiveJobs() {
		for i, task := range other.Tasks {
			if task.Lease.Worker == worker.ID() && !other.Spec.Tasks[i].LongRunning {
				lastTrialAt = max(lastTrialAt, task.Lease.GrantedAt)
			}
		}
	}
	if pull.inFlight.Resources[worker.ID()].Slots == 0 && now >= lastTrialAt+maxIdleHold {
		return true
	}
	return now-d.serviceArrivals[job.Spec.Service] >= maxStreamingHold && idleFor(pull.store, job) >= maxIdleHold
}

// naivePrefers implements the documented order: workers that are not deprioritized, then those
// near the data, then the pulling worker, then the one with the most free slots.
func naivePrefers(
	d *Dispatcher, pull *pullRequest, job *state.Job, member int, worker, best *state.Worker,
	free, bestFree state.Resources,
) bool {
	deprioritized, bestDeprioritized := d.health.deprioritized(pull.store, worker),
		d.health.deprioritized(pull.store, best)
	if deprioritized != bestDeprioritized {
		return !deprioritized
	}
	near, bestNear := isNearData(job, member, worker), isNearData(job, member, best)
	if near != bestNear {
		return near
	}
	if worker.ID() == pull.id {
		return true
	}
	return best.ID() != pull.id && free.Slots > bestFree.Slots
}

// naiveReservation returns the oldest gang of a service that has waited for long and that the
// workers could run if they were idle, placed first fit.
func naiveReservation(d *Dispatcher, store *state.Store, service string) (oldest reservation, found bool) {
	for _, queue := range d.queues.byWorker {
		for _, group := range queue.groups {
			for _, task := range group.tasks {
				job, ok := store.Job(task.ref.Job)
				if !ok || !group.key.isGang() || group.key.service != service ||
					store.Now()-job.Tasks[task.ref.Index].ReadyAt < reserveAfter ||
					found && oldest.number <= task.number {
					continue
				}
				_, share := store.ClassUse(service, group.key.class)
				if share > 0 && naiveFitsIdle(store, job, task.ref.Index) {
					oldest, found = reservation{number: task.number, job: job, task: task.ref.Index}, true
				}
			}
		}
	}
	return oldest, found
}

func naiveFitsIdle(store *state.Store, job *state.Job, i int) bool {
	workers := store.WorkerEntries()
	free, placed := make([]state.Resources, len(workers)), make([]int, len(workers))
	for n := range workers {
		free[n] = workers[n].Record().Capacity
	}
	for _, member := range openMembers(job, job.Spec.Tasks[i].Gang) {
		need, task := job.Spec.Tasks[member].Resources, job.Tasks[member]
		n := slices.IndexFunc(workers, func(entry *state.WorkerEntry) bool {
			at := slices.Index(workers, entry)
			return store.Fits(job, member, entry.Record()) == status.OK && free[at].Covers(need) &&
				!store.AtWorkerLimit(job, member, entry.ID(), placed[at])
		})
		if n < 0 || task.State != state.Ready || task.Lease.Held() {
			return false
		}
		free[n] = free[n].Sub(need)
		placed[n]++
	}
	return true
}

// gangCounts counts the comparisons by result.
type gangCounts struct{ placed, unplaced, backedOff, reserved, skipped int }

// checkPullsOfGangs lets a worker pull until it finds nothing, which leaves some gangs in
// backoff, and compares the next choices of some workers with those of a scan of all gangs.
func (c *randomCluster) checkPullsOfGangs(t *testing.T, seen *gangCounts) {
	t.Helper()
	d := c.dispatcher
	c.pullAll(c.workers[c.random.IntN(len(c.workers))])
	for range 4 {
		id := c.workers[c.random.IntN(len(c.workers))]
		worker, _ := c.Store.Worker(id)
		round := PullRounds[c.random.IntN(len(PullRounds))]
		pull := &pullRequest{store: c.Store, id: id, worker: worker, free: c.Store.FreeResources(id), round: round}
		got, want := d.bestForPull(pull), d.naiveBestForPull(pull)
		if got.found != want.found || got.ref != want.ref {
			t.Fatalf("%s in %+v: got %v %v, want %v %v", id, round, got.ref, got.found, want.ref, want.found)
		}
		for _, queue := range d.queues.withGangs {
			if c.Store.Now() < queue.gangBackoffUntil {
				seen.skipped++
			}
		}
	}
}

// checkGangs compares the places of each waiting gang with those of a naive scan, for one
// pulling worker.
func (c *randomCluster) checkGangs(t *testing.T, seen *gangCounts) {
	t.Helper()
	d, id := c.dispatcher, c.workers[c.random.IntN(len(c.workers))]
	worker, _ := c.Store.Worker(id)
	pull := &pullRequest{store: c.Store, id: id, worker: worker}
	pull.inFlight.Resources = map[string]state.Resources{c.workers[0]: {Slots: c.random.IntN(2)}}
	d.unmetGangNeeds = nil
	clear(d.gangSearches)
	clear(d.health.majorities)
	for _, queue := range d.queues.withGangs {
		queue.gangBackoffUntil = 0
		for _, group := range queue.groups {
			group.backoffUntil = 0
			if !group.key.isGang() {
				continue
			}
			for _, task := range group.tasks {
				c.checkGang(t, pull, &group.key, task.ref, seen)
			}
		}
	}
}

// checkGang compares one gang. A gang in backoff because of the needs of others must have no
// places either.
func (c *randomCluster) checkGang(t *testing.T, pull *pullRequest, key *groupKey, ref TaskRef, seen *gangCounts) {
	t.Helper()
	d := c.dispatcher
	job, _ := c.Store.Job(ref.Job)
	members := openMembers(job, job.Spec.Tasks[ref.Index].Gang)
	if !pull.allStartable(job, members) {
		return
	}
	want := naiveGangPlaces(d, pull, job, members)
	if c.Store.Now() < d.gangBackoffUntil(pull, key, ref) {
		seen.backedOff++
		if want != nil {
			t.Fatalf("gang %v is in backoff, but could run on %v", ref, want)
		}
		return
	}
	var proposal Proposal
	proposed := d.proposeGang(pull, &bestCandidate{candidate: candidate{ref: ref, job: job}}, &proposal)
	var got []string
	for n, assignment := range proposal.Assignments {
		got = append(got, assignment.Worker)
		if proposal.Tasks[n].Index != members[n] {
			t.Fatalf("gang %v: member %d is %v", ref, n, proposal.Tasks[n])
		}
	}
	if !slices.Equal(got, want) || proposed != (want != nil) {
		t.Fatalf("gang %v: got %v, want %v", ref, got, want)
	}
	if proposed {
		seen.placed++
	} else {
		seen.unplaced++
	}
}

// TestGangSearchMatchesNaiveScan compares the places of gangs with equal and with different
// members, on workers whose load changes at random, and the gang that has a reservation, with
// naive scans.
func TestGangSearchMatchesNaiveScan(t *testing.T) {
	var seen gangCounts
	for seed := range uint64(2) {
		c := newRandomCluster(t, seed, 12)
		for range 1000 {
			c.step()
			c.checkPullsOfGangs(t, &seen)
			c.checkGangs(t, &seen)
			c.dispatcher.reservations.computedAt = -reservationTTL
			got, found := c.dispatcher.reservation(c.Store, "tickets")
			want, wanted := naiveReservation(c.dispatcher, c.Store, "tickets")
			if got.number != want.number || got.job != want.job || got.task != want.task || found != wanted {
				t.Fatalf("reservation: got %v %v, want %v %v", got.number, found, want.number, wanted)
			}
			if found {
				seen.reserved++
			}
		}
	}
	if seen.placed < 100 || seen.backedOff < 100 || seen.reserved < 100 ||
		seen.skipped < 100 {
		t.Errorf("too few comparisons: %+v", seen)
	}
}
