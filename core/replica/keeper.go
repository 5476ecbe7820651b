// Package replica is the trusted daemon round the ledger. The primary stamps
// commands, and answers each only once its own disk and those of all backups have
// it synced, in the epoch that the witnesses decided; it never answers alone. The
// other witnesses follow, ready to be backups. Reads wait for the same proof, so a
// primary that was replaced without knowing cannot answer from the past.
package replica

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

type Config struct {
	Address  string
	Zone     string
	Founders []string
	NewID    string
	BootID   uint64
	// Copies is how many backups a view has, at least 1: that many disks may be lost at once.
	BackupCount int
	// Dispatches says that a dispatcher in the same process takes the changes.
	HasDispatcher bool
}

const (
	heartbeatInterval  = 150 * time.Millisecond
	suspectTimeout     = 1000 * time.Millisecond
	memberLossTimeout  = 1500 * time.Millisecond
	subscriptionTTL    = 3 * time.Second
	maxPendingCommands = 4096
	maxAuditEntries    = 1024
	candidacyDelay     = 150 * time.Millisecond
	bootstrapWait      = 3 * time.Second
	slowDiskTimeout    = 400 * time.Millisecond
	maxProposalBackoff = 3 * time.Second
	tickInterval       = 50 * time.Millisecond
	batchInterval      = 4 * time.Millisecond
	// retryAfter is the least time after which a rejected command may come back.
	minRetryAfter = time.Second
	// catchUp is how long a line that begins anew is given to have its effect.
	resendTimeout = 2 * time.Second
	// leaveWithin is how long a backup that is stopped waits for another in its place.
	successorTimeout = 600 * time.Millisecond
)

const (
	bucketReplica     = "keeper"
	keyIdentity       = "identity"
	keyAcceptor       = "register"
	keyCandidateEpoch = "stands"
	keyFounders       = "founders"
)

// peer is what a keeper knows of another one in this epoch.
type progress struct {
	heardAt     time.Duration
	match       state.LogPosition // what it acked last
	replicating bool
	ackedSendID uint64
	candidate   bool // it wants to lead itself: its acks commit nothing in this epoch
	stopping    bool // it is being stopped
	// mark is a sequence that was sent and not acked when this was last looked at.
	awaitedIndex uint64
	awaitedSince time.Duration
	// next is where the lines sent to it end, confirmed where it last said that it is.
	sentUpTo    state.LogPosition
	windowStart state.LogPosition
	probedAt    time.Duration // when the last line for it alone was sent
	// resentAt and resentToken are of the last line that began anew where it said
	// that it is.
	resentAt     time.Duration
	resentSendID uint64
	transfer     outgoingTransfer
}

type pendingReply struct {
	to         string
	body       wire.CommandReply
	index      uint64
	sendID     uint64
	receivedAt time.Duration
}

type pendingAck struct {
	to    string
	body  wire.ReplicateAck
	index uint64
}

type inFlightWrite struct {
	sends          []machine.OutgoingMessage
	index          uint64
	candidateEpoch uint64
}

// finding is what another keeper said of itself, and when.
type announcement struct {
	wire.BootstrapStatus
	receivedAt time.Duration
}

type subscriber struct {
	position  state.LogPosition
	expiresAt time.Duration
}

