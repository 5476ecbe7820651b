// Package replica maintains one copy of the replicated state machine (package state) and of
// its log. It is itself a state machine without I/O: Step handles one input and returns the
// messages to send and the batches to write.
//
// Replication is primary-backup. The members of a numbered view are its voters; one of
// them is the primary, one or more others are its backups. The primary orders commands,
// applies them and replicates them. A command's result is returned only once the command
// is committed, that is once it is synced to the disks of the primary and of all backups of
// the view. The remaining voters receive the log too, but commits do not wait for them.
// Reads wait for a confirmation by all backups, so a primary that has been replaced without
// knowing it returns no stale state.
//
// The voters decide each view with package paxos, one instance per epoch. The primary of the
// next view is the primary or a backup of the current one and thus has every committed
// command; the backups of the next view have them before the view is proposed.
package replica

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// Replica is a member of the cluster, or a spare that no view contains yet. Its methods must
// not be called concurrently.
type Replica struct {
	config Config
	self   wire.Member
	// identitySynced is set once the identity of this replica is on its disk. The identity
	// must not be sent to anyone before that: if it were lost, others could count a member
	// that can never be reached again.
	identitySynced bool
	// acceptor is this replica's Paxos acceptor; it holds the newest known view.
	acceptor paxos.Acceptor

	// The log, and everything that waits until its commands are synced here or committed.
	log      replicatedLog
	disk     diskWriter
	acks     []pendingAck
	commands commandQueue
	overload overloadDetector
	audit    auditQueue
	feed     feedPublisher

	// Replication progress by peer, and the state of broadcasts.
	peers       progressMap
	replication replication

	// Views: serving as primary of the current one, proposing the next one, discovering newer
	// ones and bootstrapping the first.
	leadership leadership
	election   election
	discovery  discovery
	bootstrap  bootstrap

	// snapshotSource is the snapshot that is being sent to peers and incoming the one that is
	// being received; either is nil if there is none.
	snapshotSource *snapshotSource
	incoming       *incomingTransfer

	// recountDifferences counts the tenants' usage counts that a recount found wrong.
	recountDifferences uint64

	startedAt   time.Duration
	activeClock activeClock
	// roleSince is when the current view was adopted or, on its primary, when it began to
	// serve. It is the time of the first step if neither has happened since the start.
	roleSince       time.Duration
	wallClock       time.Time
	stopping        bool
	stopRequestedAt time.Duration
	// regularTimer is when the next periodic timer is due. Other inputs do not postpone it.
	regularTimer time.Duration
	nextTimer    time.Duration
}

// ID returns the identity of this replica, which is bound to its disk.
func (r *Replica) ID() string { return r.self.ID }

// NextTimer returns the time by which the replica must be stepped.
func (r *Replica) NextTimer() time.Duration { return r.nextTimer }

// View returns the newest view that this replica knows.
func (r *Replica) View() wire.View { return r.acceptor.KnownView }

// Serving reports whether this replica is the primary and accepts commands.
func (r *Replica) Serving() bool { return r.leadership.serving }

// Store returns the state with all logged commands applied, including uncommitted ones.
func (r *Replica) Store() *state.Store { return r.log.store }

// Starting reports whether this process is the primary of the known view but does not serve
// yet.
func (r *Replica) Starting() bool {
	return !r.leadership.serving && r.isPrimary() && r.view().BootID == r.config.BootID
}

// Resuming reports whether this replica remains primary across a view change and waits for
// the new backups to catch up.
func (r *Replica) Resuming() bool { return r.leadership.resuming }

// Terms returns how often this process has begun to serve, without the times when it remained
// primary across a view change.
func (r *Replica) Terms() uint64 { return r.leadership.terms }

// WritesIssued returns the number of disk writes issued so far.
func (r *Replica) WritesIssued() uint64 { return r.disk.lastWriteID }

// StateTime returns the state time that a command applied now would get.
func (r *Replica) StateTime(now time.Duration) time.Duration {
	return r.leadership.storeTime + now - r.roleSince
}

// MemberAddresses returns the addresses of the known view's voters.
func (r *Replica) MemberAddresses() []string { return addresses(r.view().Voters) }

// ReplicasAfter returns the known view's voters if its epoch is above the given one, and an
// empty list otherwise.
func (r *Replica) ReplicasAfter(epoch uint64) wire.ReplicaList {
	if r.view().Epoch <= epoch {
		return wire.ReplicaList{}
	}
	return wire.ReplicaList{Epoch: r.view().Epoch, Addresses: r.MemberAddresses()}
}

// view returns the newest known view without copying it; adoptView changes it.
func (r *Replica) view() *wire.View { return &r.acceptor.KnownView }

func (r *Replica) isPrimary() bool { return r.view().Primary.ID == r.self.ID }

func (r *Replica) isBackup() bool { return paxos.ContainsMember(r.view().Backups, r.self.ID) }

// Step handles one input and returns its effects. now is the process's monotonic time since
// its start.
func (r *Replica) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if r.startedAt == 0 {
		r.startedAt, r.roleSince = now, now
	}
	r.activeClock.step(now)
	if !in.WallTime.IsZero() {
		r.wallClock = in.WallTime
	}
	r.disk.snapshotDue = r.disk.snapshotDue || in.SnapshotDue
	switch {
	case in.CompletedWrite > 0:
		r.handleWriteDone(now, in.CompletedWrite, &out)
	case in.Message.Kind != "":
		if in.Message.Kind == wire.KindCommand && !in.Message.IsUrgent() && !in.Message.IsQuery() {
			r.overload.observe(now, in.Waited)
		}
		r.handleMessage(now, in.Message, &out)
	case in.Stop:
		r.stopping, r.stopRequestedAt = true, now
	}
	r.runTimers(now, in.IsTimer(), &out)
	r.flush(now, &out)
	if r.stopping && !r.leadership.serving && !r.awaitsSuccessor(now) {
		out.Stopped = true
	}
	return out
}

