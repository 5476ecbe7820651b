// Package sim is a deterministic simulator of entire deployments. It runs the state
// machines of the daemons and fake workers over a simulated network, disks,
// processors and clocks, injects faults drawn from a seed, and has an oracle (an
// invariant checker) judge what workers, clients and operators observed. Equal seeds give
// byte-for-byte equal runs. The package makes none of the daemons' decisions itself.
//
// There are two compositions of the daemons: the fleet of replicas, schedulers and
// gateways (FleetScenario), and that of control processes with node agents
// (ControlScenario).
package sim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/tool/eventqueue"
)

// rngStream is the stream number of the world's PCG random number generator.
const rngStream = 77

// link is the directed network link from one address to another.
type link struct{ from, to string }

// World is one simulated cluster. All its random choices come from one generator, so
// the order of the draws affects the run.
type World struct {
	// Queue holds the simulated time, counted from the start of the run, and the events
	// that are still to happen.
	eventqueue.Queue
	Seed uint64
	// Trace is a hash over all messages and replies. Equal runs have equal hashes.
	Trace uint64
	// MessageCount is the number of messages that nodes have sent to each other.
	MessageCount int
	// Log, if set, receives a line of text for every event.
	Log func(text string)
	// LogCounts counts the log events of the nodes by name.
	LogCounts map[string]int

	rng *rand.Rand

	nodes         map[string]*node // by address
	blockedLinks  map[link]bool
	lastDelivery  map[link]time.Duration
	heldMessages  map[link][]machine.Message // by held link
	lastRequestID uint64
	// wallSkew is added to the wall clocks of all nodes.
	wallSkew time.Duration

	// hardware limits processors, links and disks. If it is nil, processing takes no time.
	hardware *Hardware
	// centralQueue makes schedulers keep one queue instead of one per worker.
	centralQueue bool
	// backupCount is the number of backups that the control processes are configured with.
	backupCount int

	// intercept, if set, is called for each message that is sent. If it returns true, the
	// message is not sent.
	intercept func(from *node, message machine.OutgoingMessage) bool
	// rewrite, if set, may change a message before it is encoded.
	rewrite func(from *node, message machine.OutgoingMessage) machine.OutgoingMessage
	// onConfigVersion, if set, receives the configuration version of a node after each step.
	onConfigVersion func(n *node, version uint64)
}

// NewWorld returns an empty world.
func NewWorld(seed uint64) *World {
	return &World{
		Seed:         seed,
		LogCounts:    map[string]int{},
		rng:          rand.New(rand.NewPCG(seed, rngStream)),
		nodes:        map[string]*node{},
		blockedLinks: map[link]bool{},
		lastDelivery: map[link]time.Duration{},
		heldMessages: map[link][]machine.Message{},
	}
}

// trace adds an event to the hash in Trace.
func (w *World) trace(parts ...any) {
	hash := fnv.New64a()
	fmt.Fprint(hash, w.Trace, w.Now, parts)
	w.Trace = hash.Sum64()
}

// logf passes a line with the simulated time to Log, if that is set.
func (w *World) logf(format string, args ...any) {
	if w.Log != nil {
		w.Log(fmt.Sprintf("%9.3f ", w.Now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// startOfTime is the wall-clock time at which every simulation begins.
var startOfTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// wallTime returns the current wall-clock time, without the skew of a single node.
func (w *World) wallTime() time.Time { return startOfTime.Add(w.Now + w.wallSkew) }
