package sim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/history"
)

const (
	controlHost  = "shop"
	mainService  = "render"
	otherService = "press"
	// statusInterval is the interval at which clients poll the status of their jobs.
	statusInterval = 400 * time.Millisecond
	// maxPermanentLosses is how many workers may be lost permanently in a scenario.
	maxPermanentLosses = 2
	// configPollFrom is when reads of the configuration start.
	configPollFrom = 7 * time.Second
	// unlimitedShare is a share in slots that no class can use up.
	unlimitedShare = 1 << 20
)

// Classes of the control composition.
const (
	classLookup = "lookup"
	classBatch  = "batch"
	classLong   = "long"
	classPrint  = "print"
)

// Size is the number of processes of each kind at a site of the control composition.
type Size struct {
	Controls    int // control processes
	Proxies     int // control proxies, which have no disk
	Gateways    int
	Workers     int
	Slots       int // of each worker
	BackupCount int // backups in a view; 0 is the replica's default
	// OneService makes all workers serve the main service.
	OneService bool
}

// Predefined sizes.
var (
	// SmallSize is the default site, also of the tests with fixed seeds.
	SmallSize = Size{Controls: 3, Gateways: 3, Workers: 11, Slots: 8}
	// MediumSize is a site that tolerates the loss of two control processes.
	MediumSize = Size{Controls: 6, Proxies: 1, Gateways: 5, Workers: 20, Slots: 8, BackupCount: 2}
	// LargeSize is the large site, which tolerates the loss of any two control processes.
	LargeSize = Size{
		Controls: 8, Proxies: 2, Gateways: 19, Workers: 74, Slots: 8, BackupCount: 2, OneService: true,
	}
)

// Sizes maps the names of sites to their sizes.
var Sizes = map[string]Size{"small": SmallSize, "middle": MediumSize, "grown": LargeSize}

// ControlScenario is one simulation of the control composition: control processes (the core
// processes of the platform), each a replica with its own dispatcher, gateways that forward
// commands to them, and a node agent for each worker. Clients submit jobs of steps through the gateways.
type ControlScenario struct {
	scenario // its replicas are the control processes
	size     Size
	proxies  []*node
	gateways []*node
	machines []*workerMachine
	jobsByID map[string]*clientJob
	gangs    map[string]*gangAttempt
	// history contains all calls of clients and operators with the results that they got.
	history history.History

	pollInterval  time.Duration
	tenants       tenantHistory
	configVersion uint64 // the latest acknowledged version
	draining      bool   // a zone is being drained
	replacingAll  bool   // all control processes are being replaced in turn

	permanentLosses int // machines whose worker was lost permanently
	// onAccept, if set, is called when the next job is accepted.
	onAccept       func()
	faultsInjected map[string]int // by name
	// clockSlack is the maximum difference between clocks.
	clockSlack time.Duration
}

// PlayControl runs one control scenario to its end.
func PlayControl(options Options) Result {
	s := newControlScenario(options)
	if options.PrepareControl != nil {
		options.PrepareControl(s)
	}
	s.world.At(configAt, s.changeConfig)
	if !options.NoTraffic {
		s.scheduleTraffic()
		s.scheduleOperators()
	}
	s.scheduleFaults()
	s.watchLeader(s.world, s.primary)
	s.world.After(configPollFrom, s.pollConfig)
	if options.Tenants {
		s.world.After(configPollFrom, s.probeKeys)
	}
	s.runToEnd()
	s.logOpenJobs()
	return s.finish()
}

// newControlScenario returns a scenario whose daemons are booted and workers scheduled to boot.
func newControlScenario(options Options) *ControlScenario {
	s := &ControlScenario{
		scenario: newScenario(options, []string{"a", "b", "c"}), size: SmallSize, pollInterval: statusInterval,
		jobsByID: map[string]*clientJob{}, gangs: map[string]*gangAttempt{}, faultsInjected: map[string]int{},
	}
	if options.Size.Controls > 0 {
		s.size = options.Size
	}
	s.world.hardware, s.world.backupCount = options.Hardware, s.size.BackupCount
	s.agentWorkers = true
	s.end = options.Duration + cmp.Or(options.SettleTime, settleTime)
	for _, class := range []string{classLookup, classBatch, classLong, classPrint} {
		s.restartsLost[class], s.shareSlots[class] = true, unlimitedShare
	}
	s.addDaemons()
	return s
}

// addDaemons adds the daemons and the workers' machines, distributed over the zones.
func (s *ControlScenario) addDaemons() {
	var seeds []string
	for i := range s.size.Controls + s.size.Proxies {
		seeds = append(seeds, controlAddress(i))
	}
	add := func(role string, i, number int, address string, founders []string) *node {
		return s.world.AddNode(role, fmt.Sprintf("%s-%d", role, number), s.zoneOf(i), address, seeds, founders)
	}
	for i := range s.size.Controls {
		s.replicas = append(s.replicas, add(roleControl, i, i+1, seeds[i], seeds))
	}
	for number := range s.size.Proxies {
		i := s.size.Controls + number
		s.proxies = append(s.proxies, add(roleControlProxy, i, number+1, seeds[i], nil))
	}
	for i := range s.size.Gateways {
		s.gateways = append(s.gateways, add(roleLeaderClient, i, i+1, gatewayAddress(i), nil))
	}
	s.daemons = slices.Concat(s.replicas, s.proxies, s.gateways)
	for i := range s.size.Workers {
		s.addMachine(i, seeds)
	}
}

func controlAddress(i int) string { return fmt.Sprintf("10.%d.1.%d:7000", i%3, i/3+1) }

func gatewayAddress(i int) string { return fmt.Sprintf("10.%d.2.%d:7000", i%3, i/3+1) }

// addMachine adds a worker's machine with its agent, and schedules the worker's boot.
func (s *ControlScenario) addMachine(i int, seeds []string) {
	machine := &workerMachine{
		number: i + 1, address: fmt.Sprintf("10.%d.3.%d", i%3, i+1), zone: s.zoneOf(i),
		rack: fmt.Sprintf("r%d", i/3), service: mainService,
		capacity: state.Resources{Slots: s.size.Slots, MemoryMB: 64},
	}
	if i%4 == 0 {
		machine.labels = []string{"ssd"}
	}
	if i%4 == 3 && !s.size.OneService {
		machine.service = otherService
	}
	machine.labels = append(machine.labels, machine.rack)
	name := fmt.Sprintf("%s-%d", roleAgent, i+1)
	machine.agent = s.world.AddNode(roleAgent, name, machine.zone, machine.address+":7000", seeds, nil)
	s.daemons = append(s.daemons, machine.agent)
	s.machines = append(s.machines, machine)
	s.world.At(2*time.Second+time.Duration(i)*10*time.Millisecond, func() { s.bootWorker(machine) })
}

// leaderOrRandom returns the serving control process, or a random one if none serves.
func (s *ControlScenario) leaderOrRandom() *node {
	if n := s.primary(); n != nil {
		return n
	}
	return s.randomReplica()
}
