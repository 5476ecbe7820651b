// The keeper's part in views: founding the first, following the leader, and
// leading the next. Only a member of the last view may lead the next, and its
// new backups are copied in full before the witnesses are asked. A process that
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
	if !k.born {
		// An identity that is told but lost with the power would hold a seat for ever.
		return
	}
	k.rejectWaiting(now, out)
	for address, f := range k.followers {
		if now > f.until {
			delete(k.followers, address)
			delete(k.copies, address)
		}
	}
	k.dropSource(now)
	k.askAgain(now, out)
	switch {
	case k.witness.Known.Epoch == 0:
		k.establish(now)
		k.seek(now, out)
	case k.leads():
		k.lead(now, out)
	case k.backs():
		k.stand(now, out)
	}
	unheard := now-k.peers[k.witness.Known.Primary.ID].heardAt > 2*suspect || k.leads() && !k.hears(now)
	if unheard || !register.Has(k.witness.Known.Witnesses, k.seat.ID) {
		k.seek(now, out)
	}
}

// view is the next view with these members and the same witnesses.
func (k *Keeper) view(primary wire.Seat, backups []wire.Seat) wire.View {
	v := wire.View{Epoch: k.witness.Known.Epoch + 1, Primary: primary, Backups: backups, Witnesses: k.witness.Known.Witnesses}
	if primary.ID == k.seat.ID {
		v.Boot = k.env.Boot
	}
	return v
}

// width is how many backups the next view shall have: with them and the primary
// gone but one, the rest of the witnesses must still be a majority.
func (k *Keeper) width() int {
	return max(1, min(k.env.Copies, (len(k.witness.Known.Witnesses)-1)/2))
}

// crew are the backups to go on with, none of those given: a leader's own while
// they are heard, then those that have everything, then those last heard.
func (k *Keeper) crew(now time.Duration, not ...string) []wire.Seat {
	rank := func(s wire.Seat) int {
		switch {
		case k.leads() && register.Has(k.witness.Known.Backups, s.ID) && !k.silent(now, s):
			return 0
		case k.ready(now, s):
			return 1
		}
		return 2
	}
	var out []wire.Seat
	for _, s := range k.witness.Known.Witnesses {
		if s.ID != k.seat.ID && !slices.Contains(not, s.ID) {
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := rank(out[i]), rank(out[j]); a != b {
			return a < b
		}
		return k.peers[out[i].ID].heardAt > k.peers[out[j].ID].heardAt
	})
	return out[:min(k.width(), len(out))]
}

// ready says whether a seat may be a backup of the next view: it stands where this
// keeper does, or, while this one serves, where all that is committed is. What a
// serving primary commits from then on, it commits with that seat.
func (k *Keeper) ready(now time.Duration, s wire.Seat) bool {
	p := k.peers[s.ID]
	if !p.synced || now-p.heardAt >= suspect {
		return false
	}
	return p.at == k.ledger.Position() || k.serving && p.at.Sequence >= k.committed
}

// stand has a backup that misses the primary lead the next view. From before its
// first line to the others on, nothing is committed in this epoch by its acks any
// more, nor after a restart: else the next view could be decided with backups that
// lack what was committed meanwhile. Those later in rank give it time.
func (k *Keeper) stand(now time.Duration, out *machine.Output) {
	known := k.witness.Known
	rank := slices.IndexFunc(known.Backups, func(s wire.Seat) bool { return s.ID == k.seat.ID })
	missed := now - max(k.peers[known.Primary.ID].heardAt, k.startAt)
	if f := k.found[known.Primary.Address]; k.gone(known.Primary) {
		missed = max(missed, suspect+time.Nanosecond+now-f.at)
	}
	if missed <= suspect+time.Duration(rank)*apart {
		return
	}
	for _, s := range known.Backups[:rank] {
		if now-k.peers[s.ID].heardAt < 2*heartbeat && missed < 2*suspect {
			return
		}
	}
	if k.stands != known.Epoch {
		k.stands = known.Epoch
		k.put(keyStands, k.stands)
	}
	if k.stood != known.Epoch {
		return
	}
	for _, s := range known.Witnesses {
		if s.ID != k.seat.ID && s.ID != known.Primary.ID {
			k.sync(now, s, out)
		}
	}
	k.next(now, k.view(k.seat, k.crew(now, known.Primary.ID)), out)
}

