// Bootstrap with many replicas that start in random order, with founders that start late, have
// no disk or are down, and with power losses before the bootstrap is complete.

package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

const (
	// startSpread is the time within which all replicas are started.
	startSpread = 300 * time.Millisecond
	// bootstrapBound bounds the time from the first start to the first answer.
	bootstrapBound = 5 * time.Second
)

// bootstrapCluster is a cluster before its first start.
type bootstrapCluster struct {
	*cluster
	addresses []string
	// firstStart is set while processes are configured with the founders.
	firstStart bool
	// diskDelayOf returns the delay of a host's disk from its next start on; nil is none.
	diskDelayOf func(address string) time.Duration
}

// newBootstrapCluster places ten hosts in three zones and chooses three of them as founders at
// random.
func newBootstrapCluster(t testing.TB, losses int, random *rand.Rand) *bootstrapCluster {
	c := &bootstrapCluster{cluster: newEmptyCluster(t), firstStart: true}
	c.backupCount = losses
	for i := range 10 {
		address := string(rune('a' + i))
		c.addresses = append(c.addresses, address)
		c.zones[address] = []string{"x", "y", "z"}[i%3]
	}
	c.founders = nil
	for _, index := range random.Perm(len(c.addresses))[:3] {
		c.founders = append(c.founders, c.addresses[index])
	}
	c.configure = func(h *host, config *Config) {
		if h.diskDelay = 0; c.diskDelayOf != nil {
			h.diskDelay = c.diskDelayOf(h.address)
		}
		config.Founders = nil
		if c.firstStart {
			config.Founders = c.founders
		}
	}
	return c
}

// startAll starts all hosts with a disk, except those given, in random order within
// startSpread.
func (c *bootstrapCluster) startAll(random *rand.Rand, except ...string) {
	startAt := make([]time.Duration, len(c.addresses))
	for i := range startAt {
		startAt[i] = time.Duration(random.Int64N(int64(startSpread)))
	}
	order := random.Perm(len(c.addresses))
	slices.SortFunc(order, func(a, b int) int { return int(startAt[a] - startAt[b]) })
	for _, i := range order {
		address := c.addresses[i]
		if slices.Contains(except, address) || slices.Contains(c.diskless, address) {
			continue
		}
		c.advance(max(0, startAt[i].Truncate(tickStep)-c.now))
		c.add(address)
	}
}

// checkBootstrapped checks that a cluster serves, with as many backups as losses are tolerated.
func (c *bootstrapCluster) checkBootstrapped(losses int) {
	c.t.Helper()
	if took, ok := c.waitForAnswer(bootstrapBound); !ok {
		c.t.Errorf("no write answered %s after the start", took)
		return
	}
	c.advance(time.Second)
	if p := c.primary(); p == nil || len(p.replica.View().Backups) != losses {
		c.t.Errorf("the view does not have %d backups", losses)
	}
	c.checkAnswered()
}

// TestOneClusterIsBootstrapped starts ten replicas within 0.3 s under several seeds; up to
// three hosts have no disk.
func TestOneClusterIsBootstrapped(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(16) {
			random := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, random)
			for range seed % 4 {
				c.diskless = append(c.diskless, c.addresses[random.IntN(len(c.addresses))])
			}
			c.delay = func(_, _, _ string) time.Duration { return time.Duration(random.IntN(20)) * tickStep }
			c.startAll(random)
			c.checkBootstrapped(losses)
			if t.Failed() {
				t.Fatalf("f=%d seed %d, founders %v, without disks %v\n%s",
					losses, seed, c.founders, c.diskless, c.recentLog(60))
			}
		}
	}
}

