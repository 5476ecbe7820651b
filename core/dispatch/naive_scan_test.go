package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// naiveBestForPull scans every group of every queue.
func (d *Dispatcher) naiveBestForPull(pull *pullRequest) bestCandidate {
	best := d.naiveBestInQueue(pull, d.queues.of(pull.id), false)
	for _, worker := range slices.Sorted(maps.Keys(d.queues.byWorker)) {
		if worker == pull.id {
			continue
		}
		other := d.naiveBestInQueue(pull, d.queues.byWorker[worker], !pull.round.Steal)
		if !other.found {
			continue
		}
		if !pull.round.Steal {
			if !best.found || other.precedes(&best.candidate) {
				best, best.queue = other, pull.id
			}
			continue
		}
		other.helpers, other.progress = d.steals.helpers[worker], d.Progress(worker)
		if other.shouldBeStolenBefore(&best, pull.id) {
			best = other
		}
	}
	return best
}

func (d *Dispatcher) naiveBestInQueue(pull *pullRequest, queue *workerQueue, gangsOnly bool) bestCandidate {
	var best bestCandidate
	owner := queueOwner{id: queue.worker, competes: queue.worker != pull.id && !gangsOnly}
	for _, group := range queue.groups {
		if gangsOnly && !group.key.isGang() {
			continue
		}
		if admitted, ownerCouldRun := d.admit(pull, group, &owner); admitted {
			d.examineGroup(pull, queue.worker, group, ownerCouldRun, &best)
		}
	}
	return best
}

// naiveQueueChoice compares all workers for a task.
func (d *Dispatcher) naiveQueueChoice(store *state.Store, job *state.Job, ref TaskRef) (worker string, found bool) {
	type row struct {
		worker   string
		rank     int
		near     bool
		load     float64
		locality float64
		peers    int
	}
	var rows []row
	bestRank, leastLoad := rankDeprioritized, math.Inf(1)
	for _, entry := range store.WorkerEntries() {
		id := entry.ID()
		record, _ := store.Worker(id)
		if !record.Capacity.Covers(job.Spec.Tasks[ref.Index].Resources) ||
			store.Fits(job, ref.Index, record) != status.OK || d.failedOnWorker(store, job, ref.Index, record) {
			continue
		}
		near := isNearData(job, ref.Index, record)
		slots := d.queues.of(id).slots + record.Capacity.Slots - store.FreeResources(id).Slots
		rows = append(rows, row{
			worker: id, near: near, load: float64(slots) / math.Max(1, float64(record.Capacity.Slots)),
			rank:     d.rankOf(store, job, listedWorker{entry, d.queues.of(id)}, near),
			locality: d.LocalityScore(job, ref, id), peers: d.peersOf(job, ref).at(id),
		})
		bestRank = max(bestRank, rows[len(rows)-1].rank)
	}
	for _, r := range rows {
		if r.rank == bestRank {
			leastLoad = min(leastLoad, r.load)
		}
	}
	var best *queueCandidate
	for _, r := range rows {
		if r.rank != bestRank || r.load > leastLoad+loadTolerance {
			continue
		}
		other := &queueCandidate{nearData: r.near, load: r.load, locality: r.locality, stepPeers: r.peers}
		if best == nil || other.precedes(best) {
			best, worker = other, r.worker
		}
	}
	return worker, best != nil
}

// randomFleet submits random jobs, and lets workers take, complete and fail their tasks.
type randomFleet struct {
	fixture
	random  *rand.Rand
	workers []string
	jobs    int
}

func newRandomFleet(t *testing.T, seed uint64) *randomFleet {
	f := &randomFleet{random: rand.New(rand.NewPCG(seed, 0))}
	slots := map[string]int{}
	for i := range 8 {
		name := fmt.Sprintf("w%d", i)
		f.workers, slots[name] = append(f.workers, name), 2+f.random.IntN(7)
	}
	f.fixture = newFixture(t, slots, f.workers...)
	for i, name := range f.workers {
		f.Heartbeat(name, func(heartbeat *state.Heartbeat) {
			heartbeat.Rack = fmt.Sprintf("r%d", i%3)
			heartbeat.Labels = [][]string{nil, {"ssd"}}[i%2]
		})
	}
	f.update()
	return f
}

