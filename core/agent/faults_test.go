package agent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// faultyRun is one run of an agent between a worker and a primary of which either
// side's messages are lost. Its methods draw from one random source in a fixed
// order, so that a seed always gives the same run.
type faultyRun struct {
	*harness
	seed     uint64
	rng      *rand.Rand
	restarts int
	// primary and worker are the two simulated peers.
	primary simulatedPrimary
	worker  simulatedWorker
	// lostCalls and lostReplies are for how many rounds each is lost.
	lostCalls   int
	lostReplies int
}

// simulatedPrimary grants leases and attempts as the primary does.
type simulatedPrimary struct {
	// read counts the reports that were read or lost, lastNumber is the highest number.
	read        int
	lastNumber  uint64
	leaseExpiry time.Duration
	jobs        int
	// granted holds the report number at which each job was granted.
	granted map[string]uint64
	// listed, closed and acknowledged are the jobs that a report listed as running,
	// that are over, and whose end was acknowledged.
	listed       map[string]bool
	closed       map[string]bool
	acknowledged map[string]bool
}

// simulatedWorker runs attempts until its grant is over.
type simulatedWorker struct {
	grantedUntil  time.Duration
	running       map[string]bool
	ended         map[string]bool
	lastEndNumber int
	began         int
}

func newFaultyRun(t *testing.T, seed uint64, restarts int) *faultyRun {
	return &faultyRun{
		harness:  newHarness(t, 1),
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		restarts: restarts,
		primary: simulatedPrimary{
			granted: map[string]uint64{}, listed: map[string]bool{},
			closed: map[string]bool{}, acknowledged: map[string]bool{},
		},
		worker: simulatedWorker{running: map[string]bool{}, ended: map[string]bool{}},
	}
}

func (r *faultyRun) chance(percent int) bool { return r.rng.IntN(100) < percent }

// answerReport has the primary answer the newest report, if there is one. Without
// faults nothing is lost and no job is added.
func (r *faultyRun) answerReport(faults bool) {
	p := &r.primary
	if p.read == len(r.reports) {
		return
	}
	report := r.lastReport()
	p.read = len(r.reports)
	if faults && r.chance(20) {
		return
	}
	if report.Heartbeat.Number < p.lastNumber {
		r.reject(status.StaleHeartbeat, p.lastNumber, "")
		return
	}
	p.lastNumber, p.leaseExpiry = report.Heartbeat.Number, r.now+2*time.Second
	orders := p.orders(report.Heartbeat)
	if r.chance(20) && faults && report.Heartbeat.Free.Slots > 0 {
		orders.Starts = append(orders.Starts, p.grant())
	}
	if orders.LeaseDuration = 2 * time.Second; !faults || !r.chance(20) {
		r.accept(orders)
	}
}

// orders takes over a heartbeat and returns acknowledgements, stops and repeated
// starts. A granted attempt that was listed, or should have been, and isn't any
// more, is over.
func (p *simulatedPrimary) orders(heartbeat state.Heartbeat) (orders state.HeartbeatReply) {
	for _, end := range heartbeat.Ended {
		orders.Acks = append(orders.Acks, end.Attempt)
		p.acknowledged[end.Job], p.closed[end.Job] = true, true
		delete(p.granted, end.Job)
	}
	running := map[string]bool{}
	for _, attempt := range heartbeat.Running {
		running[attempt.Job] = true
		if p.closed[attempt.Job] {
			orders.Stops = append(orders.Stops, attempt)
		}
	}
	for _, job := range slices.Sorted(maps.Keys(p.granted)) {
		switch {
		case running[job]:
			p.listed[job] = true
		case p.listed[job] || p.lastNumber >= p.granted[job]+2:
			p.closed[job] = true
			delete(p.granted, job)
		default:
			orders.Starts = append(orders.Starts, startOf(job))
		}
	}
	return orders
}

// grant adds a job and returns its start.
func (p *simulatedPrimary) grant() state.StartOrder {
	p.jobs++
	job := strconv.Itoa(p.jobs)
	p.granted[job] = p.lastNumber
	return startOf(job)
}