// TestMissingFounderBlocksBootstrap starts all replicas except one of the three founders. That
// one may have created a first view and be unreachable since, so no other may create one. Once
// it starts, one cluster is bootstrapped.
func TestMissingFounderBlocksBootstrap(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(6) {
			random := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, random)
			missing := c.founders[seed%3]
			c.startAll(random, missing)
			c.advance(10 * time.Second)
			for _, h := range c.hosts {
				if h.replica.View().Epoch > 0 {
					t.Errorf("%s knows a view although founder %s was never started", h.address, missing)
				}
			}
			c.add(missing)
			c.checkBootstrapped(losses)
			if t.Failed() {
				t.Fatalf("f=%d seed %d, founders %v, missing %s\n%s", losses, seed, c.founders, missing, c.recentLog(60))
			}
		}
	}
}

// TestPowerLossDuringBootstrap kills all replicas, or as many founders as may be lost, while
// the first view is being created, with disks of different speeds. They are restarted without
// founders in their configuration, unless the disk of a founder is still empty.
func TestPowerLossDuringBootstrap(t *testing.T) {
	const slow, stalled = 30 * tickStep, 200 * tickStep
	for _, row := range []struct {
		name     string
		founders string
		// first, founder and rest are the disk delays of the first founder, of the other
		// founders and of all other replicas.
		first, founder, rest time.Duration
		all                  bool // all replicas lose power, not only founders
		from, to, step       int  // times of the power loss in ms
	}{
		{"disks alike", "abc", 0, 0, 0, true, 1, 20, 4},
		{"some founders only", "abc", 0, 0, 0, false, 1, 20, 4},
		{"the first founder's disk is fast", "abc", 0, slow, slow, true, 1, 75, 8},
		{"the first founder's disk is slow", "abc", slow, 0, 0, true, 1, 75, 8},
		{"founders in one zone with slow disks", "adg", stalled, stalled, 0, true, 193, 420, 20},
	} {
		for _, losses := range []int{1, 2} {
			for moment := row.from; moment < row.to; moment += row.step {
				random := rand.New(rand.NewPCG(uint64(moment), uint64(losses)))
				c := newBootstrapCluster(t, losses, random)
				c.founders = strings.Split(row.founders, "")
				c.diskDelayOf = func(address string) time.Duration {
					switch {
					case address == c.founders[0]:
						return row.first
					case slices.Contains(c.founders, address):
						return row.founder
					}
					return row.rest
				}
				for _, address := range c.addresses {
					c.add(address)
				}
				c.advance(time.Duration(moment) * tickStep)
				c.losePower(row.all, losses)
				c.diskDelayOf = nil
				c.firstStart = slices.ContainsFunc(c.founders, func(address string) bool {
					return len(c.host(address).disk.Load().Records) == 0
				})
				c.advance(time.Duration(random.IntN(100)) * tickStep)
				for _, index := range random.Perm(len(c.hosts)) {
					c.start(c.hosts[index])
				}
				c.checkBootstrapped(losses)
				if t.Failed() {
					t.Fatalf("%s, f=%d, power lost at %d ms, founders %v\n%s",
						row.name, losses, moment, c.founders, c.recentLog(60))
				}
			}
		}
	}
}

// losePower kills all replicas, or as many founders as losses are tolerated.
func (c *bootstrapCluster) losePower(all bool, losses int) {
	down := 0
	for _, h := range c.hosts {
		isFounder := slices.Contains(c.founders, h.address)
		if !all && (!isFounder || down == losses) {
			continue
		}
		c.kill(h)
		down++
	}
}