type Replica struct {
	config         Config
	self           wire.Member
	identitySynced bool // its identity is synced
	// founded is the first view as this founder made it; write foundedBy has it synced.
	bootstrapView  wire.View
	bootstrapWrite uint64
	acceptor       paxos.Acceptor
	proposal       paxos.Proposal
	lastBallot     wire.Ballot
	proposedAt     time.Duration
	// stands is the epoch in which this backup wants to lead the next, stood the
	// same once it is synced, also those that a primary named for the next.
	candidateEpoch       uint64
	syncedCandidateEpoch uint64
	proposedBackups      []wire.Member

	store        *state.Store
	logTail      state.LogSuffix
	broadcastEnd state.LogPosition
	commitIndex  uint64
	syncedIndex  uint64
	lastSendID   uint64

	serving bool
	// resuming says that this process keeps the lead from the view before, and serves
	// on once the new backups have everything; terms counts the times it began anew.
	resuming        bool
	terms           uint64
	waitingCommands []waitingCommand
	startedAt       time.Duration
	termStartTime   time.Duration
	viewSince       time.Duration
	broadcastAt     time.Duration
	viewRequestedAt time.Duration
	nextTickAt      time.Duration
	peers           map[string]progress
	pendingReplies  []pendingReply
	pendingAcks     []pendingAck
	// For the next batch: the keeper's own records, how many commands to drop from the
	// log, those to append to it, and whether its snapshot takes the log's place.
	unwrittenRecords  []machine.Record
	logTruncation     int
	unwrittenCommands []json.RawMessage
	replaceLog        bool
	// snapshotAt is where the last snapshot on the disk stands.
	snapshotPosition state.LogPosition
	checkpoints      checkpoints
	source           *snapshotSource
	incoming         *incomingTransfer
	// snapshotDue says that the log on the disk has grown long.
	snapshotDue      bool
	sendsAfterSync   []machine.OutgoingMessage
	inFlightWrites   map[uint64]inFlightWrite
	lastWriteID      uint64
	writeStartedAt   time.Duration
	subscribers      map[string]subscriber
	pendingSnapshots map[string]wire.FeedUpdate
	publishedIndex   uint64
	auditEntries     []state.AuditEntry
	announcements    map[string]announcement
	nodes            []wire.Node
	flushedAt        time.Duration
	localReplies     []wire.CommandReply
	wallClock        time.Time
	stopping         bool
	stopRequestedAt  time.Duration
	nextTimer        time.Duration
}

// New rebuilds a keeper from its disk. Without an identity there it is a new
// keeper, whatever stood at its address before.
func New(env Config, stored machine.StoredState) (*Replica, error) {
	r := &Replica{
		config: env, peers: map[string]progress{}, inFlightWrites: map[uint64]inFlightWrite{}, subscribers: map[string]subscriber{},
		pendingSnapshots: map[string]wire.FeedUpdate{}, announcements: map[string]announcement{},
	}
	r.self = wire.Member{Address: env.Address, Zone: env.Zone}
	var rest []machine.Record
	for _, record := range stored.Records {
		var err error
		switch {
		case record.Bucket != bucketReplica:
			rest = append(rest, record)
		case record.Key == keyIdentity:
			err = json.Unmarshal(record.Value, &r.self.ID)
		case record.Key == keyAcceptor:
			err = r.restoreAcceptor(record.Value)
		case record.Key == keyCandidateEpoch:
			err = json.Unmarshal(record.Value, &r.candidateEpoch)
			r.syncedCandidateEpoch = r.candidateEpoch
		case record.Key == keyFounders && len(env.Founders) == 0:
			err = json.Unmarshal(record.Value, &r.config.Founders)
		}
		if err != nil {
			return nil, fmt.Errorf("record %s/%s: %w", record.Bucket, record.Key, err)
		}
	}
	if err := r.restore(rest, stored); err != nil {
		return nil, err
	}
	if r.self.ID == "" {
		if len(rest) > 0 || len(stored.Commands) > 0 || r.acceptor.KnownView.Epoch > 0 {
			return nil, fmt.Errorf("the data folder has records but no identity")
		}
		r.self.ID = env.NewID
		r.putRecord(keyIdentity, r.self.ID)
		// All may lose power before a view is founded, and be told no founders when they start again.
		r.putRecord(keyFounders, env.Founders)
		return r, nil
	}
	r.identitySynced = true
	return r, nil
}

// load takes the register, also of a file that was written when a view had one backup.
func (r *Replica) restoreAcceptor(value json.RawMessage) error {
	var old struct {
		Known struct{ Backup wire.Member }
		Value struct{ Backup wire.Member }
	}
	if err := json.Unmarshal(value, &old); err != nil {
		return err
	}
	if err := json.Unmarshal(value, &r.acceptor); err != nil {
		return err
	}
	if old.Known.Backup.ID != "" {
		r.acceptor.KnownView.Backups = []wire.Member{old.Known.Backup}
	}
	if old.Value.Backup.ID != "" {
		r.acceptor.Value.Backups = []wire.Member{old.Value.Backup}
	}
	return nil
}

