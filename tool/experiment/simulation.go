package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
	"sorrelloom/tool/eventqueue"
)

const (
	// Clients submit jobs from trafficStart on, for dayLength. settleTime bounds the wait for
	// unfinished jobs after that.
	trafficStart = 4 * time.Second
	dayLength    = 34 * time.Second
	settleTime   = 30 * time.Second
	// pollInterval is the interval between checks of the states of jobs.
	pollInterval = 20 * time.Millisecond
	// windowLength is the length of the windows over which worth is aggregated.
	windowLength = 2 * time.Second
	// retryInterval and maxTries apply to clients whose request was not accepted.
	retryInterval = 700 * time.Millisecond
	maxTries      = 8
)

// Policy is a variant of the scheduling policy under test.
type Policy struct {
	Name     string
	Dispatch dispatch.Options
	// MaxLease bounds the leases of workers, in addition to the deployment's bound.
	MaxLease time.Duration
	// CallInterval is the interval between a worker's calls to its agent.
	CallInterval time.Duration
}

// simulation is the state of one simulated day.
type simulation struct {
	queue       eventqueue.Queue
	seed        uint64
	rng         *rand.Rand
	deployment  *Deployment
	policy      Policy
	control     *controlPlane
	workers     []*worker
	jobs        map[string]*simulatedJob
	jobsInOrder []*simulatedJob
	openJobs    []*simulatedJob
	gangs       map[string]*gang
	outages     []interval
	observed    observations
}

// interval is the half-open time interval [from, to).
type interval struct{ from, to time.Duration }

// Simulate simulates a day under a policy. The same arguments give the same report.
func Simulate(deployment Deployment, day Day, policy Policy) Report {
	s := &simulation{
		seed: day.Seed, rng: rand.New(rand.NewPCG(day.Seed, streamWorkers)), deployment: &deployment, policy: policy,
		jobs: map[string]*simulatedJob{}, gangs: map[string]*gang{},
	}
	s.addWorkers()
	s.control = newControlPlane(&s.queue, policy, &deployment)
	s.control.deliver = s.deliver
	for _, plan := range generateTraffic(&deployment, &day, s.racks()) {
		s.addJob(plan)
	}
	for _, fault := range day.Faults {
		s.scheduleFault(fault)
	}
	s.queue.After(pollInterval, s.poll)
	s.queue.RunUntil(trafficStart + day.Length)
	for end := s.queue.Now + settleTime; s.queue.Now < end && s.hasOpenJobs(); {
		s.queue.RunUntil(s.queue.Now + windowLength)
	}
	return s.report(&day)
}

func (s *simulation) addWorkers() {
	d := s.deployment
	perZone := (d.Workers + d.Zones - 1) / d.Zones
	racks := max(1, (perZone+d.RackSize/2)/d.RackSize)
	for i := range d.Workers {
		size := d.Sizes[i%len(d.Sizes)]
		zone := i % d.Zones
		w := &worker{
			simulation: s, index: i, zone: zoneName(zone), rack: fmt.Sprintf("r%d-%d", zone, i/d.Zones*racks/perZone),
			label: d.Labels[i/d.Zones%len(d.Labels)], runFactor: d.RunTimeFactors[(i/2)%len(d.RunTimeFactors)], slowdown: 1,
			capacity: state.Resources{
				Slots: int(float64(d.MilliCores) * size), MemoryMB: int(float64(d.MemoryMB) * size),
			},
		}
		s.workers = append(s.workers, w)
		s.queue.At(time.Duration(i)*time.Millisecond, w.boot)
	}
}

