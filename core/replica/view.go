// The keeper's part in views: founding the first, following the leader, and
// leading the next. Only a member of the last view may lead the next, and its
// new backups are copied in full before the witnesses are asked. A process that
// starts again as primary asks for a new epoch first, so that no position of
// the ledger ever has two meanings.

package replica

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

func (r *Replica) runTimers(now time.Duration, out *machine.Output) {
	r.nextTimer = now + heartbeatInterval/3
	if !r.identitySynced {
		// An identity that is told but lost with the power would hold a seat for ever.
		return
	}
	r.rejectExpired(now, out)
	for address, f := range r.subscribers {
		if now > f.expiresAt {
			delete(r.subscribers, address)
			delete(r.pendingSnapshots, address)
		}
	}
	r.releaseSource(now)
	r.retryChunkRequest(now, out)
	switch {
	case r.acceptor.KnownView.Epoch == 0:
		r.tryBootstrap(now)
		r.requestView(now, out)
	case r.isPrimary():
		r.lead(now, out)
	case r.isBackup():
		r.campaign(now, out)
	}
	unheard := now-r.peers[r.acceptor.KnownView.Primary.ID].heardAt > 2*suspectTimeout || r.isPrimary() && !r.hearsMajority(now)
	if unheard || !paxos.ContainsMember(r.acceptor.KnownView.Voters, r.self.ID) {
		r.requestView(now, out)
	}
}

// view is the next view with these members and the same witnesses.
func (r *Replica) nextView(primary wire.Member, backups []wire.Member) wire.View {
	v := wire.View{Epoch: r.acceptor.KnownView.Epoch + 1, Primary: primary, Backups: backups, Voters: r.acceptor.KnownView.Voters}
	if primary.ID == r.self.ID {
		v.BootID = r.config.BootID
	}
	return v
}

// width is how many backups the next view shall have: with them and the primary
// gone but one, the rest of the witnesses must still be a majority.
func (r *Replica) backupCount() int {
	return max(1, min(r.config.BackupCount, (len(r.acceptor.KnownView.Voters)-1)/2))
}

// crew are the backups to go on with, none of those given: a leader's own while
// they are heard, then those that have everything, then those last heard.
func (r *Replica) pickBackups(now time.Duration, not ...string) []wire.Member {
	rank := func(s wire.Member) int {
		switch {
		case r.isPrimary() && paxos.ContainsMember(r.acceptor.KnownView.Backups, s.ID) && !r.isSilent(now, s):
			return 0
		case r.isReadyBackup(now, s):
			return 1
		}
		return 2
	}
	var out []wire.Member
	for _, s := range r.acceptor.KnownView.Voters {
		if s.ID != r.self.ID && !slices.Contains(not, s.ID) {
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := rank(out[i]), rank(out[j]); a != b {
			return a < b
		}
		return r.peers[out[i].ID].heardAt > r.peers[out[j].ID].heardAt
	})
	return out[:min(r.backupCount(), len(out))]
}

// ready says whether a seat may be a backup of the next view: it stands where this
// keeper does, or, while this one serves, where all that is committed is. What a
// serving primary commits from then on, it commits with that seat.
func (r *Replica) isReadyBackup(now time.Duration, s wire.Member) bool {
	p := r.peers[s.ID]
	if !p.replicating || now-p.heardAt >= suspectTimeout {
		return false
	}
	return p.match == r.store.Position() || r.serving && p.match.Index >= r.commitIndex
}