// reset forgets the tail: it begins where the ledger stands.
func (r *Replica) resetLog() {
	r.logTail, r.broadcastEnd = state.NewLogSuffix(r.store.Position()), r.store.Position()
	r.checkpoints = checkpoints{r.store.Snapshot()}
}

func (r *Replica) putRecord(key string, v any) {
	r.unwrittenRecords = append(r.unwrittenRecords, machine.Record{Bucket: bucketReplica, Key: key, Value: machine.MustJSON(v)})
}

func (r *Replica) ID() string               { return r.self.ID }
func (r *Replica) NextTimer() time.Duration { return r.nextTimer }
func (r *Replica) View() wire.View          { return r.acceptor.KnownView }
func (r *Replica) Serving() bool            { return r.serving }
func (r *Replica) Store() *state.Store      { return r.store }
func (r *Replica) isPrimary() bool          { return r.acceptor.KnownView.Primary.ID == r.self.ID }
func (r *Replica) isBackup() bool {
	return paxos.ContainsMember(r.acceptor.KnownView.Backups, r.self.ID)
}

// Flush writes and sends what commands of the same process have changed.
func (r *Replica) Flush(now time.Duration) machine.Output {
	var out machine.Output
	r.flush(now, &out)
	return out
}

// Keepers are the addresses of the known view's seats.
func (r *Replica) MemberAddresses() []string {
	out := make([]string, 0, len(r.acceptor.KnownView.Voters))
	for _, seat := range r.acceptor.KnownView.Voters {
		out = append(out, seat.Address)
	}
	return out
}

// Proven says whether this keeper serves and its backups have just confirmed it.
func (r *Replica) LeadershipConfirmed(now time.Duration) bool { return r.leadershipConfirmed(now) }

// Time is the ledger time that a command would have now.
func (r *Replica) Time(now time.Duration) time.Duration { return r.termStartTime + now - r.viewSince }

// Command takes a command from the same process; its answer comes by TakeOwn.
func (r *Replica) Submit(now time.Duration, id uint64, cmd state.Command, out *machine.Output) {
	r.handleCommand(now, "", wire.CommandRequest{ID: id, Command: cmd}, out)
}

// Behind says whether so much waits for the disks that no more should be begun.
func (r *Replica) Backlogged() bool { return len(r.pendingReplies) > maxPendingCommands/4 }

// HasOwn says whether there are any.
func (r *Replica) HasLocalReplies() bool { return len(r.localReplies) > 0 }

// TakeOwn hands over the answers to the process's own commands.
func (r *Replica) TakeLocalReplies() []wire.CommandReply {
	out := r.localReplies
	r.localReplies = nil
	return out
}

// Step is the whole keeper.
func (r *Replica) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if r.startedAt == 0 {
		r.startedAt, r.viewSince = now, now
	}
	if !in.WallTime.IsZero() {
		r.wallClock = in.WallTime
	}
	r.snapshotDue = r.snapshotDue || in.SnapshotDue
	switch {
	case in.CompletedWrite > 0:
		r.handleWriteDone(now, in.CompletedWrite, &out)
	case in.Message.Kind != "":
		r.handleMessage(now, in.Message, &out)
	case in.Stop:
		r.stopping, r.stopRequestedAt = true, now
	}
	r.runTimers(now, &out)
	r.flush(now, &out)
	if r.stopping && !r.serving && !r.awaitsSuccessor(now) {
		out.Stopped = true
	}
	return out
}

