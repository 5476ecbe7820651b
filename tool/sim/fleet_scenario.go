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

// FleetScenario is one run of a fleet of 17 daemons and 11 workers in three zones. It plays
// the deployment's traffic, which includes gangs and labels, faults of the chosen kinds at
// random times, one last fault, and probes some time after that.
type FleetScenario struct {
	scenario
	gateways        []string // addresses
	configConflicts int
	// wipeOnAccept makes the primary lose its disk when the next job is accepted.
	wipeOnAccept bool
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
	s.runToEnd()
	return s.finish()
}

// newFleetScenario creates a scenario with its daemons and workers.
func newFleetScenario(options Options) *FleetScenario {
	s := &FleetScenario{scenario: newScenario(options, options.Deployment.Zones)}
	s.world.centralQueue = options.CentralQueue
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

// addDaemons adds the daemons of the fleet, distributed evenly over the zones.
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
			n := s.world.AddNode(role, name, s.zoneOf(i), address(i), seeds, founders)
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

// addWorkers adds the workers, and schedules their starts. Every fourth one has a label. Each
// worker's list of gateways is rotated by its number, so that workers begin with different
// ones.
func (s *FleetScenario) addWorkers() {
	label := "ssd"
	if s.options.Deployment.Service == "podcasts" {
		label = "gpu"
	}
	for i := range deploy.Workers {
		first := i % len(s.gateways)
		worker := newSimWorker(fakeworker.Config{
			ID:      fmt.Sprintf("worker-%02d", i+1),
			Zone:    s.zoneOf(i),
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

// workerAt returns the i-th worker by ID, modulo the number of workers.
func (s *FleetScenario) workerAt(i int) *simWorker {
	names := slices.Sorted(maps.Keys(s.workers))
	return s.workers[names[i%len(names)]]
}

// randomWorkerNumber returns a random index for workerAt.
func (s *FleetScenario) randomWorkerNumber() int { return s.world.rng.IntN(deploy.Workers) }

// randomWorker returns a worker chosen at random.
func (s *FleetScenario) randomWorker() *simWorker { return s.workerAt(s.randomWorkerNumber()) }

// putFirstConfig stores the deployment's configuration, as an operator.
func (s *FleetScenario) putFirstConfig() {
	request := machine.Request{Kind: gateway.RequestConfigPut, Body: s.options.Deployment.Config}
	s.sendOperatorRequest(request, func(committableAt time.Duration, reply gateway.Reply) {
		if outcome, ok := reply.Body.(gateway.Outcome); ok && reply.StatusCode == http.StatusOK {
			s.expectConfig(committableAt, outcome.Version)
		} else {
			s.violate(checkConfigIgnored, "the first configuration is rejected: %+v", reply.Body)
		}
	})
}

// finish collects the runs from the workers, makes the final checks of the oracle, and
// returns the result.
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
	result := s.newResult()
	result.ConfigConflicts, result.Locality = s.configConflicts, s.measureLocality()
	result.measureRestarts(s.runs)
	result.setFindings(&s.oracle)
	return result
}
