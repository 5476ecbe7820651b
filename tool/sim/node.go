package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/control"
	"sorrelloom/core/dispatch"
	"sorrelloom/core/gateway"
	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/membership"
	"sorrelloom/core/replica"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/wire"
)

// Roles of nodes. The values are part of node names. Those of members of the gossip
// membership are also sent in messages.
const (
	roleReplica      = wire.RoleReplica
	roleScheduler    = wire.RoleScheduler
	roleGateway      = wire.RoleGateway
	roleControl      = "center"
	roleControlProxy = wire.RoleProxy
	roleLeaderClient = "door" // a gateway of the control composition
	roleAgent        = "side"
)

// membershipRoles maps the roles of nodes to their roles in the gossip membership. Leader
// clients and agents are not members.
var membershipRoles = map[string]string{
	roleReplica:      roleReplica,
	roleScheduler:    roleScheduler,
	roleGateway:      roleGateway,
	roleControl:      roleReplica,
	roleControlProxy: roleControlProxy,
}

// runState is the state of a node's process.
type runState int

const (
	up runState = iota
	frozen
	down
)

// node is one simulated daemon: its process, its disk, its clock, and its active faults.
type node struct {
	name, role, zone, address string
	seeds                     []string
	founders                  []string // bootstrap members; only for replicas and control processes

	// The process. Each start of it is an incarnation.
	state       runState
	incarnation uint64
	bootedAt    time.Duration
	machine     machine.Machine
	membership  *membership.Gossiper // nil if the node is not in the gossip membership
	processor   *processor           // nil if processing takes no time
	sender      *sender
	pastUsage   Usage // of earlier incarnations
	// configVersion is the last configuration version that was observed on the node.
	configVersion   uint64
	timerGeneration uint64
	timerAt         time.Duration
	pendingRequests map[uint64]func(any) // by request ID

	// While a process is being frozen, it still takes steps, but its messages are held. This
	// simulates a pause between a decision and the sending of its messages.
	outputHeld   bool
	heldMessages []encodedMessage
	deferredWork []workItem // arrived while the process was frozen

	// The disk and the clock.
	disk            machine.MemoryDisk
	diskSlowFactor  float64
	diskLosesWrites bool // acknowledges writes and drops them
	diskStalled     bool
	diskFull        bool
	writesSurvive   bool // pending writes reach the disk after the process was killed
	wallSkew        time.Duration

	// blockedLinkCount is the number of blocked links from or to other nodes.
	blockedLinkCount int
	// faults are the times in which the node was down, frozen, or had a blocked link.
	faults spans
}

// recordFault updates the node's faults after a change of its state or its links.
func (w *World) recordFault(n *node) {
	if n.state != up || n.outputHeld || n.blockedLinkCount > 0 {
		n.faults.begin(w.Now)
	} else {
		n.faults.end(w.Now)
	}
}

// faultyDuring reports whether the node had a fault at any time in a closed interval.
func (n *node) faultyDuring(from, to time.Duration) bool { return n.faults.anyTouches(from, to) }

// localTime returns the time on the node's own clock, which starts with its process.
func (n *node) localTime(now time.Duration) time.Duration { return now - n.bootedAt + time.Microsecond }

// replica returns the replica that runs in the node, nil if its role has none.
func (n *node) replica() *replica.Replica {
	switch m := n.machine.(type) {
	case *replica.Replica:
		return m
	case *control.Control:
		return m.Replica()
	}
	return nil
}

// logIndex returns the log index up to which the replica of the node has applied commands,
// 0 if the node has no replica.
func (n *node) logIndex() uint64 {
	if r := n.replica(); r != nil {
		return r.Store().Position().Index
	}
	return 0
}

// configVersioner is a machine that follows the configuration.
type configVersioner interface{ ConfigVersion() uint64 }

var (
	_ configVersioner = (*scheduler.Scheduler)(nil)
	_ configVersioner = (*gateway.Gateway)(nil)
)

