package dispatch

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// zoneProposal is a proposal for a zone.
type zoneProposal struct {
	Zone     string
	Proposal Proposal
}

// naiveGroups collects the tasks of each key from all queues: groups sorted by tier and then by
// their first numbers, tasks by number.
func naiveGroups(d *Dispatcher, store *state.Store) []*waitingGroup {
	byKey := map[groupKey]*waitingGroup{}
	var groups []*waitingGroup
	for _, queue := range d.queues.byWorker {
		for _, group := range queue.groups {
			if group.key.isGang() {
				continue
			}
			if byKey[group.key] == nil {
				byKey[group.key] = &waitingGroup{key: group.key}
				groups = append(groups, byKey[group.key])
			}
			byKey[group.key].tasks = append(byKey[group.key].tasks, group.tasks...)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group.tasks, func(a, b queuedTask) int { return cmp.Compare(a.number, b.number) })
		group.firstNumber = group.tasks[0].number
	}
	tierOfGroup := func(group *waitingGroup) tier {
		job, _ := store.Job(group.tasks[0].ref.Job)
		return tierOf(store, &group.key, job, group.tasks[0].ref.Index)
	}
	slices.SortFunc(groups, func(a, b *waitingGroup) int {
		switch tierA, tierB := tierOfGroup(a), tierOfGroup(b); {
		case tierB.less(tierA):
			return -1
		case tierA.less(tierB):
			return 1
		}
		return cmp.Or(cmp.Compare(a.key.class, b.key.class), cmp.Compare(a.firstNumber, b.firstNumber))
	})
	return groups
}

// naiveStartable counts how many tasks like the given one fit into what the workers have free
// or are about to free.
func naiveStartable(d *Dispatcher, store *state.Store, job *state.Job, task queuedTask) int {
	count, need := 0, job.Spec.Tasks[task.ref.Index].Resources
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if store.Fits(job, task.ref.Index, worker) != status.OK || !d.mayPreemptOn(job, task, worker) ||
			store.Now()-worker.LastSeenAt > heartbeatFreshness || !d.health.mayPull(store, worker, 0) {
			continue
		}
		free := store.FreeResources(worker.ID()).Add(store.StoppingResources(worker.ID()))
		for ; free.Covers(need); free = free.Sub(need) {
			count++
		}
	}
	return count
}

