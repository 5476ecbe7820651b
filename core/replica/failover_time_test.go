package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// probeInterval is the interval of writes while a gap is measured.
const probeInterval = 10 * time.Millisecond

// measureGap calls lose and returns the time until the next answer to a write that was sent
// after it.
func (c *cluster) measureGap(lose func()) time.Duration {
	c.advanceToAnswer()
	c.writerPaused = true
	c.advance(time.Duration(len(c.log)%7) * tickStep)
	from := c.now
	lose()
	for c.now-from < 12*time.Second {
		if (c.now-from)%probeInterval == 0 {
			c.write()
		}
		c.advance(tickStep)
		if c.lastAnswerAt > from+2*tickStep {
			break
		}
	}
	gap := c.now - from
	c.writerPaused = false
	return gap
}

// TestTimeToServeAgain loses the primary, a backup or another voter in several ways under a few
// seeds, and bounds the median and the longest gap. docs/design/control.md has the gaps of 50
// seeds.
func TestTimeToServeAgain(t *testing.T) {
	const seeds = 6
	missed := 1300 * time.Millisecond // suspect timeout after a just heard message, and two rounds of votes
	for _, row := range []struct {
		role, name   string
		lose         func(c *cluster, h *host)
		p50, longest time.Duration
	}{
		{"primary", "killed", (*cluster).kill, missed, missed},
		{"primary", "power lost for 300 ms", func(c *cluster, h *host) {
			c.kill(h)
			c.schedule(300*tickStep, func() { c.start(h) })
		}, time.Second, missed},
		{"primary", "isolated", func(c *cluster, h *host) { h.isolated = true }, missed, missed},
		{"primary", "frozen", (*cluster).freeze, missed, missed},
		{"primary", "planned stop", (*cluster).requestStop, 100 * time.Millisecond, 150 * time.Millisecond},
		{"backup", "killed", (*cluster).kill, missed, missed},
		{"backup", "planned stop", (*cluster).requestStop, 100 * time.Millisecond, 150 * time.Millisecond},
		{"voter", "killed", (*cluster).kill, 50 * time.Millisecond, 50 * time.Millisecond},
	} {
		for _, losses := range []int{1, 2} {
			var gaps []time.Duration
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, uint64(losses)))
				c := newClusterTolerating(t, losses)
				c.advance(time.Duration(random.IntN(300)) * tickStep)
				for _, h := range c.hosts {
					h.diskDelay = time.Duration(random.IntN(8)) * tickStep
				}
				h := c.hostByRole(row.role)
				gaps = append(gaps, c.measureGap(func() { row.lose(c, h) }))
				c.checkAnswered()
			}
			slices.Sort(gaps)
			p50, longest := gaps[len(gaps)/2], gaps[len(gaps)-1]
			name := fmt.Sprintf("f=%d, %s %s", losses, row.role, row.name)
			t.Logf("%-50s p50 %s, longest of %d %s", name, p50, seeds, longest)
			if p50 > row.p50 || longest > row.longest {
				t.Errorf("%s: p50 %s, want %s; longest %s, want %s", name, p50, row.p50, longest, row.longest)
			}
		}
	}
}
