// Workers, callers and operators of the simulation: those outside, whose own
// notes are all that the oracle judges by.

package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/tool/fakeworker"
)

// hand is one worker machine and the life of its process.
type hand struct {
	env      fakeworker.Env
	w        *fakeworker.Worker
	up       bool
	life     int
	cut      bool
	fronts   []string
	turn     int
	order    int
	boot     time.Duration
	leftAt   time.Duration
	lefts    [][2]time.Duration
	past     []run
	runsSeen int
	acked    map[state.Attempt]time.Duration
	kept     []state.AttemptResult
	gone     []time.Duration
	unheard  [][2]time.Duration
	spoiled  [][2]time.Duration
}

// run is one run as the worker saw it, in world time; to is 0 while it lasts.
type run struct {
	fakeworker.Run
	from, to time.Duration
	// alone says that it ended before all of its gang had come.
	alone bool
}

func (h *hand) name() string { return h.env.ID }

// bootHand starts a worker's process, with a larger incarnation each time.
func (s *Scenario) bootHand(h *hand) {
	h.life++
	h.env.Incarnation = int64(h.life)
	h.w, h.up, h.boot, h.leftAt, h.runsSeen = fakeworker.New(h.env), true, s.w.Now, 0, 0
	h.w.Carry(h.kept)
	h.heard(s.w.Now)
	s.tickHand(h)
}

// collect takes over the runs that the worker has written down meanwhile.
func (s *Scenario) collect(h *hand) {
	for _, r := range h.w.Runs[h.runsSeen:] {
		h.past = append(h.past, run{Run: r, from: r.From + h.boot, to: r.To + h.boot})
	}
	h.runsSeen = len(h.w.Runs)
}

func (s *Scenario) crashHand(h *hand) {
	if !h.up {
		return
	}
	s.w.say("crash %s", h.name())
	s.collect(h)
	for _, r := range h.w.Open() {
		h.past = append(h.past, run{Run: r, from: r.From + h.boot, to: s.w.Now})
	}
	if n := len(h.lefts); n > 0 {
		h.lefts[n-1][1] = min(h.lefts[n-1][1], s.w.Now)
	}
	h.up, h.kept = false, h.w.Unacked()
	h.life++
	h.silent(s.w.Now)
}

// set tells the worker what to do wrong, and notes from when to when.
func (h *hand) set(now time.Duration, f fakeworker.Faults) {
	h.w.Set(f)
	if f != (fakeworker.Faults{}) {
		h.spoiled = append(h.spoiled, [2]time.Duration{now, 0})
	} else if k := len(h.spoiled); k > 0 {
		h.spoiled[k-1][1] = now
	}
}

func (h *hand) silent(now time.Duration) {
	if k := len(h.unheard); k == 0 || h.unheard[k-1][1] > 0 {
		h.unheard = append(h.unheard, [2]time.Duration{now, 0})
	}
}

// heard ends a silence, unless the worker is still down or cut.
func (h *hand) heard(now time.Duration) {
	if k := len(h.unheard); k > 0 && h.unheard[k-1][1] == 0 && h.up && !h.cut {
		h.unheard[k-1][1] = now
	}
}

// gone is the platform's operator, who knows that a machine will not come back
// and says so until it is taken.
func (s *Scenario) gone(h *hand) {
	s.operate(machine.Request{Kind: gateway.RequestConfirmDead, Name: h.name()}, func(_ time.Duration, r gateway.Reply) {
		if r.StatusCode == 200 {
			h.gone = append(h.gone, s.w.Now)
		} else if !h.up && s.w.Now < s.end {
			s.w.After(time.Second, func() { s.gone(h) })
		}
	})
}

func (s *Scenario) tickHand(h *hand) {
	if !h.up {
		return
	}
	now := s.w.Now - h.boot
	beat, due := h.w.Tick(now)
	s.collect(h)
	if due {
		s.sendBeat(h, beat)
	}
	h.order++
	life, order := h.life, h.order
	s.w.At(max(s.w.Now+time.Millisecond, h.w.NextTimer()+h.boot), func() {
		if h.life == life && h.order == order {
			s.tickHand(h)
		}
	})
}

