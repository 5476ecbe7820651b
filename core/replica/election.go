package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

// election is the state of this replica's attempts to get the next view decided.
type election struct {
	proposal   paxos.Proposal
	lastBallot wire.Ballot
	proposedAt time.Duration // of the last proposal in this epoch; 0 if there was none
	// proposedBackups are the backups of all views that this replica proposed in this
	// epoch while it served. Any of these views may still be decided.
	proposedBackups []wire.Member
	// candidateEpoch is the last epoch in which this replica, as a backup, became a candidate
	// for primary of the next one; syncedCandidateEpoch is the same value once it is on the
	// disk.
	candidateEpoch       uint64
	syncedCandidateEpoch uint64
}

// beginEpoch resets the proposal state at the start of an epoch.
func (e *election) beginEpoch() {
	e.proposal, e.lastBallot, e.proposedAt, e.proposedBackups = paxos.Proposal{}, wire.Ballot{}, 0, nil
}

// undecidedFor returns the time since a serving primary last proposed a view that is still
// undecided, or 0 if there is no such view.
func (e *election) undecidedFor(now time.Duration) time.Duration {
	if len(e.proposedBackups) == 0 {
		return 0
	}
	return now - e.proposedAt
}

// highestBallot returns the highest ballot that this replica has seen in this epoch.
func (e *election) highestBallot(promised wire.Ballot) wire.Ballot {
	highest := e.lastBallot
	for _, ballot := range []wire.Ballot{e.proposal.HighestPromised, promised} {
		if highest.Less(ballot) {
			highest = ballot
		}
	}
	return highest
}

// backoff returns the minimum time between two ballots. It is derived from a hash of the ID
// rather than from a clock or random numbers, so that it differs between candidates. It grows
// with the round, so that votes from slow disks arrive before the next ballot invalidates
// them.
func (e *election) backoff(id string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte{byte(e.lastBallot.Round)})
	h.Write([]byte(id))
	wait := 200*time.Millisecond + time.Duration(h.Sum32()%300)*time.Millisecond
	return min(wait<<min(e.lastBallot.Round/2, 10), maxProposalBackoff)
}

// campaign makes a backup that no longer hears the primary propose itself as the next one.
// Backups later in the view's order wait longer, so that earlier ones go first.
//
// The candidacy is synced before the proposal. From then on, also after a restart, this
// replica's acknowledgements mark it as a candidate, and the primary does not count them for
// commits in this epoch. Otherwise the primary could use them to commit commands that the
// backups of the proposed view lack.
func (r *Replica) campaign(now time.Duration, out *machine.Output) {
	known := r.view()
	if !r.mayCampaign(now) {
		return
	}
	if r.election.candidateEpoch != known.Epoch {
		r.election.candidateEpoch = known.Epoch
		r.disk.putRecord(keyCandidateEpoch, r.election.candidateEpoch)
	}
	if r.election.syncedCandidateEpoch != known.Epoch {
		return
	}
	for _, member := range known.Voters {
		if member.ID != r.self.ID && member.ID != known.Primary.ID {
			r.probe(now, member, out)
		}
	}
	r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now, known.Primary.ID)), out)
}

// mayCampaign reports whether the primary has been silent for long enough for this backup's
// rank, and no backup ranked before it was heard recently. After a silence of twice the
// suspect timeout the other backups no longer matter.
func (r *Replica) mayCampaign(now time.Duration) bool {
	known := r.view()
	rank := slices.IndexFunc(known.Backups, func(member wire.Member) bool { return member.ID == r.self.ID })
	silence := now - max(r.peers.heardAt(known.Primary.ID), r.startedAt)
	if r.confirmedDead(known.Primary) {
		since := now - r.discovery.announcements[known.Primary.Address].receivedAt
		silence = max(silence, suspectTimeout+time.Nanosecond+since)
	}
	if silence <= suspectTimeout+time.Duration(rank)*candidacyDelay {
		return false
	}
	if silence >= 2*suspectTimeout {
		return true
	}
	return !slices.ContainsFunc(known.Backups[:rank], func(member wire.Member) bool {
		return now-r.peers.heardAt(member.ID) < 2*heartbeatInterval
	})
}