// stand has a backup that misses the primary lead the next view. From before its
// first line to the others on, nothing is committed in this epoch by its acks any
// more, nor after a restart: else the next view could be decided with backups that
// lack what was committed meanwhile. Those later in rank give it time.
func (r *Replica) campaign(now time.Duration, out *machine.Output) {
	known := r.acceptor.KnownView
	rank := slices.IndexFunc(known.Backups, func(s wire.Member) bool { return s.ID == r.self.ID })
	missed := now - max(r.peers[known.Primary.ID].heardAt, r.startedAt)
	if f := r.announcements[known.Primary.Address]; r.confirmedDead(known.Primary) {
		missed = max(missed, suspectTimeout+time.Nanosecond+now-f.receivedAt)
	}
	if missed <= suspectTimeout+time.Duration(rank)*candidacyDelay {
		return
	}
	for _, s := range known.Backups[:rank] {
		if now-r.peers[s.ID].heardAt < 2*heartbeatInterval && missed < 2*suspectTimeout {
			return
		}
	}
	if r.candidateEpoch != known.Epoch {
		r.candidateEpoch = known.Epoch
		r.putRecord(keyCandidateEpoch, r.candidateEpoch)
	}
	if r.syncedCandidateEpoch != known.Epoch {
		return
	}
	for _, s := range known.Voters {
		if s.ID != r.self.ID && s.ID != known.Primary.ID {
			r.probe(now, s, out)
		}
	}
	r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now, known.Primary.ID)), out)
}

// retake has a primary that was restarted go on with its backups, or with others
// while only those are heard. It asks all the while. If it asked just some, and one
// of them never came back, the rest could not make themselves heard.
func (r *Replica) reclaimLeadership(now time.Duration, out *machine.Output) {
	for _, s := range r.acceptor.KnownView.Voters {
		if s.ID != r.self.ID {
			r.probe(now, s, out)
		}
	}
	r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now)), out)
}

// silent says whether a leader has not heard from a witness for long, or knows
// that it is gone.
func (r *Replica) isSilent(now time.Duration, s wire.Member) bool {
	return now-max(r.peers[s.ID].heardAt, r.viewSince) > suspectTimeout || r.confirmedDead(s)
}

// gone says whether another disk's identity has spoken from a seat's own address
// since the seat was last heard: two processes cannot stand at one address, so
// nothing needs to be waited for. It only hastens a proposal; who may lead and
// who decides are the same.
func (r *Replica) confirmedDead(s wire.Member) bool {
	f, ok := r.announcements[s.Address]
	return ok && f.Member.ID != s.ID && f.receivedAt > r.peers[s.ID].heardAt
}

// hears says whether a leader has just heard from a majority of the witnesses, itself
// among them. Without them it can commit nothing and have no view decided. It must then
// send no heartbeats: if its lines arrive although it hears nobody, its backups would
// not miss it, and nobody would serve.
func (r *Replica) hearsMajority(now time.Duration) bool {
	if now-r.viewSince <= suspectTimeout {
		return true
	}
	heard := map[string]bool{r.self.ID: true}
	for _, s := range r.acceptor.KnownView.Voters {
		f := r.announcements[s.Address]
		found := f.Member.ID == s.ID && now-f.receivedAt <= suspectTimeout
		if found || now-r.peers[s.ID].heardAt <= suspectTimeout {
			heard[s.ID] = true
		}
	}
	return paxos.HasMajority(r.acceptor.KnownView.Voters, heard)
}

func (r *Replica) lead(now time.Duration, out *machine.Output) {
	if !r.hearsMajority(now) {
		return
	}
	known := r.acceptor.KnownView
	if known.BootID != r.config.BootID {
		r.reclaimLeadership(now, out)
		return
	}
	away := slices.ContainsFunc(known.Backups, func(s wire.Member) bool { return r.isSilent(now, s) })
	if !r.serving {
		all := true
		for _, s := range known.Backups {
			r.probe(now, s, out)
			all = all && r.peers[s.ID].replicating && r.peers[s.ID].match == r.store.Position()
		}
		if all {
			r.startServing(now, out)
		} else if away {
			r.reclaimLeadership(now, out)
		}
		return
	}
	if now >= r.nextTickAt && !r.stopping {
		r.nextTickAt = now + tickInterval
		if r.store.TickDue(r.termStartTime + now - r.viewSince) {
			r.apply(now, state.Command{Kind: state.KindTick})
		}
	}
	stands := slices.ContainsFunc(known.Backups, func(s wire.Member) bool { return r.peers[s.ID].candidate })
	if away || stands || len(known.Backups) < r.backupCount() || len(r.proposedBackups) > 0 && now-r.proposedAt > suspectTimeout/2 {
		r.proposeWhenReady(now, r.nextView(r.self, r.pickBackups(now)), out)
		return
	}
	if r.replaceSlowMember(now, out) {
		return
	}
	if r.stopping {
		r.proposeWhenReady(now, r.nextView(known.Backups[0], r.pickBackups(now, known.Backups[0].ID)), out)
	}
	r.replaceLostMember(now, out)
}

