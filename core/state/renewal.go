// Renewals and reduced reports. A worker's report that changes nothing in the
// ledger is no command of its own: the primary renews the leases of all workers
// heard since its last renewal with one command. A report that does change
// something is reduced to its changes before it becomes a command, so that the
// command does not grow with all that the worker runs.

package state

import (
	"slices"
	"time"

	"sorrelloom/core/status"
)

// Renewal extends one worker's lease.
type Renewal struct {
	Worker string `json:"worker"`
	// Number is that of the worker's last report in its Incarnation.
	Incarnation int64  `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Ago is how long before the command that report came.
	Age time.Duration `json:"ago,omitempty"`
}

// Lease is the part of a worker's record that a renewal changes.
type WorkerLease struct {
	Incarnation    int64         `json:"incarnation"`
	Number         uint64        `json:"number"`
	LastSeenAt     time.Duration `json:"seenAt"`
	LeaseExpiresAt time.Duration `json:"cutoffAt"`
}

// renewed is the worker with a lease that may be newer or older than its record.
func (w Worker) withLease(lease WorkerLease) Worker {
	if lease.Incarnation == w.Incarnation {
		w.Number = max(w.Number, lease.Number)
	}
	w.LastSeenAt, w.LeaseExpiresAt = max(w.LastSeenAt, lease.LastSeenAt), max(w.LeaseExpiresAt, lease.LeaseExpiresAt)
	return w
}

// renew extends the leases of the workers named; those that are not known are passed over.
func (l *Store) renewWorkers(renewals []Renewal) Result {
	for _, r := range renewals {
		w, known := l.workers[r.Worker]
		if !known {
			continue
		}
		seenAt := l.now - max(0, r.Age)
		wasLive := l.Live(w)
		l.setWorker(w.withLease(WorkerLease{r.Incarnation, r.Number, seenAt, seenAt + l.config.Limits.LeaseDuration.Duration}))
		if !wasLive {
			l.changes = append(l.changes, Change{Worker: r.Worker})
		}
	}
	return Result{Code: status.OK}
}

// Reduce compares a report with the ledger. Without changes nothing but the
// worker's lease would differ after the report. Else the reduced report says all
// that a command needs; it is valid at the ledger's present position only.
func (l *Store) ReduceHeartbeat(b Heartbeat) (reduced Heartbeat, changes bool) {
	w, known := l.workers[b.Worker]
	whole := !known || w.ConfirmedDead || !sameIdentity(w.Heartbeat, b) || b.Number < w.Number || b.Total == (Resources{}) || b.Free.Slots < 0
	if whole {
		return b, true
	}
	reduced = b
	reduced.Delta = true
	reduced.Zone, reduced.Rack, reduced.Service, reduced.Address, reduced.Labels = "", "", "", "", nil
	reduced.Running, reduced.NotRunning = l.compareLeases(b)
	changes = len(reduced.Running)+len(reduced.NotRunning)+len(b.Ended)+len(b.Progress) > 0 ||
		w.Unleased != (Resources{}) || l.freeResourcesMatter(w, b.Free) || w.Total != b.Total ||
		w.Leaving != b.Leaving || (w.LeavesIn == 0) != (b.LeavesIn == 0)
	return reduced, changes
}

// roomChanges says whether a worker's word on its free room makes a difference.
// Less than before always does. More does not where its capacity less its turns is
// all that it has: the report that ends one of these says so again.
func (l *Store) freeResourcesMatter(w Worker, free Resources) bool {
	if !free.Covers(w.Free) {
		return true
	}
	return l.freeResourcesWith(w, free) != l.freeResourcesWith(w, w.Free)
}

// sameIdentity says whether two reports name the same worker with the same standing properties.
func sameIdentity(a, b Heartbeat) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Rack == b.Rack && a.Service == b.Service &&
		a.Address == b.Address && slices.Equal(a.Labels, b.Labels)
}

// compareTurns gives the attempts of a report that are not a started turn of the
// worker, and the turns of the worker that the report shows it does not run.
func (l *Store) compareLeases(b Heartbeat) (added, unlisted []Attempt) {
	listed := make(map[Attempt]bool, len(b.Running))
	for _, a := range b.Running {
		listed[a] = true
	}
	started := map[Attempt]bool{}
	for at := range l.leases[b.Worker] {
		turn, a := l.jobs[at.job].Tasks[at.index].Lease, l.attemptOf(at)
		switch {
		case !heldBy(turn, b):
		case listed[a] && turn.StartedAt > 0:
			started[a] = true
		case !listed[a] && showsNotRunning(turn, b):
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
func showsNotRunning(t Lease, b Heartbeat) bool {
	return t.StartedAt > 0 || b.Number >= t.HeartbeatNumber+2
}

// completed is a reduced report with what the ledger knows of its worker.
func (w Worker) withIdentity(b Heartbeat) Heartbeat {
	b.Zone, b.Rack, b.Service, b.Address, b.Labels = w.Zone, w.Rack, w.Service, w.Address, w.Labels
	return b
}
