// Package scheduler is the daemon that holds dispatch duties. For each site
// whose duty it holds it takes the beats of that site's workers, has them
// recorded in the ledger, lets the dispatch choose, asks the ledger for the
// turns and hands them out in the reply to the beat, which it holds while there
// is nothing to say. It may die at any moment: the next one builds all of it
// from the ledger and the beats.
package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/dispatch"
	"sorrelloom/core/follow"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

type Env struct {
	Address string
	Site    string
	First   uint64
	Central bool
}

const (
	helloEach   = 500 * time.Millisecond
	commandWait = 2 * time.Second
	passEach    = 50 * time.Millisecond
	retellAfter = 500 * time.Millisecond
	refusedFor  = 150 * time.Millisecond
	pushEach    = 50 * time.Millisecond
	// passGap is the least time between two passes in the primary's own process.
	passGap = 8 * time.Millisecond
)

// DutyOf names the duty that owns a site's inboxes.
func DutyOf(site string) string { return "dispatch/" + site }

// record is one beat from its coming to its reply.
type record struct {
	id       uint64
	from     string
	beat     ledger.Beat
	holdFor  time.Duration
	until    time.Duration
	command  uint64
	recorded bool
	orders   ledger.Orders
}

type proposal struct {
	picks   []ledger.Pick
	refs    []dispatch.Ref
	rooms   []ledger.Room
	class   [2]string
	pushOut bool
	refused bool
	until   time.Duration
	at      uint64
}

// Authority is the ledger that a scheduler reads and the way to ask it for
// writes: a copy of it, or, in the primary's own process, the ledger itself. A
// command to the latter is applied before Submit returns; only its answer, which
// says that two disks have it, comes later.
type Authority interface {
	View() *ledger.Ledger
	Own() bool
	Fresh(now time.Duration) bool
	Loaded() bool
	Submit(now time.Duration, cmd ledger.Command, wait time.Duration, out *machine.Output) uint64
	Line(now time.Duration, line machine.Line, out *machine.Output) ([]follow.Result, bool)
	Wake(now time.Duration, out *machine.Output) []follow.Result
	// Leave is said once, before the process goes.
	Leave(out *machine.Output)
}

// idle is what a worker found nothing for.
type idle struct {
	news  uint64
	room  ledger.Room
	until time.Duration
}

type Scheduler struct {
	env       Env
	copy      Authority
	dispatch  *dispatch.Dispatch
	records   map[string]record
	commands  map[uint64]string
	proposals map[uint64]proposal
	told      map[ledger.Attempt]time.Duration
	overShare map[[2]string]uint64
	helloAt   time.Duration
	wanted    map[string]bool
	idle      map[string]idle
	pushAt    time.Duration
	wakeAt    time.Duration
	passAt    time.Duration
	passed    time.Duration
	stopping  bool
	stopAt    time.Duration
}

func New(env Env) *Scheduler {
	return NewWith(env, follow.New(env.Address, env.Site, env.First))
}

// NewWith is a scheduler that works on the given authority.
func NewWith(env Env, authority Authority) *Scheduler {
	s := &Scheduler{env: env, copy: authority, dispatch: dispatch.New(), records: map[string]record{}, commands: map[uint64]string{},
		proposals: map[uint64]proposal{}, told: map[ledger.Attempt]time.Duration{}, overShare: map[[2]string]uint64{}, wanted: map[string]bool{}, idle: map[string]idle{}}
	if env.Central {
		s.dispatch = dispatch.NewCentral()
	}
	return s
}

func (s *Scheduler) Wakeup() time.Duration        { return s.wakeAt }
func (s *Scheduler) Counters() dispatch.Counters  { return s.dispatch.Counters }
func (s *Scheduler) Ready(now time.Duration) bool { return s.copy.Fresh(now) }
func (s *Scheduler) Sequence() uint64             { return s.copy.View().Plan().Sequence }

