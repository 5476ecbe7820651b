package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	readyFor  = 1500 * time.Millisecond
	lostAfter = 4 * time.Second
	// leaderWait is how long a command that was never sent waits for a primary.
	leaderWait = 1200 * time.Millisecond
	retryAfter = time.Second
	tableMax   = 10000
)

// Env is a relay's place: its own line address, the keepers to begin from, and
// the first command number, which should differ between two runs of one process.
type Env struct {
	Address string
	Keepers []string
	First   uint64
}

// Relay carries commands to the primary that it believes in. It keeps nothing
// of the ledger: what it says was said by a proven primary, or is that there
// was no word of one.
type Relay struct {
	env    Env
	route  route
	proofs proofs
	chance *rand.Rand
	next   uint64
	// table holds the open requests in the order of their numbers.
	table []*request
	// order numbers what is sent; the primary has answered what was sent as passed.
	order    uint64
	passed   uint64
	pace     pace
	begun    bool
	provenAt time.Duration
	proven   bool
	wakeAt   time.Duration
	stopping bool
}

// New gives a relay; its jitter is drawn from Env.First.
func New(env Env) *Relay {
	r := &Relay{env: env, next: env.First, chance: rand.New(rand.NewPCG(env.First, jitterStream))}
	r.route.turn = int(env.First % uint64(max(1, len(env.Keepers))))
	return r
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
		r.begun, r.provenAt, r.proofs.dueAt = true, now, now
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
	r.follow(now, &out)
	r.expire(now, &out)
	r.transmit(now, &out)
	r.prove(now, &out)
	r.schedule(now)
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
	case r.queueTime() > ask.Wait:
		refuse(code.InboxFull, "what waits for the primary takes longer than this request has time")
	default:
		r.next++
		r.table = append(r.table, &request{
			id: r.next, key: ask.Key, command: command, takenAt: now, cutoff: now + ask.Wait, dueAt: now,
		})
	}
}

// back takes a keeper's word. Any word from the keeper believed in is a sign of
// life; an answer of a primary is proof, since it answers only once it is proven.
func (r *Relay) back(now time.Duration, from string, b wire.CommandBackBody, out *machine.Output) {
	r.route.learn(b.Keepers)
	if from == r.route.primary {
		r.route.signAt, r.route.silent = now, 0
	}
	switch {
	case b.Received:
		r.confirm(now, from)
		return
	case b.Answer.Code == code.NotPrimary || b.Answer.Code == code.Stopping:
		r.bounced(now, from, b.Primary)
		return
	case !slices.Contains(noProof, b.Answer.Code):
		r.proved(now, from)
	}
	if r.proofs.answered(b) && from == r.route.primary {
		r.pass(r.proofs.last.order)
		return
	}
	at, ok := r.find(b.ID)
	if !ok {
		return
	}
	q := r.table[at]
	r.table = slices.Delete(r.table, at, at+1)
	if from == r.route.primary && q.sending && !slices.Contains(unclear, b.Answer.Code) {
		r.pass(q.order)
		r.pace.note(now - q.sentAt)
	}
	if q.sent > 1 && !ledger.Reads(q.command.Kind) && slices.Contains(unclearAgain, b.Answer.Code) {
		// An earlier copy may have been taken, so this is no clear no.
		b.Answer = unsure()
	}
	out.Answer(q.key, b.Answer)
}

// noProof are the answers that a keeper gives without having proved that it leads.
var noProof = []code.Code{code.NoAuthority, code.Internal}

// unclear are the answers that say nothing of an earlier copy of the command. They
// are given out of the order in which commands arrive.
var unclear = []code.Code{code.InboxFull, code.NoAuthority, code.Internal}

// unclearAgain are the answers to another copy of a command that say nothing of the
// earlier one. Whether there is an entry is looked at before what was accepted.
var unclearAgain = append([]code.Code{code.NoEntry}, unclear...)

func unsure() ledger.Answer {
	return ledger.Answer{
		Code: code.NoAnswer, Why: "no keeper answered in time; the request may still take effect", RetryAfter: retryAfter,
	}
}

// proved takes an answer that only a primary gives.
func (r *Relay) proved(now time.Duration, from string) {
	if from != r.route.primary && now-r.provenAt >= proveMost {
		r.move(now, from)
	}
	r.confirm(now, from)
	r.proven, r.provenAt = true, now
	r.proofs.postpone(now + r.jitter(proveLeast, proveMost))
	r.route.tried, r.route.hops = 0, 0
}

// pass notes that the primary has answered what was sent with an order number.
func (r *Relay) pass(order uint64) { r.passed = max(r.passed, order) }

// schedule says when the relay is to be stepped next.
func (r *Relay) schedule(now time.Duration) {
	r.wakeAt = r.route.dueAt()
	if r.route.primary != "" {
		r.wakeAt = min(r.wakeAt, r.proofs.dueAt)
	}
	if len(r.table) > 0 {
		r.wakeAt = min(r.wakeAt, r.provenAt+lostAfter+time.Millisecond)
	}
	full := r.sending() >= window
	for _, q := range r.table {
		r.wakeAt = min(r.wakeAt, r.expiry(q))
		switch {
		case !r.route.confirmed:
		case q.sending && r.isLost(q):
			r.wakeAt = min(r.wakeAt, q.dueAt)
		case !q.sending && !full:
			r.wakeAt = min(r.wakeAt, max(q.dueAt, now+time.Millisecond))
		}
	}
}

// jitter gives a span between two others.
func (r *Relay) jitter(least, most time.Duration) time.Duration {
	return least + time.Duration(r.chance.Int64N(int64(most-least)+1))
}
