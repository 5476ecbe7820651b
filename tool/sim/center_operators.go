// Operators of the composition of centers: cancelling, emptying sites, changing and
// reading plans.

package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// operate sends an operator's command until it has an answer; took hears when it
// first stood at a door where it could be heard.
func (c *Centers) operate(cmd state.Command, took func(heardAt time.Duration, a state.Result)) {
	turn := c.w.chance.IntN(3)
	heard := c.listen(c.w, func() bool { return c.hears(c.door(turn)) })
	var try func()
	try = func() {
		turn++
		c.carry("operator", turn, cmd, func(a state.Result, ok bool) {
			if !ok || a.Code == status.NoResponse || refused(a) {
				if c.w.Now < c.end {
					c.w.After(200*time.Millisecond, try)
				}
				return
			}
			took(heard.answer(c.w.Now), a)
		})
	}
	try()
}

func (c *Centers) cancel(one *caller) {
	c.operate(state.Command{
		Kind: state.KindCancelJob, Name: one.spec.ID, Host: centerHost, Path: one.asks.Path, Summary: true,
	}, func(heardAt time.Duration, a state.Result) {
		if a.Code.IsSuccess() {
			one.cancelAt = heardAt
		} else if one.acceptedAt == 0 && one.bounced == 0 && c.w.Now < c.end {
			c.w.After(500*time.Millisecond, func() { c.cancel(one) })
		}
	})
}

func (c *Centers) token() string {
	c.asks++
	return fmt.Sprintf("ask-%d", c.asks)
}

func (c *Centers) site(name string, keep time.Duration) {
	c.operate(state.Command{
		Kind: state.KindDrainZone, Name: name, Drain: true, IdempotencyKey: c.token(), RequestedAt: state.RequestTimeUnknown,
	}, func(heardAt time.Duration, a state.Result) {
		if !a.Code.IsSuccess() {
			c.emptying = false
			return
		}
		e := &emptied{site: name, from: heardAt}
		c.empties = append(c.empties, e)
		c.w.After(keep, func() {
			e.to, c.emptying = c.w.Now, false
			c.operate(state.Command{
				Kind: state.KindDrainZone, Name: name, IdempotencyKey: c.token(), RequestedAt: state.RequestTimeUnknown,
			}, func(time.Duration, state.Result) {})
		})
	})
}

// change puts a plan in force on top of the last that was acknowledged.
func (c *Centers) change() {
	base := c.planned
	body := centerPlan(100 + int(base))
	c.operate(state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: c.token(), RequestedAt: state.RequestTimeUnknown,
		ConfigChange: state.ConfigChange{BaseVersion: base, Body: body},
	}, func(_ time.Duration, a state.Result) {
		if a.Code.IsSuccess() {
			c.planned = max(c.planned, base+1)
		} else if a.Code != status.StaleConfig {
			c.fault("plan-went-back", "a plan is refused: %s %s", a.Code, a.Reason)
		}
	})
}

// readPlan reads the plan in force again and again; none older than the last that
// was acknowledged before asking may be answered.
func (c *Centers) readPlan() {
	if c.w.Now >= c.end {
		return
	}
	known := c.planned
	c.carry("operator", c.w.chance.IntN(3), state.Command{Kind: state.KindReadConfig}, func(a state.Result, ok bool) {
		if ok && a.Code.IsSuccess() && known > 0 {
			c.count("plan-went-back")
			if a.Config == nil || a.Config.Version < known {
				c.fault("plan-went-back", "at %s plan %d is read, %d was acknowledged before", secs(c.w.Now), a.ConfigVersion, known)
			}
		}
	})
	c.w.After(300*time.Millisecond, c.readPlan)
}

func (c *Centers) operators() {
	for i, at := 0, 13*time.Second; at < c.env.For-8*time.Second; i, at = i+1,
		at+time.Duration(3000+c.w.chance.IntN(2000))*time.Millisecond {
		c.w.At(at, func() {
			switch i % 3 {
			case 0:
				c.change()
			case 1:
				CenterKinds["empty-site"](c)
			case 2:
				CenterKinds["worker-leave"](c)
			}
		})
	}
}
