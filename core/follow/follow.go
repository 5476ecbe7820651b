// Package follow is a daemon's side of the keepers: a copy of the ledger that
// the primary's news keeps up to date, and commands that are sent again until
// they are answered or their cutoff passes. Every command is safe to repeat.
// The copy holds only what both disks have; it is for reading and choosing, and
// decides nothing.
package follow

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	subscribed  = 3 * time.Second
	directFor   = 5 * time.Second
	askEach     = 500 * time.Millisecond
	resendAfter = 800 * time.Millisecond
	bounceWait  = 60 * time.Millisecond
	freshFor    = 2 * time.Second
	lostAfter   = 4 * time.Second
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

type subscriber struct {
	at    ledger.Position
	until time.Duration
}

type Copy struct {
	Ledger   *ledger.Ledger
	Keepers  []string
	self     string
	site     string
	home     string
	direct   time.Duration
	tail     ledger.Tail
	subs     map[string]subscriber
	primary  string
	turn     int
	next     uint64
	requests map[uint64]request
	askedAt  time.Duration
	heardAt  time.Duration
	loaded   bool
	leaving  bool
	heard    bool // whether the keeper asked last has said anything, if only who leads
}

// New takes the daemon's address and site, and the first command number, which
// should differ between two runs of one process.
func New(self, site string, first uint64) *Copy {
	return &Copy{Ledger: ledger.New(), self: self, site: site, next: first, requests: map[uint64]request{}, subs: map[string]subscriber{}}
}

// Fresh says whether the copy was confirmed a moment ago by a proven primary.
func (c *Copy) Fresh(now time.Duration) bool { return c.loaded && now-c.heardAt < freshFor }

// Lost says whether no proven primary has been heard of for so long that asking
// for a write now would only make the caller wait.
func (c *Copy) Lost(now time.Duration) bool { return now-c.heardAt > lostAfter }

func (c *Copy) Loaded() bool { return c.loaded }

// View is the copy's ledger; Own says that it is not the primary's own.
func (c *Copy) View() *ledger.Ledger { return c.Ledger }
func (c *Copy) Own() bool            { return false }

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
	if c.primary == "" {
		r.again = now + bounceWait
	}
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
		if err = machine.Unmarshal(line.Body, &b); err == nil {
			c.know(b.Nodes)
		}
	case wire.CommandBack:
		var b wire.CommandBackBody
		if err = machine.Unmarshal(line.Body, &b); err == nil {
			results = c.answered(now, line.From, b)
		}
	case wire.News:
		var b wire.NewsBody
		if err = machine.Unmarshal(line.Body, &b); err == nil {
			c.news(now, line.From, b, out)
		}
	case wire.Follow:
		var b wire.FollowBody
		switch err = machine.Unmarshal(line.Body, &b); {
		case err != nil:
		case c.leaving:
			c.sendOff(line.From, b.At, out)
		default:
			c.subs[line.From] = subscriber{b.At, now + subscribed}
			c.pass(now, line.From, out)
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
	c.heard = c.heard || from == c.primary
	if b.Bounced {
		switch {
		case b.Relayed:
			c.direct = now + directFor
		case b.Primary != "" && b.Epoch > c.Ledger.Position().Epoch:
			c.lead(now, b.Primary)
		default:
			c.hint(from, b.Primary)
		}
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
		c.Ledger, c.tail = l, ledger.TailFrom(l.Position())
	}
	for _, encoded := range b.Commands {
		cmd, err := ledger.Decode(encoded)
		if err != nil {
			out.Log("news_damaged", "from", from, "why", err.Error())
			return
		}
		switch {
		case cmd.Sequence <= c.Ledger.Position().Sequence:
		case cmd.Sequence == c.Ledger.Position().Sequence+1:
			c.Ledger.Apply(cmd.Command)
			c.tail.Add(cmd)
		default:
			c.ask(now, out)
			return
		}
	}
	c.Ledger.ForgetEntries()
	if b.At == c.Ledger.Position() {
		c.heardAt, c.loaded = max(c.heardAt, now-b.Age), true
		if !b.Relayed {
			b.Primary = from
		}
		c.lead(now, b.Primary)
	} else if b.At.Sequence > c.Ledger.Position().Sequence {
		c.ask(now, out)
	}
	if len(b.Commands) > 0 || len(b.Records) > 0 {
		for _, to := range slices.Sorted(maps.Keys(c.subs)) {
			c.pass(now, to, out)
		}
	}
}

// lead takes word of the primary that serves; what waits for an answer from
// another is sent again at once.
func (c *Copy) lead(now time.Duration, primary string) {
	if primary == "" || primary == c.primary {
		return
	}
	c.primary = primary
	for id, r := range c.requests {
		r.again = now
		c.requests[id] = r
	}
}

// know takes the nodes: the keepers, and the home of the site's news, which is
// the daemon of the site that ranks highest by a hash of its address.
func (c *Copy) know(nodes []wire.Node) {
	c.Keepers, c.home = nil, ""
	var best uint64
	for _, n := range nodes {
		if n.Role == "keeper" {
			c.Keepers = append(c.Keepers, n.Address)
		} else if n.Site == c.site {
			h := fnv.New64a()
			h.Write([]byte("ledger\x00" + n.Address))
			if rank := h.Sum64(); c.home == "" || rank > best {
				c.home, best = n.Address, rank
			}
		}
	}
}

// pass hands news on to one subscriber, from where it stands.
func (c *Copy) pass(now time.Duration, to string, out *machine.Output) {
	s := c.subs[to]
	if now > s.until {
		delete(c.subs, to)
		return
	}
	if !c.Fresh(now) {
		c.sendOff(to, s.at, out)
		return
	}
	body := wire.NewsBody{Relayed: true, Age: now - c.heardAt, Primary: c.primary, Epoch: c.Ledger.Position().Epoch, After: s.at, At: c.Ledger.Position()}
	if commands, ok := c.tail.Since(s.at); ok {
		body.Commands = commands
	} else {
		body.Records = c.Ledger.Records()
	}
	c.subs[to] = subscriber{body.At, s.until}
	out.Send(to, wire.News, body)
}

// sendOff tells a subscriber to ask the primary itself for a while.
func (c *Copy) sendOff(to string, at ledger.Position, out *machine.Output) {
	out.Send(to, wire.News, wire.NewsBody{Relayed: true, Bounced: true, At: at, After: at})
}

// Leave ends the passing on of news before the process goes, so that subscribers
// ask the primary at once, not only when they have noticed the silence.
func (c *Copy) Leave(out *machine.Output) {
	c.leaving = true
	for _, to := range slices.Sorted(maps.Keys(c.subs)) {
		c.sendOff(to, c.subs[to].at, out)
	}
	clear(c.subs)
}

// ask renews the subscription: at the site's home, or at the primary itself if
// this is the home or the home has had no news lately.
func (c *Copy) ask(now time.Duration, out *machine.Output) {
	c.askedAt, c.heard = now, false
	if c.home != "" && c.home != c.self && now >= c.direct {
		if now-c.heardAt <= 2*askEach+bounceWait || !c.loaded {
			out.Send(c.home, wire.Follow, wire.FollowBody{At: c.Ledger.Position()})
			if c.loaded {
				return
			}
		} else {
			c.direct = now + directFor
		}
	}
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
		if !c.heard && (!c.loaded || now-c.heardAt > freshFor && (c.home == "" || c.home == c.self || now < c.direct)) {
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
			if now-r.sentAt >= resendAfter && now-c.heardAt > resendAfter {
				c.rotate()
			}
			c.requests[id] = c.transmit(now, r, out)
		}
	}
	return results
}
