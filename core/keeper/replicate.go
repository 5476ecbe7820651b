package keeper

import (
	"encoding/json"
	"slices"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/register"
	"sorrelloom/core/wire"
)

// A peer is sent no more than this beyond what it has acked.
const (
	windowEntries = 512
	windowBytes   = 256 << 10
)

// replicateNew sends the new commands to all peers that keep up, as one body, and a
// heartbeat to the others.
func (k *Keeper) replicateNew(now time.Duration, out *machine.Output) {
	if !k.hears(now) {
		return
	}
	position := k.ledger.Position()
	waits := len(k.answers) > 0 && k.answers[len(k.answers)-1].token > k.token
	if position == k.sent && !waits && now-k.beatAt < heartbeat {
		return
	}
	commands, _ := k.tail.Since(k.sent)
	k.token++
	k.beatAt = now
	var receivers []string
	for _, seat := range k.witness.Known.Witnesses {
		if seat.ID == k.seat.ID {
			continue
		}
		p := k.peers[seat.ID]
		if p.next == k.sent && k.tail.Within(p.confirmed, p.next, windowEntries, windowBytes) {
			receivers = append(receivers, seat.Address)
			p.next = position
			k.peers[seat.ID] = p
		} else if now-p.lineAt >= heartbeat || waits && register.Has(k.witness.Known.Backups, seat.ID) {
			k.beat(now, seat, out)
		}
	}
	out.Broadcast(receivers, wire.Replicate, k.replicateBody(k.sent, commands))
	k.sent = position
}

func (k *Keeper) replicateBody(after ledger.Position, commands []json.RawMessage) wire.ReplicateBody {
	return wire.ReplicateBody{
		Boot: k.env.Boot, View: k.witness.Known, From: k.seat, Token: k.token, After: after, Commands: commands,
	}
}

// beat sends a line without commands: whether the peer is where the lines to it end.
func (k *Keeper) beat(now time.Duration, to wire.Seat, out *machine.Output) {
	p := k.peers[to.ID]
	p.lineAt = now
	k.peers[to.ID] = p
	after := p.next
	if after == (ledger.Position{}) {
		after = k.limit()
	}
	out.Send(to.Address, wire.Replicate, k.replicateBody(after, nil))
}

// limit is how far peers may be brought one by one: what comes after it goes to all
// in a moment.
func (k *Keeper) limit() ledger.Position {
	if k.serving {
		return k.sent
	}
	return k.ledger.Position()
}

// sync asks a peer how far it is; its acks bring on what it lacks.
func (k *Keeper) sync(now time.Duration, to wire.Seat, out *machine.Output) {
	if to.ID == "" || now-k.peers[to.ID].lineAt < heartbeat {
		return
	}
	k.token++
	k.beat(now, to, out)
}

// acked hears how far a peer has come.
func (k *Keeper) acked(now time.Duration, from string, b wire.ReplicateAckBody, out *machine.Output) {
	k.learn(now, b.Known, out)
	if b.Boot != k.env.Boot || b.Epoch != k.witness.Known.Epoch || !k.leads() && !k.backs() {
		return
	}
	p := k.peers[b.From.ID]
	p.heardAt = now
	k.peers[b.From.ID] = p
	if b.Good {
		k.confirmed(now, b, out)
	} else {
		k.refused(now, from, b, out)
	}
}

// confirmed takes the word of a peer that has synced all up to a position, and goes on
// from there if all that was sent to it has come.
func (k *Keeper) confirmed(now time.Duration, b wire.ReplicateAckBody, out *machine.Output) {
	p := k.peers[b.From.ID]
	p.stands = p.stands || b.Stands
	if !b.Stands {
		p.token = max(p.token, b.Token)
	}
	if !p.synced || b.At.Sequence >= p.at.Sequence {
		p.at = b.At
	}
	p.synced, p.confirmed, p.transfer = true, p.at, outgoing{}
	if p.next.Sequence < p.at.Sequence {
		p.next = p.at
	}
	k.peers[b.From.ID] = p
	if p.next == p.at && p.next != k.limit() {
		k.feed(now, b.From, out)
	}
}