// AddNode adds a daemon with an empty disk and boots it.
func (w *World) AddNode(role, name, zone, address string, seeds, founders []string) *node {
	n := &node{
		name: name, role: role, zone: zone, address: address, seeds: seeds, founders: founders,
		state: down, diskSlowFactor: 1, disk: emptyDisk(),
	}
	w.nodes[address] = n
	w.Boot(n)
	return n
}

// Boot starts the process of a node from the contents of its disk. It does nothing if the
// process is not down, or if the disk is full.
func (w *World) Boot(n *node) {
	if n.state != down || n.diskFull {
		return
	}
	n.incarnation++
	n.state, n.bootedAt = up, w.Now
	n.writesSurvive, n.timerAt, n.configVersion = false, 0, 0
	n.deferredWork, n.pendingRequests = nil, map[uint64]func(any){}
	w.recordFault(n)
	bootID := w.rng.Uint64() >> 1
	id := w.startMachine(n, bootID)
	w.logf("boot %s %s", n.name, id)
	w.startMembership(n, id, bootID)
	n.processor = w.newProcessor(n)
	w.execute(n, workItem{run: func() {
		if n.processor != nil {
			n.processor.chargeLoad(n.storedRecords())
		}
		if n.membership != nil {
			w.step(n, machine.Input{}, true)
		}
		w.step(n, machine.Input{}, false)
	}})
}

// startMachine creates the state machine for the node's role, and returns the identity of
// the node: for replicas and control processes the one on their disk, or a new one if the
// disk is empty; for proxies a new one; for other roles the address.
func (w *World) startMachine(n *node, bootID uint64) (id string) {
	freshID := fmt.Sprintf("%s-%d-%x", n.name, n.incarnation, bootID)
	switch n.role {
	case roleReplica:
		r, err := replica.New(replica.Config{
			Address: n.address, Zone: n.zone, Founders: n.founders, NewID: freshID, BootID: bootID,
		}, n.disk.Load())
		if err != nil {
			panic(fmt.Sprintf("start %s from its disk: %v", n.name, err))
		}
		n.machine = r
		return r.ID()
	case roleControl:
		c, err := control.New(control.Config{
			Address: n.address, Zone: n.zone, Founders: n.founders, NewID: freshID, BootID: bootID,
			BackupCount: w.backupCount,
		}, n.disk.Load())
		if err != nil {
			panic(fmt.Sprintf("start %s from its disk: %v", n.name, err))
		}
		n.machine = c
		return c.ID()
	case roleControlProxy:
		n.machine = control.NewProxy(wire.Member{ID: freshID, Address: n.address, Zone: n.zone}, n.seeds)
		return freshID
	case roleScheduler:
		n.machine = scheduler.New(scheduler.Config{
			Address: n.address, Zone: n.zone, FirstCommandID: bootID, Dispatch: dispatch.Options{SingleQueue: w.centralQueue},
		})
	case roleGateway:
		n.machine = gateway.New(gateway.Config{Address: n.address, Zone: n.zone, FirstCommandID: bootID})
	case roleLeaderClient:
		n.machine = leaderclient.New(leaderclient.Config{
			Address: n.address, Replicas: n.seeds, FirstCommandID: bootID,
		})
	case roleAgent:
		n.machine = agent.New(agent.Config{
			Address: n.address, Zone: n.zone, Replicas: n.seeds, FirstReportID: bootID,
		})
	}
	return n.address
}

// membershipEpoch is added to the clock so that incarnations in the membership stay positive
// when clocks are set back.
const membershipEpoch = 1000 * time.Hour

// startMembership creates the gossip membership of a node if its role takes part in it. The
// incarnation is the node's wall-clock time, as in the real daemons.
func (w *World) startMembership(n *node, id string, seed uint64) {
	n.membership = nil
	role := membershipRoles[n.role]
	if role == "" {
		return
	}
	clock := w.Now + w.wallSkew + n.wallSkew + membershipEpoch
	n.membership = membership.New(membership.Config{
		Self: wire.Node{
			ID: id, Role: role, Zone: n.zone, Address: n.address, Incarnation: int64(clock / time.Millisecond),
		},
		Seeds: n.seeds, RandomSeed: seed,
	})
}