func (s *Scenario) sendBeat(h *hand, beat state.Heartbeat) {
	life := h.life
	body := machine.MustJSON(beat)
	address := h.fronts[h.turn%len(h.fronts)]
	s.w.Call(h.name(), h.env.Site, address, machine.Request{Kind: gateway.RequestHeartbeat, Body: body, Wait: fakeworker.HoldFor}, fakeworker.DropLate+time.Second, func(r gateway.Reply, ok bool) {
		if h.life != life || h.cut {
			ok = false
		}
		if !ok || r.StatusCode == 503 {
			h.turn++
		}
		if h.life != life {
			return
		}
		view, is := r.Body.(gateway.HeartbeatView)
		good := ok && is && r.StatusCode == 200
		if good {
			for _, a := range view.Reply.Acks {
				if _, known := h.acked[a]; !known {
					h.acked[a] = s.w.Now
				}
			}
		}
		h.w.Reply(s.w.Now-h.boot, beat.Number, good, view.Reply)
		s.tickHand(h)
	})
}

// setCut takes a worker off the network, or back on; it runs on meanwhile.
func (s *Scenario) setCut(h *hand, cut bool) {
	h.cut = cut
	if cut {
		h.silent(s.w.Now)
	} else {
		h.heard(s.w.Now)
	}
	for address := range s.w.nodes {
		if cut {
			s.w.Cut(h.name(), address)
			s.w.Cut(address, h.name())
		} else {
			s.w.Mend(h.name(), address)
			s.w.Mend(address, h.name())
		}
	}
}

// caller is one job as its caller saw it.
type caller struct {
	spec       state.JobSpec
	sentAt     time.Duration
	acceptedAt time.Duration
	cancelAt   time.Duration
	overAt     time.Duration
	state      string
	bounced    status.Code
	forgotten  time.Duration
	early      string
	turn       int
	sends      int
	asked      int
	probe      bool
	impossible bool
	dependable bool
	// asks is a job in steps as it was handed in, spec then its steps written out.
	asks     state.JobSpec
	unclear  bool
	gaveUpAt time.Duration
}

func (s *Scenario) submit(c *caller) {
	if c.sentAt == 0 {
		c.sentAt = s.w.Now
	}
	site := s.sites[c.turn%len(s.sites)]
	c.sends++
	body := machine.MustJSON(c.spec)
	again := func(after time.Duration) {
		c.turn++
		if s.w.Now < s.end {
			s.w.After(after, func() { s.submit(c) })
		}
	}
	s.w.Call("caller", site, s.frontFor(c.turn), machine.Request{Kind: gateway.RequestSubmit, Body: body}, 3*time.Second, func(r gateway.Reply, ok bool) {
		switch {
		case !ok:
			again(100 * time.Millisecond)
		case r.StatusCode == 200:
			c.acceptedAt = s.w.Now
			s.yes()
			s.w.After(300*time.Millisecond, func() { s.poll(c) })
		case r.StatusCode == 503 || r.StatusCode == 429:
			s.count("bounce-without-time")
			if r.RetryAfter <= 0 {
				s.fault("bounce-without-time", "status %d for %s says not when to come back", r.StatusCode, c.spec.ID)
			}
			again(max(r.RetryAfter, 50*time.Millisecond))
		default:
			if out, is := r.Body.(gateway.Outcome); is {
				c.bounced = out.Code
			}
		}
	})
}

func (s *Scenario) frontFor(turn int) string { return s.fronts[turn%len(s.fronts)] }

