// The grown day: many workers, ten core processes that bear the loss of two at once,
// and steady traffic, with processors, connections and disks that have bounds.
package sim

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
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

// grownScale is the part of the traffic that is played: 200 starts a second, the load
// at which the leader was measured. All of it would take the whole share of a core.
const grownScale = 0.74

// grownPayload is the length of a text in each job's payload. With it a whole copy has
// the size that was measured, 6 MB for 8,000 records.
const grownPayload = 3300

var payloadText = strings.Repeat("x", grownPayload)

const (
	grownBegin    = 6 * time.Second
	grownPollEach = time.Second
)

// steady hands the streams in from begin to end, evenly and with a little chance.
func (c *Centers) steady(streams []stream, begin, end time.Duration) {
	for _, s := range streams {
		gap := time.Duration(float64(time.Second) / (s.perSecond * grownScale))
		for i, at := 0, begin; at < end; i, at = i+1, at+gap {
			number := i
			c.w.At(at+time.Duration(c.w.chance.Int64N(int64(gap))), func() {
				steps := []ledger.StepSpec{{Count: s.tasks}}
				one := c.job(s.class, fmt.Sprintf("%s-%d", s.class, number), steps, []int64{s.runMs}, ledger.Repeat{})
				one.asks.Payload = machine.MustJSON(map[string]any{"runMs": []int64{s.runMs}, "text": payloadText})
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