// slow gives the lead to a backup when this keeper's own disk has been at one
// batch for long, and takes another seat for a backup whose disk has.
func (r *Replica) replaceSlowMember(now time.Duration, out *machine.Output) bool {
	known := r.acceptor.KnownView
	var slowMembers []string
	var ahead wire.Member
	for _, s := range known.Backups {
		p := r.peers[s.ID]
		if p.match.Index >= p.awaitedIndex {
			p.awaitedIndex, p.awaitedSince = r.broadcastEnd.Index, now
			r.peers[s.ID] = p
		}
		if now-p.awaitedSince > slowDiskTimeout || p.stopping {
			slowMembers = append(slowMembers, s.ID)
		} else if p.replicating && p.match.Index >= r.syncedIndex && (ahead.ID == "" || p.match.Index > r.peers[ahead.ID].match.Index) {
			ahead = s
		}
	}
	allReady := func(seats []wire.Member) bool {
		return len(seats) == r.backupCount() && !slices.ContainsFunc(seats, func(s wire.Member) bool { return !r.isReadyBackup(now, s) })
	}
	if len(r.inFlightWrites) > 0 && now-r.writeStartedAt > slowDiskTimeout && ahead.ID != "" {
		if crew := r.pickBackups(now, append(slowMembers, ahead.ID)...); allReady(crew) {
			r.proposeWhenReady(now, r.nextView(ahead, crew), out)
			return true
		}
	}
	if len(slowMembers) > 0 {
		crew := r.pickBackups(now, slowMembers...)
		if allReady(crew) && slices.ContainsFunc(crew, func(s wire.Member) bool {
			ahead := r.peers[s.ID].match.Index > r.peers[slowMembers[0]].match.Index
			return !paxos.ContainsMember(known.Backups, s.ID) && (ahead || r.peers[slowMembers[0]].stopping)
		}) {
			r.proposeWhenReady(now, r.nextView(r.self, crew), out)
			return true
		}
	}
	return false
}

// awaitsSuccessor says whether this is a backup that is stopped and that the leader has
// not replaced yet.
func (r *Replica) awaitsSuccessor(now time.Duration) bool {
	return r.isBackup() && now-r.stopRequestedAt < successorTimeout
}

// replace changes the witness set for a keeper that has vanished, once another
// stands ready at a new identity. A new leader gives all a moment to answer first.
// Newcomers that cannot be heard are passed over: members remember the dead.
func (r *Replica) replaceLostMember(now time.Duration, out *machine.Output) {
	known := r.acceptor.KnownView
	for _, old := range known.Voters {
		vanished := now-r.peers[old.ID].heardAt > memberLossTimeout && now-r.viewSince > 3*heartbeatInterval
		if old.ID == r.self.ID || paxos.ContainsMember(known.Backups, old.ID) || !vanished && !r.confirmedDead(old) {
			continue
		}
		r.admitMember(now, old, out)
		return
	}
	if len(known.Voters) < 2*r.config.BackupCount+1 {
		r.admitMember(now, wire.Member{}, out)
	}
}

// admit gives the seat of another, or one more, to the first newcomer that answers,
// once it is behind by no more than what may be under way.
func (r *Replica) admitMember(now time.Duration, old wire.Member, out *machine.Output) {
	for _, seat := range r.spareReplicas(now, old) {
		r.probe(now, seat, out)
		p := r.peers[seat.ID]
		if p.heardAt == 0 || now-p.heardAt > suspectTimeout {
			continue
		}
		if p.replicating && r.logTail.Within(p.match, r.store.Position(), maxWindowCommands, maxWindowBytes) {
			v := r.nextView(r.self, r.acceptor.KnownView.Backups)
			v.Voters = slices.DeleteFunc(slices.Clone(v.Voters), func(s wire.Member) bool { return s.ID == old.ID })
			v.Voters = append(v.Voters, seat)
			r.propose(now, v, out)
		}
		return
	}
}