// poll asks about a job again and again until it is over.
func (s *Scenario) poll(c *caller) {
	if s.w.Now >= s.end || c.overAt > 0 {
		return
	}
	c.turn++
	s.w.Call("caller", s.sites[c.turn%len(s.sites)], s.frontFor(c.turn), machine.Request{Kind: gateway.RequestStatus, Name: c.spec.ID, Wait: time.Second}, 3*time.Second, func(r gateway.Reply, ok bool) {
		again := 200 * time.Millisecond
		if ok {
			c.asked++
		}
		if ok && r.StatusCode == 404 && c.forgotten == 0 {
			c.forgotten = s.w.Now
		}
		if view, is := r.Body.(gateway.JobView); ok && is {
			c.state = view.State
			if view.State == state.Done || view.State == state.Failed || view.State == state.Cancelled {
				c.overAt = s.w.Now
				for _, t := range view.Tasks {
					if t.State != state.Done && t.State != state.Failed && t.State != state.Cancelled {
						c.early = t.ID
					}
				}
			}
		} else if ok && r.RetryAfter > 0 {
			again = r.RetryAfter
		}
		s.w.After(again, func() { s.poll(c) })
	})
}

// hears says whether the daemons could act on a request at a front now: the front
// is up, neither frozen nor cut, and a leader could commit.
func (s *Scenario) hears(address string) bool {
	front := s.w.nodes[address]
	return front != nil && !front.troubled(s.w.Now, s.w.Now) && s.w.canCommit(s.keepers)
}

// operate sends an operator's request until it has an answer; took hears when
// the request first stood at daemons that could hear it. Bounds count from then.
func (s *Scenario) operate(ask machine.Request, took func(heardAt time.Duration, r gateway.Reply)) {
	turn := s.w.chance.IntN(len(s.fronts))
	if ask.IdempotencyKey == "" {
		s.asks++
		ask.IdempotencyKey = fmt.Sprintf("ask-%d", s.asks)
	}
	heard := s.listen(s.w, func() bool { return s.hears(s.frontFor(turn)) })
	var try func()
	try = func() {
		turn++
		s.w.Call("operator", s.sites[turn%len(s.sites)], s.frontFor(turn), ask, 5*time.Second, func(r gateway.Reply, ok bool) {
			if !ok || r.StatusCode == 503 {
				if s.w.Now < s.end {
					s.w.After(200*time.Millisecond, try)
				}
				return
			}
			took(heard.answer(s.w.Now), r)
		})
	}
	try()
}

func (s *Scenario) cancel(c *caller) {
	s.operate(machine.Request{Kind: gateway.RequestCancel, Name: c.spec.ID}, func(heardAt time.Duration, r gateway.Reply) {
		if r.StatusCode == 200 {
			c.cancelAt = heardAt
		}
	})
}

// empty asks for a site to be emptied, and to be refilled later.
func (s *Scenario) empty(site string, keep time.Duration) {
	s.operate(machine.Request{Kind: gateway.RequestDrainZone, Name: site, Enable: true}, func(heardAt time.Duration, r gateway.Reply) {
		if r.StatusCode != 200 {
			return
		}
		e := &emptied{site: site, from: heardAt}
		s.empties = append(s.empties, e)
		s.w.After(keep, func() {
			e.to = s.w.Now
			s.operate(machine.Request{Kind: gateway.RequestDrainZone, Name: site}, func(time.Duration, gateway.Reply) {})
		})
	})
}

// change makes one plan change on the sequence that the operator last saw.
func (s *Scenario) change(operator int, body string) {
	s.operate(machine.Request{Kind: gateway.RequestConfigGet}, func(_ time.Duration, r gateway.Reply) {
		var now struct {
			Sequence uint64 `json:"sequence"`
		}
		if r.StatusCode != 200 || json.Unmarshal(machine.MustJSON(r.Body), &now) != nil {
			return
		}
		s.operate(machine.Request{Kind: gateway.RequestConfigPatch, Body: []byte(body), BaseVersion: now.Sequence}, func(heardAt time.Duration, r gateway.Reply) {
			out, is := r.Body.(gateway.Outcome)
			if !is {
				return
			}
			if r.StatusCode == 200 {
				s.planned(heardAt, out.Version)
			} else if out.Code == status.StaleConfig {
				s.races++
			}
		})
	})
}
