package relay

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// window is how many commands may be without an answer at the primary.
	window = 256
	// spreadMost is the span over which open commands go to a new primary, and
	// spreadEach the most that lies between two of them.
	spreadMost = 200 * time.Millisecond
	spreadEach = time.Millisecond
	// A command that is known to be lost is sent again after resendLeast, and after
	// twice the span each further time, up to resendMost.
	resendLeast = 100 * time.Millisecond
	resendMost  = 800 * time.Millisecond
	// proveLeast and proveMost bound the pause between two questions for a proof.
	proveLeast = 400 * time.Millisecond
	proveMost  = 500 * time.Millisecond
	// proveAlways is how long answers to commands may stand for a proof; the ledger's
	// time comes with proofs only.
	proveAlways = 5 * time.Second
	// proofsMax is how many unanswered questions are kept.
	proofsMax = 8
	// ledgerTimeFor is how long the ledger's time by a proof is reckoned on with, and
	// driftPart the part by which two clocks may run apart.
	ledgerTimeFor = 10 * time.Second
	driftPart     = 50
	// paceShare is the weight of the newest answer in the mean time to an answer.
	paceShare = 8
)

// request is a command without an answer. Once sending, it is at the primary.
type request struct {
	id      uint64
	key     uint64
	command ledger.Command
	takenAt time.Duration
	cutoff  time.Duration
	dueAt   time.Duration
	sent    int
	sending bool
	sentAt  time.Duration
	order   uint64
}

// pace is the mean time from the sending of a command to its answer.
type pace struct{ mean time.Duration }

func (p *pace) note(took time.Duration) {
	if p.mean == 0 {
		p.mean = took
		return
	}
	p.mean += (took - p.mean) / paceShare
}

func (r *Relay) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(r.table, id, func(q *request, id uint64) int { return cmp.Compare(q.id, id) })
}

// sending counts the commands at the primary.
func (r *Relay) sending() (count int) {
	for _, q := range r.table {
		if q.sending {
			count++
		}
	}
	return count
}

// queueTime is how long a new command is expected to take, once the window is full.
func (r *Relay) queueTime() time.Duration {
	if len(r.table) < window {
		return 0
	}
	return r.pace.mean * time.Duration(1+len(r.table)/window)
}

// byTimeLeft orders requests so that the one with the least time left comes first.
func byTimeLeft(a, b *request) int {
	return cmp.Or(cmp.Compare(a.cutoff, b.cutoff), cmp.Compare(a.id, b.id))
}

// spread sets when each open command goes to a primary that was just confirmed.
func (r *Relay) spread(now time.Duration) {
	step := min(spreadEach, spreadMost/time.Duration(max(1, len(r.table))))
	for place, q := range slices.SortedFunc(slices.Values(r.table), byTimeLeft) {
		q.dueAt = now + step*time.Duration(place)
		if place > 0 {
			q.dueAt += r.jitter(0, step)
		}
	}
}

// transmit sends what is due, the commands with the least time left first.
func (r *Relay) transmit(now time.Duration, out *machine.Output) {
	if !r.route.confirmed || r.route.moveAt > 0 {
		return
	}
	room := window - r.sending()
	var due []*request
	for _, q := range r.table {
		waits := !q.sending && room > 0
		if now >= q.dueAt && (waits || q.sending && r.isLost(q)) {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, byTimeLeft)
	for _, q := range due {
		if !q.sending {
			if room <= 0 {
				continue
			}
			room--
		}
		r.send(now, q, out)
	}
}

// isLost says whether the primary has answered what was sent after a command. It
// answers in order, so the command or its answer did not arrive.
func (r *Relay) isLost(q *request) bool { return q.order < r.passed }

func (r *Relay) send(now time.Duration, q *request, out *machine.Output) {
	r.order++
	body := wire.CommandBody{ID: q.id, Left: q.cutoff - now, Resent: q.sent > 0, Command: q.command}
	if at, known := r.proofs.ledgerTime(now); known {
		body.Deadline = at + body.Left
	}
	out.Send(r.route.primary, wire.Command, body)
	wait := min(resendLeast<<min(q.sent, 8), resendMost)
	q.dueAt = now + r.jitter(wait*3/4, wait)
	q.sent++
	q.sending, q.sentAt, q.order = true, now, r.order
}

// expiry is when a request is answered although no keeper has answered it.
func (r *Relay) expiry(q *request) time.Duration {
	if q.sent > 0 {
		return q.cutoff
	}
	if r.route.confirmed {
		return q.cutoff - min(r.pace.mean, (q.cutoff-q.takenAt)/2)
	}
	return min(q.cutoff, q.takenAt+leaderWait)
}

// expire answers what can no longer be served. What was never sent will never run.
func (r *Relay) expire(now time.Duration, out *machine.Output) {
	lost := r.lost(now)
	keep := r.table[:0]
	for _, q := range r.table {
		if !lost && now < r.expiry(q) {
			keep = append(keep, q)
			continue
		}
		out.Answer(q.key, r.expired(q))
	}
	clear(r.table[len(keep):])
	r.table = keep
}

func (r *Relay) expired(q *request) ledger.Answer {
	switch {
	case q.sent > 0:
		return unsure()
	case r.route.confirmed:
		return ledger.Answer{Code: code.InboxFull, Why: "too much waits for the primary", RetryAfter: retryAfter}
	}
	return ledger.Answer{Code: code.NoAuthority, Why: "no keeper could be asked", RetryAfter: retryAfter}
}

// proofs keeps the questions for a proof that are without an answer, and the
// ledger's time by the last proof.
type proofs struct {
	dueAt   time.Duration
	askedAt time.Duration
	open    []proof
	last    proof
	// at is the ledger's time that the last proof gave; 0 is none.
	at time.Duration
}

type proof struct {
	id     uint64
	order  uint64
	sentAt time.Duration
}

// reset asks for a proof at once; what was asked of another keeper counts no more.
func (p *proofs) reset(now time.Duration) { p.dueAt, p.open = now, nil }

// answered takes the answer to a question, if it is one.
func (p *proofs) answered(b wire.CommandBackBody) bool {
	i := slices.IndexFunc(p.open, func(q proof) bool { return q.id == b.ID })
	if i < 0 || !b.Answer.Code.Good() {
		return false
	}
	p.last, p.at = p.open[i], b.Answer.Time
	p.open = p.open[i+1:]
	return true
}

// ledgerTime is the ledger's time at most: the last proof's, and all that has
// passed since its question was sent.
func (p *proofs) ledgerTime(now time.Duration) (time.Duration, bool) {
	passed := now - p.last.sentAt
	return p.at + passed + passed/driftPart, p.at > 0 && passed <= ledgerTimeFor
}

// postpone puts the next question off, as an answer to a command proved as much.
func (p *proofs) postpone(to time.Duration) { p.dueAt = min(to, p.askedAt+proveAlways) }

// prove asks the keeper believed in whether it leads.
func (r *Relay) prove(now time.Duration, out *machine.Output) {
	if now < r.proofs.dueAt || r.route.primary == "" {
		return
	}
	r.next++
	r.order++
	out.Send(r.route.primary, wire.Command, wire.CommandBody{ID: r.next, Command: ledger.Command{Kind: ledger.KindProve}})
	r.proofs.open = append(r.proofs.open, proof{id: r.next, order: r.order, sentAt: now})
	r.proofs.open = r.proofs.open[max(0, len(r.proofs.open)-proofsMax):]
	r.proofs.askedAt, r.proofs.dueAt = now, now+r.jitter(proveLeast, proveMost)
}
