// The founding: many control machines that start in any order, with seeds that are late,
// or have no disk, or never come, and with the power lost before it is over.

package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	startSpread = 300 * time.Millisecond
	// foundedWithin bounds the time from the first start to the first answer.
	bootstrapBound = 5 * time.Second
)

// founding is a system before its first start.
type bootstrapCluster struct {
	*cluster
	machines []string
	// firstStart is what the settings of the next process say.
	firstStart bool
	// slow says how much longer the disk of a machine takes from its next start on.
	diskDelayOf func(address string) time.Duration
}

// newFounding places ten machines in three sites, of which three are seeds.
func newBootstrapCluster(t testing.TB, losses int, chance *rand.Rand) *bootstrapCluster {
	c := &bootstrapCluster{cluster: newEmptyCluster(t), firstStart: true}
	c.backupCount = losses
	for i := range 10 {
		address := string(rune('a' + i))
		c.machines = append(c.machines, address)
		c.zones[address] = []string{"x", "y", "z"}[i%3]
	}
	c.founders = nil
	for _, at := range chance.Perm(len(c.machines))[:3] {
		c.founders = append(c.founders, c.machines[at])
	}
	c.configure = func(h *node, env *Config) {
		if h.diskDelay = 0; c.diskDelayOf != nil {
			h.diskDelay = c.diskDelayOf(h.address)
		}
		env.Founders = nil
		if c.firstStart {
			env.Founders = c.founders
		}
	}
	return c
}

// startAll starts all machines but some in any order.
func (c *bootstrapCluster) startAll(chance *rand.Rand, but ...string) {
	at := make([]time.Duration, len(c.machines))
	for i := range at {
		at[i] = time.Duration(chance.Int64N(int64(startSpread)))
	}
	order := chance.Perm(len(c.machines))
	slices.SortFunc(order, func(a, b int) int { return int(at[a] - at[b]) })
	for _, i := range order {
		address := c.machines[i]
		if slices.Contains(but, address) || slices.Contains(c.diskless, address) {
			continue
		}
		c.advance(max(0, at[i].Truncate(tickStep)-c.now))
		c.add(address)
	}
}

// founded wants one cluster with as many backups as may be lost.
func (c *bootstrapCluster) checkBootstrapped(losses int) {
	c.t.Helper()
	if took, ok := c.waitForAnswer(bootstrapBound); !ok {
		c.t.Errorf("no answer %s after the start", took)
		return
	}
	c.advance(time.Second)
	if p := c.primary(); p == nil || len(p.replica.View().Backups) != losses {
		c.t.Errorf("not %d backups", losses)
	}
	c.checkAnswered()
}

// TestOneClusterIsFounded starts ten machines within 0.3 s under many seeds, of which
// some have no disk.
func TestOneClusterIsBootstrapped(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(16) {
			chance := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, chance)
			for range seed % 4 {
				c.diskless = append(c.diskless, c.machines[chance.IntN(len(c.machines))])
			}
			c.delay = func(_, _, _ string) time.Duration { return time.Duration(chance.IntN(20)) * tickStep }
			c.startAll(chance)
			c.checkBootstrapped(losses)
			if t.Failed() {
				t.Fatalf("f=%d seed %d, seeds %v, without disks %v\n%s", losses, seed, c.founders, c.diskless, c.recentLog(60))
			}
		}
	}
}

// TestASeedThatNeverCame has one of three seeds down for long. It may have founded and
// lost its lines, so nobody founds without it; once it is there, one cluster is founded.
func TestMissingFounderBlocksBootstrap(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(6) {
			chance := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, chance)
			missing := c.founders[seed%3]
			c.startAll(chance, missing)
			c.advance(10 * time.Second)
			for _, h := range c.nodes {
				if h.replica.View().Epoch > 0 {
					t.Errorf("%s knows a view though the seed %s never came", h.address, missing)
				}
			}
			c.add(missing)
			c.checkBootstrapped(losses)
			if t.Failed() {
				t.Fatalf("f=%d seed %d, seeds %v, missing %s\n%s", losses, seed, c.founders, missing, c.recentLog(60))
			}
		}
	}
}

// TestPowerIsLostWhileFounding takes the power from all machines, or from as many seeds as
// may be lost, while the first view is founded, with disks that differ in speed. Their
// settings say then that it is not the first start, unless the disk of a seed is still empty.
func TestPowerLossDuringBootstrap(t *testing.T) {
	const slow, stalled = 30 * tickStep, 200 * tickStep
	for _, row := range []struct {
		name                string
		seeds               string
		founder, seed, rest time.Duration
		all                 bool
		from, to, step      int
	}{
		{"disks alike", "abc", 0, 0, 0, true, 1, 20, 4},
		{"some seeds only", "abc", 0, 0, 0, false, 1, 20, 4},
		{"the founder's disk is fast", "abc", 0, slow, slow, true, 1, 75, 8},
		{"the founder's disk is slow", "abc", slow, 0, 0, true, 1, 75, 8},
		{"seeds in one site with slow disks", "adg", stalled, stalled, 0, true, 193, 420, 20},
	} {
		for _, losses := range []int{1, 2} {
			for moment := row.from; moment < row.to; moment += row.step {
				chance := rand.New(rand.NewPCG(uint64(moment), uint64(losses)))
				c := newBootstrapCluster(t, losses, chance)
				c.founders = strings.Split(row.seeds, "")
				c.diskDelayOf = func(address string) time.Duration {
					switch {
					case address == c.founders[0]:
						return row.founder
					case slices.Contains(c.founders, address):
						return row.seed
					}
					return row.rest
				}
				for _, address := range c.machines {
					c.add(address)
				}
				c.advance(time.Duration(moment) * tickStep)
				c.losePower(row.all, losses)
				c.diskDelayOf = nil
				c.firstStart = slices.ContainsFunc(c.founders, func(address string) bool {
					return len(c.node(address).disk.Load().Records) == 0
				})
				c.advance(time.Duration(chance.IntN(100)) * tickStep)
				for _, at := range chance.Perm(len(c.nodes)) {
					c.start(c.nodes[at])
				}
				c.checkBootstrapped(losses)
				if t.Failed() {
					t.Fatalf("%s, f=%d, power lost at %d ms, seeds %v\n%s", row.name, losses, moment, c.founders, c.recentLog(60))
				}
			}
		}
	}
}

// losePower takes the power from all machines, or from so many seeds.
func (c *bootstrapCluster) losePower(all bool, losses int) {
	down := 0
	for _, h := range c.nodes {
		seed := slices.Contains(c.founders, h.address)
		if !all && (!seed || down == losses) {
			continue
		}
		c.kill(h)
		down++
	}
}

// TestASecondFirstStartFoundsNothing restarts wiped machines, as many as may be lost, that
// are told again that it is the first start, with seeds that are not those of before.
func TestSecondFirstStartBootstrapsNothing(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(4) {
			chance := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, chance)
			c.startAll(chance)
			c.checkBootstrapped(losses)
			lost := chance.Perm(len(c.nodes))[:losses]
			for _, at := range lost {
				c.wipe(c.nodes[at])
			}
			c.founders = []string{c.nodes[lost[0]].address, c.nodes[lost[losses-1]].address, c.nodes[chance.IntN(10)].address}
			for _, at := range lost {
				c.start(c.nodes[at])
			}
			c.checkServes(fmt.Sprintf("seed %d", seed), failoverBound)
			c.advance(catchUpOfFive)
			c.checkAnswered()
			if t.Failed() {
				t.Fatalf("f=%d seed %d\n%s", losses, seed, c.recentLog(60))
			}
		}
	}
}