// Duties gives the sites whose duty this process holds.
func (s *Scheduler) Duties() []string {
	var out []string
	for _, w := range s.sites() {
		if s.holds(w) {
			out = append(out, w)
		}
	}
	return out
}

func (s *Scheduler) holds(site string) bool {
	return s.copy.View().Duty(DutyOf(site)).Holder == s.env.Address
}

func (s *Scheduler) sites() []string {
	set := map[string]bool{s.env.Site: true}
	for _, w := range s.copy.View().Workers() {
		set[w.Site] = true
	}
	for site := range s.wanted {
		set[site] = true
	}
	out := make([]string, 0, len(set))
	for site := range set {
		out = append(out, site)
	}
	sort.Strings(out)
	return out
}

func (s *Scheduler) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	var results []follow.Result
	switch {
	case in.Stop:
		s.stopping, s.stopAt = true, now+2*time.Second
		s.copy.Leave(&out)
		s.handOver(now, &out)
	case in.Line.Kind == wire.Beat:
		var b wire.BeatBody
		if err := machine.Unmarshal(in.Line.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Line.Kind, "from", in.Line.From, "why", err.Error())
			break
		}
		s.beat(now, in.Line.From, b, &out)
	case in.Line.Kind != "":
		var handled bool
		if results, handled = s.copy.Line(now, in.Line, &out); !handled {
			out.Log("line_unknown", "kind", in.Line.Kind, "from", in.Line.From)
		}
	}
	results = append(results, s.copy.Wake(now, &out)...)
	for _, r := range results {
		s.result(now, r, &out)
	}
	changes := s.copy.View().TakeChanges()
	s.dispatch.Update(s.copy.View(), changes)
	if now >= s.helloAt {
		s.hello(now, &out)
	}
	if len(changes)+len(results) > 0 || in.Line.Kind == wire.Beat {
		s.passAt = min(s.passAt, max(now, s.passed+passGap))
	}
	if now >= s.passAt || !s.copy.Own() {
		s.pass(now, &out)
		s.passAt, s.passed = now+passEach, now
	}
	s.wakeAt = s.passAt
	if s.stopping && (now >= s.stopAt || len(s.Duties()) == 0) {
		out.Stopped = true
	}
	return out
}

// hello keeps the registration, votes on duties that nobody looks after, and
// names the successor of a duty that another site's scheduler should hold.
func (s *Scheduler) hello(now time.Duration, out *machine.Output) {
	s.helloAt = now + helloEach
	s.dispatch.Sweep(s.copy.View())
	if s.stopping || !s.copy.Loaded() {
		return
	}
	if s.copy.Own() {
		for _, site := range s.sites() {
			s.take(now, site, out)
		}
		return
	}
	said := false
	for _, site := range s.sites() {
		l, name := s.copy.View(), DutyOf(site)
		d, to := l.Duty(name), s.candidate(site)
		hello := ledger.Hello{Daemon: s.env.Address, Site: s.env.Site, Want: name, For: to.ID, Epoch: d.Epoch}
		silent := d.Holder == "" || l.At()-d.SeenAt > l.Plan().Limits.Silent.Duration/2
		hello.Pass = d.Holder == s.env.Address && s.env.Site != site && to.Site == site
		if to.ID != "" && (silent && d.Holder != s.env.Address || hello.Pass) {
			s.copy.Submit(now, ledger.Command{Kind: ledger.KindHello, Hello: hello}, helloEach, out)
			said = true
		}
	}
	s.wanted = map[string]bool{}
	if !said {
		s.copy.Submit(now, ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{Daemon: s.env.Address, Site: s.env.Site}}, helloEach, out)
	}
}

// take gives a duty to the primary's own dispatcher.
func (s *Scheduler) take(now time.Duration, site string, out *machine.Output) {
	if s.copy.Fresh(now) && !s.holds(site) {
		hello := ledger.Hello{Daemon: s.env.Address, Site: s.env.Site}
		s.copy.Submit(now, ledger.Command{Kind: ledger.KindTake, Name: DutyOf(site), Hello: hello}, commandWait, out)
	}
}

