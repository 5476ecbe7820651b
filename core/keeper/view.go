// The keeper's part in views: founding the first, following the leader, and
// leading the next. Only a member of the last view may lead the next, and its
// new backup is copied in full before the witnesses are asked. A process that
// starts again as primary asks for a new epoch first, so that no position of
// the ledger ever has two meanings.
package keeper

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/register"
	"sorrelloom/core/wire"
)

func (k *Keeper) wakeups(now time.Duration, out *machine.Output) {
	k.wakeAt = now + heartbeat/3
	for address, f := range k.followers {
		if now > f.until {
			delete(k.followers, address)
			delete(k.copies, address)
		}
	}
	switch {
	case k.witness.Known.Epoch == 0:
		k.seek(now, out)
	case k.leads():
		k.lead(now, out)
	case k.backs():
		if p := k.witness.Known.Primary; now-max(k.peers[p.ID].heardAt, k.startAt) > suspect || k.gone(p) {
			k.next(now, k.view(k.seat, k.spare(now, k.witness.Known.Primary.ID)), out)
		}
	}
	if !register.Has(k.witness.Known.Witnesses, k.seat.ID) || now-k.peers[k.witness.Known.Primary.ID].heardAt > 2*suspect {
		k.seek(now, out)
	}
}

// view is the next view with these members and the same witnesses.
func (k *Keeper) view(primary, backup wire.Seat) wire.View {
	v := wire.View{Epoch: k.witness.Known.Epoch + 1, Primary: primary, Backup: backup, Witnesses: k.witness.Known.Witnesses}
	if primary.ID == k.seat.ID {
		v.Boot = k.env.Boot
	}
	return v
}

// spare is the witness to take in as backup, not the one given.
func (k *Keeper) spare(now time.Duration, not string) wire.Seat {
	var best wire.Seat
	for _, s := range k.witness.Known.Witnesses {
		if s.ID != k.seat.ID && s.ID != not && (best.ID == "" || k.peers[s.ID].heardAt > k.peers[best.ID].heardAt) {
			best = s
		}
	}
	return best
}

// partner is whom a primary that was restarted goes on with: its backup, or the
// third while only that one is heard. It asks both all the while. If it asked just
// one, and that one never came back, the other could not make itself heard: a
// backup that hears no primary asks the third, too.
func (k *Keeper) partner(now time.Duration, out *machine.Output) wire.Seat {
	for _, s := range k.witness.Known.Witnesses {
		if s.ID != k.seat.ID {
			k.sync(now, s, out)
		}
	}
	backup := k.witness.Known.Backup
	if third := k.spare(now, backup.ID); k.silent(now, backup) && !k.silent(now, third) {
		return third
	}
	return backup
}

// silent says whether a leader has not heard from a witness for long, or knows
// that it is gone.
func (k *Keeper) silent(now time.Duration, s wire.Seat) bool {
	return now-max(k.peers[s.ID].heardAt, k.beganAt) > suspect || k.gone(s)
}

// gone says whether another disk's identity has spoken from a seat's own address
// since the seat was last heard: two processes cannot stand at one address, so
// nothing needs to be waited for. It only hastens a proposal; who may lead and
// who decides are the same.
func (k *Keeper) gone(s wire.Seat) bool {
	f, ok := k.found[s.Address]
	return ok && f.Seat.ID != s.ID && f.at > k.peers[s.ID].heardAt
}

func (k *Keeper) lead(now time.Duration, out *machine.Output) {
	known := k.witness.Known
	if known.Boot != k.env.Boot {
		k.next(now, k.view(k.seat, k.partner(now, out)), out)
		return
	}
	if !k.serving {
		k.sync(now, known.Backup, out)
		if backup := k.peers[known.Backup.ID]; backup.synced && backup.at == k.ledger.Position() {
			k.serve(now, out)
		} else if k.silent(now, known.Backup) {
			k.next(now, k.view(k.seat, k.spare(now, known.Backup.ID)), out)
		}
		return
	}
	if now >= k.dueAt && !k.stopping {
		k.dueAt = now + dueEach
		if k.ledger.Due(k.leadingAt + now - k.beganAt) {
			k.apply(now, ledger.Command{Kind: ledger.KindTick})
		}
	}
	if k.silent(now, known.Backup) {
		k.next(now, k.view(k.seat, k.spare(now, known.Backup.ID)), out)
		return
	}
	if k.slow(now, out) {
		return
	}
	if k.stopping {
		k.next(now, k.view(known.Backup, k.spare(now, known.Backup.ID)), out)
	}
	k.replace(now, out)
}

