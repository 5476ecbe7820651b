// The faults of the composition of centers, by name, and when they come.

package sim

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/state"
)

// CenterKinds are the faults of this composition.
var CenterKinds = map[string]func(*Centers){
	"kill": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		c.kill(n)
		c.bootAfter(n, 300, 6000)
		c.hurt(9 * time.Second)
	},
	"kill-leader": func(c *Centers) {
		n := c.leader()
		c.kill(n)
		c.bootAfter(n, 300, 6000)
		c.hurt(9 * time.Second)
	},
	"kill-leader-twice": func(c *Centers) {
		first := c.leader()
		c.kill(first)
		c.bootAfter(first, 300, 1500)
		var next func()
		next = func() {
			if n := c.primary(); n != nil && n != first {
				c.kill(n)
				c.bootAfter(n, 300, 3000)
				c.hurt(10 * time.Second)
			} else if c.w.Now < c.end {
				c.w.After(20*time.Millisecond, next)
			}
		}
		c.w.After(100*time.Millisecond, next)
		c.hurt(14 * time.Second)
	},
	"kill-centers": func(c *Centers) {
		for _, n := range c.centers {
			c.kill(n)
			c.bootAfter(n, 300, 2500)
		}
		c.hurt(10 * time.Second)
	},
	"power-off": (*Centers).powerOff,
	"wipe": func(c *Centers) {
		if c.w.Now < c.repairAt || !c.seated() {
			return
		}
		c.repairAt = c.w.Now + 20*time.Second
		n := c.someCenter()
		c.w.Wipe(n)
		c.bootAfter(n, 100, 4000)
		c.hurt(14 * time.Second)
	},
	"wipe-after-yes": func(c *Centers) {
		c.afterYes(func() {
			n := c.someCenter()
			c.w.Wipe(n)
			c.bootAfter(n, 100, 4000)
		})
	},
	"wipe-after-yes-power-off": func(c *Centers) {
		c.afterYes(func() {
			gone := c.w.chance.IntN(len(c.centers))
			for i, n := range c.centers {
				if i == gone {
					c.w.Wipe(n)
				} else {
					c.w.Kill(n)
				}
				c.bootAfter(n, 200, 2500)
			}
		})
	},
	"freeze": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		if c.w.chance.IntN(2) == 0 {
			n = c.leader()
		}
		c.w.Freeze(n)
		c.w.After(time.Duration(500+c.w.chance.IntN(9000))*time.Millisecond, func() { c.w.Wake(n) })
		c.hurt(15 * time.Second)
	},
	"slow-disk": func(c *Centers) {
		n := c.someCenter()
		c.w.slowDisk(n, 8*time.Second)
		c.hurt(14 * time.Second)
	},
	"cut": func(c *Centers) {
		a, b := c.daemons[c.w.chance.IntN(len(c.daemons))], c.someCenter()
		if a == b {
			return
		}
		c.cut(a.address, b.address, c.w.chance.IntN(2) == 0, time.Duration(1+c.w.chance.IntN(8))*time.Second)
		c.hurt(13 * time.Second)
	},
	"isolate": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		if c.w.chance.IntN(2) == 0 {
			n = c.someCenter()
		}
		c.w.isolateFor(n, 8*time.Second)
		c.hurt(15 * time.Second)
	},
	"worker-crash": func(c *Centers) {
		if b := c.worker(); b != nil {
			p := b.place
			b.death()
			c.slow(9 * time.Second)
			c.w.After(time.Duration(300+c.w.chance.IntN(9000))*time.Millisecond, func() { c.birth(p) })
		}
	},
	"worker-gone": func(c *Centers) {
		if b := c.worker(); b != nil && c.goneFor < goneMost && len(b.place.labels) == 1 && b.place.service == centerMain {
			c.goneFor++
			b.death()
			c.slow(9 * time.Second)
		}
	},
	"worker-cut": func(c *Centers) {
		if b := c.worker(); b != nil {
			c.cut(b.place.address, b.place.side.address, c.w.chance.IntN(2) == 0,
				time.Duration(1000+c.w.chance.IntN(14000))*time.Millisecond)
			c.slow(16 * time.Second)
		}
	},
	"worker-fail": func(c *Centers) {
		if b := c.worker(); b != nil {
			b.fails = true
			c.slow(12 * time.Second)
			c.w.After(10*time.Second, func() { b.fails = false })
		}
	},
	"worker-leave": func(c *Centers) {
		if b := c.worker(); b != nil {
			b.leave(time.Duration(2000+c.w.chance.IntN(6000))*time.Millisecond, 3*time.Second)
		}
	},
	"empty-site": func(c *Centers) {
		if k := len(c.empties); c.emptying || k > 0 && c.empties[k-1].to > c.w.Now-5*time.Second {
			return
		}
		c.emptying = true
		c.site(c.sites[c.w.chance.IntN(3)], 9*time.Second)
	},
	"crowd": func(c *Centers) {
		for i := range 120 {
			name := fmt.Sprintf("crowd%d-%d", c.w.Now/time.Millisecond, i)
			if i%3 == 0 {
				c.submit(c.job("batch", name,
					[]state.StepSpec{{Count: 4}, {Count: 1, DependsOn: []int{0}}}, []int64{400, 50}, state.Repeat{}))
			} else {
				c.submit(c.job("lookup", name, []state.StepSpec{{Count: 1}}, []int64{60}, state.Repeat{}))
			}
		}
		c.slow(6 * time.Second)
	},
}

func (c *Centers) breakThings() {
	c.w.drawFaults(c.env, c.play)
	if last := c.env.Last; last != "" || len(c.env.Faults) > 0 {
		if last == "" {
			last = []string{"power-off", "wipe-after-yes-power-off", "kill-leader-twice"}[c.env.Seed%3]
		}
		c.w.At(c.env.For, func() { c.w.say("last"); c.play(last) })
	}
	c.w.At(c.env.For+serveBound, func() {
		for i, class := range []string{"lookup", "batch", "long", "lookup", "batch", "print"} {
			steps := []state.StepSpec{{Count: 1 + i%2*2, Gang: class == "batch"}}
			one := c.job(class, fmt.Sprintf("probe-%d", i), steps, []int64{200}, state.Repeat{})
			one.probe = true
			c.submit(one)
		}
	})
}

// CenterKindNames lists the faults in order.
func CenterKindNames() []string {
	out := make([]string, 0, len(CenterKinds))
	for name := range CenterKinds {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// ParseCenterFaults reads a list of kinds of this composition.
// ControlDay is the name of all faults of the control days together.
func ParseCenterFaults(text string) ([]string, error) {
	switch text {
	case "all":
		return CenterKindNames(), nil
	case ControlDay:
		return ControlKindNames(), nil
	}
	return parseKinds(text, slices.Concat(CenterKindNames(), slices.Sorted(maps.Keys(ControlKinds))))
}

// ControlDay names the mixed faults of the control days.
const ControlDay = "control"