// retake has a primary that was restarted go on with its backups, or with others
// while only those are heard. It asks all the while. If it asked just some, and one
// of them never came back, the rest could not make themselves heard.
func (k *Keeper) retake(now time.Duration, out *machine.Output) {
	for _, s := range k.witness.Known.Witnesses {
		if s.ID != k.seat.ID {
			k.sync(now, s, out)
		}
	}
	k.next(now, k.view(k.seat, k.crew(now)), out)
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

// hears says whether a leader has just heard from a majority of the witnesses, itself
// among them. Without them it can commit nothing and have no view decided. It must then
// send no heartbeats: if its lines arrive although it hears nobody, its backups would
// not miss it, and nobody would serve.
func (k *Keeper) hears(now time.Duration) bool {
	if now-k.beganAt <= suspect {
		return true
	}
	heard := map[string]bool{k.seat.ID: true}
	for _, s := range k.witness.Known.Witnesses {
		f := k.found[s.Address]
		found := f.Seat.ID == s.ID && now-f.at <= suspect
		if found || now-k.peers[s.ID].heardAt <= suspect {
			heard[s.ID] = true
		}
	}
	return register.Majority(k.witness.Known.Witnesses, heard)
}

func (k *Keeper) lead(now time.Duration, out *machine.Output) {
	if !k.hears(now) {
		return
	}
	known := k.witness.Known
	if known.Boot != k.env.Boot {
		k.retake(now, out)
		return
	}
	away := slices.ContainsFunc(known.Backups, func(s wire.Seat) bool { return k.silent(now, s) })
	if !k.serving {
		all := true
		for _, s := range known.Backups {
			k.sync(now, s, out)
			all = all && k.peers[s.ID].synced && k.peers[s.ID].at == k.ledger.Position()
		}
		if all {
			k.serve(now, out)
		} else if away {
			k.retake(now, out)
		}
		return
	}
	if now >= k.dueAt && !k.stopping {
		k.dueAt = now + dueEach
		if k.ledger.Due(k.leadingAt + now - k.beganAt) {
			k.apply(now, ledger.Command{Kind: ledger.KindTick})
		}
	}
	stands := slices.ContainsFunc(known.Backups, func(s wire.Seat) bool { return k.peers[s.ID].stands })
	if away || stands || len(known.Backups) < k.width() || len(k.named) > 0 && now-k.triedAt > suspect/2 {
		k.next(now, k.view(k.seat, k.crew(now)), out)
		return
	}
	if k.slow(now, out) {
		return
	}
	if k.stopping {
		k.next(now, k.view(known.Backups[0], k.crew(now, known.Backups[0].ID)), out)
	}
	k.replace(now, out)
}

// slow gives the lead to a backup when this keeper's own disk has been at one
// batch for long, and takes another seat for a backup whose disk has.
func (k *Keeper) slow(now time.Duration, out *machine.Output) bool {
	known := k.witness.Known
	var lags []string
	var ahead wire.Seat
	for _, s := range known.Backups {
		p := k.peers[s.ID]
		if p.at.Sequence >= p.mark {
			p.mark, p.markAt = k.sent.Sequence, now
			k.peers[s.ID] = p
		}
		if now-p.markAt > diskLate {
			lags = append(lags, s.ID)
		} else if p.synced && p.at.Sequence >= k.synced && (ahead.ID == "" || p.at.Sequence > k.peers[ahead.ID].at.Sequence) {
			ahead = s
		}
	}
	able := func(seats []wire.Seat) bool {
		return len(seats) == k.width() && !slices.ContainsFunc(seats, func(s wire.Seat) bool { return !k.ready(now, s) })
	}
	if len(k.writing) > 0 && now-k.wroteAt > diskLate && ahead.ID != "" {
		if crew := k.crew(now, append(lags, ahead.ID)...); able(crew) {
			k.next(now, k.view(ahead, crew), out)
			return true
		}
	}
	if len(lags) > 0 {
		crew := k.crew(now, lags...)
		if able(crew) && slices.ContainsFunc(crew, func(s wire.Seat) bool {
			return !register.Has(known.Backups, s.ID) && k.peers[s.ID].at.Sequence > k.peers[lags[0]].at.Sequence
		}) {
			k.next(now, k.view(k.seat, crew), out)
			return true
		}
	}
	return false
}

// replace changes the witness set for a keeper that has vanished, once another
// stands ready at a new identity. A new leader gives all a moment to answer first.
// Newcomers that cannot be heard are passed over: members remember the dead.
func (k *Keeper) replace(now time.Duration, out *machine.Output) {
	known := k.witness.Known
	for _, old := range known.Witnesses {
		vanished := now-k.peers[old.ID].heardAt > vanished && now-k.beganAt > 3*heartbeat
		if old.ID == k.seat.ID || register.Has(known.Backups, old.ID) || !vanished && !k.gone(old) {
			continue
		}
		k.admit(now, old, out)
		return
	}
	if len(known.Witnesses) < 2*k.env.Copies+1 {
		k.admit(now, wire.Seat{}, out)
	}
}

// admit gives the seat of another, or one more, to the first newcomer that answers,
// once it is behind by no more than what may be under way.
func (k *Keeper) admit(now time.Duration, old wire.Seat, out *machine.Output) {
	for _, seat := range k.newcomers(now, old) {
		k.sync(now, seat, out)
		p := k.peers[seat.ID]
		if p.heardAt == 0 || now-p.heardAt > suspect {
			continue
		}
		if p.synced && k.tail.Within(p.at, k.ledger.Position(), windowEntries, windowBytes) {
			v := k.view(k.seat, k.witness.Known.Backups)
			v.Witnesses = slices.DeleteFunc(slices.Clone(v.Witnesses), func(s wire.Seat) bool { return s.ID == old.ID })
			v.Witnesses = append(v.Witnesses, seat)
			k.propose(now, v, out)
		}
		return
	}
}

// newcomers are keepers without a seat: the one at the address of the seat that
// is free, those that asked for the view a moment ago, then those that the
// members know; of each, those of sites with the fewest seats first.
func (k *Keeper) newcomers(now time.Duration, old wire.Seat) []wire.Seat {
	var out []wire.Seat
	for _, f := range k.found {
		if !f.Proxy && now-f.at < suspect && !register.Has(k.witness.Known.Witnesses, f.Seat.ID) {
			out = append(out, f.Seat)
		}
	}
	held := map[string]int{}
	for _, s := range k.witness.Known.Witnesses {
		if s.ID != old.ID {
			held[s.Site]++
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].Address == old.Address, out[j].Address == old.Address; a != b {
			return a
		}
		if a, b := held[out[i].Site], held[out[j].Site]; a != b {
			return a < b
		}
		return out[i].ID < out[j].ID
	})
	asked := len(out)
	for _, n := range k.nodes {
		if n.Role == "keeper" && !register.Has(k.witness.Known.Witnesses, n.ID) && !register.Has(out, n.ID) {
			out = append(out, wire.Seat{ID: n.ID, Address: n.Address, Site: n.Site})
		}
	}
	sort.SliceStable(out[asked:], func(i, j int) bool { return held[out[asked+i].Site] < held[out[asked+j].Site] })
	return out
}

