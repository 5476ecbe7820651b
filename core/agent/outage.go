package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// outageLogDelay is the time without a reply of a primary after which the agent logs an
	// outage, and outageLogInterval the time between two such log events.
	outageLogDelay    = 2 * time.Second
	outageLogInterval = 10 * time.Second
)

// primaryOutage tracks a period in which reports are sent and no primary answers them.
type primaryOutage struct {
	// active says that a report was sent since the last answer; the first was sent at since.
	active   bool
	since    time.Duration
	loggedAt time.Duration
	// tried are the replicas that reports were sent to during the outage, in the order of the
	// first attempts, and rejections counts the reports that were rejected.
	tried      []string
	rejections int
}

// noteSent records that a report was sent to a replica, and logs a persistent outage.
func (o *primaryOutage) noteSent(now time.Duration, target string, out *machine.Output) {
	if !o.active {
		*o = primaryOutage{active: true, since: now, loggedAt: now + outageLogDelay - outageLogInterval}
	}
	if !slices.Contains(o.tried, target) {
		o.tried = append(o.tried, target)
	}
	if now >= o.loggedAt+outageLogInterval {
		o.loggedAt = now
		out.Warn("primary_unreachable", "sinceMs", (now - o.since).Milliseconds(), "tried", o.tried,
			"rejections", o.rejections)
	}
}

// noteAnswered ends the outage: the given replica answered as the primary.
func (o *primaryOutage) noteAnswered(now time.Duration, from string, out *machine.Output) {
	if o.active && now-o.since >= outageLogDelay {
		out.Log("primary_reached", "primary", from, "afterMs", (now - o.since).Milliseconds(), "tried", o.tried)
	}
	*o = primaryOutage{}
}