// TestWipedFoundersBootstrapNoSecondCluster wipes as many replicas as may be lost and restarts
// them with a list of founders that differs from the first one. They must join the existing
// cluster.
func TestWipedFoundersBootstrapNoSecondCluster(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(4) {
			random := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newBootstrapCluster(t, losses, random)
			c.startAll(random)
			c.checkBootstrapped(losses)
			lost := random.Perm(len(c.hosts))[:losses]
			for _, index := range lost {
				c.wipe(c.hosts[index])
			}
			c.founders = []string{
				c.hosts[lost[0]].address, c.hosts[lost[losses-1]].address, c.hosts[random.IntN(10)].address,
			}
			for _, index := range lost {
				c.start(c.hosts[index])
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

// TestMembersAreSpreadOverZones bootstraps with more replicas than members, with replicas that
// start late, and with founders that have no disk.
func TestMembersAreSpreadOverZones(t *testing.T) {
	for _, row := range []struct {
		name        string
		zones       string // by address, from a on
		diskless    string
		later       string
		backupCount int
		members     int
		within      time.Duration
	}{
		{"three zones, two each", "xyzxyz", "", "", 2, 5, time.Second},
		{"four zones, two each", "xyzwxyzw", "", "", 2, 5, time.Second},
		{"only three", "xyz", "", "", 2, 3, 4 * time.Second},
		{"two start after the bootstrap", "xyzxy", "", "de", 2, 5, 8 * time.Second},
		{"one founder has no disk", "xyzxyz", "a", "", 1, 3, time.Second},
		{"one founder has no disk, two backups", "xyzxyz", "b", "", 2, 5, time.Second},
		{"no founder has a disk", "xyzxyz", "abc", "", 1, 3, 4 * time.Second},
	} {
		c := newEmptyCluster(t)
		c.backupCount = row.backupCount
		for i, zone := range row.zones {
			address := string(rune('a' + i))
			c.zones[address] = string(zone)
			if strings.Contains(row.diskless, address) {
				c.diskless = append(c.diskless, address)
			}
		}
		for address := range strings.SplitSeq("abcdefgh"[:len(row.zones)], "") {
			if !strings.Contains(row.later, address) && !slices.Contains(c.diskless, address) {
				c.add(address)
			}
		}
		if row.later != "" {
			c.advance(4 * time.Second)
			for address := range strings.SplitSeq(row.later, "") {
				c.add(address)
			}
		}
		c.advance(row.within + 100*time.Millisecond)
		p := c.primary()
		if p == nil {
			t.Errorf("%s: no cluster after %s\n%s", row.name, row.within, c.recentLog(20))
			continue
		}
		v := p.replica.View()
		backups := min(row.backupCount, (row.members-1)/2)
		tooMany := maxPerZone(v.Voters) > max(row.backupCount, 1)
		if len(v.Voters) != row.members || len(v.Backups) != backups || tooMany {
			t.Errorf("%s: members %v, backups %v\n%s", row.name, v.Voters, v.Backups, c.recentLog(20))
		}
		c.advance(time.Second)
		c.checkAnswered()
	}
}

// TestChooseFirstMembers chooses the members of a first view from founders and other replicas.
// Their names consist of the zone and a number.
func TestChooseFirstMembers(t *testing.T) {
	members := func(names string) []wire.Member {
		var out []wire.Member
		for _, name := range strings.Fields(names) {
			out = append(out, wire.Member{ID: name, Address: name, Zone: name[:1]})
		}
		return out
	}
	for _, row := range []struct {
		name             string
		founders, others string
		founderCount     int
		backupCount      int
		waited           bool
		want             string // empty if not ok
	}{
		{"three zones", "x1 y1 z1", "x2 y2", 3, 1, false, "x1 y1 z1"},
		{"one zone, others at once", "x1 x2 x3", "y1 z1", 3, 1, false, "x1 y1 z1"},
		{"one zone, no others yet", "x1 x2 x3", "", 3, 1, false, ""},
		{"one zone, no others", "x1 x2 x3", "", 3, 1, true, "x1 x2 x3"},
		{"two backups", "x1 y1 z1", "x2 y2 z2", 3, 2, false, "x1 y1 z1 x2 y2"},
		{"two backups, an even number", "x1 y1 z1", "x2", 3, 2, true, "x1 y1 z1"},
		{"too few", "x1", "y1", 1, 1, true, ""},
	} {
		founders := members(row.founders)
		got, ok := chooseFirstMembers(
			founders[0], founders, row.founderCount, members(row.others), row.backupCount, row.waited)
		var names []string
		for _, member := range got {
			names = append(names, member.ID)
		}
		if ok != (row.want != "") || ok && strings.Join(names, " ") != row.want {
			t.Errorf("%s: %v, %v", row.name, names, ok)
		}
	}
}