func (k *Keeper) serve(now time.Duration, out *machine.Output) {
	k.serving, k.leadingAt, k.beganAt = true, k.ledger.At()+time.Nanosecond, now
	// All backups have everything, but this disk may still be at what was not answered before.
	k.committed = min(k.ledger.Position().Sequence, k.synced)
	k.told = k.committed
	k.sent = k.ledger.Position()
	for _, s := range k.witness.Known.Backups {
		p := k.peers[s.ID]
		p.mark, p.markAt = k.sent.Sequence, now
		k.peers[s.ID] = p
	}
	k.announce(out)
	k.beginTerm(now, out)
	out.Log("serving", "epoch", k.witness.Known.Epoch, "sequence", k.committed, "backups", addresses(k.witness.Known.Backups))
}

func addresses(seats []wire.Seat) []string {
	out := make([]string, 0, len(seats))
	for _, s := range seats {
		out = append(out, s.Address)
	}
	return out
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

// next makes sure that the new backups have everything, then asks the witnesses.
func (k *Keeper) next(now time.Duration, v wire.View, out *machine.Output) {
	ready := len(v.Backups) == k.width()
	for _, s := range v.Backups {
		if k.ready(now, s) {
			continue
		}
		if ready = false; !k.serving || !register.Has(k.witness.Known.Backups, s.ID) {
			k.sync(now, s, out)
		}
	}
	if ready {
		k.propose(now, v, out)
	}
}

func (k *Keeper) propose(now time.Duration, v wire.View, out *machine.Output) {
	if now-k.triedAt < k.backoff() && k.triedAt > 0 {
		return
	}
	k.triedAt = now
	if k.serving {
		k.named = register.Union(k.named, v.Backups)
	}
	above := k.asked
	for _, b := range []wire.Ballot{k.proposal.Highest, k.witness.Promised} {
		if above.Less(b) {
			above = b
		}
	}
	var asks []wire.RegisterBody
	k.proposal, asks = register.Begin(k.witness.Known, v, k.seat, strconv.FormatUint(k.env.Boot, 36), above)
	k.asked = k.proposal.Ballot
	out.Log("view_proposed", "epoch", v.Epoch, "primary", v.Primary.Address, "backups", addresses(v.Backups), "round", k.asked.Round)
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

// learn takes a decided view. A leader that is replaced rejects all it has not
// answered; the caller asks again, and nothing was promised. One that keeps the
// lead keeps these answers: they go out once the new backups have the commands.
func (k *Keeper) learn(now time.Duration, v wire.View, out *machine.Output) {
	state, news := k.witness.Learn(v)
	if !news {
		return
	}
	k.resuming = k.resumes(v)
	k.witness = state
	k.put(keyRegister, k.witness)
	k.proposal, k.asked, k.triedAt = register.Proposal{}, wire.Ballot{}, 0
	if !k.resuming {
		k.rejectAll(out)
	}
	k.acks, k.serving, k.committed, k.named = nil, false, 0, nil
	k.beganAt = now
	for id, p := range k.peers {
		k.peers[id] = peer{heardAt: p.heardAt, at: p.at, mark: p.mark, markAt: p.markAt}
	}
	k.source, k.incoming = nil, nil
	if !k.leads() {
		k.announce(out)
		k.followers, k.copies = map[string]follower{}, map[string]wire.NewsBody{}
	}
	if p := k.peers[v.Primary.ID]; p.heardAt < now {
		p.heardAt = now
		k.peers[v.Primary.ID] = p
	}
	out.Log("view_learned", "epoch", v.Epoch, "primary", v.Primary.Address, "backups", addresses(v.Backups), "witnesses", len(v.Witnesses))
}

// bouncedView refuses the lines of a leader whose epoch has passed, and those
// of one that is neither primary nor backup of the known view.
func (k *Keeper) bouncedView(now time.Duration, from string, v wire.View, sender wire.Seat, boot, token uint64, out *machine.Output) bool {
	k.learn(now, v, out)
	known := k.witness.Known
	member := sender.ID == known.Primary.ID || register.Has(known.Backups, sender.ID) && !k.leads()
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

// seek asks founders, the known seats and other keepers for the view.
func (k *Keeper) seek(now time.Duration, out *machine.Output) {
	if now-k.soughtAt < 2*heartbeat && k.soughtAt > 0 {
		return
	}
	targets := slices.Clone(k.env.Founders)
	for _, s := range k.witness.Known.Witnesses {
		if !slices.Contains(targets, s.Address) {
			targets = append(targets, s.Address)
		}
	}
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
	k.establish(now)
}

// establish founds the cluster. All founders must have answered, each with an empty
// disk or as one without; the smallest of those with a disk founds, or, where none
// has one, the smallest keeper that the members know. It takes the founders. Where
// they are too few, or a site would hold more seats than may be lost, it waits a
// while for others.
func (k *Keeper) establish(now time.Duration) {
	if k.witness.Known.Epoch > 0 || k.founded.Epoch > 0 || !k.born || len(k.env.Founders) < 3 {
		return
	}
	waited := now-k.startAt > foundWait
	seats := []wire.Seat{k.seat}
	disks := 0
	for _, address := range k.env.Founders {
		f := k.found[address]
		switch {
		case address == k.seat.Address:
			disks++
			continue
		case f.Seat.ID == "" || !f.Empty:
			return
		case f.Proxy:
			continue
		case address < k.seat.Address || register.Has(seats, f.Seat.ID):
			return
		}
		disks++
		seats = append(seats, f.Seat)
	}
	founds := slices.Contains(k.env.Founders, k.seat.Address)
	if disks > 0 && !founds {
		return
	}
	if disks == 0 && (!waited || slices.ContainsFunc(k.nodes, func(n wire.Node) bool { return n.Role == "keeper" && n.Address < k.seat.Address })) {
		return
	}
	others := []wire.Seat{}
	for _, f := range k.found {
		if f.Empty && !f.Proxy && now-f.at < suspect && !register.Has(seats, f.Seat.ID) {
			others = append(others, f.Seat)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Address < others[j].Address })
	sort.Slice(seats, func(i, j int) bool { return seats[i].Address < seats[j].Address })
	copies := max(1, k.env.Copies)
	if copies > 1 || disks < 3 || most(seats) > copies {
		all := append(seats, others...)
		if seats = spread(k.seat, all, 2*copies+1); !waited && (len(seats) < 2*copies+1 || most(seats) > copies) {
			return
		}
		if len(seats)%2 == 0 {
			seats = seats[:len(seats)-1]
		}
	}
	if len(seats) < 3 {
		return
	}
	k.firstView(wire.View{Epoch: 1, Boot: k.env.Boot, Primary: seats[0], Backups: seats[1 : 1+min(copies, (len(seats)-1)/2)], Witnesses: seats})
}

// firstView writes the view that this keeper founds. It goes by it and tells it only once
// it is synced: else all could lose power with the view on the disk of one that is no
// founder, the founders found another, and two first views have two successors.
func (k *Keeper) firstView(v wire.View) {
	k.founded, k.foundedBy = v, k.nextWrite+1
	k.put(keyRegister, register.State{Known: v})
}

// spread chooses seats, this one first, from the site that has the fewest of them
// each time, in the order given.
func spread(first wire.Seat, from []wire.Seat, count int) []wire.Seat {
	out, held := []wire.Seat{first}, map[string]int{first.Site: 1}
	for len(out) < min(count, len(from)) {
		var best *wire.Seat
		for i, s := range from {
			if !register.Has(out, s.ID) && (best == nil || held[s.Site] < held[best.Site]) {
				best = &from[i]
			}
		}
		out = append(out, *best)
		held[best.Site]++
	}
	return out
}

// most is how many seats the site with the most of them holds.
func most(seats []wire.Seat) (count int) {
	held := map[string]int{}
	for _, s := range seats {
		held[s.Site]++
		count = max(count, held[s.Site])
	}
	return count
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