// candidate is the scheduler that should hold a site's duty: alive, not the
// silent holder, of the site itself if there is one, with the fewest duties.
func (s *Scheduler) candidate(site string) ledger.Daemon {
	l := s.copy.View()
	load := map[string]int{}
	for _, d := range l.Duties() {
		load[d.Holder]++
	}
	var best ledger.Daemon
	for _, d := range l.Daemons(l.Plan().Limits.Silent.Duration / 2) {
		if d.ID == s.env.Address && s.stopping {
			continue
		}
		near, bestNear := d.Site == site, best.Site == site
		if best.ID == "" || near && !bestNear || near == bestNear && load[d.ID] < load[best.ID] {
			best = d
		}
	}
	return best
}

// handOver names successors for the duties held.
func (s *Scheduler) handOver(now time.Duration, out *machine.Output) {
	if s.copy.Own() {
		return
	}
	for _, site := range s.Duties() {
		if to := s.candidate(site); to.ID != "" {
			d := s.copy.View().Duty(DutyOf(site))
			s.copy.Submit(now, ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{
				Daemon: s.env.Address, Site: s.env.Site, Want: d.Name, For: to.ID, Epoch: d.Epoch, Pass: true, Leaving: true,
			}}, commandWait, out)
		}
	}
}

func (s *Scheduler) beat(now time.Duration, from string, b wire.BeatBody, out *machine.Output) {
	site := b.Beat.Site
	if s.copy.Own() && !s.stopping {
		s.take(now, site, out)
	}
	d := s.copy.View().Duty(DutyOf(site))
	if !s.holds(site) || s.stopping {
		if d.Holder == "" && !s.stopping && !s.wanted[site] {
			s.wanted[site], s.helloAt = true, now
		}
		out.Send(from, wire.BeatBack, wire.BeatBackBody{ID: b.ID, Answer: ledger.Answer{Code: code.StaleEpoch, Why: "the duty for this site is elsewhere", RetryAfter: 200 * time.Millisecond}})
		return
	}
	if old, ok := s.records[b.Beat.Worker]; ok {
		s.reply(old, ledger.Answer{Code: code.StaleBeat, Why: "a later beat replaced this one"}, out)
	}
	r := record{id: b.ID, from: from, beat: b.Beat, holdFor: b.Hold, until: now + b.Hold}
	r.command = s.copy.Submit(now, ledger.Command{Kind: ledger.KindBeat, Beat: b.Beat}, commandWait, out)
	s.records[b.Beat.Worker] = r
	s.commands[r.command] = b.Beat.Worker
}

func (s *Scheduler) reply(r record, a ledger.Answer, out *machine.Output) {
	out.Send(r.from, wire.BeatBack, wire.BeatBackBody{ID: r.id, Answer: a})
	delete(s.records, r.beat.Worker)
}

func (s *Scheduler) result(now time.Duration, r follow.Result, out *machine.Output) {
	if p, ok := s.proposals[r.ID]; ok {
		if r.Answer.Code.Good() {
			p.at = r.At
		} else {
			p.until, p.at, p.refused = now+refusedFor, 0, true
			switch {
			case p.pushOut:
			case r.Answer.Code == code.TaskNotOpen:
				s.dispatch.Counters.Reserved++
			case r.Answer.Code == code.OverShare:
				s.overShare[p.class] = max(s.overShare[p.class], r.At)
				p.until = now
			}
			out.Log("grant_bounced", "code", r.Answer.Code.String(), "job", p.picks[0].Job, "task", p.picks[0].Task, "worker", p.picks[0].Worker)
			p.rooms = nil
		}
		s.proposals[r.ID] = p
		return
	}
	worker := s.commands[r.ID]
	delete(s.commands, r.ID)
	rec, ok := s.records[worker]
	switch {
	case !ok || rec.command != r.ID:
	case !r.Answer.Code.Good():
		s.reply(rec, r.Answer, out)
	default:
		rec.recorded, rec.orders = true, r.Answer.Orders
		rec.orders.Starts = nil
		s.records[worker] = rec
	}
}