// slow gives the lead to the backup when this keeper's own disk has been at one
// batch for long, and takes the third as backup when the backup's has.
func (k *Keeper) slow(now time.Duration, out *machine.Output) bool {
	known := k.witness.Known
	third := k.spare(now, known.Backup.ID)
	backup, ready := k.peers[known.Backup.ID], k.peers[third.ID].synced && now-k.peers[third.ID].heardAt < suspect
	if backup.at.Sequence >= k.sent.Sequence {
		k.lagSince = now
	}
	switch {
	case !ready:
		return false
	case len(k.writing) > 0 && now-k.wroteAt > diskLate && backup.synced && backup.at.Sequence >= k.synced:
		k.next(now, k.view(known.Backup, third), out)
	case now-k.lagSince > diskLate && k.peers[third.ID].at.Sequence > backup.at.Sequence:
		k.next(now, k.view(k.seat, third), out)
	default:
		return false
	}
	return true
}

// replace changes the witness set for a keeper that has vanished, once another
// stands ready at a new identity. A new leader gives all a moment to answer first.
// Newcomers that cannot be heard are passed over: members remember the dead.
func (k *Keeper) replace(now time.Duration, out *machine.Output) {
	known := k.witness.Known
	for _, old := range known.Witnesses {
		vanished := now-k.peers[old.ID].heardAt > vanished && now-k.beganAt > 3*heartbeat
		if old.ID == k.seat.ID || old.ID == known.Backup.ID || !vanished && !k.gone(old) {
			continue
		}
		for _, seat := range k.newcomers(now, old) {
			k.sync(now, seat, out)
			p := k.peers[seat.ID]
			if p.heardAt == 0 || now-p.heardAt > suspect {
				continue
			}
			if p.synced {
				v := k.view(k.seat, known.Backup)
				v.Witnesses = slices.Clone(known.Witnesses)
				v.Witnesses[slices.IndexFunc(v.Witnesses, func(s wire.Seat) bool { return s.ID == old.ID })] = seat
				k.propose(now, v, out)
			}
			break
		}
		return
	}
}

// newcomers are keepers without a seat: the one at the address of the seat that
// is free, those that asked for the view a moment ago, then those that the
// members know.
func (k *Keeper) newcomers(now time.Duration, old wire.Seat) []wire.Seat {
	var out []wire.Seat
	for _, f := range k.found {
		if now-f.at < suspect && !register.Has(k.witness.Known.Witnesses, f.Seat.ID) {
			out = append(out, f.Seat)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].Address == old.Address, out[j].Address == old.Address; a != b {
			return a
		}
		return out[i].ID < out[j].ID
	})
	for _, n := range k.nodes {
		if n.Role == "keeper" && !register.Has(k.witness.Known.Witnesses, n.ID) && !register.Has(out, n.ID) {
			out = append(out, wire.Seat{ID: n.ID, Address: n.Address, Site: n.Site})
		}
	}
	return out
}

func (k *Keeper) serve(now time.Duration, out *machine.Output) {
	k.serving, k.leadingAt, k.beganAt = true, k.ledger.At()+time.Nanosecond, now
	k.committed, k.told = k.ledger.Position().Sequence, k.ledger.Position().Sequence
	k.sent, k.lagSince = k.ledger.Position(), now
	k.announce(out)
	out.Log("serving", "epoch", k.witness.Known.Epoch, "sequence", k.committed, "backup", k.witness.Known.Backup.Address)
}

// announce names the primary: a leader that goes to its followers, a new one to
// every daemon it knows, so that nobody has to find it by trying.
func (k *Keeper) announce(out *machine.Output) {
	to := make([]string, 0, len(k.followers)+len(k.nodes))
	for address := range k.followers {
		to = append(to, address)
	}
	if k.leads() {
		for _, n := range k.nodes {
			if n.Role != "keeper" {
				to = append(to, n.Address)
			}
		}
	}
	slices.Sort(to)
	for _, address := range slices.Compact(to) {
		out.Send(address, wire.News, wire.NewsBody{Bounced: true, Epoch: k.witness.Known.Epoch, Primary: k.witness.Known.Primary.Address})
	}
}

