// Package keeper is the trusted daemon round the ledger. The primary stamps
// commands, and answers each only once its own disk and those of all backups have
// it synced, in the epoch that the witnesses decided; it never answers alone. The
// other witnesses follow, ready to be backups. Reads wait for the same proof, so a
// primary that was replaced without knowing cannot answer from the past.
package keeper

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/register"
	"sorrelloom/core/wire"
)

type Env struct {
	Address  string
	Site     string
	Founders []string
	FreshID  string
	Boot     uint64
	// Copies is how many backups a view has, at least 1: that many disks may be lost at once.
	Copies int
	// Dispatches says that a dispatcher in the same process takes the changes.
	Dispatches bool
}

const (
	heartbeat  = 150 * time.Millisecond
	suspect    = 1000 * time.Millisecond
	vanished   = 1500 * time.Millisecond
	followFor  = 3 * time.Second
	inFlight   = 4096
	entryMax   = 1024
	apart      = 150 * time.Millisecond
	foundWait  = 3 * time.Second
	diskLate   = 400 * time.Millisecond
	backoffMax = 3 * time.Second
	dueEach    = 50 * time.Millisecond
	gather     = 4 * time.Millisecond
	// retryAfter is the least time after which a rejected command may come back.
	retryAfter = time.Second
	// catchUp is how long a line that begins anew is given to have its effect.
	catchUp = 2 * time.Second
)

const (
	bucketSelf  = "keeper"
	keyIdentity = "identity"
	keyRegister = "register"
	keyStands   = "stands"
	keyFounders = "founders"
)

// peer is what a keeper knows of another one in this epoch.
type peer struct {
	heardAt time.Duration
	at      ledger.Position // what it acked last
	synced  bool
	token   uint64
	stands  bool // it wants to lead itself: its acks commit nothing in this epoch
	// mark is a sequence that was sent and not acked when this was last looked at.
	mark   uint64
	markAt time.Duration
	// next is where the lines sent to it end, confirmed where it last said that it is.
	next      ledger.Position
	confirmed ledger.Position
	lineAt    time.Duration // when the last line for it alone was sent
	// resentAt and resentToken are of the last line that began anew where it said
	// that it is.
	resentAt    time.Duration
	resentToken uint64
	transfer    outgoing
}

type pending struct {
	to       string
	body     wire.CommandBackBody
	sequence uint64
	token    uint64
	takenAt  time.Duration
}

type ack struct {
	to       string
	body     wire.ReplicateAckBody
	sequence uint64
}

type after struct {
	sends    []machine.Send
	sequence uint64
	stands   uint64
}

// finding is what another keeper said of itself, and when.
type finding struct {
	wire.FoundBody
	at time.Duration
}

type follower struct {
	at    ledger.Position
	until time.Duration
}

type Keeper struct {
	env  Env
	seat wire.Seat
	born bool // its identity is synced
	// founded is the first view as this founder made it; write foundedBy has it synced.
	founded   wire.View
	foundedBy uint64
	witness   register.State
	proposal  register.Proposal
	asked     wire.Ballot
	triedAt   time.Duration
	// stands is the epoch in which this backup wants to lead the next, stood the
	// same once it is synced, also those that a primary named for the next.
	stands uint64
	stood  uint64
	named  []wire.Seat

	ledger    *ledger.Ledger
	tail      ledger.Tail
	sent      ledger.Position
	committed uint64
	synced    uint64
	token     uint64

	serving bool
	// resuming says that this process keeps the lead from the view before, and serves
	// on once the new backups have everything; terms counts the times it began anew.
	resuming  bool
	terms     uint64
	waiting   []waitingCommand
	startAt   time.Duration
	leadingAt time.Duration
	beganAt   time.Duration
	beatAt    time.Duration
	soughtAt  time.Duration
	dueAt     time.Duration
	peers     map[string]peer
	answers   []pending
	acks      []ack
	// For the next batch: the keeper's own records, how many commands to drop from the
	// log, those to append to it, and whether its snapshot takes the log's place.
	records  []machine.Record
	drop     int
	commands []json.RawMessage
	replaced bool
	// snapshotAt is where the last snapshot on the disk stands.
	snapshotAt  ledger.Position
	checkpoints checkpoints
	source      *source
	incoming    *incoming
	// snapshotDue says that the log on the disk has grown long.
	snapshotDue bool
	sends       []machine.Send
	writing     map[uint64]after
	nextWrite   uint64
	wroteAt     time.Duration
	followers   map[string]follower
	copies      map[string]wire.NewsBody
	told        uint64
	entries     []ledger.Entry
	found       map[string]finding
	nodes       []wire.Node
	flushedAt   time.Duration
	own         []wire.CommandBackBody
	wall        time.Time
	stopping    bool
	wakeAt      time.Duration
}

