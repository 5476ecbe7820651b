// A cluster of replicas on simulated time: messages take 1 ms, disk writes 3 ms. Tests kill,
// wipe, freeze and isolate hosts while clients write and read; no answered write may be lost.

package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

// tickStep is the resolution of simulated time.
const tickStep = time.Millisecond

// host is a machine with one replica process, or none while it is down.
type host struct {
	latency     time.Duration // of messages to it, in addition to the network's
	address     string
	replica     *Replica
	incarnation int // number of starts and ends of the process
	startedAt   time.Duration
	disk        *machine.MemoryDisk
	diskDelay   time.Duration // of each write, in addition to the disk's own time
	isolated    bool          // from all other hosts and the clients
	frozen      bool
	deferred    []machine.Input // input that arrived while it was frozen
}

// newDisk returns an empty disk whose snapshot threshold is so low that several snapshots are
// written within a few simulated seconds.
func newDisk() *machine.MemoryDisk { return &machine.MemoryDisk{SnapshotThreshold: 4096} }

// cluster consists of the founders and of hosts that are added later.
type cluster struct {
	t            testing.TB
	now          time.Duration
	hosts        []*host
	scheduled    map[time.Duration][]func()
	founders     []string
	log          []string
	lastRequest  uint64
	answered     map[uint64]uint64 // ID of the answered write by the configuration version it made
	lastAnswerAt time.Duration     // when a write was last answered
	longestGap   time.Duration     // the longest time without an answer
	events       map[string]int    // log events by name, messages by kind and receiver
	backupCount  int
	zones        map[string]string // by address
	diskless     []string          // addresses of proxies: processes without a disk
	// delay returns the additional delay of a message; a negative one means that it is lost.
	delay      func(from, to, kind string) time.Duration
	sendCounts map[string]int // by kind
	// configure changes the configuration of a process before its start.
	configure func(h *host, config *Config)

	writerPaused  bool
	readerRuns    bool
	writeInterval time.Duration
	// readFloors is the newest version answered before a read was sent, by the read's ID.
	readFloors map[uint64]uint64
	onRead     func(h *host, b wire.CommandReply)
	rejected   map[string]int // writes rejected because the host is not the primary, by address

	views map[uint64]string // the view found on some disk, by epoch
	// mutate changes a process before each step, to disable one of its mechanisms.
	mutate func(h *host)
	// earlySyncDisks makes disks report that a batch is synced before it is.
	earlySyncDisks bool
	// onSend is called for every message that is sent, including those that are lost.
	onSend func(from, to string, message machine.Message)
	// onSync is called for every batch that was synced to a disk.
	onSync func()
}

func newEmptyCluster(t testing.TB) *cluster {
	return &cluster{
		t: t, founders: []string{"a", "b", "c"}, writeInterval: 50 * time.Millisecond,
		scheduled: map[time.Duration][]func(){}, answered: map[uint64]uint64{}, events: map[string]int{},
		zones: map[string]string{}, sendCounts: map[string]int{}, rejected: map[string]int{},
		readFloors: map[uint64]uint64{}, views: map[uint64]string{},
	}
}

// newCluster starts three founders and waits until they serve.
func newCluster(t testing.TB) *cluster {
	c := newEmptyCluster(t)
	for _, address := range c.founders {
		c.add(address)
	}
	c.advance(time.Second)
	if c.primary() == nil {
		t.Fatal("three empty founders have not bootstrapped a cluster")
	}
	return c
}

// newClusterOfFive starts five replicas in three zones, with two backups per view.
func newClusterOfFive(t testing.TB) *cluster {
	c := newEmptyCluster(t)
	c.backupCount, c.zones = 2, map[string]string{"a": "x", "d": "x", "b": "y", "e": "y", "c": "z"}
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		c.add(address)
	}
	c.advance(2 * time.Second)
	p := c.primary()
	if p == nil || len(p.replica.View().Voters) != 5 || len(p.replica.View().Backups) != 2 {
		t.Fatalf("five empty replicas have not bootstrapped a view of five\n%s", c.recentLog(20))
	}
	return c
}

// newClusterTolerating starts a cluster that tolerates the loss of one or two replicas, with
// writes at slowWriteInterval.
func newClusterTolerating(t testing.TB, losses int) *cluster {
	create := newCluster
	if losses == 2 {
		create = newClusterOfFive
	}
	c := create(t)
	c.writeInterval = slowWriteInterval
	return c
}

func (c *cluster) add(address string) *host {
	h := &host{address: address, disk: newDisk()}
	c.hosts = append(c.hosts, h)
	c.start(h)
	return h
}

