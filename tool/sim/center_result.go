// What a day of the composition of centers came to.

package sim

import (
	"sort"
	"time"

	"sorrelloom/core/control"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// CenterChecks names every check of this composition.
var CenterChecks = []string{
	"job-forgotten", "twice-at-once", "again-after-good", "before-dependency", "before-due",
	"wrong-worker", "over-room", "crowded-worker", "defects-spent",
	"gang-alone", "start-while-draining", "start-in-emptied-site", "start-after-cancel",
	"finished-with-open-task", "plan-went-back",
	"quick-behind-batch", "long-unfinished", "not-served-again", "bounce-without-time",
	"refused-and-run", "saved-of-another",
}

// explain says why what is still open waits, for who reads the events of a day.
func (c *Centers) explain() {
	n := c.primary()
	if n == nil || c.w.Verbose == nil {
		return
	}
	l := n.main.(*control.Control).Replica().Store()
	for _, one := range c.callers {
		if one.acceptedAt > 0 && one.overAt == 0 {
			job, _ := l.Job(one.spec.ID)
			c.w.say("open %s: %+v; %s", one.spec.ID, l.Explain(one.spec.ID), machine.MustJSON(job.Tasks))
		}
	}
	for _, w := range l.Workers() {
		c.w.say("worker %s live %v room %+v of %s", w.ID(), l.Live(w), l.FreeResources(w.ID()), machine.MustJSON(w))
	}
}

func (c *Centers) finish() Result {
	res := Result{
		Seed: c.env.Seed, Trace: c.w.Trace, Lines: c.w.Lines, Jobs: len(c.callers), LastFault: c.lastAt, Logs: c.w.Logs,
	}
	for _, p := range c.places {
		if b := p.now; b != nil && b.up {
			for _, a := range b.attempts() {
				b.hand.past = append(b.hand.past, b.run[a].run)
			}
		}
	}
	names := make([]string, 0, len(c.hands))
	for name := range c.hands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.runs = append(c.runs, c.hands[name].past...)
	}
	res.Runs = len(c.runs)
	c.judge()
	c.drained()
	c.crowded()
	first := map[string]time.Duration{}
	for _, r := range c.runs {
		if _, ok := first[r.Job]; !ok {
			first[r.Job] = r.from
		}
	}
	for _, one := range c.callers {
		if one.acceptedAt > 0 {
			res.Accepted++
		}
		if one.state == state.Done {
			res.Done++
		}
		if one.gaveUpAt > 0 {
			c.count("refused-and-run")
			if at, ran := first[one.spec.ID]; ran {
				c.fault("refused-and-run", "%s was refused with %s at %s and runs at %s",
					one.spec.ID, one.bounced, secs(one.gaveUpAt), secs(at))
			}
		}
		if at, ok := first[one.spec.ID]; ok && one.spec.Class == "lookup" {
			res.QuickMs = append(res.QuickMs, float64(at-one.sentAt)/float64(time.Millisecond))
		}
	}
	for _, n := range c.centers {
		if m, ok := n.main.(*control.Control); ok {
			res.Views = max(res.Views, m.Replica().View().Epoch)
		}
	}
	res.Broken, res.Judged, res.Excused, res.Played = c.broken, c.judged, c.excused, c.played
	if res.Accepted == 0 || res.Runs == 0 {
		res.Broken = append(res.Broken, Violation{"not-served-again", "nothing was accepted or run in the whole scenario"})
	}
	return res
}