// New rebuilds a keeper from its disk. Without an identity there it is a new
// keeper, whatever stood at its address before.
func New(env Env, stored machine.Stored) (*Keeper, error) {
	k := &Keeper{
		env: env, peers: map[string]peer{}, writing: map[uint64]after{}, followers: map[string]follower{},
		copies: map[string]wire.NewsBody{}, found: map[string]finding{},
	}
	k.seat = wire.Seat{Address: env.Address, Site: env.Site}
	var rest []machine.Record
	for _, r := range stored.Records {
		var err error
		switch {
		case r.Bucket != bucketSelf:
			rest = append(rest, r)
		case r.Key == keyIdentity:
			err = json.Unmarshal(r.Value, &k.seat.ID)
		case r.Key == keyRegister:
			err = k.load(r.Value)
		case r.Key == keyStands:
			err = json.Unmarshal(r.Value, &k.stands)
			k.stood = k.stands
		case r.Key == keyFounders && len(env.Founders) == 0:
			err = json.Unmarshal(r.Value, &k.env.Founders)
		}
		if err != nil {
			return nil, fmt.Errorf("record %s/%s: %w", r.Bucket, r.Key, err)
		}
	}
	if err := k.recover(rest, stored); err != nil {
		return nil, err
	}
	if k.seat.ID == "" {
		if len(rest) > 0 || len(stored.Commands) > 0 || k.witness.Known.Epoch > 0 {
			return nil, fmt.Errorf("the data folder has records but no identity")
		}
		k.seat.ID = env.FreshID
		k.put(keyIdentity, k.seat.ID)
		// All may lose power before a view is founded, and be told no founders when they start again.
		k.put(keyFounders, env.Founders)
		return k, nil
	}
	k.born = true
	return k, nil
}

// load takes the register, also of a file that was written when a view had one backup.
func (k *Keeper) load(value json.RawMessage) error {
	var old struct {
		Known struct{ Backup wire.Seat }
		Value struct{ Backup wire.Seat }
	}
	if err := json.Unmarshal(value, &old); err != nil {
		return err
	}
	if err := json.Unmarshal(value, &k.witness); err != nil {
		return err
	}
	if old.Known.Backup.ID != "" {
		k.witness.Known.Backups = []wire.Seat{old.Known.Backup}
	}
	if old.Value.Backup.ID != "" {
		k.witness.Value.Backups = []wire.Seat{old.Value.Backup}
	}
	return nil
}

// reset forgets the tail: it begins where the ledger stands.
func (k *Keeper) reset() {
	k.tail, k.sent = ledger.TailFrom(k.ledger.Position()), k.ledger.Position()
	k.checkpoints = checkpoints{k.ledger.Capture()}
}

func (k *Keeper) put(key string, v any) {
	k.records = append(k.records, machine.Record{Bucket: bucketSelf, Key: key, Value: machine.MustJSON(v)})
}

func (k *Keeper) ID() string             { return k.seat.ID }
func (k *Keeper) Wakeup() time.Duration  { return k.wakeAt }
func (k *Keeper) View() wire.View        { return k.witness.Known }
func (k *Keeper) Serving() bool          { return k.serving }
func (k *Keeper) Ledger() *ledger.Ledger { return k.ledger }
func (k *Keeper) leads() bool            { return k.witness.Known.Primary.ID == k.seat.ID }
func (k *Keeper) backs() bool            { return register.Has(k.witness.Known.Backups, k.seat.ID) }

