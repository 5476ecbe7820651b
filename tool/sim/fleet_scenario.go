package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
)

// FleetScenario is one run of a fleet of 17 daemons and 11 workers in three zones: the
// deployment's traffic with gangs and labels in it, faults of the chosen kinds at random
// times, one last fault, and probes some time after it.
type FleetScenario struct {
	oracle
	options  Options
	world    *World
	zones    []string
	gateways []string // addresses
	replicas []*node

	requestCount    int // operators' requests, which numbers their idempotency keys
	configConflicts int
	lastFaultAt     time.Duration
	// nextDiskLossAt is when another disk may be lost.
	nextDiskLossAt time.Duration
	// wipeOnAccept says that the primary loses its disk when the next job is accepted.
	wipeOnAccept bool
	replacements int // daemons that were replaced, which numbers their addresses
}

// PlayFleet plays one fleet scenario to its end.
func PlayFleet(options Options) Result {
	s := newFleetScenario(options)
	if options.Prepare != nil {
		options.Prepare(s)
	}
	s.world.onConfigVersion = s.observeConfig
	s.world.At(configAt, s.putFirstConfig)
	if !options.NoTraffic {
		s.scheduleTraffic()
		if len(options.Faults) > 0 {
			s.scheduleOperators()
		}
	}
	s.scheduleFaults()
	s.watchLeader(s.world, s.primary)
	s.world.RunUntil(options.Duration + recoveryBound + probesRun)
	for s.world.Now < s.end && s.hasOpenJobs() {
		s.world.RunUntil(s.world.Now + time.Second)
	}
	s.end = s.world.Now
	return s.finish()
}

// newFleetScenario builds the fleet of a scenario.
func newFleetScenario(options Options) *FleetScenario {
	s := &FleetScenario{
		oracle: newOracle(), options: options, world: NewWorld(options.Seed), zones: options.Deployment.Zones,
	}
	s.world.Log, s.world.centralQueue = options.Log, options.CentralQueue
	s.end = options.Duration + settleTime
	parsed, violations := config.Parse(options.Deployment.Config)
	if len(violations) > 0 {
		panic(violations)
	}
	for name, class := range parsed.Services[options.Deployment.Service].Classes {
		s.restartsLost[name] = class.LostWorkerPolicy == config.RestartOnLostWorker
		s.shareSlots[name] = class.Share * deploy.Workers * deploy.SlotsPerWorker / 100
	}
	s.addDaemons()
	s.addWorkers()
	return s
}

// addDaemons adds the daemons of the fleet, spread over the zones.
func (s *FleetScenario) addDaemons() {
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%d:7000", i%3, i) }
	var seeds []string
	for i := range deploy.Replicas {
		seeds = append(seeds, address(i))
	}
	add := func(role string, count int, founders []string) (added []*node) {
		for number := range count {
			i := len(s.daemons)
			name := fmt.Sprintf("%s-%d", role, number+1)
			n := s.world.AddNode(role, name, s.zones[i%len(s.zones)], address(i), seeds, founders)
			s.daemons, added = append(s.daemons, n), append(added, n)
		}
		return added
	}
	s.replicas = add(roleReplica, deploy.Replicas, seeds)
	add(roleScheduler, deploy.Schedulers, nil)
	for _, n := range add(roleGateway, deploy.Gateways, nil) {
		s.gateways = append(s.gateways, n.address)
	}
}