// reclaimLeadership lets the primary, usually after a restart, propose a view in which it
// leads with its backups or, if these are silent, with other voters. It probes all voters: a
// voter that is not probed has no occasion to reply, so probing only some of them would fail
// if one of these never came back.
func (r *Replica) reclaimLeadership(now time.Duration, out *machine.Output) {
	for _, member := range r.view().Voters {
		if member.ID != r.self.ID {
			r.probe(now, member, out)
		}
	}
	r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now)), out)
}

// proposeWhenReady proposes a view once all its backups are up to date, and until then sends
// them the commands that they lack. The backups of a decided view therefore have every
// committed command.
func (r *Replica) proposeWhenReady(now time.Duration, view wire.View, out *machine.Output) {
	ready := len(view.Backups) == r.backupCount()
	for _, member := range view.Backups {
		if r.isReadyBackup(now, member) {
			continue
		}
		ready = false
		r.replication.replicatePromptly(now)
		broadcastReaches := r.leadership.serving && paxos.ContainsMember(r.view().Backups, member.ID)
		if !broadcastReaches {
			r.probe(now, member, out)
		}
	}
	if ready {
		r.propose(now, view, out)
	}
}

// propose starts a proposal for a view, with a ballot above all that this replica has seen,
// unless the backoff since the last proposal is not over.
func (r *Replica) propose(now time.Duration, view wire.View, out *machine.Output) {
	e := &r.election
	if e.proposedAt > 0 && now-e.proposedAt < e.backoff(r.self.ID) {
		return
	}
	e.proposedAt = now
	if r.leadership.serving {
		e.proposedBackups = paxos.UnionMembers(e.proposedBackups, view.Backups)
	}
	bootID := strconv.FormatUint(r.config.BootID, 36)
	highest := e.highestBallot(r.acceptor.Promised)
	var requests []wire.PaxosMessage
	e.proposal, requests = paxos.NewProposal(*r.view(), view, r.self, bootID, highest)
	e.lastBallot = e.proposal.Ballot
	out.Log("view_proposed", "epoch", view.Epoch, "primary", view.Primary.Address,
		"backups", addresses(view.Backups), "round", e.lastBallot.Round)
	r.sendPaxosRequests(wire.KindPrepare, requests, out)
}

func (r *Replica) sendPaxosRequests(kind string, requests []wire.PaxosMessage, out *machine.Output) {
	proposal := &r.election.proposal
	members := paxos.UnionMembers(proposal.CurrentView.Voters, proposal.Value.Voters)
	for _, request := range requests {
		i := slices.IndexFunc(members, func(member wire.Member) bool { return member.ID == request.To })
		out.Send(members[i].Address, kind, request)
	}
}

// handlePaxosRequest replies to a prepare or accept request once the acceptor's new state is
// synced. If an acceptor forgot a vote, an epoch could be decided twice.
func (r *Replica) handlePaxosRequest(
	now time.Duration, from, kind string, b wire.PaxosMessage, out *machine.Output,
) {
	r.adoptView(now, b.KnownView, out)
	acceptor, reply, ok := r.acceptor.HandleRequest(r.self, kind, b)
	if !ok {
		return
	}
	replyKind := wire.KindPrepareReply
	if kind == wire.KindAccept {
		replyKind = wire.KindAcceptReply
	}
	r.acceptor = acceptor
	r.disk.putRecord(keyAcceptor, r.acceptor)
	r.disk.sendAfterSync(from, replyKind, reply)
}

// handlePaxosReply counts a vote for this replica's proposal. Once the view is decided, it
// adopts it and announces it to the voters of the old and the new view.
func (r *Replica) handlePaxosReply(now time.Duration, kind string, b wire.PaxosMessage, out *machine.Output) {
	r.adoptView(now, b.KnownView, out)
	var requests []wire.PaxosMessage
	var decided wire.View
	r.election.proposal, requests, decided = r.election.proposal.HandleReply(r.self, kind, b)
	r.sendPaxosRequests(wire.KindAccept, requests, out)
	if decided.Epoch == 0 {
		return
	}
	for _, member := range paxos.UnionMembers(r.election.proposal.CurrentView.Voters, decided.Voters) {
		if member.ID != r.self.ID {
			out.Send(member.Address, wire.KindDecided, wire.PaxosMessage{KnownView: decided})
		}
	}
	r.adoptView(now, decided, out)
}