// Flush writes and sends what commands of the same process have changed.
func (k *Keeper) Flush(now time.Duration) machine.Output {
	var out machine.Output
	k.flush(now, &out)
	return out
}

// Keepers are the addresses of the known view's seats.
func (k *Keeper) Keepers() []string {
	out := make([]string, 0, len(k.witness.Known.Witnesses))
	for _, seat := range k.witness.Known.Witnesses {
		out = append(out, seat.Address)
	}
	return out
}

// Proven says whether this keeper serves and its backups have just confirmed it.
func (k *Keeper) Proven(now time.Duration) bool { return k.proven(now) }

// Command takes a command from the same process; its answer comes by TakeOwn.
func (k *Keeper) Command(now time.Duration, id uint64, cmd ledger.Command, out *machine.Output) {
	k.command(now, "", wire.CommandBody{ID: id, Command: cmd}, out)
}

// Behind says whether so much waits for the disks that no more should be begun.
func (k *Keeper) Behind() bool { return len(k.answers) > inFlight/4 }

// HasOwn says whether there are any.
func (k *Keeper) HasOwn() bool { return len(k.own) > 0 }

// TakeOwn hands over the answers to the process's own commands.
func (k *Keeper) TakeOwn() []wire.CommandBackBody {
	out := k.own
	k.own = nil
	return out
}

// Step is the whole keeper.
func (k *Keeper) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if k.startAt == 0 {
		k.startAt, k.beganAt = now, now
	}
	if !in.Wall.IsZero() {
		k.wall = in.Wall
	}
	k.snapshotDue = k.snapshotDue || in.SnapshotDue
	switch {
	case in.Wrote > 0:
		k.wrote(now, in.Wrote, &out)
	case in.Line.Kind != "":
		k.line(now, in.Line, &out)
	case in.Stop:
		k.stopping = true
	}
	k.wakeups(now, &out)
	k.flush(now, &out)
	if k.stopping && !k.serving {
		out.Stopped = true
	}
	return out
}

func (k *Keeper) line(now time.Duration, line machine.Line, out *machine.Output) {
	switch line.Kind {
	case wire.Command:
		take(line, out, func(b wire.CommandBody) { k.command(now, line.From, b, out) })
	case wire.Replicate:
		take(line, out, func(b wire.ReplicateBody) { k.replicate(now, line.From, b, out) })
	case wire.Snapshot:
		take(line, out, func(b wire.SnapshotBody) { k.chunk(now, line.From, b, out) })
	case wire.SnapshotAsk:
		take(line, out, func(b wire.SnapshotAskBody) { k.asks(now, line.From, b, out) })
	case wire.ReplicateAck:
		take(line, out, func(b wire.ReplicateAckBody) { k.acked(now, line.From, b, out) })
	case wire.Follow:
		take(line, out, func(b wire.FollowBody) { k.follow(now, line.From, b, out) })
	case wire.Prepare, wire.Accept:
		take(line, out, func(b wire.RegisterBody) { k.vote(now, line.From, line.Kind, b, out) })
	case wire.PrepareBack, wire.AcceptBack:
		take(line, out, func(b wire.RegisterBody) { k.voted(now, line.Kind, b, out) })
	case wire.Decided:
		take(line, out, func(b wire.RegisterBody) { k.learn(now, b.Known, out) })
	case wire.Found, wire.FoundBack:
		take(line, out, func(b wire.FoundBody) { k.founding(now, line, b, out) })
	case wire.Nodes:
		take(line, out, func(b wire.Gossip) { k.nodes = b.Nodes })
	default:
		out.Log("line_unknown", "kind", line.Kind, "from", line.From)
	}
}

// take decodes a line's body; a damaged one is logged and dropped.
func take[B any](line machine.Line, out *machine.Output, do func(B)) {
	var b B
	if err := machine.Unmarshal(line.Body, &b); err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
		return
	}
	do(b)
}

// proven says whether all backups have answered in this epoch a moment ago. Each
// of them may lead the next, so the word of some is no proof.
func (k *Keeper) proven(now time.Duration) bool {
	for _, s := range k.witness.Known.Backups {
		if now-k.peers[s.ID].heardAt >= suspect {
			return false
		}
	}
	return k.serving
}