// sync brings a peer to where this keeper stands: a check, a tail or a copy.
func (k *Keeper) sync(now time.Duration, to wire.Seat, out *machine.Output) {
	p := k.peers[to.ID]
	if to.ID == "" || now-p.resentAt < heartbeat {
		return
	}
	k.token++
	p.resentAt, p.asked = now, k.token
	k.peers[to.ID] = p
	position := k.ledger.Position()
	out.Send(to.Address, wire.Replicate, wire.ReplicateBody{Boot: k.env.Boot, View: k.witness.Known, From: k.seat, Token: k.token, After: position})
}

// next makes sure that the new backup has everything, then asks the witnesses.
func (k *Keeper) next(now time.Duration, v wire.View, out *machine.Output) {
	other := v.Backup
	if other.ID == k.seat.ID {
		other = v.Primary
	}
	if other.ID == "" {
		return
	}
	p := k.peers[other.ID]
	if p.synced && p.at == k.ledger.Position() && now-p.heardAt < suspect {
		k.propose(now, v, out)
		return
	}
	if !k.serving || !register.Has([]wire.Seat{k.witness.Known.Backup}, other.ID) {
		k.sync(now, other, out)
	}
}

func (k *Keeper) propose(now time.Duration, v wire.View, out *machine.Output) {
	if now-k.triedAt < k.backoff() && k.triedAt > 0 {
		return
	}
	k.triedAt = now
	above := k.asked
	for _, b := range []wire.Ballot{k.proposal.Highest, k.witness.Promised} {
		if above.Less(b) {
			above = b
		}
	}
	var asks []wire.RegisterBody
	k.proposal, asks = register.Begin(k.witness.Known, v, k.seat, strconv.FormatUint(k.env.Boot, 36), above)
	k.asked = k.proposal.Ballot
	out.Log("view_proposed", "epoch", v.Epoch, "primary", v.Primary.Address, "backup", v.Backup.Address, "round", k.asked.Round)
	k.ask(wire.Prepare, asks, out)
}

// backoff spreads two candidates apart, without a clock or chance, and grows,
// so that votes from slow disks come before the next ballot makes them void.
func (k *Keeper) backoff() time.Duration {
	h := fnv.New32a()
	h.Write([]byte{byte(k.asked.Round)})
	h.Write([]byte(k.seat.ID))
	wait := 200*time.Millisecond + time.Duration(h.Sum32()%300)*time.Millisecond
	return min(wait<<min(k.asked.Round/2, 10), backoffMax)
}

func (k *Keeper) ask(kind string, asks []wire.RegisterBody, out *machine.Output) {
	seats := register.Union(k.proposal.Base.Witnesses, k.proposal.Value.Witnesses)
	for _, b := range asks {
		i := slices.IndexFunc(seats, func(s wire.Seat) bool { return s.ID == b.To })
		out.Send(seats[i].Address, kind, b)
	}
}

func (k *Keeper) vote(now time.Duration, from, kind string, b wire.RegisterBody, out *machine.Output) {
	k.learn(now, b.Known, out)
	state, reply, ok := k.witness.Witness(k.seat, kind, b)
	if !ok {
		return
	}
	back := wire.PrepareBack
	if kind == wire.Accept {
		back = wire.AcceptBack
	}
	k.witness = state
	k.put(keyRegister, k.witness)
	k.sends = append(k.sends, machine.Send{To: from, Kind: back, Body: reply})
}

func (k *Keeper) voted(now time.Duration, kind string, b wire.RegisterBody, out *machine.Output) {
	k.learn(now, b.Known, out)
	var asks []wire.RegisterBody
	var decided wire.View
	k.proposal, asks, decided = k.proposal.Take(k.seat, kind, b)
	k.ask(wire.Accept, asks, out)
	if decided.Epoch > 0 {
		for _, s := range register.Union(k.proposal.Base.Witnesses, decided.Witnesses) {
			if s.ID != k.seat.ID {
				out.Send(s.Address, wire.Decided, wire.RegisterBody{Known: decided})
			}
		}
		k.learn(now, decided, out)
	}
}