// newcomers are keepers without a seat: the one at the address of the seat that
// is free, those that asked for the view a moment ago, then those that the
// members know; of each, those of sites with the fewest seats first.
func (r *Replica) spareReplicas(now time.Duration, old wire.Member) []wire.Member {
	var out []wire.Member
	for _, f := range r.announcements {
		if !f.Proxy && now-f.receivedAt < suspectTimeout && !paxos.ContainsMember(r.acceptor.KnownView.Voters, f.Member.ID) {
			out = append(out, f.Member)
		}
	}
	perZone := map[string]int{}
	for _, s := range r.acceptor.KnownView.Voters {
		if s.ID != old.ID {
			perZone[s.Zone]++
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].Address == old.Address, out[j].Address == old.Address; a != b {
			return a
		}
		if a, b := perZone[out[i].Zone], perZone[out[j].Zone]; a != b {
			return a < b
		}
		return out[i].ID < out[j].ID
	})
	announced := len(out)
	for _, n := range r.nodes {
		if n.Role == "keeper" && !paxos.ContainsMember(r.acceptor.KnownView.Voters, n.ID) && !paxos.ContainsMember(out, n.ID) {
			out = append(out, wire.Member{ID: n.ID, Address: n.Address, Zone: n.Zone})
		}
	}
	sort.SliceStable(out[announced:], func(i, j int) bool { return perZone[out[announced+i].Zone] < perZone[out[announced+j].Zone] })
	return out
}

func (r *Replica) startServing(now time.Duration, out *machine.Output) {
	r.serving, r.termStartTime, r.viewSince = true, r.store.Now()+time.Nanosecond, now
	// All backups have everything, but this disk may still be at what was not answered before.
	r.commitIndex = min(r.store.Position().Index, r.syncedIndex)
	r.publishedIndex = r.commitIndex
	r.broadcastEnd = r.store.Position()
	for _, s := range r.acceptor.KnownView.Backups {
		p := r.peers[s.ID]
		p.awaitedIndex, p.awaitedSince = r.broadcastEnd.Index, now
		r.peers[s.ID] = p
	}
	r.announcePrimary(out)
	r.beginTerm(now, out)
	out.Log("serving", "epoch", r.acceptor.KnownView.Epoch, "sequence", r.commitIndex, "backups", addresses(r.acceptor.KnownView.Backups))
}

func addresses(seats []wire.Member) []string {
	out := make([]string, 0, len(seats))
	for _, s := range seats {
		out = append(out, s.Address)
	}
	return out
}

// announce names the primary: a leader that goes to its followers, a new one to
// every daemon it knows, so that nobody has to find it by trying.
func (r *Replica) announcePrimary(out *machine.Output) {
	to := make([]string, 0, len(r.subscribers)+len(r.nodes))
	for address := range r.subscribers {
		to = append(to, address)
	}
	if r.isPrimary() {
		for _, n := range r.nodes {
			if n.Role != "keeper" {
				to = append(to, n.Address)
			}
		}
	}
	slices.Sort(to)
	for _, address := range slices.Compact(to) {
		out.Send(address, wire.KindFeedUpdate, wire.FeedUpdate{Rejected: true, Epoch: r.acceptor.KnownView.Epoch, Primary: r.acceptor.KnownView.Primary.Address})
	}
}

// next makes sure that the new backups have everything, then asks the witnesses.
func (r *Replica) proposeWhenReady(now time.Duration, v wire.View, out *machine.Output) {
	ready := len(v.Backups) == r.backupCount()
	for _, s := range v.Backups {
		if r.isReadyBackup(now, s) {
			continue
		}
		if ready = false; !r.serving || !paxos.ContainsMember(r.acceptor.KnownView.Backups, s.ID) {
			r.probe(now, s, out)
		}
	}
	if ready {
		r.propose(now, v, out)
	}
}