// naiveVictims chooses the leases to preempt on the worker of a zone where that costs the
// least, by a scan of all leases of all workers.
func naiveVictims(
	d *Dispatcher, store *state.Store, job *state.Job, task queuedTask, zone string,
	mayStop func(*state.Lease, *state.Job) bool,
) (best []state.Assignment) {
	bestCost := 0.0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Zone != zone || store.Fits(job, task.ref.Index, worker) != status.OK ||
			!d.mayPreemptOn(job, task, worker) {
			continue
		}
		chosen, cost := naiveVictimsOn(d, store, worker.ID(), job.Spec.Tasks[task.ref.Index].Resources, mayStop)
		if len(chosen) > 0 && (len(best) == 0 || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// naiveVictimsOn chooses the leases of a worker with the lowest cost per slot until the task
// fits.
func naiveVictimsOn(
	d *Dispatcher, store *state.Store, worker string, need state.Resources,
	mayStop func(*state.Lease, *state.Job) bool,
) (chosen []state.Assignment, cost float64) {
	var victims []victim
	for _, leased := range store.LeasesOn(worker) {
		other, _ := store.Job(leased.Job)
		if leased.Lease.StopReason == "" && mayStop(&leased.Lease, other) {
			victims = append(victims, victim{
				job: other, index: leased.Index, resources: leased.Start.Resources,
				cost: d.victimCost(store, other, leased.Index),
			})
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.costPerSlot(), b.costPerSlot()) })
	free := store.FreeResources(worker).Add(store.StoppingResources(worker))
	for _, candidate := range victims {
		if free.Covers(need) {
			break
		}
		free, cost = free.Add(candidate.resources), cost+candidate.cost
		task := candidate.job.Spec.Tasks[candidate.index].ID
		chosen = append(chosen, state.Assignment{Job: candidate.job.Spec.ID, Task: task, Worker: worker})
	}
	if !free.Covers(need) {
		return nil, 0
	}
	return chosen, cost
}

// naiveVictimsFor tries the borrowed leases of other classes and then, for a quick task, all
// that are not quick.
func naiveVictimsFor(
	d *Dispatcher, store *state.Store, job *state.Job, task queuedTask, zone string,
) []state.Assignment {
	victims := naiveVictims(d, store, job, task, zone, func(lease *state.Lease, other *state.Job) bool {
		return lease.Borrowed && other.Spec.Class != job.Spec.Class
	})
	if len(victims) == 0 && isQuick(store, job.Spec.Service, job.Spec.Class) {
		victims = naiveVictims(d, store, job, task, zone, func(_ *state.Lease, other *state.Job) bool {
			return !isQuick(store, other.Spec.Service, other.Spec.Class)
		})
	}
	return victims
}

// naivePreempt scans all groups of all queues. No proposal takes effect during the scan.
func naivePreempt(d *Dispatcher, store *state.Store, zones []string) (proposals []zoneProposal) {
	closed := map[string]bool{}
	for _, group := range naiveGroups(d, store) {
		tried := map[string]bool{}
		for _, task := range group.tasks {
			job, _ := store.Job(task.ref.Job)
			worker, _ := store.Worker(d.queues.positions[task.ref].queue.worker)
			zone, i := worker.Zone, task.ref.Index
			if closed[zone] || tried[zone] || !slices.Contains(zones, zone) ||
				store.Now()-job.Tasks[i].ReadyAt < preemptAfter {
				continue
			}
			tried[zone] = true
			used, share := store.ClassUse(job.Spec.Service, job.Spec.Class)
			wanted := min(len(group.tasks), (share-used)/group.key.resources.Slots)
			if wanted <= 0 || naiveStartable(d, store, job, task) >= wanted {
				break
			}
			if victims := naiveVictimsFor(d, store, job, task, zone); len(victims) > 0 {
				closed[zone] = true
				beneficiary := state.Assignment{Job: task.ref.Job, Task: job.Spec.Tasks[i].ID}
				proposals = append(proposals, zoneProposal{zone, Proposal{Assignments: victims, PreemptFor: beneficiary}})
			}
		}
	}
	return proposals
}

// TestPreemptMatchesNaiveScan compares the choice made with the indexes with that of a scan of
// all tasks and leases.
func TestPreemptMatchesNaiveScan(t *testing.T) {
	preemptions := 0
	for seed := range uint64(2) {
		c := newRandomCluster(t, seed, 12)
		for step := range 1000 {
			c.step()
			c.Now += preemptionRoundInterval
			c.Heartbeat(c.workers[0], nil)
			c.update()
			for _, class := range c.dispatcher.queues.waiting.byClass {
				class.round = preemptionRound{}
			}
			where := fmt.Sprintf("seed %d step %d", seed, step)
			if step%2 == 0 {
				preemptions += c.comparePreemptions(t, where)
			} else {
				preemptions += c.compareImmediatePreemptions(t, where)
			}
		}
		c.checkWaitingGroups(t, fmt.Sprintf("seed %d", seed))
	}
	if preemptions < 100 {
		t.Errorf("only %d preemptions were compared", preemptions)
	}
}

// comparePreemptions compares all proposals of one scan, which take effect after it.
func (c *randomCluster) comparePreemptions(t *testing.T, where string) int {
	t.Helper()
	want := naivePreempt(c.dispatcher, c.Store, c.zones())
	var got []zoneProposal
	c.dispatcher.Preempt(c.Store, c.zones(), InFlight{}, func(zone string, proposal Proposal) {
		got = append(got, zoneProposal{zone, proposal})
	})
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %+v, want %+v", where, got, want)
	}
	for _, proposed := range got {
		c.Apply(preemptCommand(proposed.Proposal.Assignments, proposed.Proposal.PreemptFor))
	}
	return len(got)
}

