package relay

import (
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	proveEach   = 500 * time.Millisecond
	resendAfter = 400 * time.Millisecond
	quietFor    = 800 * time.Millisecond
	bounceWait  = 60 * time.Millisecond
	readyFor    = 1500 * time.Millisecond
	lostAfter   = 4 * time.Second
	retryAfter  = time.Second
	// hopsAtOnce is how many hints are followed one after the other without a pause.
	hopsAtOnce = 2
	tableMax   = 10000
)

// Env is a relay's place: its own line address, the keepers to begin from, and
// the first command number, which should differ between two runs of one process.
type Env struct {
	Address string
	Keepers []string
	First   uint64
}

type request struct {
	id     uint64
	key    uint64
	body   wire.CommandBody
	again  time.Duration
	cutoff time.Duration
	sent   int
}

// Relay carries commands to the primary that it believes in. It keeps nothing
// of the ledger: what it says was said by a proven primary, or is that there
// was no word of one.
type Relay struct {
	env     Env
	keepers []string
	primary string
	// left is the keeper last left for its silence; hints to it count for nothing until then.
	left      string
	leftUntil time.Duration
	turn      int
	tried     int
	hops      int
	next      uint64
	// table holds the open requests in the order of their numbers.
	table    []request
	begun    bool
	signAt   time.Duration
	proveAt  time.Duration
	moveAt   time.Duration
	provenAt time.Duration
	proven   bool
	wakeAt   time.Duration
	stopping bool
}

func New(env Env) *Relay {
	return &Relay{env: env, next: env.First, turn: int(env.First % uint64(max(1, len(env.Keepers))))}
}

func (r *Relay) Wakeup() time.Duration { return r.wakeAt }

// Ready says whether a primary has proved itself a moment ago.
func (r *Relay) Ready(now time.Duration) bool {
	return r.proven && now-r.provenAt <= readyFor && !r.stopping
}

// Begin names other keepers to begin from.
func (r *Relay) Begin(keepers []string) { r.env.Keepers = keepers }

// Open is how many requests are without an answer.
func (r *Relay) Open() int { return len(r.table) }

func (r *Relay) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if !r.begun {
		r.begun, r.provenAt, r.proveAt = true, now, now
		r.rotate(now)
	}
	switch {
	case in.Stop:
		r.stopping = true
	case in.Ask.Key > 0:
		r.take(now, in.Ask, &out)
	case in.Line.Kind == wire.CommandBack:
		var b wire.CommandBackBody
		if err := machine.Unmarshal(in.Line.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Line.Kind, "from", in.Line.From, "why", err.Error())
		} else {
			r.back(now, in.Line.From, b, &out)
		}
	case in.Line.Kind != "":
		out.Log("line_unknown", "kind", in.Line.Kind, "from", in.Line.From)
	}
	r.pass(now, &out)
	out.Stopped = r.stopping && len(r.table) == 0
	return out
}

func (r *Relay) lost(now time.Duration) bool { return now-r.provenAt > lostAfter }

func (r *Relay) take(now time.Duration, ask machine.Ask, out *machine.Output) {
	command, ok := ask.Value.(ledger.Command)
	refuse := func(c code.Code, why string) {
		out.Answer(ask.Key, ledger.Answer{Code: c, Why: why, RetryAfter: retryAfter})
	}
	switch {
	case ask.Kind != AskCommand || !ok:
		refuse(code.Internal, "a relay takes ledger commands only")
	case r.stopping:
		refuse(code.Stopping, "this process is going down")
	case len(r.table) >= tableMax:
		refuse(code.InboxFull, "this process has too many requests open")
	case r.lost(now):
		refuse(code.NoAuthority, "no keeper has been heard of for a while")
	case ask.Wait <= 0:
		refuse(code.NoAuthority, "no time is left to ask a keeper")
	default:
		r.next++
		r.table = append(r.table, request{
			id: r.next, key: ask.Key, body: wire.CommandBody{ID: r.next, Command: command}, again: now, cutoff: now + ask.Wait,
		})
	}
}

