package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestRandomFaults injects faults in quick succession, under many seeds. At the end no replica
// is isolated, and two or three of them run, which always include the primary or the backup.
// No disk that was still needed is lost. The cluster must then serve with every answered write.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if c := runRandomFaults(newCluster(t), seed); t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

// TestRandomFaultsOfFive injects random faults into a cluster of five.
func TestRandomFaultsOfFive(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if c := runRandomFaults(newClusterOfFive(t), seed); t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

// TestRandomFaultsWithLargeState injects random faults with a state of many chunks, short log
// tails, lost, late and duplicate messages, and low snapshot thresholds.
func TestRandomFaultsWithLargeState(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 11))
			c := newCluster(t)
			if seed%3 == 0 {
				c = newClusterOfFive(t)
			}
			c.acceptJobs(80)
			for _, h := range c.hosts {
				h.disk.SnapshotThreshold = 32 << 10
				h.replica.log.tail = state.NewLogSuffix(h.replica.log.position())
			}
			c.onSend = func(_, to string, message machine.Message) {
				if random.IntN(20) == 0 {
					c.schedule(time.Duration(random.IntN(200))*tickStep, func() {
						if h := c.host(to); h != nil && h.replica != nil && !h.isolated {
							c.step(h, machine.Input{Message: message})
						}
					})
				}
			}
			c.delay = func(_, _, kind string) time.Duration {
				switch {
				case random.IntN(50) == 0:
					return -1
				case random.IntN(20) == 0:
					return time.Duration(random.IntN(30)) * tickStep
				}
				return 0
			}
			runRandomFaults(c, seed)
			c.onSend, c.delay = nil, nil
			c.advance(3 * time.Second)
			for _, h := range c.hosts {
				if p := c.primary(); p != nil && h.replica != nil && isMember(p.replica, h.replica) {
					c.checkSameState(h)
				}
			}
			t.Logf("%d transfers started, %d installed, %d logs rewound",
				c.events["snapshot_transfer_started"], c.events["snapshot_installed"], c.events["log_rewound"])
			if t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

// randomFaults injects random faults into a cluster. At most one replica at a time has lost its
// disk.
type randomFaults struct {
	*cluster
	random *rand.Rand
	lost   string // address of the replica that lost its disk; empty once it is replaced
	added  int
}

// runRandomFaults injects 4 to 15 faults, ends them and checks that the cluster serves.
func runRandomFaults(c *cluster, seed uint64) *cluster {
	f := &randomFaults{cluster: c, random: rand.New(rand.NewPCG(seed, 5))}
	for range 4 + f.random.IntN(12) {
		h := c.hosts[f.random.IntN(len(c.hosts))]
		if p := c.primary(); p != nil && f.random.IntN(3) == 0 {
			h = p
		}
		f.inject(h)
		c.advance(f.upTo(3500))
		if f.lost != "" && c.allMembersUp() {
			f.lost = ""
		}
	}
	f.endFaults()
	if took, ok := c.waitForAnswer(12 * time.Second); !ok || took > 8*time.Second {
		c.t.Errorf("next answer after %s, answered: %v", took, ok)
	}
	c.advance(2 * time.Second)
	c.checkAnswered()
	return c
}

// upTo returns a random duration below the given number of milliseconds.
func (f *randomFaults) upTo(milliseconds int) time.Duration {
	return time.Duration(f.random.IntN(milliseconds)) * time.Millisecond
}

// inject injects a random fault into a host or ends one. Some choices do nothing.
func (f *randomFaults) inject(h *host) {
	switch f.random.IntN(10) {
	case 0, 1:
		f.kill(h)
		if f.random.IntN(2) == 0 {
			f.advance(f.upTo(3000))
			f.start(h)
		}
	case 2, 3:
		h.isolated = !h.isolated
		f.logf("isolated %s %v", h.address, h.isolated)
	case 4, 5:
		f.start(h)
	case 6:
		if f.lost == "" && f.allMembersUp() {
			f.wipe(h)
			f.lost = h.address
			f.start(h)
		}
	case 7:
		if h.diskDelay = 0; f.random.IntN(2) == 0 {
			h.diskDelay = f.upTo(900)
		}
		f.logf("disk of %s at %s", h.address, h.diskDelay)
	case 8:
		if f.lost == "" && f.added < 2 && f.allMembersUp() && f.random.IntN(2) == 0 {
			f.replace(h)
		}
	case 9:
		if h.replica != nil {
			f.logf("stop %s", h.address)
			f.requestStop(h)
		}
	}
}

// replace removes a host with its disk and adds a new one.
func (f *randomFaults) replace(h *host) {
	f.added++
	f.kill(h)
	f.hosts = slices.DeleteFunc(f.hosts, func(o *host) bool { return o == h })
	f.lost = fmt.Sprintf("n%d", f.added)
	f.add(f.lost)
}

// endFaults ends all faults and starts all hosts. If no disk is missing, one host may stay down.
func (f *randomFaults) endFaults() {
	for _, h := range f.hosts {
		h.isolated, h.diskDelay = false, 0
		if h.replica != nil && h.replica.stopping {
			f.kill(h)
		}
	}
	f.logf("no host is isolated")
	var down *host
	if f.lost == "" && f.allMembersUp() && f.random.IntN(2) == 0 {
		down = f.hosts[f.random.IntN(len(f.hosts))]
		f.kill(down)
	}
	for _, h := range f.hosts {
		if h != down {
			f.start(h)
		}
	}
}