func (r *Replica) handleMessage(now time.Duration, line machine.Message, out *machine.Output) {
	switch line.Kind {
	case wire.KindCommand:
		decodeBody(line, out, func(b wire.CommandRequest) { r.handleCommand(now, line.From, b, out) })
	case wire.KindReplicate:
		decodeBody(line, out, func(b wire.ReplicateRequest) { r.handleReplicate(now, line.From, b, out) })
	case wire.KindSnapshotChunk:
		decodeBody(line, out, func(b wire.SnapshotChunk) { r.handleChunk(now, line.From, b, out) })
	case wire.KindSnapshotRequest:
		decodeBody(line, out, func(b wire.SnapshotRequest) { r.handleChunkRequest(now, line.From, b, out) })
	case wire.KindReplicateAck:
		decodeBody(line, out, func(b wire.ReplicateAck) { r.handleAck(now, line.From, b, out) })
	case wire.KindSubscribe:
		decodeBody(line, out, func(b wire.SubscribeRequest) { r.handleSubscribe(now, line.From, b, out) })
	case wire.KindPrepare, wire.KindAccept:
		decodeBody(line, out, func(b wire.PaxosMessage) { r.handlePaxosRequest(now, line.From, line.Kind, b, out) })
	case wire.KindPrepareReply, wire.KindAcceptReply:
		decodeBody(line, out, func(b wire.PaxosMessage) { r.handlePaxosReply(now, line.Kind, b, out) })
	case wire.KindDecided:
		decodeBody(line, out, func(b wire.PaxosMessage) { r.adoptView(now, b.KnownView, out) })
	case wire.KindBootstrapProbe, wire.KindBootstrapReply:
		decodeBody(line, out, func(b wire.BootstrapStatus) { r.handleAnnouncement(now, line, b, out) })
	case wire.KindNodeList:
		decodeBody(line, out, func(b wire.Gossip) { r.nodes = b.Nodes })
	default:
		out.Log("line_unknown", "kind", line.Kind, "from", line.From)
	}
}

// take decodes a line's body; a damaged one is logged and dropped.
func decodeBody[B any](line machine.Message, out *machine.Output, do func(B)) {
	var b B
	if err := machine.Unmarshal(line.Body, &b); err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
		return
	}
	do(b)
}

// proven says whether all backups have answered in this epoch a moment ago. Each
// of them may lead the next, so the word of some is no proof.
func (r *Replica) leadershipConfirmed(now time.Duration) bool {
	for _, s := range r.acceptor.KnownView.Backups {
		if now-r.peers[s.ID].heardAt >= suspectTimeout {
			return false
		}
	}
	return r.serving
}

// command takes a command if its answer can be of use to the sender.
func (r *Replica) handleCommand(now time.Duration, from string, b wire.CommandRequest, out *machine.Output) {
	// A stopping leader takes no more: with a new command always under way, the next
	// backup would never stand where the leader does, and nothing be handed over.
	if !r.leadershipConfirmed(now) || r.stopping {
		if !r.holdCommand(now, from, b) {
			r.reply(from, r.notPrimaryReply(b.ID), out)
		}
		return
	}
	if r.deadlinePassed(now, b) || b.Retry && r.isPending(from, b.ID) {
		return
	}
	if why, full := r.overloaded(now, b); full {
		r.reply(from, wire.CommandReply{ID: b.ID, Result: state.Result{
			Code: status.QueueFull, Reason: why, RetryAfter: max(minRetryAfter, r.oldestPendingAge(now)),
		}}, out)
		return
	}
	if localOnly(b.Command) && from != "" {
		out.Send(from, wire.KindCommandReply, wire.CommandReply{ID: b.ID, Result: state.Result{Code: status.Malformed, Reason: "only the primary itself sends this"}})
		return
	}
	body := wire.CommandReply{ID: b.ID, Result: r.execute(now, b.Command)}
	body.AppliedIndex = r.store.Position().Index
	if b.Command.Kind == state.KindConfirmLeadership {
		r.sendReceived(now, from, b.ID, out)
		body.Result.Time, body.Result.ConfirmedIndex = r.Time(now), body.AppliedIndex
		body.Replicas = r.MemberAddresses()
	}
	r.pendingReplies = append(r.pendingReplies, pendingReply{from, body, body.AppliedIndex, r.lastSendID + 1, now})
}

