package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
)

const (
	// sweepWindow is the time span in which power is lost.
	sweepWindow = 250 * time.Millisecond
	// sweepOutage is how long the machines are without power, and sweepBound the time after
	// their return within which a write must be answered again.
	sweepOutage = 600 * time.Millisecond
	sweepBound  = 3 * time.Second
	// stepsOfThree and stepsOfFive are the numbers of steps that are sampled for a power loss in
	// clusters of three and of five.
	stepsOfThree = 24
	stepsOfFive  = 6
)

// sweepScenario is the activity of a cluster when it loses power.
type sweepScenario struct {
	name string
	// begin starts the scenario. It returns the address of a machine whose disk already counts
	// as lost, or an empty one; that disk must be among those that are wiped.
	begin func(c *cluster) (lost string)
}

var sweepScenarios = []sweepScenario{
	{"writes", func(*cluster) string { return "" }},
	{"the primary is killed", func(c *cluster) string {
		c.kill(c.hostByRole("primary"))
		c.advance(suspectTimeout)
		return ""
	}},
	{"a backup is killed", func(c *cluster) string {
		c.kill(c.hostByRole("backup"))
		c.advance(suspectTimeout)
		return ""
	}},
	{"the primary hands over", func(c *cluster) string {
		c.requestStop(c.hostByRole("primary"))
		return ""
	}},
	{"a wiped replica catches up", func(c *cluster) string {
		newcomer := c.hostByRole("backup")
		c.wipe(newcomer)
		c.advance(300 * time.Millisecond)
		c.start(newcomer)
		return newcomer.address
	}},
	{"a backup's disk stalls", func(c *cluster) string {
		c.hostByRole("backup").diskDelay = 5 * time.Second
		c.advance(slowDiskTimeout - sweepWindow/2)
		return ""
	}},
}

// loseAllPower makes all machines lose power at once, and wipes the given disks.
func (c *cluster) loseAllPower(wiped []string) {
	for _, h := range c.hosts {
		c.kill(h)
		if slices.Contains(wiped, h.address) {
			c.wipe(h)
		}
		h.diskDelay = 0
	}
}

// afterSteps counts sent messages and synced batches as steps and calls do right after the
// given number of them. It returns the running count.
func (c *cluster) afterSteps(count int, do func()) (steps *int) {
	steps = new(int)
	step := func() {
		if *steps++; *steps == count {
			do()
		}
	}
	c.onSync = step
	c.onSend = func(string, string, machine.Message) { step() }
	return steps
}

// wipedSets returns all sets of the given size that contain the lost address, if there is one.
func wipedSets(addresses []string, size int, lost string) (sets [][]string) {
	if size == 1 {
		for _, address := range addresses {
			if lost == "" || address == lost {
				sets = append(sets, []string{address})
			}
		}
		return sets
	}
	for _, pair := range pairsOfFive(false) {
		if lost == "" || slices.Contains(pair[:], lost) {
			sets = append(sets, pair[:])
		}
	}
	return sets
}

// TestPowerLostAtAnyStep makes all machines lose power at once, right after a message was sent
// or a batch was synced, and wipes as many disks as may be lost: every choice of them, in each
// scenario, with one and with two losses tolerated. Afterwards no answered write may be lost,
// and the cluster must serve again within 3 s of the machines' return.
func TestPowerLostAtAnyStep(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, scenario := range sweepScenarios {
			t.Run(fmt.Sprintf("%d lost, %s", losses, scenario.name), func(t *testing.T) {
				t.Parallel()
				sweepPowerLoss(t, losses, scenario)
			})
		}
	}
}

func sweepPowerLoss(t *testing.T, losses int, scenario sweepScenario) {
	dryRun := newClusterTolerating(t, losses)
	dryRun.writeInterval = 20 * time.Millisecond
	lost := scenario.begin(dryRun)
	steps := dryRun.afterSteps(0, nil)
	dryRun.advance(sweepWindow)
	var addresses []string
	for _, h := range dryRun.hosts {
		addresses = append(addresses, h.address)
	}
	samples := stepsOfThree
	if losses == 2 {
		samples = stepsOfFive
	}
	every := max(1, *steps/samples)
	runs := 0
	var worst time.Duration
	for at := 1; at <= *steps; at += every {
		for _, wiped := range wipedSets(addresses, losses, lost) {
			took := losePowerAt(newClusterTolerating(t, losses), scenario, at, wiped)
			worst = max(worst, took)
			runs++
			if t.Failed() {
				t.Fatalf("power lost after step %d, %v wiped", at, wiped)
			}
		}
	}
	if runs < samples {
		t.Errorf("only %d runs for %d steps", runs, *steps)
	}
	t.Logf("%d power losses during %d steps: next answer after at most %s", runs, *steps, worst)
}

// losePowerAt runs a scenario with a power loss after the given step, and returns the time from
// the machines' return until a write is answered.
func losePowerAt(c *cluster, scenario sweepScenario, at int, wiped []string) time.Duration {
	c.t.Helper()
	c.writeInterval = 20 * time.Millisecond
	scenario.begin(c)
	powerLost := false
	c.afterSteps(at, func() { powerLost = true; c.loseAllPower(wiped) })
	for from := c.now; !powerLost && c.now-from < 2*sweepWindow; {
		c.advance(tickStep)
	}
	c.onSend, c.onSync = nil, nil
	c.advance(sweepOutage)
	for _, h := range c.hosts {
		c.start(h)
	}
	took, ok := c.waitForAnswer(8 * time.Second)
	if !ok || took > sweepBound {
		c.t.Errorf("next answer after %s, answered: %v\n%s", took, ok, c.recentLog(40))
	}
	c.checkAnswered()
	c.advance(500 * time.Millisecond)
	c.checkAnswered()
	return took
}

// TestPowerSweepFindsBrokenVariants disables one mechanism in a cluster of three. The sweep over
// power losses must detect that answered writes are lost.
func TestPowerSweepFindsBrokenVariants(t *testing.T) {
	for _, row := range []struct {
		name  string
		apply func(c *cluster)
	}{
		{"answers before disks are synced", func(c *cluster) {
			c.earlySyncDisks = true
			c.mutate = func(h *host) { h.diskDelay = 20 * tickStep }
		}},
		{"answers before backups acknowledge", func(c *cluster) { c.mutate = fakeConfirmations }},
	} {
		t.Run(row.name, func(t *testing.T) {
			counter := &failureCounter{TB: t}
			for at := 1; at <= 60 && counter.failures == 0; at += 7 {
				for _, wiped := range wipedSets([]string{"a", "b", "c"}, 1, "") {
					c := newCluster(counter)
					row.apply(c)
					losePowerAt(c, sweepScenarios[0], at, wiped)
				}
			}
			if counter.failures == 0 {
				t.Error("no power loss detected the broken variant")
			}
		})
	}
}
