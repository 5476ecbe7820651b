package replica

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// leadership is the state of a primary.
type leadership struct {
	serving bool
	// resuming is set while this process remains primary across a view change and waits for
	// the new backups to be up to date. It then continues to serve.
	resuming bool
	// terms counts the times that this process began to serve without resuming.
	terms uint64
	// storeTime is the state time at which this replica began to serve.
	storeTime time.Duration
	// confirmedSince is when the leadership became confirmed, without a gap since, and
	// confirmedAt is when it was last found to be confirmed.
	confirmedSince time.Duration
	confirmedAt    time.Duration
	// workersHeardAt is when a heartbeat of any worker last reached this process, whether or
	// not it was accepted.
	workersHeardAt time.Duration
	nextTickAt     time.Duration
	flushedAt      time.Duration
}

// adoptView adopts a decided view if it is newer than the known one.
//
// Nothing that was confirmed in the old epoch counts in the new one: acknowledgements,
// ballots and the commit index are reset. A replaced primary rejects all commands that have
// no reply yet; their senders were promised nothing and retry elsewhere. A primary that keeps
// its leadership also keeps the pending replies, and sends them once the new backups have the
// commands.
func (r *Replica) adoptView(now time.Duration, view wire.View, out *machine.Output) {
	acceptor, newer := r.acceptor.LearnView(view)
	if !newer {
		return
	}
	r.leadership.resuming = r.keepsLeadership(view)
	r.acceptor = acceptor
	r.disk.putRecord(keyAcceptor, r.acceptor)
	r.election.beginEpoch()
	if !r.leadership.resuming {
		r.rejectAll(out)
	}
	r.acks, r.leadership.serving, r.log.commitIndex = nil, false, 0
	r.roleSince = now
	r.peers.beginEpoch()
	r.snapshotSource, r.incoming = nil, nil
	if !r.isPrimary() {
		r.announcePrimary(out)
		r.feed.clear()
	}
	primary := r.peers.of(view.Primary.ID)
	primary.heardAt = max(primary.heardAt, now)
	out.Log("view_adopted", "epoch", view.Epoch, "primary", view.Primary.Address,
		"backups", addresses(view.Backups), "voters", len(view.Voters))
}

// keepsLeadership reports whether this process remains primary in the next view. No other
// replica can have committed anything in between, since the epochs are consecutive.
func (r *Replica) keepsLeadership(next wire.View) bool {
	known := r.view()
	leads := r.isPrimary() && known.BootID == r.config.BootID && (r.leadership.serving || r.leadership.resuming)
	return leads && next.Epoch == known.Epoch+1 && next.Primary.ID == r.self.ID && next.BootID == r.config.BootID
}

// nextView returns a view that follows the known one and has the same voters.
func (r *Replica) nextView(primary wire.Member, backups []wire.Member) wire.View {
	known := r.view()
	next := wire.View{Epoch: known.Epoch + 1, Primary: primary, Backups: backups, Voters: known.Voters}
	if primary.ID == r.self.ID {
		next.BootID = r.config.BootID
	}
	return next
}