// command takes a command if its answer can be of use to the sender.
func (k *Keeper) command(now time.Duration, from string, b wire.CommandBody, out *machine.Output) {
	// A stopping leader takes no more: with a new command always under way, the next
	// backup would never stand where the leader does, and nothing be handed over.
	if !k.proven(now) || k.stopping {
		if !k.await(now, from, b) {
			k.back(from, k.notPrimary(b.ID), out)
		}
		return
	}
	if k.outOfTime(now, b) || b.Resent && k.awaitsCommit(from, b.ID) {
		return
	}
	if why, full := k.full(now, b); full {
		k.back(from, wire.CommandBackBody{ID: b.ID, Answer: ledger.Answer{
			Code: code.InboxFull, Why: why, RetryAfter: max(retryAfter, k.waited(now)),
		}}, out)
		return
	}
	if b.Command.Kind == ledger.KindTake && from != "" {
		out.Send(from, wire.CommandBack, wire.CommandBackBody{ID: b.ID, Answer: ledger.Answer{Code: code.Malformed, Why: "only the primary itself takes a duty"}})
		return
	}
	body := wire.CommandBackBody{ID: b.ID, Answer: k.carryOut(now, b.Command)}
	body.At = k.ledger.Position().Sequence
	if b.Command.Kind == ledger.KindProve {
		k.receive(now, from, b.ID, out)
		body.Answer.Time, body.Answer.Proven = k.ledgerTime(now), body.At
		body.Keepers = k.Keepers()
	}
	k.answers = append(k.answers, pending{from, body, body.At, k.token + 1, now})
}

// carryOut reads from the ledger or changes it.
func (k *Keeper) carryOut(now time.Duration, cmd ledger.Command) ledger.Answer {
	if ledger.Reads(cmd.Kind) {
		return k.ledger.Read(cmd)
	}
	return k.apply(now, cmd)
}

// receive tells a sender at once that its question for a proof has arrived. The
// proof itself waits for the disks. The code is one that proves nothing, for
// senders that do not know the field.
func (k *Keeper) receive(now time.Duration, from string, id uint64, out *machine.Output) {
	if from == "" {
		return
	}
	received := ledger.Answer{Code: code.NoAuthority, Why: "the question has arrived; its answer waits for the disks"}
	out.Send(from, wire.CommandBack, wire.CommandBackBody{ID: id, Received: true, Answer: received})
}

// outOfTime says whether nobody waits for the command's answer any more: what it
// spent in queues on its way is seen by the ledger's time.
func (k *Keeper) outOfTime(now time.Duration, b wire.CommandBody) bool {
	return b.Deadline > 0 && k.ledgerTime(now) >= b.Deadline
}

// awaitsCommit says whether an earlier copy of a command is among those that wait
// for their commit; its answer serves both.
func (k *Keeper) awaitsCommit(from string, id uint64) bool {
	return slices.ContainsFunc(k.answers, func(a pending) bool { return a.to == from && a.body.ID == id })
}

// full says why a command is not admitted: too much waits for its commit, or it has
// waited for longer than the command has time.
func (k *Keeper) full(now time.Duration, b wire.CommandBody) (why string, full bool) {
	if len(k.answers) > inFlight {
		return "too many writes are under way", true
	}
	left := b.Left
	if b.Deadline > 0 {
		left = min(left, b.Deadline-k.ledgerTime(now))
	}
	return "what is under way takes longer than this request has time", b.Left > 0 && k.waited(now) >= left
}

// waited is how long the oldest command has waited for its commit. As commits are
// in order, a new one is not expected to take less.
func (k *Keeper) waited(now time.Duration) time.Duration {
	if len(k.answers) == 0 {
		return 0
	}
	return now - k.answers[0].takenAt
}

// ledgerTime is the ledger's time by this leader's clock.
func (k *Keeper) ledgerTime(now time.Duration) time.Duration { return k.leadingAt + now - k.beganAt }