// ownOnly says whether only the primary's own dispatcher may send a command.
func localOnly(cmd state.Command) bool {
	return cmd.Kind == state.KindTakeLeadership || cmd.Kind == state.KindRenewWorkers || cmd.Kind == state.KindHeartbeat && cmd.Heartbeat.Delta
}

// carryOut reads from the ledger or changes it.
func (r *Replica) execute(now time.Duration, cmd state.Command) state.Result {
	if state.IsReadOnly(cmd.Kind) {
		return r.store.Read(cmd)
	}
	return r.apply(now, cmd)
}

// receive tells a sender at once that its question for a proof has arrived. The
// proof itself waits for the disks. The code is one that proves nothing, for
// senders that do not know the field.
func (r *Replica) sendReceived(now time.Duration, from string, id uint64, out *machine.Output) {
	if from == "" {
		return
	}
	received := state.Result{Code: status.ReplicasUnavailable, Reason: "the question has arrived; its answer waits for the disks"}
	out.Send(from, wire.KindCommandReply, wire.CommandReply{ID: id, Received: true, Result: received})
}

// outOfTime says whether nobody waits for the command's answer any more: what it
// spent in queues on its way is seen by the ledger's time.
func (r *Replica) deadlinePassed(now time.Duration, b wire.CommandRequest) bool {
	return b.Deadline > 0 && r.Time(now) >= b.Deadline
}

// awaitsCommit says whether an earlier copy of a command is among those that wait
// for their commit; its answer serves both.
func (r *Replica) isPending(from string, id uint64) bool {
	return slices.ContainsFunc(r.pendingReplies, func(a pendingReply) bool { return a.to == from && a.body.ID == id })
}

// full says why a command is not admitted: too much waits for its commit, or it has
// waited for longer than the command has time.
func (r *Replica) overloaded(now time.Duration, b wire.CommandRequest) (why string, full bool) {
	if len(r.pendingReplies) > maxPendingCommands {
		return "too many writes are under way", true
	}
	left := b.Timeout
	if b.Deadline > 0 {
		left = min(left, b.Deadline-r.Time(now))
	}
	return "what is under way takes longer than this request has time", b.Timeout > 0 && r.oldestPendingAge(now) >= left
}

// waited is how long the oldest command has waited for its commit. As commits are
// in order, a new one is not expected to take less.
func (r *Replica) oldestPendingAge(now time.Duration) time.Duration {
	if len(r.pendingReplies) == 0 {
		return 0
	}
	return now - r.pendingReplies[0].receivedAt
}

func (r *Replica) apply(now time.Duration, cmd state.Command) state.Result {
	cmd.LogPosition = state.LogPosition{Epoch: r.acceptor.KnownView.Epoch, Index: r.store.Position().Index + 1}
	cmd.Time = r.Time(now)
	if cmd.Kind == state.KindAcceptJob && cmd.Job.Repeat.Count > 0 {
		cmd.WallTime = r.wallClock
	}
	return r.applyEncoded(state.Encode(cmd))
}

// applyLogged applies a command, keeps it for the replicas and has it logged.
func (r *Replica) applyEncoded(cmd state.EncodedCommand) state.Result {
	r.logTail.Append(cmd)
	r.unwrittenCommands = append(r.unwrittenCommands, cmd.Encoded)
	answer := r.store.Apply(cmd.Command)
	r.checkpoints.add(r.store)
	return answer
}

func (r *Replica) notPrimaryReply(id uint64) wire.CommandReply {
	b := wire.CommandReply{ID: id, Result: state.Result{Code: status.NotPrimary, Reason: "this keeper does not lead now"}, Replicas: r.MemberAddresses()}
	if !r.isPrimary() {
		b.Primary = r.acceptor.KnownView.Primary.Address
	}
	return b
}

