// What others may see of a ledger: copies of records, never the maps behind.

package state

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

func splitLabels(text string) []string { return strings.Split(text, ",") }

func (l *Store) Job(id string) (Job, bool) {
	job, ok := l.jobs[id]
	return job, ok
}

func (l *Store) Worker(id string) (Worker, bool) {
	w, ok := l.workers[id]
	return w, ok
}

func (l *Store) Leadership(name string) Leadership { return l.leaderships[name] }

// Duties gives every duty by name.
func (l *Store) Leaderships() []Leadership {
	out := make([]Leadership, 0, len(l.leaderships))
	for _, name := range slices.Sorted(maps.Keys(l.leaderships)) {
		out = append(out, l.leaderships[name])
	}
	return out
}

func (l *Store) DrainedZones() []string {
	return append([]string{}, slices.Sorted(maps.Keys(l.drainedZones))...)
}

// Daemons gives the schedulers that said hello within the given span.
func (l *Store) Schedulers(within time.Duration) []Scheduler {
	var out []Scheduler
	for _, id := range slices.Sorted(maps.Keys(l.schedulers)) {
		if d := l.schedulers[id]; l.now-d.LastSeenAt <= within {
			out = append(out, d)
		}
	}
	return out
}

// Active gives every job that is not over, by acceptance.
func (l *Store) ActiveJobs() []Job {
	out := make([]Job, 0, len(l.activeJobs))
	for id := range l.activeJobs {
		out = append(out, l.jobs[id])
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Tasks[0].Number < out[j].Tasks[0].Number })
	return out
}

// Pending is a turn on a worker with the orders that concern it.
type LeasedAttempt struct {
	Attempt
	Lease Lease
	Start StartOrder
}

// TurnsOn gives the turns a worker holds, by task number.
func (l *Store) LeasesOn(worker string) []LeasedAttempt {
	refs := l.leasedTasks(worker)
	out := make([]LeasedAttempt, 0, len(refs))
	for _, at := range refs {
		out = append(out, LeasedAttempt{l.attemptOf(at), l.jobs[at.job].Tasks[at.index].Lease, l.startOrder(at)})
	}
	return out
}

// Untold gives the turns of a worker that are to be started or stopped.
func (l *Store) PendingOrders(worker string) []LeasedAttempt {
	var out []LeasedAttempt
	for _, at := range l.leasedTasks(worker) {
		if t := l.jobs[at.job].Tasks[at.index].Lease; t.StopReason != "" || t.StartedAt == 0 {
			out = append(out, LeasedAttempt{l.attemptOf(at), t, l.startOrder(at)})
		}
	}
	return out
}

// Stopping is the room of the turns on a worker that are being stopped.
func (l *Store) StoppingResources(worker string) Resources { return l.usage[worker].stopping }

// Pending says whether a worker has turns to be told of: to start or to stop.
func (l *Store) HasPendingOrders(worker string) bool {
	return l.usage[worker].stopCount+l.usage[worker].unstartedCount > 0
}

// CountOn is how many turns a worker holds.
func (l *Store) LeaseCount(worker string) int { return len(l.leases[worker]) }

// Used and share, in slots, of one class.
func (l *Store) ClassUse(service, class string) (usedSlots, shareSlots int) {
	b := l.ServiceLoad(service)
	return b.Used[class], l.shareSlots(service, class, b.Slots)
}
