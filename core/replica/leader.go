package replica

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// runPrimary performs the primary's time-driven work. It runs after every input; isTimer is
// set if the input was a timer.
//
// A restarted primary proposes a new view before it serves. Commands that it sent before the
// restart may have reached others but not its own disk, and no log position may ever be given
// to two commands.
func (r *Replica) runPrimary(now time.Duration, isTimer bool, out *machine.Output) {
	if !r.hearsMajority(now) {
		return
	}
	if r.view().BootID != r.config.BootID {
		r.reclaimLeadership(now, out)
		return
	}
	if !r.leadership.serving {
		r.prepareToServe(now, out)
		return
	}
	r.tickIfDue(now, out)
	if isTimer {
		r.watchDisks(out)
	}
	if r.needsNewBackups(now) {
		r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now)), out)
		return
	}
	if r.replaceSlowMember(now, out) {
		return
	}
	if r.stopping {
		successor := r.view().Backups[0]
		r.proposeWhenReady(now, r.nextView(successor, r.pickBackups(now, successor.ID)), out)
	}
	r.replaceLostMember(now, out)
}

// prepareToServe brings the backups to this primary's position and then starts serving. If a
// backup is silent, it proposes a view with another one.
func (r *Replica) prepareToServe(now time.Duration, out *machine.Output) {
	upToDate := true
	for _, member := range r.view().Backups {
		r.probe(now, member, out)
		upToDate = upToDate && r.peers.of(member.ID).has(r.log.position())
	}
	if upToDate {
		r.startServing(now, out)
	} else if r.hasSilentBackup(now) {
		r.reclaimLeadership(now, out)
	}
}

// startServing begins to accept commands. All backups have the whole log, but its last
// commands may still be in flight to this disk, so only those synced here are committed.
func (r *Replica) startServing(now time.Duration, out *machine.Output) {
	r.leadership.serving, r.leadership.storeTime = true, r.log.store.Now()+time.Nanosecond
	r.roleSince = now
	position := r.log.position()
	r.log.commitIndex = min(position.Index, r.log.syncedIndex)
	r.feed.publishedIndex = r.log.commitIndex
	r.replication.startAt(position)
	for _, member := range r.view().Backups {
		r.peers.of(member.ID).await(r.activeClock.elapsed, position.Index)
	}
	r.announcePrimary(out)
	if !r.leadership.resuming {
		r.leadership.terms++
		r.leadership.confirmedSince = now
	}
	r.leadership.resuming = false
	r.recountTenants(out)
	r.executeHeld(now, out)
	out.Log("serving", "epoch", r.view().Epoch, "index", r.log.commitIndex, "backups", addresses(r.view().Backups))
}

// tickIfDue runs the checks of the tick interval and applies a tick command if the state has
// time-driven work due.
func (r *Replica) tickIfDue(now time.Duration, out *machine.Output) {
	if now < r.leadership.nextTickAt || r.stopping {
		return
	}
	r.leadership.nextTickAt = now + tickInterval
	r.trackConfirmation(now)
	r.watchLag(now, out)
	servingSince := r.StateTime(r.leadership.confirmedSince)
	if r.log.store.TickDue(r.StateTime(now), servingSince) {
		r.apply(now, state.Command{Kind: state.KindTick, ServingSince: servingSince})
	}
}

// trackConfirmation updates since when the leadership has been confirmed without a gap. While
// this primary was suspended, or cut off from its backups or from all workers, no worker's
// heartbeat could be recorded.
func (r *Replica) trackConfirmation(now time.Duration) {
	confirmed := r.LeadershipConfirmed(now) && !r.hearsNoWorker(now)
	if !confirmed || now-r.leadership.confirmedAt > suspectTimeout {
		r.leadership.confirmedSince = now
	}
	if confirmed {
		r.leadership.confirmedAt = now
	}
}

// NoteWorkerHeard records that a heartbeat of any worker has reached this process.
func (r *Replica) NoteWorkerHeard(now time.Duration) { r.leadership.workersHeardAt = now }

// hearsNoWorker reports whether there are several workers and no heartbeat of any of them has
// reached this primary for the heartbeat timeout. In that case it is assumed that the primary
// is unreachable, not that all workers are silent. It uses the arrival of heartbeats rather
// than the renewals in the state, which are late under overload.
func (r *Replica) hearsNoWorker(now time.Duration) bool {
	store := r.log.store
	heardAt := max(r.leadership.workersHeardAt, r.roleSince)
	return len(store.WorkerEntries()) > 1 && now-heardAt > store.Config().Limits.HeartbeatTimeout.Duration
}

// needsNewBackups reports whether the view has too few backups, or one of them is silent or a
// candidate and no longer counts for commits. It also returns true if a proposed view has been
// undecided for half the suspect timeout: until it is decided, commits require its backups,
// too.
func (r *Replica) needsNewBackups(now time.Duration) bool {
	backups := r.view().Backups
	isCandidate := func(member wire.Member) bool { return r.peers.of(member.ID).candidate }
	return r.hasSilentBackup(now) || slices.ContainsFunc(backups, isCandidate) ||
		len(backups) < r.backupCount() || r.election.undecidedFor(now) > suspectTimeout/2
}

func (r *Replica) hasSilentBackup(now time.Duration) bool {
	return slices.ContainsFunc(r.view().Backups, func(member wire.Member) bool { return r.isSilent(now, member) })
}

// isSilent reports whether a member was not heard for the suspect timeout, or is confirmed
// dead.
func (r *Replica) isSilent(now time.Duration, member wire.Member) bool {
	return now-max(r.peers.heardAt(member.ID), r.roleSince) > suspectTimeout || r.confirmedDead(member)
}

// hearsMajority reports whether this primary has heard from a majority of the voters, itself
// included, within the suspect timeout. Without a majority it can neither commit commands nor
// get a view decided, and it must not send heartbeats: if its messages still arrived although
// it hears nobody, its backups would not suspect it, and no replica would serve.
func (r *Replica) hearsMajority(now time.Duration) bool {
	if now-r.roleSince <= suspectTimeout {
		return true
	}
	voters, heard := r.view().Voters, 0
	for i := range voters {
		id := voters[i].ID
		if id == r.self.ID || now-r.peers.heardAt(id) <= suspectTimeout || r.discovery.heard(now, voters[i]) {
			heard++
		}
	}
	return heard > len(voters)/2
}
