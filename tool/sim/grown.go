// The grown day: many workers, ten core processes that bear the loss of two at once,
// and steady traffic, with processors, connections and disks that have bounds.

package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// Size is how many machines a site of centers, doors and sides has.
type Size struct {
	Centers int // core processes with a disk
	Proxies int // core processes without
	Doors   int
	Workers int
	Slots   int
	Copies  int // backups in a view; 0 is the keeper's default
	// OneService says that all workers are of one service.
	OneService bool
}

// SmallSize is the site of the fixed days.
var SmallSize = Size{Centers: 3, Doors: 3, Workers: 11, Slots: 8}

// GrownSize is the grown site; any two core machines may be lost.
var GrownSize = Size{Centers: 8, Proxies: 2, Doors: 19, Workers: 74, Slots: 8, Copies: 2, OneService: true}

// stream is one kind of job that comes at a steady rate.
type stream struct {
	class     string
	perSecond float64
	tasks     int
	runMs     int64
}

// grownTraffic is the traffic of the grown day.
var grownTraffic = []stream{
	{"lookup", 50, 3, 640},
	{"batch", 4, 25, 1800},
	{"long", 1, 20, 6000},
}

// Parts of the traffic that are played. The leader was measured at 200 starts a second.
// All of the traffic, 270 a second, would take more than its share of a core.
const (
	measuredScale = 0.74
	grownScale    = 0.9
)

// grownPayload is the length of a text in each job's payload. With it a whole copy has
// the size that was measured, 6 MB for 8,000 records.
const grownPayload = 3300

// jobPayload is a job's payload with a text that only takes room.
type jobPayload struct {
	RunMs []int64 `json:"runMs"`
	Text  string  `json:"text"`
}

func payload(runMs int64, length int) json.RawMessage {
	return machine.MustJSON(jobPayload{RunMs: []int64{runMs}, Text: strings.Repeat("x", length)})
}

const (
	grownBegin    = 10 * time.Second
	grownFault    = 22 * time.Second
	grownPollEach = time.Second
	// grownAgainBy is by when after a fault the level from before must be back.
	grownAgainBy = 15 * time.Second
	// grownWindow is the span over which starts are counted, grownLevel the part of
	// the starts from before that must be reached in each from then on.
	grownWindow = 2 * time.Second
	grownLevel  = 0.8
	grownJudged = 6 * time.Second
	grownEnd    = grownFault + grownAgainBy + grownJudged
	// GrownLook is the span before the fault in which starts and the leader are looked at.
	GrownLook = 10 * time.Second
)

// GrownFaults are the faults of the grown day, all on the leader or on all core processes.
var GrownFaults = map[string]func(*Centers){
	"leader-killed": func(c *Centers) {
		n := c.leader()
		c.w.KillProcess(n)
		c.w.After(2*time.Second, func() { c.w.Boot(n) })
	},
	"leader-wiped": func(c *Centers) {
		n := c.leader()
		c.w.Wipe(n)
		c.w.After(2*time.Second, func() { c.w.Boot(n) })
	},
	"leader-frozen": func(c *Centers) {
		n := c.leader()
		c.w.Freeze(n)
		c.w.After(4*time.Second, func() { c.w.Wake(n) })
	},
	"all-killed": func(c *Centers) {
		for _, n := range slices.Concat(c.centers, c.proxies) {
			c.w.KillProcess(n)
			c.bootAfter(n, 300, 2500)
		}
	},
}

// Grown is what a grown day came to.
type Grown struct {
	Fault string
	// Before is how many runs a second began in the ten seconds before the fault.
	Before float64
	// Seconds are the runs that began in each second, from the first on.
	Seconds []int
	// Away is how long after the fault the last window below the level ended.
	Away time.Duration
	// LeaderShare is the processor time that the leader used in those ten seconds.
	LeaderShare Usage
	Records     int
	Views       uint64
	Logs        map[string]int
	Unsafe      []Violation
}

// Jobs of earlier in the day, which are over and still kept. They are handed in for a
// time to come and cancelled at once, which costs little.
const (
	earlierBegin   = 5 * time.Second
	earlierEach    = 20 * time.Millisecond
	earlierJobs    = 200
	earlierTasks   = 30
	earlierPayload = 15_000
)

