// Faults of the core machines, their disks, clocks and connections, beside those of
// CenterKinds. They are mixed on the control days only, so that older days stay as
// they are.

package sim

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// MiddleSize is a site between the small and the grown one that bears the loss of two
// core machines.
var MiddleSize = Size{Centers: 6, Proxies: 1, Doors: 5, Workers: 20, Slots: 8, Copies: 2}

// Sizes are the sites by name.
var Sizes = map[string]Size{"small": SmallSize, "middle": MiddleSize, "grown": GrownSize}

const (
	// clockStepMost is by how much a clock of the day is off after a step.
	clockStepMost = 5 * time.Second
	// diskRepair is how long after a lost disk no other one is taken.
	diskRepair = 20 * time.Second
)

// ControlKinds are the faults of the control days. Each says whether it was played:
// one that would take more than the site is built to bear is left out.
var ControlKinds = map[string]func(*Centers) bool{
	"reset-connections": func(c *Centers) bool {
		n := c.someCenter()
		c.w.ResetConnections(n)
		c.hurt(6 * time.Second)
		return true
	},
	"lost-answers": func(c *Centers) bool {
		for _, d := range c.doors {
			c.w.Cut(d.address, "operator")
		}
		c.w.After(c.spell(1000, 5000), func() {
			for _, d := range c.doors {
				c.w.Mend(d.address, "operator")
			}
		})
		c.change()
		return true
	},
	"held-answers": func(c *Centers) bool {
		from, to := c.leader(), c.daemons[c.w.chance.IntN(len(c.daemons))]
		if from == to {
			return false
		}
		c.w.Hold(from.address, to.address)
		c.w.After(c.spell(300, 6000), func() { c.w.Release(from.address, to.address) })
		c.hurt(12 * time.Second)
		return true
	},
	"full-disk": func(c *Centers) bool {
		n := c.someCenter()
		c.w.say("full disk %s", n.name)
		n.diskFull = true
		c.w.After(c.spell(2000, 7000), func() {
			n.diskFull = false
			c.w.Boot(n)
		})
		c.hurt(15 * time.Second)
		return true
	},
	"stalled-disk": func(c *Centers) bool {
		n := c.someCenter()
		c.w.say("stalled disk %s", n.name)
		n.diskStalls = true
		c.w.After(c.spell(500, 7000), func() { n.diskStalls = false })
		c.hurt(14 * time.Second)
		return true
	},
	"clock-step": func(c *Centers) bool {
		n := c.someCenter()
		n.wallSkew = time.Duration(c.w.chance.Int64N(int64(2*clockStepMost))) - clockStepMost
		c.clockSlack = clockStepMost
		c.w.say("clock of %s is off by %s", n.name, n.wallSkew)
		return true
	},
	"two-centers-lost": func(c *Centers) bool {
		if c.size.Copies < 2 || !c.mayLoseDisk() {
			return false
		}
		c.repairAt = c.w.Now + diskRepair
		first := c.leader()
		others := slices.DeleteFunc(slices.Clone(c.centers), func(n *node) bool { return n == first })
		for _, n := range []*node{first, others[c.w.chance.IntN(len(others))]} {
			if c.w.chance.IntN(2) == 0 {
				c.w.Wipe(n)
			} else {
				c.w.Kill(n)
			}
			c.bootAfter(n, 300, 4000)
		}
		c.hurt(14 * time.Second)
		return true
	},
	"cut-one-way": func(c *Centers) bool {
		a, b := c.someCenter(), c.someCenter()
		if a == b {
			return false
		}
		c.cut(a.address, b.address, true, c.spell(1000, 7000))
		c.hurt(13 * time.Second)
		return true
	},
	"restart-while-cut": func(c *Centers) bool {
		n := c.someCenter()
		c.w.say("isolate %s, which starts again", n.name)
		c.w.Isolate(n.address)
		c.kill(n)
		c.bootAfter(n, 300, 3000)
		c.w.After(c.spell(3500, 8000), func() { c.w.Reconnect(n.address) })
		c.hurt(15 * time.Second)
		return true
	},
	"new-seeds": func(c *Centers) bool {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		c.kill(n)
		n.seeds = []string{c.someCenter().address, c.someCenter().address}
		c.bootAfter(n, 300, 2000)
		c.hurt(10 * time.Second)
		return true
	},
	"wiped-disk": func(c *Centers) bool {
		if !c.mayLoseDisk() {
			return false
		}
		c.repairAt = c.w.Now + diskRepair
		n := c.someCenter()
		c.w.Wipe(n)
		c.bootAfter(n, 100, 4000)
		c.hurt(14 * time.Second)
		return true
	},
	"replaced-elsewhere": func(c *Centers) bool {
		if !c.mayLoseDisk() {
			return false
		}
		c.repairAt = c.w.Now + diskRepair
		c.replace(c.w.chance.IntN(len(c.centers)))
		c.hurt(14 * time.Second)
		return true
	},
	"planned-leave": func(c *Centers) bool {
		n := c.someCenter()
		if c.w.chance.IntN(2) == 0 {
			n = c.leader()
		}
		c.w.say("stop %s", n.name)
		c.w.Stop(n)
		c.w.After(c.spell(4000, 6000), func() {
			c.w.Kill(n)
			c.w.Boot(n)
		})
		c.hurt(10 * time.Second)
		return true
	},
}

// controlOthers are the kinds of CenterKinds that are mixed in on control days.
var controlOthers = []string{
	"kill-leader", "kill-leader-twice", "kill-centers", "power-off", "freeze", "isolate", "slow-disk",
	"wipe-after-yes-power-off", "worker-cut", "worker-crash",
}

// ControlKindNames lists the faults of the control days in order.
func ControlKindNames() []string {
	out := slices.Clone(controlOthers)
	for name := range ControlKinds {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// spell draws how long a fault lasts, in milliseconds.
func (c *Centers) spell(least, most int) time.Duration {
	return time.Duration(least+c.w.chance.IntN(most-least)) * time.Millisecond
}

// mayLoseDisk says whether no disk is missing that another one would be too many.
func (c *Centers) mayLoseDisk() bool { return c.w.Now >= c.repairAt && c.seated() }

// replace has a center's machine go for good and another one come at a new address.
func (c *Centers) replace(i int) {
	old := c.centers[i]
	c.w.Kill(old)
	c.replaced++
	name, address := fmt.Sprintf("center-new-%d", c.replaced), fmt.Sprintf("10.9.1.%d:7000", c.replaced)
	var seeds []string
	for _, n := range slices.Concat(c.centers, c.proxies) {
		if n != old {
			seeds = append(seeds, n.address)
		}
	}
	c.w.After(c.spell(500, 3000), func() {
		n := c.w.Add("center", name, old.site, address, seeds, nil)
		c.centers[i] = n
		c.daemons[slices.Index(c.daemons, old)] = n
	})
}

// play plays a fault by its name, and counts it.
func (c *Centers) play(kind string) {
	c.w.say("fault %s", kind)
	if do, ok := ControlKinds[kind]; ok {
		if do(c) {
			c.played[kind]++
		}
		return
	}
	CenterKinds[kind](c)
	c.played[kind]++
}