// acceptJob submits a job of one or two steps, some of them gangs.
func (f *randomFleet) acceptJob() {
	f.jobs++
	class := []string{"quick", "batch"}[f.random.IntN(2)]
	spec := state.JobSpec{ID: fmt.Sprintf("j%d", f.jobs), Service: "tickets", Class: class}
	for step := range 1 + f.random.IntN(2) {
		next := state.StepSpec{Count: 1 + f.random.IntN(5), Resources: state.Resources{Slots: 1 + f.random.IntN(3)}}
		next.Gang = f.random.IntN(4) == 0
		next.PreferredRack = []string{"", "r0", "r1"}[f.random.IntN(3)]
		next.MaxPerWorker = []int{0, 0, 2}[f.random.IntN(3)]
		next.Labels = [][]string{nil, nil, {"ssd"}}[f.random.IntN(3)]
		if step > 0 {
			next.DependsOn = []int{step - 1}
		}
		spec.Steps = append(spec.Steps, next)
	}
	f.Apply(state.Command{Kind: state.KindAcceptJob, Job: spec})
}

// endSome ends some of the leased tasks, most of them successfully.
func (f *randomFleet) endSome() {
	for _, worker := range f.workers {
		for _, leased := range f.Store.LeasesOn(worker) {
			if f.random.IntN(3) > 0 {
				continue
			}
			f.Heartbeat(worker, func(heartbeat *state.Heartbeat) { heartbeat.Running = []state.Attempt{leased.Attempt} })
			f.EndAttempt(worker, state.AttemptResult{Attempt: leased.Attempt, Succeeded: f.random.IntN(5) > 0})
		}
	}
}

// grant applies a grant of the assignments that a pull proposed.
func (f *randomFleet) grant(proposal Proposal) {
	f.Apply(state.Command{Kind: state.KindGrantLeases, Grant: state.Grant{
		Leadership: "dispatch/a", Epoch: 1, Assignments: proposal.Assignments,
	}})
}

// TestPullMatchesNaiveScan compares each pull with a scan of all groups of all queues.
func TestPullMatchesNaiveScan(t *testing.T) {
	found, stolen := 0, 0
	for seed := range uint64(4) {
		f := newRandomFleet(t, seed)
		for range 60 {
			f.acceptJob()
			f.endSome()
			f.Advance(time.Duration(f.random.IntN(400)) * time.Millisecond)
			f.update()
			for _, round := range PullRounds {
				for _, worker := range f.workers {
					record, _ := f.Store.Worker(worker)
					pull := pullRequest{
						store: f.Store, id: worker, worker: record, free: f.Store.FreeResources(worker), round: round,
					}
					want := f.dispatcher.naiveBestForPull(&pull)
					f.dispatcher.pullCount++
					pull.number = f.dispatcher.pullCount
					got := f.dispatcher.bestForPull(&pull)
					if got.found != want.found || got.ref != want.ref || got.queue != want.queue {
						t.Fatalf("seed %d: %s chose %v from %q, a naive scan %v from %q",
							seed, worker, got.ref, got.queue, want.ref, want.queue)
					}
					if proposal, ok := f.dispatcher.Pull(f.Store, worker, InFlight{}, round); ok {
						found++
						if proposal.StolenFrom != "" {
							stolen++
						}
						f.grant(proposal)
						f.update()
					}
				}
			}
		}
	}
	if found < 300 || stolen < 20 {
		t.Errorf("only %d pulls found a task, %d of them by stealing", found, stolen)
	}
}

// TestQueueChoiceMatchesNaiveScan chooses queues for the tasks of a step one after the other,
// and compares each choice with that of a scan of all workers.
func TestQueueChoiceMatchesNaiveScan(t *testing.T) {
	chosen := 0
	for seed := range uint64(4) {
		f := newRandomFleet(t, seed)
		for range 40 {
			f.acceptJob()
			f.endSome()
			f.Advance(time.Duration(f.random.IntN(200)) * time.Millisecond)
			f.update()
			chosen += f.requeueAll(seed)
			for _, worker := range f.workers {
				if proposal, ok := f.dispatcher.Pull(f.Store, worker, InFlight{}, PullRounds[f.random.IntN(4)]); ok {
					f.grant(proposal)
				}
			}
		}
	}
	if chosen < 500 {
		t.Errorf("only %d queues were chosen", chosen)
	}
}

// requeueAll removes the queued tasks of each job from their queues and chooses queues for them
// again.
func (f *randomFleet) requeueAll(seed uint64) (chosen int) {
	d := f.dispatcher
	for _, job := range f.Store.ActiveJobs() {
		var refs []TaskRef
		for i := range job.Tasks {
			if ref := (TaskRef{job.Spec.ID, i}); d.queues.contains(ref) {
				refs = append(refs, ref)
				d.dequeue(ref)
			}
		}
		for _, ref := range refs {
			want, placed := d.naiveQueueChoice(f.Store, job, ref)
			d.chooseQueue(f.Store, job, ref)
			if got, queued := d.queues.workerOf(ref); queued != placed || got != want {
				f.T.Fatalf("seed %d: queue of %v: got %q, a naive scan chose %q", seed, ref, got, want)
			}
			chosen++
		}
	}
	return chosen
}
