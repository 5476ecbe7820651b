package sim

import (
	"time"

	"sorrelloom/tool/deploy"
)

// Options configure the run of a scenario.
type Options struct {
	Seed uint64
	// Deployment is the configuration and the traffic of a fleet scenario.
	Deployment deploy.Deployment
	// Faults lists the names of the faults that are injected at random.
	Faults []string
	// Duration is the time, from the start of the run, in which jobs are submitted and
	// faults injected.
	Duration time.Duration
	// SettleTime is the longest time after Duration for which a control scenario waits for
	// jobs that have not ended; 0 means settleTime. Fleet scenarios always use settleTime.
	SettleTime time.Duration
	// LastFault names the fault that is injected at the end of Duration. If it is empty, one
	// is drawn from Faults.
	LastFault string
	// NoTraffic leaves out the jobs and the operators of the scenario.
	NoTraffic bool
	// Tenants makes the jobs of a control scenario belong to tenants, whose keys and limits
	// operators change. Latency is not checked then, since work waits for the limits.
	Tenants bool
	// CentralQueue makes schedulers keep one queue instead of one per worker.
	CentralQueue bool
	// Log, if set, receives a line of text for every event.
	Log func(string)
	// Prepare, if set, is called before a fleet scenario runs, PrepareControl before a
	// control scenario runs.
	Prepare        func(*FleetScenario)
	PrepareControl func(*ControlScenario)
	// Size is the size of a control scenario's site; the zero value means SmallSize.
	Size Size
	// Hardware describes the hosts of a control scenario. If it is nil, processing takes
	// no time.
	Hardware *Hardware
}

// settleTime is the default for Options.SettleTime.
const settleTime = 75 * time.Second

// Times of a run.
const (
	configAt      = 4 * time.Second // the first configuration is stored
	trafficFrom   = 6 * time.Second // the first jobs are submitted
	operatorsFrom = 13 * time.Second
	// operatorsBefore is the time before the end of Duration at which operators stop.
	operatorsBefore = 8 * time.Second
	// minOperatorInterval and operatorJitter are in milliseconds.
	minOperatorInterval = 3000
	operatorJitter      = 2000
	// probeDuration is the least time that a run continues after the probes are submitted,
	// which is recoveryBound after Duration.
	probeDuration = 12 * time.Second
	// cancelDelayMax is the longest time between the submission of a job and its
	// cancellation.
	cancelDelayMax = 3 * time.Second
)

// isCancelled reports whether the client cancels the i-th job of a kind of traffic.
func isCancelled(i int) bool { return i%17 == 5 }