// callOnce has the worker end some runs and make its next call, and follow the
// reply unless either is lost.
func (r *faultyRun) callOnce(faults bool) {
	w := &r.worker
	r.endRuns()
	running := slices.Sorted(maps.Keys(w.running))
	withRuns(running...)(&r.call)
	r.call.Free.Slots = 4 - len(running)
	r.call.Number++
	sentAt := r.now
	if faults && (r.lostCalls > 0 || r.chance(20)) {
		return
	}
	call := r.call
	call.Ended = slices.Clone(call.Ended)
	reply := r.request(machine.Request{Kind: RequestCall, Decoded: call})
	if faults && (r.lostReplies > 0 || r.chance(20)) {
		return
	}
	if reply.LeaseRemaining > 0 {
		w.grantedUntil = max(w.grantedUntil, sentAt+reply.LeaseRemaining)
	}
	if w.grantedUntil > r.primary.leaseExpiry {
		r.Fatalf("seed %d: the worker may run until %s, its lease ends at %s",
			r.seed, w.grantedUntil, r.primary.leaseExpiry)
	}
	r.followReply(reply)
}

// endRuns has all runs end when the grant is over, and else some succeed.
func (r *faultyRun) endRuns() {
	w := &r.worker
	if r.now >= w.grantedUntil {
		clear(w.running)
	}
	for _, job := range slices.Sorted(maps.Keys(w.running)) {
		if r.chance(20) {
			w.lastEndNumber++
			delete(w.running, job)
			w.ended[job] = true
			r.call.Ended = append(r.call.Ended, endOf(uint64(w.lastEndNumber), job, OutcomeSucceeded))
		}
	}
}

// followReply forgets the acknowledged ends, and starts and stops runs as ordered.
func (r *faultyRun) followReply(reply CallReply) {
	w := &r.worker
	r.call.Ended = slices.DeleteFunc(r.call.Ended, func(end EndedRun) bool {
		if end.Number <= reply.AcknowledgedEnds && !r.primary.acknowledged[end.Job] {
			r.Fatalf("seed %d: the end of %s was acknowledged by the agent only", r.seed, end.Job)
		}
		return end.Number <= reply.AcknowledgedEnds
	})
	for _, start := range reply.Starts {
		if r.primary.closed[start.Job] {
			r.Fatalf("seed %d: %s began after the primary was told that it is over", r.seed, start.Job)
		}
		if !w.running[start.Job] && !w.ended[start.Job] {
			w.running[start.Job] = true
			w.began++
		}
	}
	for _, attempt := range reply.Stops {
		delete(w.running, attempt.Job)
	}
}

// runWithFaults is a round in which messages are lost and the agent may restart. It
// returns how many starts an agent that ended had dropped.
func (r *faultyRun) runWithFaults() (dropped int) {
	r.advance(time.Duration(1+r.rng.IntN(99)) * ms)
	r.answerReport(true)
	if r.lostCalls, r.lostReplies = r.lostCalls-1, r.lostReplies-1; r.chance(3) {
		r.lostCalls = r.rng.IntN(70)
	}
	if r.chance(3) {
		r.lostReplies = r.rng.IntN(70)
	}
	if r.chance(60) {
		r.callOnce(true)
	}
	if r.chance(2) {
		dropped = int(r.agent.Counters().DroppedStarts)
		r.restarts++
		r.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: uint64(r.restarts+1) << 32})
	}
	return dropped
}

// TestRunsSurviveLossAndRestarts has a worker make one call after another and take
// orders from the reply to its last call only. Calls, replies and reports are lost,
// and the agent restarts: no run may begin that the primary knows is over, none
// may run beyond the lease, no end may be forgotten before it is acknowledged, and
// nothing is stuck in the end.
func TestRunsSurviveLossAndRestarts(t *testing.T) {
	var began, dropped, restarts int
	for seed := range uint64(300) {
		r := newFaultyRun(t, seed, restarts)
		for range 200 {
			dropped += r.runWithFaults()
		}
		for range 200 {
			r.advance(50 * ms)
			r.answerReport(false)
			r.callOnce(false)
		}
		dropped += int(r.agent.Counters().DroppedStarts)
		began, restarts = began+r.worker.began, r.restarts
		if len(r.primary.granted)+len(r.worker.running)+len(r.call.Ended) > 0 {
			t.Fatalf("seed %d: left are granted %v, running %v, ended %v",
				seed, r.primary.granted, r.worker.running, r.call.Ended)
		}
	}
	t.Logf("%d runs began, %d starts were dropped, %d restarts", began, dropped, restarts)
	if began == 0 || dropped == 0 || restarts == 0 {
		t.Error("the runs don't reach what they are to test")
	}
}