// held is what is under way: tasks and room that a grant was asked for and the
// copy does not show yet, tasks that were refused a moment ago, and classes that
// the ledger found over their share at a position that the copy has not reached.
func (s *Scheduler) held(now time.Duration) dispatch.Held {
	h := dispatch.Held{Tasks: map[dispatch.Ref]bool{}, Room: map[string]ledger.Room{}, Slots: map[[2]string]int{}, Closed: map[[2]string]bool{}}
	for class, at := range s.overShare {
		if s.copy.View().Position().Sequence >= at {
			delete(s.overShare, class)
		} else {
			h.Closed[class] = true
		}
	}
	for id, p := range s.proposals {
		if p.at > 0 && s.copy.View().Position().Sequence >= p.at || now > p.until {
			delete(s.proposals, id)
			continue
		}
		if s.copy.Own() && !p.refused {
			continue
		}
		for _, at := range p.refs {
			h.Tasks[at] = true
		}
		if s.copy.Own() {
			continue
		}
		for i, room := range p.rooms {
			h.Room[p.picks[i].Worker] = h.Room[p.picks[i].Worker].Add(room)
			h.Slots[p.class] += room.Slots
		}
	}
	return h
}

// pass runs over the table: it asks for turns for every worker that waits with
// room, own inboxes before helping, then replies to each beat that has orders
// or has been held long enough.
func (s *Scheduler) pass(now time.Duration, out *machine.Output) {
	workers := slices.Sorted(maps.Keys(s.records))
	l := s.copy.View()
	if !s.stopping && s.copy.Fresh(now) {
		s.pull(now, workers, out)
		if now >= s.pushAt || !s.copy.Own() {
			s.pushAt = now + pushEach
			for _, site := range s.Duties() {
				if pick, ok := s.dispatch.PushOut(l, site, s.held(now)); ok {
					s.ask(now, DutyOf(site), ledger.KindPushOut, pick, out)
					s.pushAt = now
				}
			}
		}
	}
	unsure := map[ledger.Attempt]bool{}
	for _, p := range s.proposals {
		for i := range p.refs {
			if s.copy.Own() && p.at == 0 && !p.refused {
				unsure[ledger.Attempt{Job: p.picks[i].Job, Task: p.picks[i].Task}] = true
			}
		}
	}
	for _, worker := range workers {
		if r := s.records[worker]; r.recorded {
			s.orders(now, r, unsure, out)
		}
	}
	for a, at := range s.told {
		if now-at > 10*retellAfter {
			delete(s.told, a)
		}
	}
}

// pull lets every worker that waits with room pull: quick work before all other,
// own inboxes before helping. In the primary's own process what is asked for is
// in the ledger at once, and a worker that found nothing is left alone until
// something has changed for it.
func (s *Scheduler) pull(now time.Duration, workers []string, out *machine.Output) {
	l := s.copy.View()
	held := s.held(now)
	var able []string
	for _, worker := range workers {
		r := s.records[worker]
		if !r.recorded && !s.copy.Own() || r.beat.Leaving || !s.holds(r.beat.Site) || s.behind(r) {
			continue
		}
		if idle, ok := s.idle[worker]; s.copy.Own() && ok && idle.room == l.Room(worker) && idle.news == s.dispatch.News(worker) && now < idle.until {
			continue
		}
		able = append(able, worker)
	}
	for _, pull := range dispatch.Pulls {
		for _, worker := range able {
			for {
				choice, ok := s.dispatch.Next(l, worker, held, pull)
				if !ok {
					break
				}
				if s.ask(now, DutyOf(s.records[worker].beat.Site), ledger.KindGrant, choice, out); !s.copy.Own() {
					held = s.held(now)
					continue
				}
				for _, at := range choice.Refs {
					held.Tasks[at] = true
				}
			}
		}
	}
	for _, worker := range able {
		s.idle[worker] = idle{s.dispatch.News(worker), l.Room(worker), now + passEach}
	}
}