func (k *Keeper) apply(now time.Duration, cmd ledger.Command) ledger.Answer {
	cmd.Position = ledger.Position{Epoch: k.witness.Known.Epoch, Sequence: k.ledger.Position().Sequence + 1}
	cmd.At = k.ledgerTime(now)
	if cmd.Kind == ledger.KindAccept && cmd.Accept.Repeat.Count > 0 {
		cmd.Wall = k.wall
	}
	return k.applyLogged(ledger.Encode(cmd))
}

// applyLogged applies a command, keeps it for the replicas and has it logged.
func (k *Keeper) applyLogged(cmd ledger.Logged) ledger.Answer {
	k.tail.Add(cmd)
	k.commands = append(k.commands, cmd.Encoded)
	answer := k.ledger.Apply(cmd.Command)
	k.checkpoints.add(k.ledger)
	return answer
}

func (k *Keeper) notPrimary(id uint64) wire.CommandBackBody {
	b := wire.CommandBackBody{ID: id, Answer: ledger.Answer{Code: code.NotPrimary, Why: "this keeper does not lead now"}, Keepers: k.Keepers()}
	if !k.leads() {
		b.Primary = k.witness.Known.Primary.Address
	}
	return b
}

// flush writes what changed since the last batch and, as leader, sends the new
// commands along at the same moment.
func (k *Keeper) flush(now time.Duration, out *machine.Output) {
	if k.serving && !k.stopping {
		// What comes within a moment goes out as one line to each copy, and one batch.
		if now < k.flushedAt+gather {
			k.wakeAt = min(k.wakeAt, k.flushedAt+gather)
			k.settle(out)
			return
		}
		k.flushedAt = now
	}
	if k.serving {
		k.replicateNew(now, out)
	}
	if len(k.writing) > 0 {
		return
	}
	if !k.env.Dispatches {
		k.ledger.TakeChanges()
	}
	if k.entries = append(k.entries, k.ledger.TakeEntries()...); !k.serving && len(k.entries) > 2*entryMax {
		k.entries = slices.Clone(k.entries[len(k.entries)-entryMax:])
	}
	if len(k.records) == 0 && len(k.commands) == 0 && k.drop == 0 && !k.replaced {
		out.Sends = append(out.Sends, k.sends...)
		k.sends = nil
		k.settle(out)
		return
	}
	k.write(now, out)
}

// write issues the next batch, with a snapshot if one is due.
func (k *Keeper) write(now time.Duration, out *machine.Output) {
	k.nextWrite++
	w := machine.Write{Done: k.nextWrite, Records: k.records, Drop: k.drop, Commands: k.commands}
	if k.snapshotDue || k.replaced {
		capture := k.ledger.Capture()
		w.Snapshot, w.Replace = capture.Records(), k.replaced
		k.snapshotAt = capture.Position()
	}
	k.writing[k.nextWrite] = after{k.sends, k.ledger.Position().Sequence, k.stands}
	k.records, k.drop, k.commands, k.sends, k.wroteAt = nil, 0, nil, nil, now
	k.snapshotDue, k.replaced = false, false
	out.Writes = append(out.Writes, w)
}

func (k *Keeper) wrote(now time.Duration, done uint64, out *machine.Output) {
	w, ok := k.writing[done]
	if !ok {
		return
	}
	delete(k.writing, done)
	k.born = true
	if took := now - k.wroteAt; took > 500*time.Millisecond {
		out.Log("disk_slow", "tookMs", took.Milliseconds())
	}
	k.synced, k.stood = w.sequence, w.stands
	out.Sends = append(out.Sends, w.sends...)
	if k.founded.Epoch > 0 && done >= k.foundedBy {
		k.learn(now, k.founded, out)
	}
	k.settle(out)
}

// shared is up to where all have synced that must, and the newest line that all
// backups have acked. Whoever was named as a backup of the next view must have it
// too: that view may be decided at any moment.
func (k *Keeper) shared() (sequence, token uint64) {
	sequence, token = k.synced, math.MaxUint64
	for _, s := range register.Union(k.witness.Known.Backups, k.named) {
		p := k.peers[s.ID]
		if !p.synced || p.stands {
			sequence = 0
		}
		sequence = min(sequence, p.at.Sequence)
	}
	for _, s := range k.witness.Known.Backups {
		token = min(token, k.peers[s.ID].token)
	}
	return sequence, token
}

