// Renewals and reduced reports. A worker's report that changes nothing in the
// ledger is no command of its own: the primary renews the leases of all workers
// heard since its last renewal with one command. A report that does change
// something is reduced to its changes before it becomes a command, so that the
// command does not grow with all that the worker runs.
package ledger

import (
	"slices"
	"time"

	"sorrelloom/core/code"
)

// Renewal extends one worker's lease.
type Renewal struct {
	Worker string `json:"worker"`
	// Number is that of the worker's last report in its Incarnation.
	Incarnation int64  `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Ago is how long before the command that report came.
	Ago time.Duration `json:"ago,omitempty"`
}

// Lease is the part of a worker's record that a renewal changes.
type Lease struct {
	Incarnation int64         `json:"incarnation"`
	Number      uint64        `json:"number"`
	SeenAt      time.Duration `json:"seenAt"`
	CutoffAt    time.Duration `json:"cutoffAt"`
}

// renewed is the worker with a lease that may be newer or older than its record.
func (w Worker) renewed(lease Lease) Worker {
	if lease.Incarnation == w.Incarnation {
		w.Number = max(w.Number, lease.Number)
	}
	w.SeenAt, w.CutoffAt = max(w.SeenAt, lease.SeenAt), max(w.CutoffAt, lease.CutoffAt)
	return w
}

// renew extends the leases of the workers named; those that are not known are passed over.
func (l *Ledger) renew(renewals []Renewal) Answer {
	for _, r := range renewals {
		w, known := l.workers[r.Worker]
		if !known {
			continue
		}
		seenAt := l.at - max(0, r.Ago)
		wasLive := l.Live(w)
		l.setWorker(w.renewed(Lease{r.Incarnation, r.Number, seenAt, seenAt + l.plan.Limits.Lease.Duration}))
		if !wasLive {
			l.changes = append(l.changes, Changed{Worker: r.Worker})
		}
	}
	return Answer{Code: code.OK}
}

// Reduce compares a report with the ledger. Without changes nothing but the
// worker's lease would differ after the report. Else the reduced report says all
// that a command needs; it is valid at the ledger's present position only.
func (l *Ledger) Reduce(b Beat) (reduced Beat, changes bool) {
	w, known := l.workers[b.Worker]
	whole := !known || w.Gone || !sameIdentity(w.Beat, b) || b.Number < w.Number || b.Total == (Room{}) || b.Free.Slots < 0
	if whole {
		return b, true
	}
	reduced = b
	reduced.Reduced = true
	reduced.Site, reduced.Rack, reduced.Service, reduced.Address, reduced.Labels = "", "", "", "", nil
	reduced.Running, reduced.Unlisted = l.compareTurns(b)
	changes = len(reduced.Running)+len(reduced.Unlisted)+len(b.Ended)+len(b.Progress) > 0 ||
		w.Stray != (Room{}) || l.roomChanges(w, b.Free) || w.Total != b.Total ||
		w.Leaving != b.Leaving || (w.LeavesIn == 0) != (b.LeavesIn == 0)
	return reduced, changes
}

// roomChanges says whether a worker's word on its free room makes a difference.
// Less than before always does. More does not where its capacity less its turns is
// all that it has: the report that ends one of these says so again.
func (l *Ledger) roomChanges(w Worker, free Room) bool {
	if !free.Holds(w.Free) {
		return true
	}
	return l.roomWith(w, free) != l.roomWith(w, w.Free)
}

// sameIdentity says whether two reports name the same worker with the same standing properties.
func sameIdentity(a, b Beat) bool {
	return a.Incarnation == b.Incarnation && a.Site == b.Site && a.Rack == b.Rack && a.Service == b.Service &&
		a.Address == b.Address && slices.Equal(a.Labels, b.Labels)
}

// compareTurns gives the attempts of a report that are not a started turn of the
// worker, and the turns of the worker that the report shows it does not run.
func (l *Ledger) compareTurns(b Beat) (added, unlisted []Attempt) {
	listed := make(map[Attempt]bool, len(b.Running))
	for _, a := range b.Running {
		listed[a] = true
	}
	started := map[Attempt]bool{}
	for at := range l.turns[b.Worker] {
		turn, a := l.jobs[at.job].Tasks[at.task].Turn, l.attempt(at)
		switch {
		case !holds(turn, b):
		case listed[a] && turn.StartedAt > 0:
			started[a] = true
		case !listed[a] && notRun(turn, b):
			unlisted = append(unlisted, a)
		}
	}
	for _, a := range b.Running {
		if !started[a] {
			added = append(added, a)
		}
	}
	slices.SortFunc(unlisted, Attempt.compare)
	return added, unlisted
}

// notRun says whether a report that does not list a turn of its worker shows that
// the worker does not run it: it had started it, or had two reports to list it.
func notRun(t Turn, b Beat) bool { return t.StartedAt > 0 || b.Number >= t.Beat+2 }

// completed is a reduced report with what the ledger knows of its worker.
func (w Worker) completed(b Beat) Beat {
	b.Site, b.Rack, b.Service, b.Address, b.Labels = w.Site, w.Rack, w.Service, w.Address, w.Labels
	return b
}