// feed sends a peer the next window.
func (k *Keeper) feed(now time.Duration, to wire.Seat, out *machine.Output) {
	p := k.peers[to.ID]
	commands, end, ok := k.tail.Window(p.next, k.limit(), windowEntries, windowBytes)
	if !ok {
		return
	}
	k.token++
	out.Send(to.Address, wire.Replicate, k.replicateBody(p.next, commands))
	p.next, p.lineAt = end, now
	k.peers[to.ID] = p
}

// refused brings on a peer that is not where a line to it began.
func (k *Keeper) refused(now time.Duration, from string, b wire.ReplicateAckBody, out *machine.Output) {
	p := k.peers[b.From.ID]
	if p.synced && b.Token <= p.token {
		return
	}
	p.synced = false
	k.peers[b.From.ID] = p
	before := b.Token < p.resentToken && now-p.resentAt < catchUp
	if before || p.transfer.active(now) {
		// It answers what was sent before the line, or the snapshot, that is on its way.
		return
	}
	seat := wire.Seat{ID: b.From.ID, Address: from, Site: b.From.Site}
	k.token++
	p.confirmed, p.resentAt, p.resentToken, p.lineAt = b.At, now, k.token, now
	k.peers[b.From.ID] = p
	switch common, ok := k.tail.NotAfter(b.At); {
	case k.tail.Holds(b.At):
		k.resend(seat, b.At, ledger.Position{}, out)
	case ok && !b.Whole:
		k.resend(seat, common, b.At, out)
	default:
		k.begin(now, seat, b.At, out)
	}
}

// resend sends a peer the first window after a position of this history. Where it
// stands in another one, it is to go back to that position first.
func (k *Keeper) resend(to wire.Seat, after, diverged ledger.Position, out *machine.Output) {
	limit := k.limit()
	if after.Sequence > limit.Sequence {
		limit = after
	}
	commands, end, ok := k.tail.Window(after, limit, windowEntries, windowBytes)
	if !ok {
		return
	}
	body := k.replicateBody(after, commands)
	body.Diverged = diverged
	out.Send(to.Address, wire.Replicate, body)
	p := k.peers[to.ID]
	p.next = end
	k.peers[to.ID] = p
}

// replicate follows a member of the known view, and acks once all is synced.
func (k *Keeper) replicate(now time.Duration, from string, b wire.ReplicateBody, out *machine.Output) {
	if k.bouncedView(now, from, b.View, b.From, b.Boot, b.Token, out) {
		return
	}
	commands, err := decodeAll(b.Commands)
	if err != nil {
		out.Log("line_damaged", "kind", wire.Replicate, "from", from, "why", err.Error())
		return
	}
	whole := false
	if b.Diverged != (ledger.Position{}) && b.Diverged == k.ledger.Position() {
		whole = !k.rewind(b.After)
		out.Log("rewound", "from", b.Diverged.Sequence, "to", k.ledger.Position().Sequence)
	}
	position := k.ledger.Position()
	known := func(c ledger.Logged) bool { return c.Position == position }
	if i := slices.IndexFunc(commands, known); i >= 0 {
		b.After, commands = position, commands[i+1:]
	}
	if b.After != position {
		out.Send(from, wire.ReplicateAck, wire.ReplicateAckBody{
			Boot: b.Boot, Epoch: b.View.Epoch, From: k.seat, Token: b.Token, At: position, Whole: whole, Known: k.witness.Known,
		})
		return
	}
	for _, cmd := range commands {
		k.applyLogged(cmd)
	}
	k.willAck(from, b.Boot, b.View.Epoch, b.Token)
}

func decodeAll(encoded []json.RawMessage) ([]ledger.Logged, error) {
	out := make([]ledger.Logged, 0, len(encoded))
	for _, e := range encoded {
		cmd, err := ledger.Decode(e)
		if err != nil {
			return nil, err
		}
		out = append(out, cmd)
	}
	return out, nil
}

func (k *Keeper) willAck(to string, boot, epoch, token uint64) {
	at := k.ledger.Position()
	body := wire.ReplicateAckBody{
		Boot: boot, Epoch: epoch, From: k.seat, Token: token, At: at, Good: true,
		Stands: k.stands == epoch, Known: k.witness.Known,
	}
	k.acks = append(k.acks, ack{to, body, at.Sequence})
}