// behind says whether the copy has not yet seen this very beat.
func (s *Scheduler) behind(r record) bool {
	w, ok := s.copy.View().Worker(r.beat.Worker)
	return !ok || w.Incarnation != r.beat.Incarnation || w.Number != r.beat.Number
}

func (s *Scheduler) ask(now time.Duration, duty, kind string, c dispatch.Choice, out *machine.Output) {
	p := proposal{picks: c.Picks, refs: c.Refs, until: now + commandWait, pushOut: kind == ledger.KindPushOut}
	for i, pick := range c.Picks {
		job, _ := s.copy.View().Job(pick.Job)
		p.class = [2]string{job.Spec.Service, job.Spec.Class}
		if i < len(c.Refs) {
			p.rooms = append(p.rooms, job.Spec.Tasks[c.Refs[i].Task].Room)
		}
	}
	grant := ledger.Grant{Duty: duty, Epoch: s.copy.View().Duty(duty).Epoch, Picks: c.Picks, For: c.For}
	s.proposals[s.copy.Submit(now, ledger.Command{Kind: kind, Grant: grant}, commandWait, out)] = p
}

// Drop forgets what was under way, since the lead has come or gone, and takes all
// that waits from the ledger anew.
func (s *Scheduler) Drop() {
	s.dispatch.Update(s.copy.View(), []ledger.Changed{{All: true}})
	s.records, s.proposals, s.commands = map[string]record{}, map[uint64]proposal{}, map[uint64]string{}
	s.idle = map[string]idle{}
	s.overShare, s.wanted, s.told = map[[2]string]uint64{}, map[string]bool{}, map[ledger.Attempt]time.Duration{}
}

// orders replies to a beat: acks and stops from its record, starts from the
// copy. A turn rides on the beat it was granted on or on the one after it.
func (s *Scheduler) orders(now time.Duration, r record, unsure map[ledger.Attempt]bool, out *machine.Output) {
	orders := r.orders
	urgent := len(orders.Acks) > 0
	if !s.behind(r) && s.copy.View().Pending(r.beat.Worker) {
		listed := map[ledger.Attempt]bool{}
		for _, a := range r.beat.Running {
			listed[a] = true
		}
		for _, p := range s.copy.View().Untold(r.beat.Worker) {
			if p.Turn.Incarnation != r.beat.Incarnation || unsure[ledger.Attempt{Job: p.Job, Task: p.Task}] {
				continue
			}
			if p.Turn.Stop != "" && listed[p.Attempt] && !slices.Contains(orders.Stops, p.Attempt) {
				orders.Stops = append(orders.Stops, p.Attempt)
			}
			if p.Turn.Stop == "" && p.Turn.StartedAt == 0 && !listed[p.Attempt] && r.beat.Number < p.Turn.Beat+2 {
				orders.Starts = append(orders.Starts, p.Start)
			}
		}
	}
	for _, a := range orders.Stops {
		if at, ok := s.told[a]; !ok || now-at > retellAfter {
			urgent = true
		}
	}
	if !urgent && len(orders.Starts) == 0 && now < r.until {
		return
	}
	for _, a := range orders.Stops {
		s.told[a] = now
	}
	orders.Epoch = s.copy.View().Position().Epoch
	s.reply(r, ledger.Answer{Code: code.OK, Orders: orders}, out)
}

// Inboxes shows how much waits where, for operators.
func (s *Scheduler) Inboxes() map[string]int { return s.dispatch.Inboxes() }