// flush writes what changed since the last batch and, as leader, sends the new
// commands along at the same moment.
func (r *Replica) flush(now time.Duration, out *machine.Output) {
	if r.serving && !r.stopping {
		// What comes within a moment goes out as one line to each copy, and one batch.
		if now < r.flushedAt+batchInterval {
			r.nextTimer = min(r.nextTimer, r.flushedAt+batchInterval)
			r.releaseReplies(out)
			return
		}
		r.flushedAt = now
	}
	if r.serving {
		r.broadcastNew(now, out)
	}
	if len(r.inFlightWrites) > 0 {
		return
	}
	if !r.config.HasDispatcher {
		r.store.TakeChanges()
	}
	if r.auditEntries = append(r.auditEntries, r.store.TakeAuditEntries()...); !r.serving && len(r.auditEntries) > 2*maxAuditEntries {
		r.auditEntries = slices.Clone(r.auditEntries[len(r.auditEntries)-maxAuditEntries:])
	}
	if len(r.unwrittenRecords) == 0 && len(r.unwrittenCommands) == 0 && r.logTruncation == 0 && !r.replaceLog {
		out.Messages = append(out.Messages, r.sendsAfterSync...)
		r.sendsAfterSync = nil
		r.releaseReplies(out)
		return
	}
	r.issueWrite(now, out)
}

// write issues the next batch, with a snapshot if one is due.
func (r *Replica) issueWrite(now time.Duration, out *machine.Output) {
	r.lastWriteID++
	w := machine.Write{ID: r.lastWriteID, Records: r.unwrittenRecords, TruncateCount: r.logTruncation, Commands: r.unwrittenCommands}
	if r.snapshotDue || r.replaceLog {
		capture := r.store.Snapshot()
		w.Snapshot, w.ReplaceLog = capture.Records(), r.replaceLog
		r.snapshotPosition = capture.Position()
	}
	r.inFlightWrites[r.lastWriteID] = inFlightWrite{r.sendsAfterSync, r.store.Position().Index, r.candidateEpoch}
	r.unwrittenRecords, r.logTruncation, r.unwrittenCommands, r.sendsAfterSync, r.writeStartedAt = nil, 0, nil, nil, now
	r.snapshotDue, r.replaceLog = false, false
	out.Writes = append(out.Writes, w)
}

func (r *Replica) handleWriteDone(now time.Duration, done uint64, out *machine.Output) {
	w, ok := r.inFlightWrites[done]
	if !ok {
		return
	}
	delete(r.inFlightWrites, done)
	r.identitySynced = true
	if took := now - r.writeStartedAt; took > 500*time.Millisecond {
		out.Log("disk_slow", "tookMs", took.Milliseconds())
	}
	r.syncedIndex, r.syncedCandidateEpoch = w.index, w.candidateEpoch
	out.Messages = append(out.Messages, w.sends...)
	if r.bootstrapView.Epoch > 0 && done >= r.bootstrapWrite {
		r.adoptView(now, r.bootstrapView, out)
	}
	r.releaseReplies(out)
}

// shared is up to where all have synced that must, and the newest line that all
// backups have acked. Whoever was named as a backup of the next view must have it
// too: that view may be decided at any moment.
func (r *Replica) replicatedUpTo() (sequence, token uint64) {
	sequence, token = r.syncedIndex, math.MaxUint64
	for _, s := range paxos.UnionMembers(r.acceptor.KnownView.Backups, r.proposedBackups) {
		p := r.peers[s.ID]
		if !p.replicating || p.candidate {
			sequence = 0
		}
		sequence = min(sequence, p.match.Index)
	}
	for _, s := range r.acceptor.KnownView.Backups {
		token = min(token, r.peers[s.ID].ackedSendID)
	}
	return sequence, token
}