func (r *Replica) propose(now time.Duration, v wire.View, out *machine.Output) {
	if now-r.proposedAt < r.proposalBackoff() && r.proposedAt > 0 {
		return
	}
	r.proposedAt = now
	if r.serving {
		r.proposedBackups = paxos.UnionMembers(r.proposedBackups, v.Backups)
	}
	highestSeen := r.lastBallot
	for _, b := range []wire.Ballot{r.proposal.HighestPromised, r.acceptor.Promised} {
		if highestSeen.Less(b) {
			highestSeen = b
		}
	}
	var requests []wire.PaxosMessage
	r.proposal, requests = paxos.NewProposal(r.acceptor.KnownView, v, r.self, strconv.FormatUint(r.config.BootID, 36), highestSeen)
	r.lastBallot = r.proposal.Ballot
	out.Log("view_proposed", "epoch", v.Epoch, "primary", v.Primary.Address, "backups", addresses(v.Backups), "round", r.lastBallot.Round)
	r.sendRequests(wire.KindPrepare, requests, out)
}

// backoff spreads two candidates apart, without a clock or chance, and grows,
// so that votes from slow disks come before the next ballot makes them void.
func (r *Replica) proposalBackoff() time.Duration {
	h := fnv.New32a()
	h.Write([]byte{byte(r.lastBallot.Round)})
	h.Write([]byte(r.self.ID))
	wait := 200*time.Millisecond + time.Duration(h.Sum32()%300)*time.Millisecond
	return min(wait<<min(r.lastBallot.Round/2, 10), maxProposalBackoff)
}

func (r *Replica) sendRequests(kind string, requests []wire.PaxosMessage, out *machine.Output) {
	members := paxos.UnionMembers(r.proposal.CurrentView.Voters, r.proposal.Value.Voters)
	for _, b := range requests {
		i := slices.IndexFunc(members, func(s wire.Member) bool { return s.ID == b.To })
		out.Send(members[i].Address, kind, b)
	}
}

func (r *Replica) handlePaxosRequest(now time.Duration, from, kind string, b wire.PaxosMessage, out *machine.Output) {
	r.adoptView(now, b.KnownView, out)
	state, reply, ok := r.acceptor.HandleRequest(r.self, kind, b)
	if !ok {
		return
	}
	replyKind := wire.KindPrepareReply
	if kind == wire.KindAccept {
		replyKind = wire.KindAcceptReply
	}
	r.acceptor = state
	r.putRecord(keyAcceptor, r.acceptor)
	r.sendsAfterSync = append(r.sendsAfterSync, machine.OutgoingMessage{To: from, Kind: replyKind, Body: reply})
}

func (r *Replica) handlePaxosReply(now time.Duration, kind string, b wire.PaxosMessage, out *machine.Output) {
	r.adoptView(now, b.KnownView, out)
	var requests []wire.PaxosMessage
	var decided wire.View
	r.proposal, requests, decided = r.proposal.HandleReply(r.self, kind, b)
	r.sendRequests(wire.KindAccept, requests, out)
	if decided.Epoch > 0 {
		for _, s := range paxos.UnionMembers(r.proposal.CurrentView.Voters, decided.Voters) {
			if s.ID != r.self.ID {
				out.Send(s.Address, wire.KindDecided, wire.PaxosMessage{KnownView: decided})
			}
		}
		r.adoptView(now, decided, out)
	}
}