// learn takes a decided view. A leader that is replaced bounces all it has not
// answered; the caller asks again, and nothing was promised.
func (k *Keeper) learn(now time.Duration, v wire.View, out *machine.Output) {
	state, news := k.witness.Learn(v)
	if !news {
		return
	}
	k.witness = state
	k.put(keyRegister, k.witness)
	k.proposal, k.asked, k.triedAt = register.Proposal{}, wire.Ballot{}, 0
	for _, a := range k.answers {
		k.back(a.to, k.notPrimary(a.body.ID), out)
	}
	k.answers, k.acks, k.serving, k.committed = nil, nil, false, 0
	k.beganAt = now
	for id, p := range k.peers {
		p.synced, p.token, p.asked, p.resentAt = false, 0, 0, 0
		k.peers[id] = p
	}
	if !k.leads() {
		k.announce(out)
		k.followers, k.copies = map[string]follower{}, map[string]wire.NewsBody{}
	}
	if p := k.peers[v.Primary.ID]; p.heardAt < now {
		p.heardAt = now
		k.peers[v.Primary.ID] = p
	}
	out.Log("view_learned", "epoch", v.Epoch, "primary", v.Primary.Address, "backup", v.Backup.Address, "witnesses", len(v.Witnesses))
}

// replicate follows a member of the known view, and acks once all is synced.
func (k *Keeper) replicate(now time.Duration, from string, b wire.ReplicateBody, out *machine.Output) {
	if k.bouncedView(now, from, b.View, b.From, b.Boot, b.Token, out) {
		return
	}
	position := k.ledger.Position()
	if i := slices.IndexFunc(b.Commands, func(c ledger.Command) bool { return c.Position == position }); i >= 0 {
		b.After, b.Commands = position, b.Commands[i+1:]
	}
	if b.After != position {
		body := wire.ReplicateAckBody{Boot: b.Boot, Epoch: b.View.Epoch, From: k.seat, Token: b.Token, At: position, Known: k.witness.Known}
		out.Send(from, wire.ReplicateAck, body)
		return
	}
	for _, cmd := range b.Commands {
		k.tail.Add(cmd)
		k.ledger.Apply(cmd)
	}
	k.willAck(from, b.Boot, b.View.Epoch, b.Token)
}

func (k *Keeper) willAck(to string, boot, epoch, token uint64) {
	at := k.ledger.Position()
	k.acks = append(k.acks, ack{to, wire.ReplicateAckBody{Boot: boot, Epoch: epoch, From: k.seat, Token: token, At: at, Good: true, Known: k.witness.Known}, at.Sequence})
}

// bouncedView refuses the lines of a leader whose epoch has passed, and those
// of one that is neither primary nor backup of the known view.
func (k *Keeper) bouncedView(now time.Duration, from string, v wire.View, sender wire.Seat, boot, token uint64, out *machine.Output) bool {
	k.learn(now, v, out)
	known := k.witness.Known
	member := sender.ID == known.Primary.ID || sender.ID == known.Backup.ID && !k.leads()
	if v.Epoch != known.Epoch || !member || sender.ID == k.seat.ID || k.leads() && k.serving {
		body := wire.ReplicateAckBody{Boot: boot, Epoch: v.Epoch, From: k.seat, Token: token, At: k.ledger.Position(), Known: known}
		out.Send(from, wire.ReplicateAck, body)
		return true
	}
	p := k.peers[sender.ID]
	p.heardAt = now
	k.peers[sender.ID] = p
	return false
}

func (k *Keeper) copied(now time.Duration, from string, b wire.CopyBody, out *machine.Output) {
	if k.bouncedView(now, from, b.View, b.From, b.Boot, b.Token, out) {
		return
	}
	if k.backs() && b.From.ID != k.witness.Known.Primary.ID {
		return
	}
	l, err := ledger.Load(b.Records)
	if err != nil || l.Position() != b.At {
		out.Log("copy_damaged", "from", from)
		return
	}
	k.ledger, k.entries = l, nil
	k.reset()
	var own []machine.Record
	for _, r := range k.records {
		if r.Bucket == bucketSelf {
			own = append(own, r)
		}
	}
	k.records = append(own, b.Records...)
	k.wipe, k.acks, k.synced = true, nil, 0
	for id, w := range k.writing {
		k.writing[id] = after{w.sends, 0}
	}
	out.Log("copied", "from", from, "epoch", b.At.Epoch, "sequence", b.At.Sequence, "records", len(b.Records))
	k.willAck(from, b.Boot, b.View.Epoch, b.Token)
}

