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

// faultyRun runs an agent between a simulated worker and a simulated primary, with message
// loss on both sides. Its methods draw from one random source in a fixed order, so that a
// seed always gives the same run.
type faultyRun struct {
	*harness
	seed     uint64
	rng      *rand.Rand
	restarts int
	// primary and worker are the two simulated peers.
	primary simulatedPrimary
	worker  simulatedWorker
	// lostCalls and lostReplies are the numbers of rounds for which calls and replies are lost.
	lostCalls   int
	lostReplies int
}

// simulatedPrimary grants leases and attempts as the primary does.
type simulatedPrimary struct {
	// reportsRead counts the reports that were read or lost; lastNumber is the highest number.
	reportsRead int
	lastNumber  uint64
	leaseExpiry time.Duration
	jobs        int
	// granted holds the report number at which each job was granted.
	granted map[string]uint64
	// listed, closed and acknowledged are the jobs that a report listed as running, that
	// have ended, and whose end was acknowledged.
	listed       map[string]bool
	closed       map[string]bool
	acknowledged map[string]bool
}

// simulatedWorker runs attempts until its lease expires.
type simulatedWorker struct {
	leaseExpiry   time.Duration
	running       map[string]bool
	ended         map[string]bool
	lastEndNumber int
	startCount    int
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

// answerReport makes the primary answer the newest report unless it was read before. Without
// faults no message is lost and no job is added.
func (r *faultyRun) answerReport(faults bool) {
	p := &r.primary
	if p.reportsRead == len(r.reports) {
		return
	}
	report := r.lastReport()
	p.reportsRead = len(r.reports)
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

// orders processes a heartbeat and returns acknowledgements, stops and repeated starts. A
// granted attempt that is not listed has ended if it was listed before or should have been.
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

// callOnce makes the worker end some runs and make its next call, and process the reply
// unless the call or the reply is lost.
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
		w.leaseExpiry = max(w.leaseExpiry, sentAt+reply.LeaseRemaining)
	}
	if w.leaseExpiry > r.primary.leaseExpiry {
		r.Fatalf("seed %d: the worker may run until %s, but its lease at the primary expires at %s",
			r.seed, w.leaseExpiry, r.primary.leaseExpiry)
	}
	r.followReply(reply)
}

// endRuns ends all runs once the lease has expired; before that, some runs succeed.
func (r *faultyRun) endRuns() {
	w := &r.worker
	if r.now >= w.leaseExpiry {
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
		if end.Number <= reply.AcknowledgedUpTo && !r.primary.acknowledged[end.Job] {
			r.Fatalf("seed %d: the agent acknowledged the end of %s before the primary", r.seed, end.Job)
		}
		return end.Number <= reply.AcknowledgedUpTo
	})
	for _, start := range reply.Starts {
		if r.primary.closed[start.Job] {
			r.Fatalf("seed %d: %s started after it was reported to the primary as ended", r.seed, start.Job)
		}
		if !w.running[start.Job] && !w.ended[start.Job] {
			w.running[start.Job] = true
			w.startCount++
		}
	}
	for _, attempt := range reply.Stops {
		delete(w.running, attempt.Job)
	}
}

// runWithFaults runs a round in which messages are lost and the agent may restart. On a
// restart, it returns how many starts the previous incarnation had dropped.
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

// TestRunsSurviveLossAndRestarts has a worker make one call after another and follow only the
// reply to its last call, while calls, replies and reports are lost and the agent restarts.
// No attempt may start that the primary knows to have ended, none may run beyond the lease, no
// result may be forgotten before the primary acknowledges it, and no attempt, run or result
// may be left once the faults stop.
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
		began, restarts = began+r.worker.startCount, r.restarts
		if len(r.primary.granted)+len(r.worker.running)+len(r.call.Ended) > 0 {
			t.Fatalf("seed %d: left over: granted %v, running %v, ended %v",
				seed, r.primary.granted, r.worker.running, r.call.Ended)
		}
	}
	t.Logf("%d runs started, %d starts were dropped, %d restarts", began, dropped, restarts)
	if began == 0 || dropped == 0 || restarts == 0 {
		t.Error("no run was started, no start was dropped, or the agent never restarted")
	}
}