// back takes a keeper's word. Any word from the keeper believed in is a sign of
// life; an answer of a primary is proof, since it answers only once it is proven.
func (r *Relay) back(now time.Duration, from string, b wire.CommandBackBody, out *machine.Output) {
	if len(b.Keepers) > 0 && !slices.Equal(r.keepers, b.Keepers) {
		r.keepers, r.tried = slices.Clone(b.Keepers), 0
	}
	if from == r.primary {
		r.signAt = now
	}
	if b.Answer.Code == code.NotPrimary || b.Answer.Code == code.Stopping {
		r.bounced(now, from, b.Primary, out)
		return
	}
	if b.Answer.Code != code.NoAuthority && b.Answer.Code != code.Internal {
		if from != r.primary && now-r.provenAt >= proveEach {
			r.move(now, from)
		}
		r.proven, r.provenAt = true, now
		r.proveAt = now + proveEach
		r.tried, r.hops = 0, 0
	}
	at, ok := slices.BinarySearchFunc(r.table, b.ID, func(q request, id uint64) int {
		switch {
		case q.id < id:
			return -1
		case q.id > id:
			return 1
		}
		return 0
	})
	if !ok {
		return
	}
	q := r.table[at]
	r.table = slices.Delete(r.table, at, at+1)
	if q.sent > 1 && !ledger.Reads(q.body.Command.Kind) && slices.Contains(unclear, b.Answer.Code) {
		// An earlier copy may have been taken, so this is no clear no.
		b.Answer = unsure()
	}
	out.Answer(q.key, b.Answer)
}

// unclear are the answers that say nothing of an earlier copy of the command.
var unclear = []code.Code{code.InboxFull, code.NoAuthority, code.Internal}

func unsure() ledger.Answer {
	return ledger.Answer{Code: code.NoAnswer, Why: "no keeper answered in time; the request may still take effect", RetryAfter: retryAfter}
}

// bounced follows a keeper's hint, at once unless hints go round in a circle.
func (r *Relay) bounced(now time.Duration, from, hint string, out *machine.Output) {
	if from != r.primary || r.moveAt > 0 {
		return
	}
	if hint == "" || hint == from || hint == r.left && now < r.leftUntil {
		r.moveAt = now + bounceWait
		return
	}
	if r.hops++; r.hops > hopsAtOnce {
		r.hops, r.moveAt = 0, now+bounceWait
		return
	}
	r.move(now, hint)
}

// move believes in another keeper; all that is open is sent to it at once.
func (r *Relay) move(now time.Duration, to string) {
	r.primary, r.signAt, r.moveAt = to, now, 0
	r.proveAt = now
	for i := range r.table {
		r.table[i].again = now
	}
}

// rotate goes on to the next keeper: of those of the view, and once all of them
// were tried, of those to begin from as well.
func (r *Relay) rotate(now time.Duration) {
	list := r.keepers
	if r.tried >= len(list) {
		for _, k := range r.env.Keepers {
			if !slices.Contains(list, k) {
				list = append(list[:len(list):len(list)], k)
			}
		}
	}
	r.moveAt = 0
	r.tried++
	for range list {
		r.turn++
		if to := list[r.turn%len(list)]; to != r.primary && (to != r.left || now >= r.leftUntil) {
			r.move(now, to)
			return
		}
	}
	r.signAt = now
	r.proveAt = max(r.proveAt, now+bounceWait)
}

// pass runs over the table: it answers what is over, and sends what is due.
func (r *Relay) pass(now time.Duration, out *machine.Output) {
	switch {
	case r.primary == "":
		r.rotate(now)
	case r.moveAt > 0 && now >= r.moveAt:
		r.rotate(now)
	case now-r.signAt >= quietFor:
		out.Log("keeper_silent", "address", r.primary, "open", len(r.table))
		r.left, r.leftUntil = r.primary, now+quietFor
		r.rotate(now)
	}
	lost := r.lost(now)
	keep := r.table[:0]
	for _, q := range r.table {
		if lost || now >= q.cutoff {
			a := ledger.Answer{Code: code.NoAuthority, Why: "no keeper could be asked", RetryAfter: retryAfter}
			if q.sent > 0 {
				a = unsure()
			}
			out.Answer(q.key, a)
			continue
		}
		if now >= q.again && r.primary != "" && r.moveAt == 0 {
			out.Send(r.primary, wire.Command, q.body)
			q.sent++
			q.again = now + resendAfter
		}
		keep = append(keep, q)
	}
	clear(r.table[len(keep):])
	r.table = keep
	if now >= r.proveAt && r.primary != "" {
		r.next++
		out.Send(r.primary, wire.Command, wire.CommandBody{ID: r.next, Command: ledger.Command{Kind: ledger.KindProve}})
		r.proveAt = now + proveEach
	}
	r.wakeAt = min(r.proveAt, r.signAt+quietFor)
	if r.moveAt > 0 {
		r.wakeAt = min(r.wakeAt, r.moveAt)
	}
	if len(r.table) > 0 {
		r.wakeAt = min(r.wakeAt, r.provenAt+lostAfter+time.Millisecond)
	}
	for _, q := range r.table {
		r.wakeAt = min(r.wakeAt, q.cutoff)
		if r.moveAt == 0 && r.primary != "" {
			r.wakeAt = min(r.wakeAt, q.again)
		}
	}
}
