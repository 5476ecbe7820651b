// The disks of simulated processes: what a batch takes, and what may be wrong.

package sim

import (
	"time"

	"sorrelloom/core/machine"
)

const (
	batchLeast  = time.Millisecond
	batchSpread = 2 * time.Millisecond
	stallLook   = 50 * time.Millisecond
)

// Disks bound what the disks take.
type Disks struct {
	// Rate is how many bytes a second a disk writes; 0 is without bounds.
	Rate int
}

// writeTime is how long a batch takes to be synced.
func (w *World) writeTime(n *node, b machine.Write) time.Duration {
	took := batchLeast + time.Duration(w.chance.Int64N(int64(batchSpread)))
	if w.hardware != nil && w.hardware.Disks.Rate > 0 {
		took += time.Duration(float64(bytesIn(b)) / float64(w.hardware.Disks.Rate) * float64(time.Second))
	}
	return time.Duration(float64(took) * n.diskSlow)
}

// stored is how many records a process's disk holds.
func (n *node) stored() int { return len(n.disk.Load().Records) }

func bytesIn(b machine.Write) (size int) {
	for _, r := range b.Records {
		size += len(r.Key) + len(r.Value)
	}
	for _, c := range b.Commands {
		size += len(c)
	}
	return size
}

// write syncs a batch. A stalled disk takes it up again when it goes on; a full one
// fails it, and with it the process, as the host does.
func (w *World) write(n *node, b machine.Write) {
	life := n.life
	if n.diskFull {
		w.say("%s: its disk is full", n.name)
		w.Logs["disk_full"]++
		w.Kill(n)
		return
	}
	w.After(w.writeTime(n, b), func() { w.synced(n, life, b) })
}

// synced is told that a batch is on the disk.
func (w *World) synced(n *node, life uint64, b machine.Write) {
	if n.diskStalls && n.life == life && n.state != down {
		w.After(stallLook, func() { w.synced(n, life, b) })
		return
	}
	if n.life == life && n.state == down && n.lands {
		n.disk.Apply(b)
	}
	if n.life != life || n.state == down {
		return
	}
	if !n.diskLies {
		n.disk.Apply(b)
	}
	w.into(n, life, func() { w.step(n, machine.Input{CompletedWrite: b.ID, SnapshotDue: n.disk.SnapshotDue()}, false) })
}
