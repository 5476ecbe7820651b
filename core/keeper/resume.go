// Keeping the lead through a change of view. A leader that replaces a backup, or
// that is just about to serve, doesn't send its callers away: they would all ask
// the other members at once, and come back with everything they have open.
package keeper

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// waitingMax is how many commands wait for a leader that is about to serve.
	waitingMax = 1024
	// waitingFor is how long one waits; then its caller is told to look elsewhere.
	waitingFor = 500 * time.Millisecond
)

// waitingCommand is one that came before the leader could serve it.
type waitingCommand struct {
	from string
	body wire.CommandBody
	at   time.Duration
}

// Resuming says whether this keeper keeps the lead, but waits for its new backups.
func (k *Keeper) Resuming() bool { return k.resuming }

// Starting says whether this process leads by the known view, but does not serve yet.
func (k *Keeper) Starting() bool {
	return !k.serving && k.leads() && k.witness.Known.Boot == k.env.Boot
}

// Terms counts the times that this process began to serve without having kept the
// lead from the view before.
func (k *Keeper) Terms() uint64 { return k.terms }

// resumes says whether the next view leaves the lead with this process. Nobody else
// can have committed anything in between, since the views follow each other.
func (k *Keeper) resumes(next wire.View) bool {
	known := k.witness.Known
	leads := k.leads() && known.Boot == k.env.Boot && (k.serving || k.resuming)
	return leads && next.Epoch == known.Epoch+1 && next.Primary.ID == k.seat.ID && next.Boot == k.env.Boot
}

// beginTerm takes up the commands that waited until this keeper serves.
func (k *Keeper) beginTerm(now time.Duration, out *machine.Output) {
	if !k.resuming {
		k.terms++
	}
	k.resuming = false
	waiting := k.waiting
	k.waiting = nil
	for _, w := range waiting {
		k.command(now, w.from, w.body, out)
	}
}

// await keeps a command for a leader that is about to serve; it says whether it does.
func (k *Keeper) await(now time.Duration, from string, body wire.CommandBody) bool {
	if from == "" || k.stopping || !k.Starting() || len(k.waiting) >= waitingMax {
		return false
	}
	k.waiting = append(k.waiting, waitingCommand{from, body, now})
	return true
}

// rejectWaiting rejects the commands that have waited for too long.
func (k *Keeper) rejectWaiting(now time.Duration, out *machine.Output) {
	n := 0
	for n < len(k.waiting) && now-k.waiting[n].at > waitingFor {
		k.back(k.waiting[n].from, k.notPrimary(k.waiting[n].body.ID), out)
		n++
	}
	k.waiting = k.waiting[n:]
}

// rejectAll rejects all that has no answer yet, since another leads now.
func (k *Keeper) rejectAll(out *machine.Output) {
	for _, a := range k.answers {
		k.back(a.to, k.notPrimary(a.body.ID), out)
	}
	for _, w := range k.waiting {
		k.back(w.from, k.notPrimary(w.body.ID), out)
	}
	k.answers, k.waiting = nil, nil
}