// earlier fills the ledger with jobs that are over.
func (c *Centers) earlier() {
	for i := range earlierJobs {
		c.w.At(earlierBegin+time.Duration(i)*earlierEach, func() {
			due := state.Repeat{Count: 1, FirstAt: c.w.wall().Add(time.Hour).Truncate(time.Second), Every: millis(1000)}
			one := c.job("batch", fmt.Sprintf("earlier-%d", i), []state.StepSpec{{Count: earlierTasks}}, []int64{100}, due)
			one.asks.Payload = payload(100, earlierPayload)
			c.submit(one)
			c.w.After(200*time.Millisecond, func() { c.cancel(one) })
		})
	}
}

// InTime says whether the level from before came back in time, and stayed.
func (g Grown) InTime() bool { return g.Away <= grownAgainBy }

// PlayGrown plays a grown day with a part of its traffic and a fault, or none. It is not settled afterwards, so
// that only what must never happen is judged by the oracle. Without Env.Hardware the
// machines are those of GrownHardware.
func PlayGrown(e Env, scale float64, fault string) Grown {
	e.Size, e.For = GrownSize, grownEnd
	if e.Hardware == nil {
		e.Hardware = GrownHardware()
	}
	c := newCenters(e)
	c.pollEach = grownPollEach
	c.w.At(4*time.Second, c.change)
	c.earlier()
	c.steady(grownTraffic, scale, grownBegin, grownEnd)
	c.watch()
	g := Grown{Fault: fault}
	c.w.At(grownFault-GrownLook, func() { g.LeaderShare = c.leader().usage() })
	c.w.At(grownFault, func() {
		n := c.leader()
		g.LeaderShare, g.Records = n.usage().since(g.LeaderShare), n.stored()
		if do := GrownFaults[fault]; do != nil {
			c.hurt(grownAgainBy)
			do(c)
		}
	})
	c.w.Run(grownEnd)
	c.end = grownEnd
	r := c.finish()
	g.Views, g.Logs = r.Views, r.Logs
	for _, b := range r.Broken {
		if slices.Contains(neverChecks, b.Check) {
			g.Unsafe = append(g.Unsafe, b)
		}
	}
	g.count(c)
	return g
}

// neverChecks are those that judge what has happened, not what is still to come.
var neverChecks = []string{
	"job-forgotten", "twice-at-once", "again-after-good", "before-dependency", "wrong-worker", "over-room",
	"defects-spent", "finished-with-open-task", "plan-went-back", "refused-and-run",
}

// count fills in the levels before and after the fault.
func (g *Grown) count(c *Centers) {
	for at := time.Duration(0); at < grownEnd; at += time.Second {
		g.Seconds = append(g.Seconds, c.startsIn(at, at+time.Second))
	}
	g.Before = float64(c.startsIn(grownFault-GrownLook, grownFault)) / GrownLook.Seconds()
	for at := grownFault; at+grownWindow <= grownEnd; at += time.Second / 2 {
		if float64(c.startsIn(at, at+grownWindow)) < grownLevel*g.Before*grownWindow.Seconds() {
			g.Away = at + grownWindow - grownFault
		}
	}
}

// steady hands a part of the streams in from begin to end, evenly and with a little chance.
func (c *Centers) steady(streams []stream, scale float64, begin, end time.Duration) {
	for _, s := range streams {
		gap := time.Duration(float64(time.Second) / (s.perSecond * scale))
		for i, at := 0, begin; at < end; i, at = i+1, at+gap {
			number := i
			c.w.At(at+time.Duration(c.w.chance.Int64N(int64(gap))), func() {
				steps := []state.StepSpec{{Count: s.tasks}}
				one := c.job(s.class, fmt.Sprintf("%s-%d", s.class, number), steps, []int64{s.runMs}, state.Repeat{})
				one.asks.Payload = payload(s.runMs, grownPayload)
				c.submit(one)
			})
		}
	}
}

// startsIn counts the runs that began in a span.
func (c *Centers) startsIn(from, to time.Duration) (count int) {
	for _, r := range c.runs {
		if r.from >= from && r.from < to {
			count++
		}
	}
	return count
}