// settle sends what waited for the disks: a backup's acks, and the leader's
// answers once all have everything that the answer rests on.
func (k *Keeper) settle(out *machine.Output) {
	var keep []ack
	for _, a := range k.acks {
		if k.born && a.sequence <= k.synced {
			out.Send(a.to, wire.ReplicateAck, a.body)
		} else {
			keep = append(keep, a)
		}
	}
	k.acks = keep
	if !k.serving {
		return
	}
	sequence, token := k.shared()
	k.committed = max(k.committed, sequence)
	n := 0
	for ; n < len(k.answers); n++ {
		a := k.answers[n]
		if a.sequence > k.committed || a.token > token {
			break
		}
		k.back(a.to, a.body, out)
	}
	k.answers = slices.Clone(k.answers[n:])
	done := 0
	for ; done < len(k.entries) && k.entries[done].Sequence <= k.committed; done++ {
		out.Audits = append(out.Audits, machine.Audit{Sequence: k.entries[done].Sequence, Entry: machine.MustJSON(k.entries[done])})
	}
	k.entries = slices.Clone(k.entries[done:])
	k.tell(out)
}

// back sends a command's answer, or keeps it for the process's own dispatcher.
func (k *Keeper) back(to string, body wire.CommandBackBody, out *machine.Output) {
	if to == "" {
		k.own = append(k.own, body)
		return
	}
	out.Send(to, wire.CommandBack, body)
}

// tell pushes committed commands to the followers.
func (k *Keeper) tell(out *machine.Output) {
	if k.committed <= k.told {
		return
	}
	k.told = k.committed
	addresses := make([]string, 0, len(k.followers))
	for address := range k.followers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	for _, address := range addresses {
		k.news(address, k.followers[address], out)
	}
}

// news tells one follower what it has not heard. Where the tail does not reach
// back to it, that is a whole copy, which waits until all in it is committed;
// until then nothing is said, since an empty word would pass for up to date.
func (k *Keeper) news(address string, f follower, out *machine.Output) {
	body := wire.NewsBody{Epoch: k.witness.Known.Epoch, After: f.at, At: f.at}
	commands, ok := k.tail.Since(f.at)
	if ok {
		body.Commands, body.At = k.committedOf(f.at, commands)
	} else {
		whole, waits := k.copies[address]
		if !waits {
			whole = wire.NewsBody{Epoch: body.Epoch, After: f.at, At: k.ledger.Position(), Records: k.ledger.Records()}
		}
		if whole.At.Sequence > k.committed {
			k.copies[address], k.followers[address] = whole, f
			return
		}
		delete(k.copies, address)
		body = whole
	}
	k.followers[address] = follower{body.At, f.until}
	out.Send(address, wire.News, body)
}

// committedOf gives those of the commands after a position that are committed, and
// where they end.
func (k *Keeper) committedOf(at ledger.Position, commands []json.RawMessage) ([]json.RawMessage, ledger.Position) {
	count := min(len(commands), int(k.committed-min(k.committed, at.Sequence)))
	if count == 0 {
		return nil, at
	}
	end, _ := k.tail.At(at.Sequence + uint64(count))
	return commands[:count:count], end
}

func (k *Keeper) follow(now time.Duration, from string, b wire.FollowBody, out *machine.Output) {
	if !k.proven(now) {
		body := wire.NewsBody{Bounced: true, At: b.At, After: b.At}
		if !k.leads() {
			body.Primary = k.witness.Known.Primary.Address
		}
		out.Send(from, wire.News, body)
		return
	}
	if f, ok := k.followers[from]; ok && f.at == b.At {
		k.followers[from] = follower{f.at, now + followFor}
		if b.At.Sequence >= k.committed {
			out.Send(from, wire.News, wire.NewsBody{Epoch: k.witness.Known.Epoch, At: b.At, After: b.At})
			return
		}
	}
	k.news(from, follower{b.At, now + followFor}, out)
}

// Batches counts the writes issued so far.
func (k *Keeper) Batches() uint64 { return k.nextWrite }
