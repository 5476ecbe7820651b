// Calm reports and renewals, in the primary's own process only. A report that
// changes nothing is answered without a command, with what is left of the lease
// that all disks have; the leases of all workers heard since are renewed together.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
)

const (
	// renewMost is the longest time between two renewals. It is shorter where the
	// plan's lease or its bound on silence is short.
	renewMost = time.Second
	// renewLeast is the shortest time, also for a worker whose lease is nearly over.
	renewLeast = 50 * time.Millisecond
	// renewsPerLease is how many renewals a lease lasts for at least, and
	// renewsPerSilence how many come before a worker counts as silent.
	renewsPerLease   = 6
	renewsPerSilence = 6
)

// renewEach is the time between two renewals under a plan's limits.
func renewEach(lease, silent time.Duration) time.Duration {
	return max(renewLeast, min(renewMost, lease/renewsPerLease, silent/renewsPerSilence))
}

// heard is what is known of a worker's last report. Cutoff is the end of the
// worker's lease that all disks have, Due says that a renewal is to carry the report.
type heard struct {
	incarnation int64
	number      uint64
	at          time.Duration
	cutoff      time.Duration
	due         bool
}

// promise is the end of a worker's lease once a command is on all disks.
type promise struct {
	worker string
	cutoff time.Duration
}

// hearAnew begins with the leases of the ledger, all of which all disks have at
// the moment in which the lead comes.
func (s *Scheduler) hearAnew() {
	s.heard, s.promises, s.renewAt = map[string]heard{}, map[uint64][]promise{}, 0
	s.sentAt, s.oldest, s.commandTook = map[uint64]time.Duration{}, 0, 0
	if !s.copy.Own() {
		return
	}
	for _, w := range s.copy.View().Workers() {
		s.heard[w.ID()] = heard{incarnation: w.Incarnation, number: w.Number, cutoff: w.CutoffAt}
	}
}

// stale bounces a report that a later one has overtaken.
func (s *Scheduler) stale(b ledger.Beat) (ledger.Answer, bool) {
	h, known := s.heard[b.Worker]
	if !known || h.incarnation != b.Incarnation || b.Number >= h.number {
		return ledger.Answer{}, false
	}
	a := ledger.Answer{Code: code.StaleBeat, Why: "a later report was taken"}
	a.Orders.Incarnation, a.Orders.Number = h.incarnation, h.number
	return a, true
}

// hear takes a report: one that changes something becomes a command that says no
// more than that, or is put off; any other waits for the next renewal.
func (s *Scheduler) hear(now time.Duration, r record, out *machine.Output) {
	l, b := s.copy.View(), r.beat
	reduced, changes := l.Reduce(b)
	w, known := l.Worker(b.Worker)
	h := s.heard[b.Worker]
	if !known {
		h.cutoff = 0
	}
	h.incarnation, h.number, h.at = b.Incarnation, b.Number, s.copy.Time(now)
	r.heardAt = h.at
	if !s.copy.Proven(now) {
		s.command(now, r, h, reduced, out)
		return
	}
	if changes {
		after, taken := s.admission.admit(now)
		if taken {
			s.command(now, r, h, reduced, out)
			return
		}
		h.due = known && w.Incarnation == b.Incarnation
		if h.due {
			s.heard[b.Worker] = h
		}
		s.reply(r, s.putOff(r, after), out)
		return
	}
	r.applied, r.recorded, r.calm, h.due = true, true, true, true
	s.heard[b.Worker] = h
	r.short = s.leaseLeft(r) < l.Plan().Limits.Lease.Duration/2
	if r.short || !l.Live(w) {
		s.renewAt = min(s.renewAt, s.renewedAt+renewLeast)
	}
	s.records[b.Worker], s.news[b.Worker] = r, true
}

// command submits a report with changes.
func (s *Scheduler) command(now time.Duration, r record, h heard, reduced ledger.Beat, out *machine.Output) {
	worker := r.beat.Worker
	r.command = s.copy.Submit(now, ledger.Command{Kind: ledger.KindBeat, Beat: reduced}, commandWait, out)
	s.sent(now, r.command)
	s.commands[r.command] = worker
	w, known := s.copy.View().Worker(worker)
	if r.applied = known && w.Incarnation == r.beat.Incarnation && w.Number == r.beat.Number; r.applied {
		h.due = false
		s.heard[worker] = h
		s.promises[r.command] = []promise{{worker, w.CutoffAt}}
	}
	s.records[worker], s.news[worker] = r, true
}

// leaseLeft is what is left of a worker's lease on all disks, counted from when
// its report came.
func (s *Scheduler) leaseLeft(r record) time.Duration {
	left := s.heard[r.beat.Worker].cutoff - r.heardAt
	return max(0, min(left, s.copy.View().Plan().Limits.Lease.Duration))
}

// renew extends the leases of all workers heard since the last renewal.
func (s *Scheduler) renew(now time.Duration, out *machine.Output) {
	if !s.copy.Own() || now < s.renewAt || !s.copy.Proven(now) {
		return
	}
	limits := s.copy.View().Plan().Limits
	s.renewAt, s.renewedAt = now+renewEach(limits.Lease.Duration, limits.Silent.Duration), now
	maps.DeleteFunc(s.heard, func(id string, _ heard) bool {
		_, known := s.copy.View().Worker(id)
		return !known
	})
	at := s.copy.Time(now)
	var renewals []ledger.Renewal
	for _, id := range slices.Sorted(maps.Keys(s.heard)) {
		if h := s.heard[id]; h.due {
			renewals = append(renewals, ledger.Renewal{Worker: id, Incarnation: h.incarnation, Number: h.number, Ago: at - h.at})
		}
	}
	if len(renewals) == 0 {
		return
	}
	id := s.copy.Submit(now, ledger.Command{Kind: ledger.KindRenew, Renew: renewals}, commandWait, out)
	for _, r := range renewals {
		h := s.heard[r.Worker]
		if w, known := s.copy.View().Worker(r.Worker); known && w.SeenAt >= h.at {
			h.due = false
			s.heard[r.Worker] = h
			s.promises[id] = append(s.promises[id], promise{r.Worker, w.CutoffAt})
		}
	}
}

// promised takes the end of a command: the leases that it extended are on all
// disks, and reports that waited for more of a lease are answered.
func (s *Scheduler) promised(now time.Duration, id uint64, good bool) {
	for _, p := range s.promises[id] {
		h, known := s.heard[p.worker]
		if !known || !good {
			continue
		}
		h.cutoff = max(h.cutoff, p.cutoff)
		s.heard[p.worker] = h
		if r, waits := s.records[p.worker]; waits && r.short {
			r.until = now
			s.news[p.worker] = true
			s.records[p.worker] = r
		}
	}
	delete(s.promises, id)
}