// Flush writes and sends the changes made by commands that the same process submitted.
func (r *Replica) Flush(now time.Duration) machine.Output {
	var out machine.Output
	r.flush(now, &out)
	return out
}

func (r *Replica) handleMessage(now time.Duration, message machine.Message, out *machine.Output) {
	from, kind := message.From, message.Kind
	switch kind {
	case wire.KindCommand:
		machine.HandleBody(message, out, func(b wire.CommandRequest) { r.handleCommand(now, from, b, out) })
	case wire.KindReplicate:
		machine.HandleBody(message, out, func(b wire.ReplicateRequest) { r.handleReplicate(now, from, b, out) })
	case wire.KindReplicateAck:
		machine.HandleBody(message, out, func(b wire.ReplicateAck) { r.handleAck(now, from, b, out) })
	case wire.KindSnapshotChunk:
		machine.HandleBody(message, out, func(b wire.SnapshotChunk) { r.handleChunk(now, from, b, out) })
	case wire.KindSnapshotRequest:
		machine.HandleBody(message, out, func(b wire.SnapshotRequest) { r.handleChunkRequest(now, from, b, out) })
	case wire.KindSubscribe:
		machine.HandleBody(message, out, func(b wire.SubscribeRequest) { r.handleSubscribe(now, from, b, out) })
	case wire.KindPrepare, wire.KindAccept:
		machine.HandleBody(message, out, func(b wire.PaxosMessage) { r.handlePaxosRequest(now, from, kind, b, out) })
	case wire.KindPrepareReply, wire.KindAcceptReply:
		machine.HandleBody(message, out, func(b wire.PaxosMessage) { r.handlePaxosReply(now, kind, b, out) })
	case wire.KindDecided:
		machine.HandleBody(message, out, func(b wire.PaxosMessage) { r.adoptView(now, b.KnownView, out) })
	case wire.KindBootstrapProbe, wire.KindBootstrapReply:
		machine.HandleBody(message, out, func(b wire.BootstrapStatus) { r.handleBootstrapStatus(now, message, b, out) })
	case wire.KindNodeList:
		machine.HandleBody(message, out, func(b wire.Gossip) { r.discovery.nodes = b.Nodes })
	default:
		out.Warn("message_unknown", "kind", kind, "from", from)
	}
}

// runTimers performs time-driven work. It runs after every input; isTimer is set if the input
// was a timer. Other inputs do not postpone the periodic timer, since some checks run only
// then.
func (r *Replica) runTimers(now time.Duration, isTimer bool, out *machine.Output) {
	interrupted := r.config.Phases.Enter(machine.PhaseTimers)
	defer r.config.Phases.Enter(interrupted)
	if isTimer || r.regularTimer == 0 {
		r.regularTimer = now + timerInterval
	}
	r.nextTimer = r.regularTimer
	if !r.identitySynced {
		return
	}
	r.rejectExpired(now, out)
	r.feed.expire(now)
	r.releaseSnapshotSource(now)
	r.retryChunkRequest(now, out)
	switch {
	case r.view().Epoch == 0:
		r.tryBootstrap(now)
		r.requestView(now, out)
	case r.isPrimary():
		r.runPrimary(now, isTimer, out)
	case r.isBackup():
		r.campaign(now, out)
	}
	if r.mayHaveMissedView(now) {
		r.requestView(now, out)
	}
}

// mayHaveMissedView reports whether a newer view than the known one may exist: the primary is
// silent, this replica is the primary and hears no majority, or it is not a voter.
func (r *Replica) mayHaveMissedView(now time.Duration) bool {
	silentPrimary := now-r.peers.heardAt(r.view().Primary.ID) > 2*suspectTimeout
	return silentPrimary || r.isPrimary() && !r.hearsMajority(now) ||
		!paxos.ContainsMember(r.view().Voters, r.self.ID)
}

// flush writes the changes since the last batch and, on the primary, broadcasts the new
// commands at the same time.
func (r *Replica) flush(now time.Duration, out *machine.Output) {
	interrupted := r.config.Phases.Enter(machine.PhaseReplicate)
	defer r.config.Phases.Enter(interrupted)
	if r.leadership.serving && !r.stopping {
		// Commands that arrive within the interval are sent to each peer in one message and
		// written in one batch.
		if next := r.leadership.flushedAt + batchInterval; now < next {
			r.nextTimer = min(r.nextTimer, next)
			r.releaseCommitted(out)
			return
		}
		r.leadership.flushedAt = now
	}
	if r.leadership.serving {
		r.broadcast(now, out)
	}
	if r.disk.busy() {
		return
	}
	if !r.config.HasScheduler {
		r.log.store.TakeChanges()
	}
	r.audit.add(r.log.store.TakeAuditEntries(), r.leadership.serving)
	if r.disk.nothingToWrite() {
		out.Messages = append(out.Messages, r.disk.takeMessages()...)
		r.releaseCommitted(out)
		return
	}
	out.Writes = append(out.Writes, r.disk.begin(now, r.log.store, r.election.candidateEpoch))
}

// addresses returns the members' addresses in the same order.
func addresses(members []wire.Member) []string {
	out := make([]string, 0, len(members))
	for _, member := range members {
		out = append(out, member.Address)
	}
	return out
}