// compareImmediatePreemptions compares each proposal of a scan, which takes effect at once,
// with the first proposal of a naive scan of the state at that point.
func (c *randomCluster) compareImmediatePreemptions(t *testing.T, where string) (compared int) {
	t.Helper()
	open := c.zones()
	c.dispatcher.Preempt(c.Store, open, InFlight{}, func(zone string, proposal Proposal) {
		want := naivePreempt(c.dispatcher, c.Store, open)
		if got := (zoneProposal{zone, proposal}); len(want) == 0 || !reflect.DeepEqual(got, want[0]) {
			t.Fatalf("%s: got %+v, want %+v", where, got, want)
		}
		c.Now -= time.Millisecond
		c.Apply(preemptCommand(proposal.Assignments, proposal.PreemptFor))
		open = slices.DeleteFunc(slices.Clone(open), func(other string) bool { return other == zone })
		compared++
	})
	if want := naivePreempt(c.dispatcher, c.Store, open); len(want) > 0 {
		t.Fatalf("%s: got no more proposals, want %+v", where, want)
	}
	return compared
}

// checkWaitingGroups compares the index of the queued tasks with the queues.
func (c *randomCluster) checkWaitingGroups(t *testing.T, where string) {
	t.Helper()
	naive := naiveGroups(c.dispatcher, c.Store)
	waiting := &c.dispatcher.queues.waiting
	if len(naive) != len(waiting.byKey) {
		t.Errorf("%s: %d groups, want %d", where, len(waiting.byKey), len(naive))
	}
	for _, want := range naive {
		got := waiting.byKey[want.key]
		if got != nil {
			// The refusals that pulls record are no part of the index.
			want.refusedPull = got.refusedPull
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", where, got, want)
		}
	}
	listed := 0
	for key, class := range waiting.byClass {
		listed += len(class.groups)
		if !slices.IsSortedFunc(class.groups, func(a, b *waitingGroup) int {
			return cmp.Compare(a.firstNumber, b.firstNumber)
		}) {
			t.Errorf("%s: the groups of %v are not in order", where, key)
		}
	}
	if listed != len(naive) {
		t.Errorf("%s: %d groups are listed, want %d", where, listed, len(naive))
	}
}

// TestPreemptionRounds checks that each of many groups is scanned, a bounded number in each
// call: only the last group lacks resources.
func TestPreemptionRounds(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 8, "w2+ssd": 1}, "w1", "w2+ssd")
	s.AcceptJob("b", "batch", "a+ssd")
	s.StartTask("b/a@w2")
	const calls = 3
	for i := range calls * maxGroupsCompared {
		task := state.TaskSpec{ID: "x", Resources: state.Resources{Slots: 1, Cores: i}}
		if i == calls*maxGroupsCompared-1 {
			task.Resources.Cores, task.Labels = 0, []string{"ssd"}
		}
		spec := state.JobSpec{ID: fmt.Sprint(i), Service: "tickets", Class: "quick", Tasks: []state.TaskSpec{task}}
		s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
	}
	s.Now += 2 * preemptAfter
	s.Heartbeat("w1", nil)
	s.Heartbeat("w2", nil)
	s.update()
	for call := 1; call <= calls; call++ {
		proposals := 0
		propose := func(string, Proposal) { proposals++ }
		unfinished := s.dispatcher.Preempt(s.Store, []string{"a"}, InFlight{}, propose)
		if last := call == calls; unfinished == last || (proposals == 1) != last {
			t.Errorf("call %d: got %d proposals, unfinished %v", call, proposals, unfinished)
		}
	}
}