// addWorkers adds the workers, each fourth with a label, and each with the gateways in
// an order of its own.
func (s *FleetScenario) addWorkers() {
	label := "ssd"
	if s.options.Deployment.Service == "podcasts" {
		label = "gpu"
	}
	for i := range deploy.Workers {
		first := i % len(s.gateways)
		worker := newSimWorker(fakeworker.Config{
			ID:      fmt.Sprintf("worker-%02d", i+1),
			Zone:    s.zones[i%len(s.zones)],
			Rack:    fmt.Sprintf("r%d", i/deploy.WorkersPerRack),
			Service: s.options.Deployment.Service,
			Capacity: state.Resources{
				Slots: deploy.SlotsPerWorker, Cores: s.options.Deployment.CoresPerWorker,
			},
		}, nil)
		if i%4 == 0 {
			worker.config.Labels = []string{label}
		}
		worker.gateways = slices.Concat(s.gateways[first:], s.gateways[:first])
		s.workers[worker.name()] = worker
		s.world.At(5*time.Second+time.Duration(i)*10*time.Millisecond, func() { s.bootWorker(worker) })
	}
}

// workerAt returns the worker with a number, in a fixed order.
func (s *FleetScenario) workerAt(i int) *simWorker {
	names := slices.Sorted(maps.Keys(s.workers))
	return s.workers[names[i%len(names)]]
}

// randomWorkerNumber draws the number of a worker.
func (s *FleetScenario) randomWorkerNumber() int { return s.world.rng.IntN(deploy.Workers) }

// randomWorker draws a worker.
func (s *FleetScenario) randomWorker() *simWorker { return s.workerAt(s.randomWorkerNumber()) }

// randomDaemon draws a daemon.
func (s *FleetScenario) randomDaemon() *node { return s.daemons[s.world.rng.IntN(len(s.daemons))] }

// randomReplica draws a replica.
func (s *FleetScenario) randomReplica() *node { return s.replicas[s.world.rng.IntN(len(s.replicas))] }

func (s *FleetScenario) primary() *node { return primaryOf(s.replicas) }

// allMembersUp reports whether every voter of the newest view is a replica that is up:
// only then may another disk be lost, since of three one may be missing.
func (s *FleetScenario) allMembersUp() bool { return allMembersUp(s.replicas) }

// degrade notes that speed is not judged for a while.
func (s *FleetScenario) degrade(duration time.Duration) { s.markDegraded(s.world.Now, duration) }

// degradeDaemons is degrade for a fault of the daemons themselves.
func (s *FleetScenario) degradeDaemons(duration time.Duration) {
	s.degrade(duration)
	s.lastFaultAt = max(s.lastFaultAt, s.world.Now)
}

// putFirstConfig puts the deployment's configuration.
func (s *FleetScenario) putFirstConfig() {
	request := machine.Request{Kind: gateway.RequestConfigPut, Body: s.options.Deployment.Config}
	s.operate(request, func(committableAt time.Duration, reply gateway.Reply) {
		if outcome, ok := reply.Body.(gateway.Outcome); ok && reply.StatusCode == http.StatusOK {
			s.expectConfig(committableAt, outcome.Version)
		} else {
			s.violate(checkConfigIgnored, "the first configuration is rejected: %+v", reply.Body)
		}
	})
}

// hasOpenJobs reports whether a job that can end has not ended yet.
func (s *FleetScenario) hasOpenJobs() bool {
	return slices.ContainsFunc(s.jobs, func(job *clientJob) bool {
		return job.endedAt == 0 && job.rejection == 0 && !job.impossible
	})
}

// finish has the oracle judge the run, and sums it up.
func (s *FleetScenario) finish() Result {
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		worker := s.workers[name]
		if worker.up {
			worker.collectRuns()
			worker.collectActiveRuns(0)
		}
		s.runs = append(s.runs, worker.runs...)
	}
	s.checkHistory()
	s.checkDraining()
	result := newResult(s.world, &s.oracle)
	result.ConfigConflicts, result.LastFault = s.configConflicts, s.lastFaultAt
	result.countRuns(s.runs)
	result.countJobs(s.jobs)
	result.measureRestarts(s.runs)
	result.Locality = s.measureLocality()
	for _, n := range s.replicas {
		if r := n.replica(); r != nil {
			result.Views = max(result.Views, r.View().Epoch)
		}
	}
	result.takeJudgement(&s.oracle)
	return result
}