// settle sends what waited for the disks: a backup's acks, and the leader's
// answers once all have everything that the answer rests on.
func (r *Replica) releaseReplies(out *machine.Output) {
	var keep []pendingAck
	for _, a := range r.pendingAcks {
		if r.identitySynced && a.index <= r.syncedIndex {
			out.Send(a.to, wire.KindReplicateAck, a.body)
		} else {
			keep = append(keep, a)
		}
	}
	r.pendingAcks = keep
	if !r.serving {
		return
	}
	sequence, token := r.replicatedUpTo()
	r.commitIndex = max(r.commitIndex, sequence)
	n := 0
	for ; n < len(r.pendingReplies); n++ {
		a := r.pendingReplies[n]
		if a.index > r.commitIndex || a.sendID > token {
			break
		}
		r.reply(a.to, a.body, out)
	}
	clear(r.pendingReplies[:n])
	r.pendingReplies = r.pendingReplies[n:]
	done := 0
	for ; done < len(r.auditEntries) && r.auditEntries[done].Index <= r.commitIndex; done++ {
		out.AuditEntries = append(out.AuditEntries, machine.AuditEntry{Index: r.auditEntries[done].Index, Data: machine.MustJSON(r.auditEntries[done])})
	}
	clear(r.auditEntries[:done])
	r.auditEntries = r.auditEntries[done:]
	r.publish(out)
}

// back sends a command's answer, or keeps it for the process's own dispatcher.
func (r *Replica) reply(to string, body wire.CommandReply, out *machine.Output) {
	if to == "" {
		r.localReplies = append(r.localReplies, body)
		return
	}
	out.Send(to, wire.KindCommandReply, body)
}

// tell pushes committed commands to the followers.
func (r *Replica) publish(out *machine.Output) {
	if r.commitIndex <= r.publishedIndex {
		return
	}
	r.publishedIndex = r.commitIndex
	addresses := make([]string, 0, len(r.subscribers))
	for address := range r.subscribers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	for _, address := range addresses {
		r.publishTo(address, r.subscribers[address], out)
	}
}

// news tells one follower what it has not heard. Where the tail does not reach
// back to it, that is a whole copy, which waits until all in it is committed;
// until then nothing is said, since an empty word would pass for up to date.
func (r *Replica) publishTo(address string, f subscriber, out *machine.Output) {
	body := wire.FeedUpdate{Epoch: r.acceptor.KnownView.Epoch, Previous: f.position, Position: f.position}
	commands, ok := r.logTail.CommandsAfter(f.position)
	if ok {
		body.Commands, body.Position = r.committedPrefix(f.position, commands)
	} else {
		whole, waits := r.pendingSnapshots[address]
		if !waits {
			whole = wire.FeedUpdate{Epoch: body.Epoch, Previous: f.position, Position: r.store.Position(), Records: r.store.Records()}
		}
		if whole.Position.Index > r.commitIndex {
			r.pendingSnapshots[address], r.subscribers[address] = whole, f
			return
		}
		delete(r.pendingSnapshots, address)
		body = whole
	}
	r.subscribers[address] = subscriber{body.Position, f.expiresAt}
	out.Send(address, wire.KindFeedUpdate, body)
}

// committedOf gives those of the commands after a position that are committed, and
// where they end.
func (r *Replica) committedPrefix(at state.LogPosition, commands []json.RawMessage) ([]json.RawMessage, state.LogPosition) {
	count := min(len(commands), int(r.commitIndex-min(r.commitIndex, at.Index)))
	if count == 0 {
		return nil, at
	}
	end, _ := r.logTail.PositionOf(at.Index + uint64(count))
	return commands[:count:count], end
}

func (r *Replica) handleSubscribe(now time.Duration, from string, b wire.SubscribeRequest, out *machine.Output) {
	if !r.leadershipConfirmed(now) {
		body := wire.FeedUpdate{Rejected: true, Position: b.Position, Previous: b.Position}
		if !r.isPrimary() {
			body.Primary = r.acceptor.KnownView.Primary.Address
		}
		out.Send(from, wire.KindFeedUpdate, body)
		return
	}
	if f, ok := r.subscribers[from]; ok && f.position == b.Position {
		r.subscribers[from] = subscriber{f.position, now + subscriptionTTL}
		if b.Position.Index >= r.commitIndex {
			out.Send(from, wire.KindFeedUpdate, wire.FeedUpdate{Epoch: r.acceptor.KnownView.Epoch, Position: b.Position, Previous: b.Position})
			return
		}
	}
	r.publishTo(from, subscriber{b.Position, now + subscriptionTTL}, out)
}

// Batches counts the writes issued so far.
func (r *Replica) WritesIssued() uint64 { return r.lastWriteID }
