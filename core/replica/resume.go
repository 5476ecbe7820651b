// Keeping the lead through a change of view. A leader that replaces a backup, or
// that is just about to serve, doesn't send its callers away: they would all ask
// the other members at once, and come back with everything they have open.

package replica

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// waitingMax is how many commands wait for a leader that is about to serve.
	maxWaitingCommands = 1024
	// waitingFor is how long one waits; then its caller is told to look elsewhere.
	waitingTimeout = 500 * time.Millisecond
)

// waitingCommand is one that came before the leader could serve it.
type waitingCommand struct {
	from       string
	body       wire.CommandRequest
	receivedAt time.Duration
}

// Resuming says whether this keeper keeps the lead, but waits for its new backups.
func (r *Replica) Resuming() bool { return r.resuming }

// Starting says whether this process leads by the known view, but does not serve yet.
func (r *Replica) Starting() bool {
	return !r.serving && r.isPrimary() && r.acceptor.KnownView.BootID == r.config.BootID
}

// Terms counts the times that this process began to serve without having kept the
// lead from the view before.
func (r *Replica) Terms() uint64 { return r.terms }

// resumes says whether the next view leaves the lead with this process. Nobody else
// can have committed anything in between, since the views follow each other.
func (r *Replica) keepsLeadership(next wire.View) bool {
	known := r.acceptor.KnownView
	leads := r.isPrimary() && known.BootID == r.config.BootID && (r.serving || r.resuming)
	return leads && next.Epoch == known.Epoch+1 && next.Primary.ID == r.self.ID && next.BootID == r.config.BootID
}

// beginTerm takes up the commands that waited until this keeper serves.
func (r *Replica) beginTerm(now time.Duration, out *machine.Output) {
	if !r.resuming {
		r.terms++
	}
	r.resuming = false
	waiting := r.waitingCommands
	r.waitingCommands = nil
	for _, w := range waiting {
		r.handleCommand(now, w.from, w.body, out)
	}
}

// await keeps a command for a leader that is about to serve; it says whether it does.
func (r *Replica) holdCommand(now time.Duration, from string, body wire.CommandRequest) bool {
	if from == "" || r.stopping || !r.Starting() || len(r.waitingCommands) >= maxWaitingCommands {
		return false
	}
	r.waitingCommands = append(r.waitingCommands, waitingCommand{from, body, now})
	return true
}

// rejectWaiting rejects the commands that have waited for too long.
func (r *Replica) rejectExpired(now time.Duration, out *machine.Output) {
	n := 0
	for n < len(r.waitingCommands) && now-r.waitingCommands[n].receivedAt > waitingTimeout {
		r.reply(r.waitingCommands[n].from, r.notPrimaryReply(r.waitingCommands[n].body.ID), out)
		n++
	}
	r.waitingCommands = r.waitingCommands[n:]
}

// rejectAll rejects all that has no answer yet, since another leads now.
func (r *Replica) rejectAll(out *machine.Output) {
	for _, a := range r.pendingReplies {
		r.reply(a.to, r.notPrimaryReply(a.body.ID), out)
	}
	for _, w := range r.waitingCommands {
		r.reply(w.from, r.notPrimaryReply(w.body.ID), out)
	}
	r.pendingReplies, r.waitingCommands = nil, nil
}
