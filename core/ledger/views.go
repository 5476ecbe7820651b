// What others may see of a ledger: copies of records, never the maps behind.
package ledger

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

func splitLabels(text string) []string { return strings.Split(text, ",") }

func (l *Ledger) Job(id string) (Job, bool) {
	job, ok := l.jobs[id]
	return job, ok
}

func (l *Ledger) Worker(id string) (Worker, bool) {
	w, ok := l.workers[id]
	return w, ok
}

func (l *Ledger) Duty(name string) Duty { return l.duties[name] }

// Duties gives every duty by name.
func (l *Ledger) Duties() []Duty {
	out := make([]Duty, 0, len(l.duties))
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		out = append(out, l.duties[name])
	}
	return out
}

func (l *Ledger) Emptied() []string {
	return append([]string{}, slices.Sorted(maps.Keys(l.emptied))...)
}

// Daemons gives the schedulers that said hello within the given span.
func (l *Ledger) Daemons(within time.Duration) []Daemon {
	var out []Daemon
	for _, id := range slices.Sorted(maps.Keys(l.daemons)) {
		if d := l.daemons[id]; l.at-d.SeenAt <= within {
			out = append(out, d)
		}
	}
	return out
}

// Active gives every job that is not over, by acceptance.
func (l *Ledger) Active() []Job {
	out := make([]Job, 0, len(l.active))
	for id := range l.active {
		out = append(out, l.jobs[id])
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Tasks[0].Number < out[j].Tasks[0].Number })
	return out
}

// Pending is a turn on a worker with the orders that concern it.
type Pending struct {
	Attempt
	Turn  Turn
	Start Start
}

// TurnsOn gives the turns a worker holds, by task number.
func (l *Ledger) TurnsOn(worker string) []Pending {
	refs := l.turnsOn(worker)
	out := make([]Pending, 0, len(refs))
	for _, at := range refs {
		out = append(out, Pending{l.attempt(at), l.jobs[at.job].Tasks[at.task].Turn, l.start(at)})
	}
	return out
}

// Untold gives the turns of a worker that are to be started or stopped.
func (l *Ledger) Untold(worker string) []Pending {
	var out []Pending
	for _, at := range l.turnsOn(worker) {
		if t := l.jobs[at.job].Tasks[at.task].Turn; t.Stop != "" || t.StartedAt == 0 {
			out = append(out, Pending{l.attempt(at), t, l.start(at)})
		}
	}
	return out
}

// Stopping is the room of the turns on a worker that are being stopped.
func (l *Ledger) Stopping(worker string) Room { return l.loads[worker].stopping }

// Pending says whether a worker has turns to be told of: to start or to stop.
func (l *Ledger) Pending(worker string) bool { return l.loads[worker].stops+l.loads[worker].fresh > 0 }

// CountOn is how many turns a worker holds.
func (l *Ledger) CountOn(worker string) int { return len(l.turns[worker]) }

// Used and share, in slots, of one class.
func (l *Ledger) ClassUse(service, class string) (usedSlots, shareSlots int) {
	b := l.Busyness(service)
	return b.Used[class], l.shareSlots(service, class, b.Slots)
}