func (s *simulation) racks() []string {
	var racks []string
	for _, w := range s.workers {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	return racks
}

func (s *simulation) deliver(id string, reply wire.HeartbeatReply) {
	var index, generation int
	if _, err := fmt.Sscanf(id, "w%d.%d", &index, &generation); err != nil {
		panic(err)
	}
	if w := s.workers[index]; w.generation == generation {
		w.handleReply(reply)
	}
}

// addJob schedules the submission of a job and, if planned, its cancellation.
func (s *simulation) addJob(plan *plannedJob) {
	job := &simulatedJob{plan: plan, causes: map[string]time.Duration{}, tasks: map[string]*simulatedTask{}}
	job.simulation = s
	s.jobs[plan.spec.ID] = job
	s.jobsInOrder = append(s.jobsInOrder, job)
	s.queue.At(plan.at, func() {
		s.openJobs = append(s.openJobs, job)
		s.submit(job, 1)
	})
	if plan.cancelAt > 0 {
		s.queue.At(plan.cancelAt, func() { s.cancel(job) })
	}
}

func (s *simulation) submit(job *simulatedJob, try int) {
	if job.cancelled {
		return
	}
	command := state.Command{Kind: state.KindAcceptJob, Summary: true, Job: job.plan.spec}
	if s.control.submit(command) {
		job.acceptedAt = s.queue.Now
		return
	}
	if try < maxTries {
		s.queue.After(retryInterval, func() { s.submit(job, try+1) })
	}
}

func (s *simulation) cancel(job *simulatedJob) {
	if job.endedAt > 0 {
		return
	}
	if job.acceptedAt > 0 && !s.control.submit(state.Command{Kind: state.KindCancelJob, Name: job.plan.spec.ID}) {
		s.queue.After(retryInterval, func() { s.cancel(job) })
	}
	job.cancelled = true
}

// poll records which jobs have ended and samples the running tasks of long-running jobs.
func (s *simulation) poll() {
	s.queue.After(pollInterval, s.poll)
	s.openJobs = slices.DeleteFunc(s.openJobs, func(job *simulatedJob) bool {
		if job.cancelled {
			return true
		}
		if job.plan.class.LongRunning {
			job.sampleWindow(s.queue.Now)
			return false
		}
		stored, known := s.control.store.Job(job.plan.spec.ID)
		if !known || stored.State != state.Done && stored.State != state.Failed {
			return false
		}
		job.endedAt = s.queue.Now + s.control.commitDelay
		job.succeeded = stored.State == state.Done
		return true
	})
}

func (s *simulation) hasOpenJobs() bool {
	return slices.ContainsFunc(s.openJobs, func(job *simulatedJob) bool { return !job.plan.class.LongRunning })
}

// scheduleFault schedules the start and the end of a fault, on workers chosen when it starts.
func (s *simulation) scheduleFault(fault Fault) {
	if fault.Kind == FaultOutage {
		s.scheduleOutage(fault)
		return
	}
	begin, end := faultActions(fault)
	if begin == nil {
		return
	}
	s.queue.At(fault.from(), func() {
		count := max(1, int(fault.Share*float64(len(s.workers))+0.5))
		var chosen []*worker
		for _, i := range s.rng.Perm(len(s.workers))[:count] {
			chosen = append(chosen, s.workers[i])
		}
		for _, w := range chosen {
			begin(w)
		}
		s.queue.At(fault.until(), func() {
			for _, w := range chosen {
				end(w)
			}
		})
	})
}

// faultActions returns the functions that start and end a fault on a worker; both are nil for
// faults that do not affect workers.
func faultActions(fault Fault) (begin, end func(*worker)) {
	nothing := func(*worker) {}
	switch fault.Kind {
	case FaultSilent:
		return func(w *worker) { w.isolated = true }, func(w *worker) { w.isolated = false }
	case FaultCrash:
		return (*worker).crash, (*worker).boot
	case FaultLost:
		return (*worker).crash, nothing
	case FaultFlap:
		return func(w *worker) { w.flap(fault.until()) }, (*worker).boot
	case FaultSlow:
		return func(w *worker) { w.setSlowdown(fault.Factor) }, func(w *worker) { w.setSlowdown(1) }
	case FaultFailing:
		return func(w *worker) { w.failureShare = fault.Factor }, func(w *worker) { w.failureShare = 0 }
	case FaultLeave:
		return (*worker).leave, nothing
	}
	return nil, nil
}

// flap alternately crashes and restarts the worker until the given time.
func (w *worker) flap(until time.Duration) {
	const half = 700 * time.Millisecond
	if w.simulation.queue.Now >= until {
		return
	}
	w.crash()
	w.simulation.queue.After(half, w.boot)
	w.simulation.queue.After(2*half, func() { w.flap(until) })
}

// leave makes the worker announce that it is leaving, and exit after drainTime.
func (w *worker) leave() {
	if !w.up {
		return
	}
	w.leaving, w.dirty = true, true
	w.simulation.queue.After(drainTime, w.crash)
}

// scheduleOutage stops the primary for the duration of a fault, and starts a new one after the
// failover time unless another outage is still in progress.
func (s *simulation) scheduleOutage(fault Fault) {
	back := fault.until() + millis(s.deployment.FailoverMs)
	s.outages = append(s.outages, interval{fault.from(), back})
	s.queue.At(fault.from(), s.control.stopPrimary)
	s.queue.At(back, func() {
		for _, outage := range s.outages {
			if s.queue.Now < outage.to && s.queue.Now >= outage.from {
				return
			}
		}
		s.control.startPrimary()
	})
}
