// Callers of the composition of centers: they hand jobs in through the doors and ask
// after them until they are over.

package sim

import (
	"slices"
	"time"

	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// door picks a door; a caller whose door is down goes on to the next.
func (c *Centers) door(turn int) *node { return c.doors[turn%len(c.doors)] }

// carry hands a command to a door's relay.
func (c *Centers) carry(who string, turn int, cmd state.Command, back func(state.Result, bool)) {
	d := c.door(turn)
	c.w.Ask(who, d.site, d.address, machine.Request{
		Kind: leaderclient.RequestCommand, Decoded: cmd, Wait: commandWait,
	}, commandWait+time.Second, func(v any) {
		c.w.trace(who, d.address, cmd.Kind, v.(state.Result).Code.String())
	}, func(v any, ok bool) {
		a, is := v.(state.Result)
		back(a, ok && is)
	})
}

// refused says whether an answer promises that nothing came of the command.
func refused(a state.Result) bool {
	return a.Code != status.NoResponse && (a.Code.HTTPStatus() == 503 || a.Code.HTTPStatus() == 429)
}

// submit hands a job in until there is a clear answer. Some callers give up on
// the first clear refusal; what they gave up must never run.
func (c *Centers) submit(one *caller) {
	if one.sentAt == 0 {
		one.sentAt = c.w.Now
	}
	one.sends++
	again := func(after time.Duration) {
		one.turn++
		if c.w.Now < c.end {
			c.w.After(after, func() { c.submit(one) })
		}
	}
	c.carry("caller", one.turn, state.Command{
		Kind: state.KindAcceptJob, Host: centerHost, Path: one.asks.Path, Summary: true, Job: one.asks,
	}, func(a state.Result, ok bool) {
		switch {
		case !ok:
			one.unclear = true
			again(100 * time.Millisecond)
		case a.Code.IsSuccess():
			if one.acceptedAt > 0 {
				return
			}
			one.acceptedAt = c.w.Now
			if do := c.onYes; do != nil {
				c.onYes = nil
				do()
			}
			c.w.After(300*time.Millisecond, func() { c.poll(one) })
		case refused(a):
			c.count("bounce-without-time")
			if a.RetryAfter <= 0 {
				c.fault("bounce-without-time", "%s for %s says not when to come back", a.Code, one.spec.ID)
			}
			if !one.unclear && !one.probe && c.w.chance.IntN(3) == 0 {
				one.bounced, one.gaveUpAt = a.Code, c.w.Now
				return
			}
			again(max(a.RetryAfter, 50*time.Millisecond))
		case a.Code == status.NoResponse:
			one.unclear = true
			again(max(a.RetryAfter, 50*time.Millisecond))
		default:
			one.bounced = a.Code
			c.fault("long-unfinished", "%s is refused: %s %s", one.spec.ID, a.Code, a.Reason)
		}
	})
}

func (c *Centers) poll(one *caller) {
	if c.w.Now >= c.end || one.overAt > 0 {
		return
	}
	one.turn++
	c.carry("caller", one.turn, state.Command{
		Kind: state.KindReadJob, Name: one.spec.ID, Host: centerHost, Path: one.asks.Path,
	}, func(a state.Result, ok bool) {
		if ok && (a.Code.IsSuccess() || a.Code == status.UnknownJob) {
			one.asked++
		}
		if ok && a.Code == status.UnknownJob && one.forgotten == 0 {
			one.forgotten = c.w.Now
		}
		if ok && a.Code.IsSuccess() {
			one.state = a.Job.State
			if one.state == state.Done || one.state == state.Failed || one.state == state.Cancelled {
				one.overAt = c.w.Now
				for i, t := range a.Job.Tasks {
					if !t.Terminal() {
						one.early = a.Job.Spec.Tasks[i].ID
					}
				}
			}
		}
		c.w.After(c.pollEach, func() { c.poll(one) })
	})
}

// hears says whether the daemons could act on a request at a door now.
func (c *Centers) hears(d *node) bool {
	return !d.troubled(c.w.Now, c.w.Now) && c.w.canCommit(c.centers)
}

func (c *Centers) open() bool {
	return slices.ContainsFunc(c.callers, func(one *caller) bool { return one.overAt == 0 && one.bounced == 0 })
}
