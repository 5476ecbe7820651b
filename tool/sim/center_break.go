// How processes, machines and lines of the composition of centers are broken.

package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/state"
)

func (c *Centers) slow(d time.Duration) { c.slowAt(c.w.Now, d) }

func (c *Centers) hurt(d time.Duration) {
	c.slow(d)
	c.lastAt = max(c.lastAt, c.w.Now)
}

func (c *Centers) bootAfter(n *node, least, most int) {
	c.w.After(time.Duration(least+c.w.chance.IntN(most-least))*time.Millisecond, func() { c.w.Boot(n) })
}

// kill ends a center's process, or takes its machine's power.
func (c *Centers) kill(n *node) {
	if c.w.chance.IntN(2) == 0 {
		c.w.Kill(n)
	} else {
		c.w.KillProcess(n)
	}
}

func (c *Centers) worker() *beside {
	for range 20 {
		if p := c.places[c.w.chance.IntN(len(c.places))]; p.now != nil && p.now.up {
			return p.now
		}
	}
	return nil
}

// cut takes one address off another for a while, both ways or one.
func (c *Centers) cut(a, b string, oneWay bool, d time.Duration) {
	c.w.say("cut %s to %s, one way %v", a, b, oneWay)
	c.w.Cut(a, b)
	if !oneWay {
		c.w.Cut(b, a)
	}
	c.w.After(d, func() { c.w.Mend(a, b); c.w.Mend(b, a) })
}

// powerOff takes the power of every machine at once.
func (c *Centers) powerOff() {
	for _, p := range c.places {
		if p.now != nil && p.now.up {
			p.now.death()
			c.w.After(time.Duration(500+c.w.chance.IntN(2000))*time.Millisecond, func() { c.birth(p) })
		}
	}
	for _, n := range c.daemons {
		c.w.Kill(n)
		c.bootAfter(n, 300, 2500)
	}
	c.hurt(12 * time.Second)
}

// afterYes waits for the next yes to a caller, and breaks something in that moment.
func (c *Centers) afterYes(do func()) {
	if c.w.Now < c.repairAt || !c.seated() {
		return
	}
	c.repairAt = c.w.Now + 20*time.Second
	c.onYes = func() {
		do()
		c.hurt(14 * time.Second)
	}
	c.submit(c.job("batch", fmt.Sprintf("armed-%d", c.w.Now/time.Millisecond),
		[]state.StepSpec{{Count: 1}}, []int64{100}, state.Repeat{}))
	c.hurt(14 * time.Second)
}
