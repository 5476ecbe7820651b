// Package follow is a daemon's side of the keepers: a copy of the ledger that
// the primary's news keeps up to date, and commands that are sent again until
// they are answered or their cutoff passes. Every command is safe to repeat.
// The copy holds only what both disks have; it is for reading and choosing, and
// decides nothing.
package follow

import (
	"encoding/json"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	askEach     = 500 * time.Millisecond
	resendAfter = 800 * time.Millisecond
	bounceWait  = 60 * time.Millisecond
	freshFor    = 2 * time.Second
)

type request struct {
	body   wire.CommandBody
	sentAt time.Duration
	again  time.Duration
	cutoff time.Duration
}

// Result is a command's end.
type Result struct {
	ID     uint64
	At     uint64
	Answer ledger.Answer
}

type Copy struct {
	Ledger   *ledger.Ledger
	Keepers  []string
	primary  string
	turn     int
	next     uint64
	requests map[uint64]request
	askedAt  time.Duration
	heardAt  time.Duration
	loaded   bool
	Sequence uint64
}

// New takes the first command number, which should differ between two runs of
// one process.
func New(first uint64) *Copy {
	return &Copy{Ledger: ledger.New(), next: first, requests: map[uint64]request{}}
}

// Fresh says whether the copy was confirmed a moment ago by a proven primary.
func (c *Copy) Fresh(now time.Duration) bool { return c.loaded && now-c.heardAt < freshFor }

func (c *Copy) Loaded() bool { return c.loaded }

// Submit sends a command and gives the number its result will carry.
func (c *Copy) Submit(now time.Duration, cmd ledger.Command, wait time.Duration, out *machine.Output) uint64 {
	c.next++
	r := request{body: wire.CommandBody{ID: c.next, Command: cmd}, cutoff: now + wait}
	c.requests[c.next] = c.transmit(now, r, out)
	return c.next
}

func (c *Copy) transmit(now time.Duration, r request, out *machine.Output) request {
	if c.primary == "" {
		c.rotate()
	}
	if c.primary != "" {
		out.Send(c.primary, wire.Command, r.body)
	}
	r.sentAt, r.again = now, now+resendAfter
	return r
}

func (c *Copy) rotate() {
	if len(c.Keepers) > 0 {
		c.turn++
		c.primary = c.Keepers[c.turn%len(c.Keepers)]
	}
}

// Line takes a line meant for the copy.
func (c *Copy) Line(now time.Duration, line machine.Line, out *machine.Output) (results []Result, handled bool) {
	var err error
	switch line.Kind {
	case wire.Nodes:
		var b wire.Gossip
		if err = json.Unmarshal(line.Body, &b); err == nil {
			c.Keepers = nil
			for _, n := range b.Nodes {
				if n.Role == "keeper" {
					c.Keepers = append(c.Keepers, n.Address)
				}
			}
		}
	case wire.CommandBack:
		var b wire.CommandBackBody
		if err = json.Unmarshal(line.Body, &b); err == nil {
			results = c.answered(now, line.From, b)
		}
	case wire.News:
		var b wire.NewsBody
		if err = json.Unmarshal(line.Body, &b); err == nil {
			c.news(now, line.From, b, out)
		}
	default:
		return nil, false
	}
	if err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
	}
	return results, true
}

func (c *Copy) hint(from, primary string) {
	switch {
	case primary != "" && from == c.primary:
		c.primary = primary
	case from == c.primary:
		c.rotate()
	}
}

func (c *Copy) answered(now time.Duration, from string, b wire.CommandBackBody) []Result {
	r, ok := c.requests[b.ID]
	if !ok {
		return nil
	}
	if b.Answer.Code == code.NotPrimary {
		c.hint(from, b.Primary)
		r.again = now + bounceWait
		c.requests[b.ID] = r
		return nil
	}
	delete(c.requests, b.ID)
	return []Result{{b.ID, b.At, b.Answer}}
}

func (c *Copy) news(now time.Duration, from string, b wire.NewsBody, out *machine.Output) {
	if b.Bounced {
		c.hint(from, b.Primary)
		c.askedAt = min(c.askedAt, now-askEach+bounceWait)
		return
	}
	at := c.Ledger.Position()
	if b.Epoch < at.Epoch || b.At.Sequence < at.Sequence {
		return
	}
	if len(b.Records) > 0 {
		l, err := ledger.Load(b.Records)
		if err != nil {
			out.Log("news_damaged", "from", from, "why", err.Error())
			return
		}
		c.Ledger, c.primary, c.heardAt, c.loaded = l, from, now, true
		return
	}
	for _, cmd := range b.Commands {
		switch {
		case cmd.Sequence <= c.Ledger.Position().Sequence:
		case cmd.Sequence == c.Ledger.Position().Sequence+1:
			c.Ledger.Apply(cmd)
		default:
			c.ask(now, out)
			return
		}
	}
	if b.At == c.Ledger.Position() {
		c.primary, c.heardAt, c.loaded = from, now, true
	} else if b.At.Sequence > c.Ledger.Position().Sequence {
		c.ask(now, out)
	}
	c.Ledger.TakeDirty()
}

func (c *Copy) ask(now time.Duration, out *machine.Output) {
	c.askedAt = now
	if c.primary == "" {
		c.rotate()
	}
	if c.primary != "" {
		out.Send(c.primary, wire.Follow, wire.FollowBody{At: c.Ledger.Position()})
	}
}

// Wake sends again what was not answered and renews the subscription.
func (c *Copy) Wake(now time.Duration, out *machine.Output) []Result {
	var results []Result
	if now-c.askedAt >= askEach {
		if now-c.heardAt > freshFor {
			c.rotate()
		}
		c.ask(now, out)
	}
	ids := make([]uint64, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests[id]
		switch {
		case now >= r.cutoff:
			delete(c.requests, id)
			results = append(results, Result{ID: id, Answer: ledger.Answer{
				Code: code.NoAuthority, Why: "no keeper answered in time; the request may still take effect", RetryAfter: time.Second,
			}})
		case now >= r.again:
			if now-r.sentAt >= resendAfter {
				c.rotate()
			}
			c.requests[id] = c.transmit(now, r, out)
		}
	}
	return results
}