// acked hears how far a peer has come.
func (k *Keeper) acked(now time.Duration, from string, b wire.ReplicateAckBody, out *machine.Output) {
	k.learn(now, b.Known, out)
	if b.Boot != k.env.Boot || b.Epoch != k.witness.Known.Epoch || !k.leads() && !k.backs() {
		return
	}
	p := k.peers[b.From.ID]
	p.heardAt = now
	if b.Good {
		p.synced, p.at, p.token = true, b.At, max(p.token, b.Token)
		k.peers[b.From.ID] = p
		return
	}
	if p.synced && b.Token <= p.token {
		return
	}
	p.synced = false
	if p.resentAt > 0 && now-p.resentAt < heartbeat/2 && b.Token != p.asked || p.copyToken > 0 && b.Token < p.copyToken && now-p.copiedAt < catchUp {
		// It answers what was sent before the rest or the copy that is on its way.
		k.peers[b.From.ID] = p
		return
	}
	k.token++
	p.resentAt, p.asked, p.copiedAt, p.copyToken = now, k.token, now, k.token
	k.peers[b.From.ID] = p
	if commands, ok := k.tail.Since(b.At); ok {
		out.Send(from, wire.Replicate, wire.ReplicateBody{Boot: k.env.Boot, View: k.witness.Known, From: k.seat, Token: k.token, After: b.At, Commands: slices.Clone(commands)})
	} else {
		out.Send(from, wire.Copy, wire.CopyBody{Boot: k.env.Boot, View: k.witness.Known, From: k.seat, Token: k.token, At: k.ledger.Position(), Records: k.ledger.Records()})
	}
}

// seek asks founders and other keepers for the view. The founder with the
// smallest address founds the cluster, once all are there and all are empty.
func (k *Keeper) seek(now time.Duration, out *machine.Output) {
	if now-k.soughtAt < 2*heartbeat && k.soughtAt > 0 {
		return
	}
	targets := slices.Clone(k.env.Founders)
	for _, n := range k.nodes {
		if n.Role == "keeper" && !slices.Contains(targets, n.Address) {
			targets = append(targets, n.Address)
		}
	}
	for _, to := range targets {
		if to != k.seat.Address {
			k.soughtAt = now
			out.Send(to, wire.Found, k.self())
		}
	}
}

func (k *Keeper) self() wire.FoundBody {
	return wire.FoundBody{Seat: k.seat, Empty: k.witness.Known.Epoch == 0, View: k.witness.Known}
}

func (k *Keeper) founding(now time.Duration, line machine.Line, b wire.FoundBody, out *machine.Output) {
	if line.Kind == wire.Found {
		k.sends = append(k.sends, machine.Send{To: line.From, Kind: wire.FoundBack, Body: k.self()})
	}
	k.learn(now, b.View, out)
	k.found[b.Seat.Address] = finding{b, now}
	if k.witness.Known.Epoch > 0 || len(k.env.Founders) < 3 || slices.Min(k.env.Founders) != k.seat.Address {
		return
	}
	seats := []wire.Seat{}
	for _, address := range k.env.Founders {
		f := k.found[address]
		if address == k.seat.Address {
			f.FoundBody = k.self()
		}
		if f.Seat.ID == "" || !f.Empty || register.Has(seats, f.Seat.ID) {
			return
		}
		seats = append(seats, f.Seat)
	}
	sort.Slice(seats, func(i, j int) bool { return seats[i].Address < seats[j].Address })
	k.learn(now, wire.View{Epoch: 1, Boot: k.env.Boot, Primary: seats[0], Backup: seats[1], Witnesses: seats}, out)
}

// Status is what the keeper shows of itself.
type Status struct {
	ID        string          `json:"id"`
	View      wire.View       `json:"view"`
	Serving   bool            `json:"serving"`
	At        ledger.Position `json:"at"`
	Committed uint64          `json:"committed"`
	Plan      uint64          `json:"planSequence"`
	Code      code.Code       `json:"code"`
}

func (k *Keeper) Status() Status {
	return Status{ID: k.seat.ID, View: k.witness.Known, Serving: k.serving, At: k.ledger.Position(), Committed: k.committed, Plan: k.ledger.Plan().Sequence}
}
