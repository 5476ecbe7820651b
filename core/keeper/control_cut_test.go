// A control machine that is cut off for twenty seconds, whole or in one direction,
// while clients still reach it: it hands out nothing old and confirms nothing, and
// follows once it is back.
package keeper

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const cutFor = 20 * time.Second

// cutLines drops lines between one machine and all others; those of clients still come.
func (c *trio) cutLines(h *host, direction string) {
	c.say("cut lines %s %s", direction, h.address)
	c.late = func(from, to, _ string) time.Duration {
		if direction != "from" && to == h.address || direction != "to" && from == h.address {
			return -1
		}
		return 0
	}
}

// TestACutOffMachineIsNotBelieved cuts each part of the view off for 20 s. A client asks
// all processes for the plan all the while and sends each of them changes.
func TestACutOffMachineIsNotBelieved(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, part := range []string{"primary", "backup", "third"} {
			for _, direction := range []string{"both", "to", "from"} {
				for _, restart := range []bool{false, true} {
					if restart && losses == 2 && part == "backup" {
						continue
					}
					t.Run(fmt.Sprintf("f=%d %s %s restarted %v", losses, part, direction, restart), func(t *testing.T) {
						t.Parallel()
						c := sized(t, losses)
						c.reads = true
						c.yes()
						h := c.of(part)
						c.cutLines(h, direction)
						c.settled("cut", serveAgain)
						if restart {
							c.kill(h)
							c.pass(time.Second)
							// A restart knows other seeds: one that is gone, and itself.
							c.tune = func(_ *host, env *Env) { env.Founders = []string{h.address, "x", "y"} }
							c.start(h)
						}
						c.pass(cutFor)
						c.settled("while cut", 500*time.Millisecond)
						c.late = nil
						c.pass(catchUpThree)
						c.settled("back", 500*time.Millisecond)
						c.follows(h)
						if t.Failed() {
							t.Log(c.tell(60))
						}
					})
				}
			}
		}
	}
}

// follows checks that a process stands where the primary stands, once all is quiet.
func (c *trio) follows(h *host) {
	c.t.Helper()
	c.idle = true
	c.pass(time.Second)
	c.idle = false
	p := c.primary()
	if p == nil {
		c.t.Errorf("nobody serves")
		return
	}
	if h.k == nil || h.k.View().Epoch != p.k.View().Epoch {
		c.t.Errorf("%s does not know epoch %d", h.address, p.k.View().Epoch)
		return
	}
	if got, want := h.k.Ledger().Position(), p.k.Ledger().Position(); got != want {
		c.t.Errorf("%s stands at %v, the primary at %v", h.address, got, want)
	}
}

// TestAPairCutApartServesOnce cuts the primary and one other off from the rest: of two
// groups at most one may serve, and with one loss borne the larger must.
func TestAPairCutApartServesOnce(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, with := range []string{"", "backup", "third"} {
			c := sized(t, losses)
			if losses == 1 && with != "" {
				continue
			}
			c.reads = true
			c.yes()
			group := []string{c.of("primary").address}
			if with != "" {
				group = append(group, c.of(with).address)
			}
			c.late = func(from, to, _ string) time.Duration {
				if slices.Contains(group, from) != slices.Contains(group, to) {
					return -1
				}
				return 0
			}
			c.settled(fmt.Sprintf("%v cut off", group), serveAgain)
			c.pass(cutFor)
			c.late = nil
			c.pass(catchUpFive)
			for _, h := range c.hosts {
				c.follows(h)
			}
			c.check()
		}
	}
}

// TestACutThatFlaps cuts the lines of the primary for times about as long as it takes
// to be missed, in one direction or both.
func TestACutThatFlaps(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, direction := range []string{"both", "to", "from"} {
			c := sized(t, losses)
			c.reads = true
			for i := range 10 {
				if p := c.primary(); p != nil {
					c.cutLines(p, direction)
				}
				c.pass(700*time.Millisecond + time.Duration(i)*137*time.Millisecond)
				c.late = nil
				c.pass(time.Duration(100+i*61) * time.Millisecond)
			}
			c.settled("after all cuts", serveAgain)
			if t.Failed() {
				t.Fatalf("f=%d %s\n%s", losses, direction, c.tell(60))
			}
		}
	}
}