// learn takes a decided view. A leader that is replaced rejects all it has not
// answered; the caller asks again, and nothing was promised. One that keeps the
// lead keeps these answers: they go out once the new backups have the commands.
func (r *Replica) adoptView(now time.Duration, v wire.View, out *machine.Output) {
	state, newer := r.acceptor.LearnView(v)
	if !newer {
		return
	}
	r.resuming = r.keepsLeadership(v)
	r.acceptor = state
	r.putRecord(keyAcceptor, r.acceptor)
	r.proposal, r.lastBallot, r.proposedAt = paxos.Proposal{}, wire.Ballot{}, 0
	if !r.resuming {
		r.rejectAll(out)
	}
	r.pendingAcks, r.serving, r.commitIndex, r.proposedBackups = nil, false, 0, nil
	r.viewSince = now
	for id, p := range r.peers {
		r.peers[id] = progress{heardAt: p.heardAt, match: p.match, awaitedIndex: p.awaitedIndex, awaitedSince: p.awaitedSince}
	}
	r.source, r.incoming = nil, nil
	if !r.isPrimary() {
		r.announcePrimary(out)
		r.subscribers, r.pendingSnapshots = map[string]subscriber{}, map[string]wire.FeedUpdate{}
	}
	if p := r.peers[v.Primary.ID]; p.heardAt < now {
		p.heardAt = now
		r.peers[v.Primary.ID] = p
	}
	out.Log("view_learned", "epoch", v.Epoch, "primary", v.Primary.Address, "backups", addresses(v.Backups), "witnesses", len(v.Voters))
}

// bouncedView refuses the lines of a leader whose epoch has passed, and those
// of one that is neither primary nor backup of the known view.
func (r *Replica) rejectStaleSender(now time.Duration, from string, v wire.View, sender wire.Member, boot, token uint64, out *machine.Output) bool {
	r.adoptView(now, v, out)
	known := r.acceptor.KnownView
	member := sender.ID == known.Primary.ID || paxos.ContainsMember(known.Backups, sender.ID) && !r.isPrimary()
	if v.Epoch != known.Epoch || !member || sender.ID == r.self.ID || r.isPrimary() && r.serving {
		body := wire.ReplicateAck{BootID: boot, Epoch: v.Epoch, From: r.self, SendID: token, Position: r.store.Position(), KnownView: known}
		out.Send(from, wire.KindReplicateAck, body)
		return true
	}
	p := r.peers[sender.ID]
	p.heardAt = now
	r.peers[sender.ID] = p
	return false
}

// seek asks founders, the known seats and other keepers for the view.
func (r *Replica) requestView(now time.Duration, out *machine.Output) {
	if now-r.viewRequestedAt < 2*heartbeatInterval && r.viewRequestedAt > 0 {
		return
	}
	targets := slices.Clone(r.config.Founders)
	for _, s := range r.acceptor.KnownView.Voters {
		if !slices.Contains(targets, s.Address) {
			targets = append(targets, s.Address)
		}
	}
	for _, n := range r.nodes {
		if n.Role == "keeper" && !slices.Contains(targets, n.Address) {
			targets = append(targets, n.Address)
		}
	}
	for _, to := range targets {
		if to != r.self.Address {
			r.viewRequestedAt = now
			out.Send(to, wire.KindBootstrapProbe, r.selfAnnouncement())
		}
	}
}

func (r *Replica) selfAnnouncement() wire.BootstrapStatus {
	return wire.BootstrapStatus{Member: r.self, Empty: r.acceptor.KnownView.Epoch == 0, View: r.acceptor.KnownView}
}

func (r *Replica) handleAnnouncement(now time.Duration, line machine.Message, b wire.BootstrapStatus, out *machine.Output) {
	if line.Kind == wire.KindBootstrapProbe {
		r.sendsAfterSync = append(r.sendsAfterSync, machine.OutgoingMessage{To: line.From, Kind: wire.KindBootstrapReply, Body: r.selfAnnouncement()})
	}
	r.adoptView(now, b.View, out)
	r.announcements[b.Member.Address] = announcement{b, now}
	r.tryBootstrap(now)
}

