package relay

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// quietFor is how long a keeper may be silent before it is left; the spans grow
	// once all keepers were tried.
	quietFor   = 800 * time.Millisecond
	quietMost  = 1600 * time.Millisecond
	quietExtra = 100 * time.Millisecond
	// bounceLeast and bounceMost bound the pause after a keeper that names no other. It
	// doubles after every bounceTries pauses in a row, bounceDoubles times.
	bounceLeast   = 40 * time.Millisecond
	bounceMost    = 80 * time.Millisecond
	bounceTries   = 2
	bounceDoubles = 2
	// hopsAtOnce is how many hints are followed one after the other without a pause.
	hopsAtOnce = 2
	// jitterStream keeps a relay's jitter apart from whatever else is drawn from its seed.
	jitterStream = 0x7265_6c61_79
)

// route says which keeper is believed to be the primary, and what is known of the others.
type route struct {
	keepers []string
	primary string
	// confirmed says that the primary has shown that it leads; commands go to no other.
	confirmed bool
	// left is the keeper last left for its silence; hints to it count for nothing until then.
	left      string
	leftUntil time.Duration
	turn      int
	tried     int
	hops      int
	signAt    time.Duration
	quiet     time.Duration
	// silent counts the keepers that were left for their silence since one was heard.
	silent int
	moveAt time.Duration
	// pauses counts those after bounces since a keeper has shown that it leads.
	pauses int
}

// learn takes the list of keepers that an answer names.
func (t *route) learn(keepers []string) {
	if len(keepers) > 0 && !slices.Equal(t.keepers, keepers) {
		t.keepers, t.tried = slices.Clone(keepers), 0
	}
}

// dueAt is when the next keeper is to be tried.
func (t *route) dueAt() time.Duration {
	if t.moveAt > 0 {
		return min(t.moveAt, t.signAt+t.quiet)
	}
	return t.signAt + t.quiet
}

// bounced follows a keeper's hint, at once unless hints go round in a circle.
func (r *Relay) bounced(now time.Duration, from, hint string) {
	t := &r.route
	if from != t.primary || t.moveAt > 0 {
		return
	}
	t.confirmed = false
	if hint == "" || hint == from || hint == t.left && now < t.leftUntil {
		r.pause(now)
		return
	}
	if t.hops++; t.hops > hopsAtOnce {
		t.hops = 0
		r.pause(now)
		return
	}
	r.move(now, hint)
}

// pause has the relay go on to another keeper in a while.
func (r *Relay) pause(now time.Duration) {
	double := min(r.route.pauses/bounceTries, bounceDoubles)
	r.route.moveAt = now + r.jitter(bounceLeast<<double, bounceMost<<double)
	r.route.pauses++
}

// move believes in another keeper. It is asked for a proof first; what is open
// follows once it has shown that it leads.
func (r *Relay) move(now time.Duration, to string) {
	t := &r.route
	t.primary, t.confirmed, t.moveAt = to, false, 0
	t.signAt, t.quiet = now, r.quietSpan()
	r.proofs.reset(now)
	r.passed = r.order
	for _, q := range r.table {
		q.sending = false
	}
}

// quietSpan is how long the next keeper may be silent.
func (r *Relay) quietSpan() time.Duration {
	rounds := r.route.silent / max(1, len(r.route.list(r.env.Keepers)))
	return min(quietFor<<min(rounds, 4), quietMost) + r.jitter(0, quietExtra)
}

// confirm notes that a keeper leads. What is open is sent to it, spread over a
// while, the commands with the least time left first.
func (r *Relay) confirm(now time.Duration, from string) {
	if from != r.route.primary || r.route.confirmed {
		return
	}
	r.route.confirmed, r.route.moveAt, r.route.pauses = true, 0, 0
	r.spread(now)
}

// list gives the keepers of the view, and once all of them were tried, those to
// begin from as well.
func (t *route) list(begin []string) []string {
	list := t.keepers
	if t.tried < len(list) {
		return list
	}
	for _, k := range begin {
		if !slices.Contains(list, k) {
			list = append(list[:len(list):len(list)], k)
		}
	}
	return list
}

// rotate goes on to the next keeper of the list.
func (r *Relay) rotate(now time.Duration) {
	t := &r.route
	list := t.list(r.env.Keepers)
	t.moveAt = 0
	t.tried++
	for range list {
		t.turn++
		if to := list[t.turn%len(list)]; to != t.primary && (to != t.left || now >= t.leftUntil) {
			r.move(now, to)
			return
		}
	}
	t.signAt, t.quiet = now, r.quietSpan()
	r.proofs.dueAt = max(r.proofs.dueAt, now+bounceMost)
}

// follow turns to another keeper where the one believed in is silent or does not lead.
func (r *Relay) follow(now time.Duration, out *machine.Output) {
	t := &r.route
	switch {
	case t.primary == "":
		r.rotate(now)
	case t.moveAt > 0 && now >= t.moveAt:
		r.rotate(now)
	case now-t.signAt >= t.quiet:
		out.Log("keeper_silent", "address", t.primary, "open", len(r.table))
		t.silent++
		t.left, t.leftUntil = t.primary, now+quietFor
		r.rotate(now)
	}
}