func (c *cluster) host(address string) *host {
	for _, h := range c.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

func (c *cluster) zone(address string) string {
	if zone, ok := c.zones[address]; ok {
		return zone
	}
	return address
}

func (c *cluster) start(h *host) {
	if h.replica != nil {
		return
	}
	h.incarnation++
	h.startedAt = c.now
	config := Config{
		Address: h.address, Zone: c.zone(h.address), BackupCount: c.backupCount,
		NewID:  fmt.Sprintf("%s-%d", h.address, h.incarnation),
		BootID: uint64(h.incarnation)<<16 + uint64(h.address[0]),
	}
	if slices.Contains(c.founders, h.address) || len(c.diskless) > 0 {
		config.Founders = c.founders
	}
	if c.configure != nil {
		c.configure(h, &config)
	}
	r, err := New(config, h.disk.Load())
	if err != nil {
		c.t.Fatalf("%s cannot be restored from its disk: %v", h.address, err)
	}
	h.replica = r
	c.logf("start %s as %s", h.address, r.ID())
	c.step(h, machine.Input{})
}

// kill ends a process; the write in flight to its disk is lost.
func (c *cluster) kill(h *host) {
	if h.replica != nil {
		c.logf("kill %s", h.address)
	}
	h.replica = nil
	h.incarnation++
	h.frozen, h.deferred = false, nil
}

// wipe ends a process and empties its disk.
func (c *cluster) wipe(h *host) {
	c.kill(h)
	c.logf("wipe %s", h.address)
	h.disk = newDisk()
}

// remove permanently removes a host and its disk.
func (c *cluster) remove(h *host) {
	c.wipe(h)
	c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
}

// addReplacement adds a host with a new address.
func (c *cluster) addReplacement() *host {
	return c.add(fmt.Sprintf("n%d", len(c.log)))
}

// stop requests a process to stop and waits for its end. It is killed after the timeout.
func (c *cluster) stop(h *host, timeout time.Duration) {
	if h.replica == nil {
		return
	}
	c.logf("stop %s", h.address)
	c.step(h, machine.Input{Stop: true})
	for from := c.now; h.replica != nil && c.now-from < timeout; {
		c.advance(tickStep)
	}
	c.kill(h)
}

// requestStop requests a process to stop, without waiting for its end.
func (c *cluster) requestStop(h *host) { c.step(h, machine.Input{Stop: true}) }

// freeze suspends a process; its input is deferred.
func (c *cluster) freeze(h *host) {
	c.logf("freeze %s", h.address)
	h.frozen = h.replica != nil
}

// thaw resumes a process and delivers its deferred input.
func (c *cluster) thaw(h *host) {
	if !h.frozen {
		return
	}
	c.logf("thaw %s", h.address)
	h.frozen = false
	deferred := h.deferred
	h.deferred = nil
	for _, in := range deferred {
		if h.replica != nil {
			c.step(h, in)
		}
	}
}

// cutMessages drops the messages from a host to all others ("from"), from all others to it
// ("to") or in both directions ("both"). Messages of clients still arrive.
func (c *cluster) cutMessages(h *host, direction string) {
	c.logf("cut messages %s %s", direction, h.address)
	c.delay = func(from, to, _ string) time.Duration {
		if direction != "from" && to == h.address || direction != "to" && from == h.address {
			return -1
		}
		return 0
	}
}

// primary returns the reachable host whose replica serves with a confirmed leadership, or nil.
func (c *cluster) primary() *host {
	for _, h := range c.hosts {
		up := h.replica != nil && !h.isolated && !h.frozen
		if up && h.replica.LeadershipConfirmed(c.now-h.startedAt+time.Microsecond) {
			return h
		}
	}
	return nil
}

// hostByRole returns the host with a role in the view in which the cluster serves: "primary",
// "backup" for the first one, "second backup" for the last one, or else the first voter that is
// neither.
func (c *cluster) hostByRole(role string) *host {
	p := c.primary()
	if p == nil {
		c.t.Fatalf("no replica serves at %s\n%s", c.now, c.recentLog(60))
	}
	v := p.replica.View()
	switch role {
	case "primary":
		return p
	case "backup":
		return c.host(v.Backups[0].Address)
	case "second backup":
		return c.host(v.Backups[len(v.Backups)-1].Address)
	}
	i := slices.IndexFunc(v.Voters, func(voter wire.Member) bool {
		return voter.ID != v.Primary.ID && !paxos.ContainsMember(v.Backups, voter.ID)
	})
	return c.host(v.Voters[i].Address)
}
