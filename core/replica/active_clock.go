package replica

import (
	"time"

	"sorrelloom/core/machine"
)

// maxActiveGap is the most that the time between two steps adds to the active time. An idle
// process is stepped every timerInterval.
const maxActiveGap = 2 * timerInterval

// activeClock measures the time in which this replica was able to handle input. Time spent in
// a long step, without CPU or suspended does not count: input that arrived meanwhile is still
// queued, and the step's messages are sent only at its end.
type activeClock struct {
	elapsed time.Duration
	stepAt  time.Duration
}

// step advances the clock at the start of a step.
func (c *activeClock) step(now time.Duration) {
	c.elapsed += min(now-c.stepAt, maxActiveGap)
	c.stepAt = now
}

// watchDisks checks whether this primary's own disk or a backup's is slow. It runs only at
// timers: at any other input, an acknowledgement or a completed write may still be queued
// behind it.
func (r *Replica) watchDisks(out *machine.Output) {
	activeTime := r.activeClock.elapsed
	r.disk.watchInFlight(activeTime)
	for _, member := range r.view().Backups {
		p := r.peers.of(member.ID)
		p.watchDisk(activeTime, r.replication.backups.end.Index)
		if p.slow {
			r.logSlowBackup(member, p, out)
		}
	}
}
