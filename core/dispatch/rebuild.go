// All that the dispatch knows of tasks is built anew when the lead has come and
// when a change touches everything. That is done in slices, so that no step takes
// long; what changes meanwhile is taken at once.
package dispatch

import (
	"maps"
	"slices"

	"sorrelloom/core/ledger"
)

const (
	// rebuildMost is how many tasks one step takes, unplacedMost how many of those
	// for whom no worker was found it puts into the inbox of one that can take them.
	rebuildMost  = 8192
	unplacedMost = 8192
)

// rebuild is what is left to do: the jobs, and the next task of the first of them.
type rebuild struct {
	jobs []string
	task int
}

// Rebuilding says whether tasks are left for the next Update.
func (d *Dispatch) Rebuilding() bool { return len(d.rebuilds.jobs)+len(d.moving) > 0 }

// beginRebuild forgets all tasks. Jobs of quick classes are the first to come back,
// then the oldest.
func (d *Dispatch) beginRebuild(l *ledger.Ledger) {
	done := d.done
	d.clear()
	d.done = done
	var others []string
	for _, job := range l.Active() {
		if l.Plan().Services[job.Spec.Service].Classes[job.Spec.Class].Quick {
			d.rebuilds.jobs = append(d.rebuilds.jobs, job.Spec.ID)
		} else {
			others = append(others, job.Spec.ID)
		}
	}
	d.rebuilds.jobs = slices.Concat(d.rebuilds.jobs, others)
}

// goOn takes the next slice.
func (d *Dispatch) goOn(l *ledger.Ledger) {
	left := rebuildMost
	for _, id := range slices.Sorted(maps.Keys(d.moving)) {
		if left > 0 {
			left = d.settle(l, id, left)
		}
	}
	for left > 0 && len(d.rebuilds.jobs) > 0 {
		id := d.rebuilds.jobs[0]
		job, _ := l.Job(id)
		upTo := min(len(job.Tasks), d.rebuilds.task+left)
		for i := d.rebuilds.task; i < upTo; i++ {
			d.task(l, Ref{id, i})
		}
		left -= max(1, upTo-d.rebuilds.task)
		if d.rebuilds.task = upTo; upTo == len(job.Tasks) {
			d.rebuilds.jobs, d.rebuilds.task = d.rebuilds.jobs[1:], 0
		}
	}
}