// establish founds the cluster. All founders must have answered, each with an empty
// disk or as one without; the smallest of those with a disk founds, or, where none
// has one, the smallest keeper that the members know. It takes the founders. Where
// they are too few, or a site would hold more seats than may be lost, it waits a
// while for others.
func (r *Replica) tryBootstrap(now time.Duration) {
	if r.acceptor.KnownView.Epoch > 0 || r.bootstrapView.Epoch > 0 || !r.identitySynced || len(r.config.Founders) < 3 {
		return
	}
	waited := now-r.startedAt > bootstrapWait
	members := []wire.Member{r.self}
	founders := 0
	for _, address := range r.config.Founders {
		f := r.announcements[address]
		switch {
		case address == r.self.Address:
			founders++
			continue
		case f.Member.ID == "" || !f.Empty:
			return
		case f.Proxy:
			continue
		case address < r.self.Address || paxos.ContainsMember(members, f.Member.ID):
			return
		}
		founders++
		members = append(members, f.Member)
	}
	founds := slices.Contains(r.config.Founders, r.self.Address)
	if founders > 0 && !founds {
		return
	}
	if founders == 0 && (!waited || slices.ContainsFunc(r.nodes, func(n wire.Node) bool { return n.Role == "keeper" && n.Address < r.self.Address })) {
		return
	}
	others := []wire.Member{}
	for _, f := range r.announcements {
		if f.Empty && !f.Proxy && now-f.receivedAt < suspectTimeout && !paxos.ContainsMember(members, f.Member.ID) {
			others = append(others, f.Member)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Address < others[j].Address })
	sort.Slice(members, func(i, j int) bool { return members[i].Address < members[j].Address })
	copies := max(1, r.config.BackupCount)
	if copies > 1 || founders < 3 || maxPerZone(members) > copies {
		all := append(members, others...)
		if members = spreadOverZones(r.self, all, 2*copies+1); !waited && (len(members) < 2*copies+1 || maxPerZone(members) > copies) {
			return
		}
		if len(members)%2 == 0 {
			members = members[:len(members)-1]
		}
	}
	if len(members) < 3 {
		return
	}
	r.writeBootstrapView(wire.View{Epoch: 1, BootID: r.config.BootID, Primary: members[0], Backups: members[1 : 1+min(copies, (len(members)-1)/2)], Voters: members})
}

// firstView writes the view that this keeper founds. It goes by it and tells it only once
// it is synced: else all could lose power with the view on the disk of one that is no
// founder, the founders found another, and two first views have two successors.
func (r *Replica) writeBootstrapView(v wire.View) {
	r.bootstrapView, r.bootstrapWrite = v, r.lastWriteID+1
	r.putRecord(keyAcceptor, paxos.Acceptor{KnownView: v})
}

// spread chooses seats, this one first, from the site that has the fewest of them
// each time, in the order given.
func spreadOverZones(first wire.Member, from []wire.Member, count int) []wire.Member {
	out, perZone := []wire.Member{first}, map[string]int{first.Zone: 1}
	for len(out) < min(count, len(from)) {
		var best *wire.Member
		for i, s := range from {
			if !paxos.ContainsMember(out, s.ID) && (best == nil || perZone[s.Zone] < perZone[best.Zone]) {
				best = &from[i]
			}
		}
		out = append(out, *best)
		perZone[best.Zone]++
	}
	return out
}

// most is how many seats the site with the most of them holds.
func maxPerZone(members []wire.Member) (count int) {
	perZone := map[string]int{}
	for _, s := range members {
		perZone[s.Zone]++
		count = max(count, perZone[s.Zone])
	}
	return count
}

// Status is what the keeper shows of itself.
type Status struct {
	ID            string            `json:"id"`
	View          wire.View         `json:"view"`
	Serving       bool              `json:"serving"`
	Position      state.LogPosition `json:"at"`
	CommitIndex   uint64            `json:"committed"`
	ConfigVersion uint64            `json:"planSequence"`
	Code          status.Code       `json:"code"`
}

func (r *Replica) Status() Status {
	return Status{ID: r.self.ID, View: r.acceptor.KnownView, Serving: r.serving, Position: r.store.Position(), CommitIndex: r.commitIndex, ConfigVersion: r.store.Config().Version}
}
