// The other composition of the daemons: three centers, each a keeper with its own
// dispatcher, three doors that carry commands to them, and a side beside each of
// eleven workers. Callers hand in jobs in steps through the doors.
package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/center"
	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
	"sorrelloom/core/relay"
	"sorrelloom/core/wire"
)

const (
	centerHost  = "shop"
	centerMain  = "render"
	centerOther = "press"
	commandWait = 2 * time.Second
	pollEach    = 400 * time.Millisecond
	// goneMost is how many machines may lose their worker for good in a day.
	goneMost = 2
)

// CenterChecks names every check of this composition.
var CenterChecks = []string{
	"job-forgotten", "twice-at-once", "again-after-good", "before-dependency", "before-due", "wrong-worker", "over-room", "crowded-worker", "defects-spent",
	"gang-alone", "start-while-draining", "start-in-emptied-site", "start-after-cancel", "finished-with-open-task", "plan-went-back",
	"quick-behind-batch", "long-unfinished", "not-served-again", "bounce-without-time", "refused-and-run", "saved-of-another",
}

// Centers is one scenario of this composition.
type Centers struct {
	notes
	env      Env
	w        *World
	sites    []string
	size     Size
	pollEach time.Duration
	centers  []*node
	proxies  []*node
	doors    []*node
	places   []*place
	byID     map[string]*caller
	rings    map[string]*ring
	lastAt   time.Duration
	repairAt time.Duration
	goneFor  int
	onYes    func()
	planned  uint64
	asks     int
	emptying bool
	// played counts the faults by name.
	played   map[string]int
	replaced int
	// clockSlack is by how much clocks of the day may differ on this day.
	clockSlack time.Duration
}

func millis(ms int64) plan.Span { return plan.Span{Duration: time.Duration(ms) * time.Millisecond} }

// centerPlan is a plan as an outside system's translator makes it.
func centerPlan(priority int) []byte {
	p := plan.Default()
	p.Sites = []string{"a", "b", "c"}
	p.Policies = plan.Policies{Order: "priority", Borrow: "true"}
	p.Services = map[string]plan.Service{
		centerMain: {AnyLabel: true, Classes: map[string]plan.Class{
			"lookup": {Priority: 1000, Quick: true, Share: 33, AllowedDefects: 3, Silence: plan.Restart},
			"batch":  {Priority: 990, Share: 33, AllowedDefects: 3, Silence: plan.Restart},
			"long":   {Priority: priority, Share: 33, AllowedDefects: 5, Silence: plan.Restart},
		}},
		centerOther: {AnyLabel: true, Classes: map[string]plan.Class{"print": {Priority: 990, Share: 100, AllowedDefects: 3, Silence: plan.Restart}}},
	}
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		service := centerMain
		if class == "print" {
			service = centerOther
		}
		p.Entries = append(p.Entries, plan.Entry{Name: class, Host: centerHost, Prefix: "/" + class, Service: service, Class: class})
	}
	p.Limits.EndsAtCutoff = true
	p.Limits.Lease, p.Limits.Margin, p.Limits.StartBy, p.Limits.Silent = millis(6000), millis(480), millis(3800), millis(1500)
	p.Limits.RunLimit, p.Limits.MaxLosses, p.Limits.MaxTasks = millis(24*3600*1000), 1_000_000, 10_000
	return machine.MustJSON(p)
}

// newCenters builds the site of a day.
func newCenters(e Env) *Centers {
	c := &Centers{env: e, w: NewWorld(e.Seed), sites: []string{"a", "b", "c"}, size: SmallSize, pollEach: pollEach}
	c.byID, c.rings, c.played = map[string]*caller{}, map[string]*ring{}, map[string]int{}
	if e.Size.Centers > 0 {
		c.size = e.Size
	}
	c.w.Verbose, c.w.hardware, c.w.copies = e.Verbose, e.Hardware, c.size.Copies
	c.notes = newNotes()
	c.steps = true
	c.end = e.For + cmp.Or(e.Settle, settle)
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		c.restart[class], c.share[class] = true, 1<<20
	}
	c.build()
	return c
}

// PlayCenters runs one scenario of this composition to its end.
func PlayCenters(e Env) Result {
	c := newCenters(e)
	if e.PrepareCenters != nil {
		e.PrepareCenters(c)
	}
	c.w.At(4*time.Second, c.change)
	if !e.Quiet {
		c.traffic()
		c.operators()
	}
	c.breakThings()
	c.watch()
	c.w.After(7*time.Second, c.readPlan)
	c.w.Run(e.For + serveBound + 12*time.Second)
	for c.w.Now < c.end && c.open() {
		c.w.Run(c.w.Now + time.Second)
	}
	c.end = c.w.Now
	c.explain()
	return c.finish()
}

// explain says why what is still open waits, for who reads the events of a day.
func (c *Centers) explain() {
	n := c.primary()
	if n == nil || c.w.Verbose == nil {
		return
	}
	l := n.main.(*center.Center).Keeper().Ledger()
	for _, one := range c.callers {
		if one.acceptedAt > 0 && one.overAt == 0 {
			job, _ := l.Job(one.spec.ID)
			c.w.say("open %s: %+v; %s", one.spec.ID, l.Explain(one.spec.ID), machine.MustJSON(job.Tasks))
		}
	}
	for _, w := range l.Workers() {
		c.w.say("worker %s live %v room %+v of %s", w.ID(), l.Live(w), l.Room(w.ID()), machine.MustJSON(w))
	}
}

func (c *Centers) build() {
	size := c.size
	var seeds []string
	for i := range size.Centers + size.Proxies {
		seeds = append(seeds, coreAddress(i))
	}
	for i := range size.Centers {
		c.centers = append(c.centers, c.w.Add("center", fmt.Sprintf("center-%d", i+1), c.siteOf(i), seeds[i], seeds, seeds))
	}
	for i := range size.Proxies {
		at := size.Centers + i
		c.proxies = append(c.proxies, c.w.Add("proxy", fmt.Sprintf("proxy-%d", i+1), c.siteOf(at), seeds[at], seeds, nil))
	}
	for i := range size.Doors {
		c.doors = append(c.doors, c.w.Add("door", fmt.Sprintf("door-%d", i+1), c.siteOf(i), doorAddress(i), seeds, nil))
	}
	c.daemons = slices.Concat(c.centers, c.proxies, c.doors)
	for i := range size.Workers {
		c.addPlace(i, seeds)
	}
}

func (c *Centers) siteOf(i int) string { return c.sites[i%len(c.sites)] }

func coreAddress(i int) string { return fmt.Sprintf("10.%d.1.%d:7000", i%3, i/3+1) }

func doorAddress(i int) string { return fmt.Sprintf("10.%d.2.%d:7000", i%3, i/3+1) }

// addPlace brings a worker's machine with its side in.
func (c *Centers) addPlace(i int, seeds []string) {
	p := &place{number: i + 1, address: fmt.Sprintf("10.%d.3.%d", i%3, i+1), site: c.siteOf(i), rack: fmt.Sprintf("r%d", i/3), service: centerMain, total: ledger.Room{Slots: c.size.Slots, MemoryMB: 64}}
	if i%4 == 0 {
		p.labels = []string{"ssd"}
	}
	if i%4 == 3 && !c.size.OneService {
		p.service = centerOther
	}
	p.labels = append(p.labels, p.rack)
	p.side = c.w.Add("side", fmt.Sprintf("side-%d", i+1), p.site, p.address+":7000", seeds, nil)
	c.daemons = append(c.daemons, p.side)
	c.places = append(c.places, p)
	c.w.At(2*time.Second+time.Duration(i)*10*time.Millisecond, func() { c.birth(p) })
}

// door picks a door; a caller whose door is down goes on to the next.
func (c *Centers) door(turn int) *node { return c.doors[turn%len(c.doors)] }

// carry hands a command to a door's relay.
func (c *Centers) carry(who string, turn int, cmd ledger.Command, back func(ledger.Answer, bool)) {
	d := c.door(turn)
	c.w.Ask(who, d.site, d.address, machine.Ask{Kind: relay.AskCommand, Value: cmd, Wait: commandWait}, commandWait+time.Second, func(v any) {
		c.w.trace(who, d.address, cmd.Kind, v.(ledger.Answer).Code.String())
	}, func(v any, ok bool) {
		a, is := v.(ledger.Answer)
		back(a, ok && is)
	})
}

// refused says whether an answer promises that nothing came of the command.
func refused(a ledger.Answer) bool {
	return a.Code != code.NoAnswer && (a.Code.Status() == 503 || a.Code.Status() == 429)
}

// job makes a job of steps, and writes it out for the oracle.
func (c *Centers) job(class, id string, steps []ledger.StepSpec, ms []int64, repeat ledger.Repeat) *caller {
	service := centerMain
	if class == "print" {
		service = centerOther
	}
	for i := range steps {
		if steps[i].Room == (ledger.Room{}) {
			steps[i].Room = ledger.Room{Slots: 1, MemoryMB: 1}
		}
	}
	payload := machine.MustJSON(map[string]any{"runMs": ms})
	one := &caller{turn: c.w.chance.IntN(64), asks: ledger.JobSpec{ID: id, Host: centerHost, Path: "/" + class + "/" + id, Payload: payload, Steps: steps, Repeat: repeat}}
	one.spec = ledger.JobSpec{ID: id, Service: service, Class: class, Tasks: written(steps, max(1, repeat.Count), map[string]int{"long": 5}[class])}
	c.callers, c.byID[id] = append(c.callers, one), one
	return one
}

// written is a job's steps written out as tasks, by the rule that the words of
// StepSpec give, apart from the ledger's own hand.
func written(steps []ledger.StepSpec, times, defects int) []ledger.TaskSpec {
	var out []ledger.TaskSpec
	for t := range times {
		for s, step := range steps {
			var after []string
			for _, dep := range step.After {
				for n := range steps[dep].Count {
					after = append(after, fmt.Sprintf("%d.%d.%d", t, dep, n))
				}
			}
			gang := ""
			if step.Gang {
				gang = fmt.Sprintf("%d.%d", t, s)
			}
			for n := range step.Count {
				out = append(out, ledger.TaskSpec{ID: fmt.Sprintf("%d.%d.%d", t, s, n), After: after, Room: step.Room, Labels: step.Labels, Gang: gang, AllowedDefects: defects, Placing: step.Placing, Time: t, Step: s})
			}
		}
	}
	return out
}

// find gives what was asked for by an attempt's name.
func (c *Centers) find(a ledger.Attempt) (task *ledger.TaskSpec, step int, due time.Time) {
	one := c.byID[a.Job]
	if one == nil {
		return nil, 0, due
	}
	for i, t := range one.spec.Tasks {
		if t.ID == a.Task {
			if r := one.asks.Repeat; r.Count > 0 {
				due = r.FirstAt.Add(time.Duration(t.Time) * r.Every.Duration)
			}
			return &one.spec.Tasks[i], t.Step, due
		}
	}
	return nil, 0, due
}

func (c *Centers) gangSize(job, gang string) int {
	count := 0
	for _, t := range c.byID[job].spec.Tasks {
		if t.Gang == gang {
			count++
		}
	}
	return count
}

func (c *Centers) traffic() {
	each := func(perSecond float64, do func(i int)) {
		at, i := 6*time.Second, 0
		for {
			at += time.Duration(c.w.chance.ExpFloat64() / perSecond * float64(time.Second))
			if at >= c.env.For {
				return
			}
			i++
			number := i
			c.w.At(at, func() { do(number) })
		}
	}
	give := func(one *caller, i int) {
		c.submit(one)
		if i%17 == 5 {
			c.w.After(time.Duration(c.w.chance.Int64N(int64(3*time.Second))), func() { c.cancel(one) })
		}
	}
	each(7, func(i int) {
		give(c.job("lookup", fmt.Sprintf("lookup-%d", i), []ledger.StepSpec{{Count: 1}}, []int64{60}, ledger.Repeat{}), i)
	})
	each(1.6, func(i int) {
		steps, ms := []ledger.StepSpec{{Count: 2}, {Count: 1, After: []int{0}}}, []int64{250, 250}
		switch i % 5 {
		case 1:
			steps = []ledger.StepSpec{{Count: 3, Gang: true, Placing: ledger.Placing{SameRack: true, Progress: true}}, {Count: 1, After: []int{0}}}
			ms = []int64{900, 100}
		case 2:
			steps = []ledger.StepSpec{{Count: 4, Placing: ledger.Placing{PerWorker: 1}}, {Count: 2, Labels: []string{"ssd"}}}
			ms = []int64{800, 200}
		case 3:
			steps = []ledger.StepSpec{{Count: 1, Placing: ledger.Placing{NearRack: "r1"}}, {Count: 2, Gang: true, After: []int{0}}, {Count: 2, After: []int{0, 1}, Placing: ledger.Placing{Copies: true}}}
			ms = []int64{100, 400, 200}
		}
		give(c.job("batch", fmt.Sprintf("batch-%d", i), steps, ms, ledger.Repeat{}), i)
	})
	each(0.5, func(i int) {
		steps := []ledger.StepSpec{{Count: 2, Room: ledger.Room{Slots: 2, MemoryMB: 12}, Placing: ledger.Placing{Progress: true, Guess: millis(4000)}}}
		if i%3 == 0 {
			steps[0].Copies = true
		}
		give(c.job("long", fmt.Sprintf("long-%d", i), steps, []int64{4000}, ledger.Repeat{}), i)
	})
	each(0.6, func(i int) {
		give(c.job("print", fmt.Sprintf("print-%d", i), []ledger.StepSpec{{Count: 2, Room: ledger.Room{Slots: 3, MemoryMB: 30}}, {Count: 1, After: []int{0}}}, []int64{600, 100}, ledger.Repeat{}), i)
	})
	each(0.25, func(i int) {
		repeat := ledger.Repeat{Count: 4, FirstAt: c.w.wall().Add(time.Duration(c.w.chance.IntN(3000)) * time.Millisecond).Truncate(time.Millisecond), Every: millis(1200)}
		give(c.job("batch", fmt.Sprintf("repeated-%d", i), []ledger.StepSpec{{Count: 2}, {Count: 1, After: []int{0}}}, []int64{150, 50}, repeat), i)
	})
	for i := range 2 {
		c.w.At(8*time.Second, func() {
			one := c.job("long", fmt.Sprintf("lasting-%d", i), []ledger.StepSpec{{Count: 2, Placing: ledger.Placing{Lasting: true, Progress: i == 0}}}, []int64{1 << 30}, ledger.Repeat{})
			c.submit(one)
			c.w.At(c.env.For-3*time.Second, func() { c.cancel(one) })
		})
	}
}

// submit hands a job in until there is a clear answer. Some callers give up on
// the first clear refusal; what they gave up must never run.
func (c *Centers) submit(one *caller) {
	if one.sentAt == 0 {
		one.sentAt = c.w.Now
	}
	one.sends++
	again := func(after time.Duration) {
		one.turn++
		if c.w.Now < c.end {
			c.w.After(after, func() { c.submit(one) })
		}
	}
	c.carry("caller", one.turn, ledger.Command{Kind: ledger.KindAccept, Host: centerHost, Path: one.asks.Path, Brief: true, Accept: one.asks}, func(a ledger.Answer, ok bool) {
		switch {
		case !ok:
			one.unclear = true
			again(100 * time.Millisecond)
		case a.Code.Good():
			if one.acceptedAt > 0 {
				return
			}
			one.acceptedAt = c.w.Now
			if do := c.onYes; do != nil {
				c.onYes = nil
				do()
			}
			c.w.After(300*time.Millisecond, func() { c.poll(one) })
		case refused(a):
			c.count("bounce-without-time")
			if a.RetryAfter <= 0 {
				c.fault("bounce-without-time", "%s for %s says not when to come back", a.Code, one.spec.ID)
			}
			if !one.unclear && !one.probe && c.w.chance.IntN(3) == 0 {
				one.bounced, one.gaveUpAt = a.Code, c.w.Now
				return
			}
			again(max(a.RetryAfter, 50*time.Millisecond))
		case a.Code == code.NoAnswer:
			one.unclear = true
			again(max(a.RetryAfter, 50*time.Millisecond))
		default:
			one.bounced = a.Code
			c.fault("long-unfinished", "%s is refused: %s %s", one.spec.ID, a.Code, a.Why)
		}
	})
}

func (c *Centers) poll(one *caller) {
	if c.w.Now >= c.end || one.overAt > 0 {
		return
	}
	one.turn++
	c.carry("caller", one.turn, ledger.Command{Kind: ledger.KindRead, Name: one.spec.ID, Host: centerHost, Path: one.asks.Path}, func(a ledger.Answer, ok bool) {
		if ok && (a.Code.Good() || a.Code == code.UnknownJob) {
			one.asked++
		}
		if ok && a.Code == code.UnknownJob && one.forgotten == 0 {
			one.forgotten = c.w.Now
		}
		if ok && a.Code.Good() {
			one.state = a.Job.State
			if one.state == ledger.Done || one.state == ledger.Failed || one.state == ledger.Cancelled {
				one.overAt = c.w.Now
				for i, t := range a.Job.Tasks {
					if !t.Closed() {
						one.early = a.Job.Spec.Tasks[i].ID
					}
				}
			}
		}
		c.w.After(c.pollEach, func() { c.poll(one) })
	})
}

// hears says whether the daemons could act on a request at a door now.
func (c *Centers) hears(d *node) bool {
	primary, second := c.primary(), false
	for _, n := range c.centers {
		second = second || n != primary && !n.troubled(c.w.Now, c.w.Now) && n.diskSlow <= 1
	}
	return primary != nil && second && primary.diskSlow <= 1 && !primary.troubled(c.w.Now, c.w.Now) && !d.troubled(c.w.Now, c.w.Now)
}

// operate sends an operator's command until it has an answer; took hears when it
// first stood at a door where it could be heard.
func (c *Centers) operate(cmd ledger.Command, took func(heardAt time.Duration, a ledger.Answer)) {
	turn := c.w.chance.IntN(3)
	var heardAt time.Duration
	answered := false
	var listen, try func()
	listen = func() {
		if answered || heardAt > 0 || c.w.Now >= c.end {
			return
		}
		if c.hears(c.door(turn)) {
			heardAt = c.w.Now
			return
		}
		c.w.After(20*time.Millisecond, listen)
	}
	c.w.After(2*time.Millisecond, listen)
	try = func() {
		turn++
		c.carry("operator", turn, cmd, func(a ledger.Answer, ok bool) {
			if !ok || a.Code == code.NoAnswer || refused(a) {
				if c.w.Now < c.end {
					c.w.After(200*time.Millisecond, try)
				}
				return
			}
			answered = true
			if heardAt == 0 {
				heardAt = c.w.Now
			}
			took(heardAt, a)
		})
	}
	try()
}

func (c *Centers) cancel(one *caller) {
	c.operate(ledger.Command{Kind: ledger.KindCancel, Name: one.spec.ID, Host: centerHost, Path: one.asks.Path, Brief: true}, func(heardAt time.Duration, a ledger.Answer) {
		if a.Code.Good() {
			one.cancelAt = heardAt
		} else if one.acceptedAt == 0 && one.bounced == 0 && c.w.Now < c.end {
			c.w.After(500*time.Millisecond, func() { c.cancel(one) })
		}
	})
}

func (c *Centers) token() string {
	c.asks++
	return fmt.Sprintf("ask-%d", c.asks)
}

func (c *Centers) site(name string, keep time.Duration) {
	c.operate(ledger.Command{Kind: ledger.KindSite, Name: name, On: true, Token: c.token(), Asked: ledger.AskedUnknown}, func(heardAt time.Duration, a ledger.Answer) {
		if !a.Code.Good() {
			c.emptying = false
			return
		}
		e := &emptied{site: name, from: heardAt}
		c.empties = append(c.empties, e)
		c.w.After(keep, func() {
			e.to, c.emptying = c.w.Now, false
			c.operate(ledger.Command{Kind: ledger.KindSite, Name: name, Token: c.token(), Asked: ledger.AskedUnknown}, func(time.Duration, ledger.Answer) {})
		})
	})
}

// change puts a plan in force on top of the last that was acknowledged.
func (c *Centers) change() {
	base := c.planned
	body := centerPlan(100 + int(base))
	c.operate(ledger.Command{Kind: ledger.KindPlan, Token: c.token(), Asked: ledger.AskedUnknown, Plan: ledger.PlanChange{Base: base, Body: body}}, func(_ time.Duration, a ledger.Answer) {
		if a.Code.Good() {
			c.planned = max(c.planned, base+1)
		} else if a.Code != code.StalePlan {
			c.fault("plan-went-back", "a plan is refused: %s %s", a.Code, a.Why)
		}
	})
}

// readPlan reads the plan in force again and again; none older than the last that
// was acknowledged before asking may be answered.
func (c *Centers) readPlan() {
	if c.w.Now >= c.end {
		return
	}
	known := c.planned
	c.carry("operator", c.w.chance.IntN(3), ledger.Command{Kind: ledger.KindReadPlan}, func(a ledger.Answer, ok bool) {
		if ok && a.Code.Good() && known > 0 {
			c.count("plan-went-back")
			if a.Plan == nil || a.Plan.Sequence < known {
				c.fault("plan-went-back", "at %s plan %d is read, %d was acknowledged before", secs(c.w.Now), a.Sequence, known)
			}
		}
	})
	c.w.After(300*time.Millisecond, c.readPlan)
}

func (c *Centers) operators() {
	for i, at := 0, 13*time.Second; at < c.env.For-8*time.Second; i, at = i+1, at+time.Duration(3000+c.w.chance.IntN(2000))*time.Millisecond {
		c.w.At(at, func() {
			switch i % 3 {
			case 0:
				c.change()
			case 1:
				CenterKinds["empty-site"](c)
			case 2:
				CenterKinds["worker-leave"](c)
			}
		})
	}
}

func (c *Centers) primary() *node {
	for _, n := range c.centers {
		if m, ok := n.main.(*center.Center); ok && n.state == up && m.Keeper().Serving() {
			return n
		}
	}
	return nil
}

// someCenter picks a center by chance.
func (c *Centers) someCenter() *node { return c.centers[c.w.chance.IntN(len(c.centers))] }

// leader is the center that serves, or would.
func (c *Centers) leader() *node {
	if n := c.primary(); n != nil {
		return n
	}
	return c.someCenter()
}

// seated says whether every witness of the newest view is a center that is up.
func (c *Centers) seated() bool {
	var newest wire.View
	alive := map[string]bool{}
	for _, n := range c.centers {
		if m, ok := n.main.(*center.Center); ok && n.state == up {
			alive[m.ID()] = true
			if v := m.Keeper().View(); v.Epoch > newest.Epoch {
				newest = v
			}
		}
	}
	for _, w := range newest.Witnesses {
		if !alive[w.ID] {
			return false
		}
	}
	return newest.Epoch > 0
}

func (c *Centers) watch() {
	const each = 50 * time.Millisecond
	if c.primary() == nil {
		if k := len(c.idle); k > 0 && c.idle[k-1][1] >= c.w.Now {
			c.idle[k-1][1] = c.w.Now + each
		} else {
			c.idle = append(c.idle, [2]time.Duration{c.w.Now, c.w.Now + each})
		}
	}
	c.w.After(each, c.watch)
}

func (c *Centers) open() bool {
	return slices.ContainsFunc(c.callers, func(one *caller) bool { return one.overAt == 0 && one.bounced == 0 })
}

func (c *Centers) slow(d time.Duration) {
	c.faulty = append(c.faulty, [2]time.Duration{c.w.Now - 2*time.Second, c.w.Now + d})
}

func (c *Centers) hurt(d time.Duration) {
	c.slow(d)
	c.lastAt = max(c.lastAt, c.w.Now)
}

func (c *Centers) bootAfter(n *node, least, most int) {
	c.w.After(time.Duration(least+c.w.chance.IntN(most-least))*time.Millisecond, func() { c.w.Boot(n) })
}

// kill ends a center's process, or takes its machine's power.
func (c *Centers) kill(n *node) {
	if c.w.chance.IntN(2) == 0 {
		c.w.Kill(n)
	} else {
		c.w.KillProcess(n)
	}
}

func (c *Centers) worker() *beside {
	for range 20 {
		if p := c.places[c.w.chance.IntN(len(c.places))]; p.now != nil && p.now.up {
			return p.now
		}
	}
	return nil
}

// cut takes one address off another for a while, both ways or one.
func (c *Centers) cut(a, b string, oneWay bool, d time.Duration) {
	c.w.say("cut %s to %s, one way %v", a, b, oneWay)
	c.w.Cut(a, b)
	if !oneWay {
		c.w.Cut(b, a)
	}
	c.w.After(d, func() { c.w.Mend(a, b); c.w.Mend(b, a) })
}

// CenterKinds are the faults of this composition.
var CenterKinds = map[string]func(*Centers){
	"kill": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		c.kill(n)
		c.bootAfter(n, 300, 6000)
		c.hurt(9 * time.Second)
	},
	"kill-leader": func(c *Centers) {
		n := c.leader()
		c.kill(n)
		c.bootAfter(n, 300, 6000)
		c.hurt(9 * time.Second)
	},
	"kill-leader-twice": func(c *Centers) {
		first := c.leader()
		c.kill(first)
		c.bootAfter(first, 300, 1500)
		var next func()
		next = func() {
			if n := c.primary(); n != nil && n != first {
				c.kill(n)
				c.bootAfter(n, 300, 3000)
				c.hurt(10 * time.Second)
			} else if c.w.Now < c.end {
				c.w.After(20*time.Millisecond, next)
			}
		}
		c.w.After(100*time.Millisecond, next)
		c.hurt(14 * time.Second)
	},
	"kill-centers": func(c *Centers) {
		for _, n := range c.centers {
			c.kill(n)
			c.bootAfter(n, 300, 2500)
		}
		c.hurt(10 * time.Second)
	},
	"power-off": (*Centers).powerOff,
	"wipe": func(c *Centers) {
		if c.w.Now < c.repairAt || !c.seated() {
			return
		}
		c.repairAt = c.w.Now + 20*time.Second
		n := c.someCenter()
		c.w.Wipe(n)
		c.bootAfter(n, 100, 4000)
		c.hurt(14 * time.Second)
	},
	"wipe-after-yes": func(c *Centers) {
		c.afterYes(func() {
			n := c.someCenter()
			c.w.Wipe(n)
			c.bootAfter(n, 100, 4000)
		})
	},
	"wipe-after-yes-power-off": func(c *Centers) {
		c.afterYes(func() {
			gone := c.w.chance.IntN(len(c.centers))
			for i, n := range c.centers {
				if i == gone {
					c.w.Wipe(n)
				} else {
					c.w.Kill(n)
				}
				c.bootAfter(n, 200, 2500)
			}
		})
	},
	"freeze": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		if c.w.chance.IntN(2) == 0 {
			n = c.leader()
		}
		c.w.Freeze(n)
		c.w.After(time.Duration(500+c.w.chance.IntN(9000))*time.Millisecond, func() { c.w.Wake(n) })
		c.hurt(15 * time.Second)
	},
	"slow-disk": func(c *Centers) {
		n := c.someCenter()
		c.w.say("slow disk %s", n.name)
		n.diskSlow = 300
		c.w.After(8*time.Second, func() { n.diskSlow = 1 })
		c.hurt(14 * time.Second)
	},
	"cut": func(c *Centers) {
		a, b := c.daemons[c.w.chance.IntN(len(c.daemons))], c.someCenter()
		if a == b {
			return
		}
		c.cut(a.address, b.address, c.w.chance.IntN(2) == 0, time.Duration(1+c.w.chance.IntN(8))*time.Second)
		c.hurt(13 * time.Second)
	},
	"isolate": func(c *Centers) {
		n := c.daemons[c.w.chance.IntN(len(c.daemons))]
		if c.w.chance.IntN(2) == 0 {
			n = c.someCenter()
		}
		c.w.say("isolate %s", n.name)
		c.w.Isolate(n.address)
		c.w.After(8*time.Second, func() { c.w.say("reconnect %s", n.name); c.w.Reconnect(n.address) })
		c.hurt(15 * time.Second)
	},
	"worker-crash": func(c *Centers) {
		if b := c.worker(); b != nil {
			p := b.place
			b.death()
			c.slow(9 * time.Second)
			c.w.After(time.Duration(300+c.w.chance.IntN(9000))*time.Millisecond, func() { c.birth(p) })
		}
	},
	"worker-gone": func(c *Centers) {
		if b := c.worker(); b != nil && c.goneFor < goneMost && len(b.place.labels) == 1 && b.place.service == centerMain {
			c.goneFor++
			b.death()
			c.slow(9 * time.Second)
		}
	},
	"worker-cut": func(c *Centers) {
		if b := c.worker(); b != nil {
			c.cut(b.place.address, b.place.side.address, c.w.chance.IntN(2) == 0, time.Duration(1000+c.w.chance.IntN(14000))*time.Millisecond)
			c.slow(16 * time.Second)
		}
	},
	"worker-fail": func(c *Centers) {
		if b := c.worker(); b != nil {
			b.fails = true
			c.slow(12 * time.Second)
			c.w.After(10*time.Second, func() { b.fails = false })
		}
	},
	"worker-leave": func(c *Centers) {
		if b := c.worker(); b != nil {
			b.leave(time.Duration(2000+c.w.chance.IntN(6000))*time.Millisecond, 3*time.Second)
		}
	},
	"empty-site": func(c *Centers) {
		if k := len(c.empties); c.emptying || k > 0 && c.empties[k-1].to > c.w.Now-5*time.Second {
			return
		}
		c.emptying = true
		c.site(c.sites[c.w.chance.IntN(3)], 9*time.Second)
	},
	"crowd": func(c *Centers) {
		for i := range 120 {
			name := fmt.Sprintf("crowd%d-%d", c.w.Now/time.Millisecond, i)
			if i%3 == 0 {
				c.submit(c.job("batch", name, []ledger.StepSpec{{Count: 4}, {Count: 1, After: []int{0}}}, []int64{400, 50}, ledger.Repeat{}))
			} else {
				c.submit(c.job("lookup", name, []ledger.StepSpec{{Count: 1}}, []int64{60}, ledger.Repeat{}))
			}
		}
		c.slow(6 * time.Second)
	},
}

// powerOff takes the power of every machine at once.
func (c *Centers) powerOff() {
	for _, p := range c.places {
		if p.now != nil && p.now.up {
			p.now.death()
			c.w.After(time.Duration(500+c.w.chance.IntN(2000))*time.Millisecond, func() { c.birth(p) })
		}
	}
	for _, n := range c.daemons {
		c.w.Kill(n)
		c.bootAfter(n, 300, 2500)
	}
	c.hurt(12 * time.Second)
}

// afterYes waits for the next yes to a caller, and breaks something in that moment.
func (c *Centers) afterYes(do func()) {
	if c.w.Now < c.repairAt || !c.seated() {
		return
	}
	c.repairAt = c.w.Now + 20*time.Second
	c.onYes = func() {
		do()
		c.hurt(14 * time.Second)
	}
	c.submit(c.job("batch", fmt.Sprintf("armed-%d", c.w.Now/time.Millisecond), []ledger.StepSpec{{Count: 1}}, []int64{100}, ledger.Repeat{}))
	c.hurt(14 * time.Second)
}

func (c *Centers) breakThings() {
	at := 12 * time.Second
	for len(c.env.Faults) > 0 && at < c.env.For-5*time.Second {
		kind := c.env.Faults[c.w.chance.IntN(len(c.env.Faults))]
		c.w.At(at, func() { c.play(kind) })
		at += time.Duration(1500+c.w.chance.IntN(5000)) * time.Millisecond
	}
	if last := c.env.Last; last != "" || len(c.env.Faults) > 0 {
		if last == "" {
			last = []string{"power-off", "wipe-after-yes-power-off", "kill-leader-twice"}[c.env.Seed%3]
		}
		c.w.At(c.env.For, func() { c.w.say("last"); c.play(last) })
	}
	c.w.At(c.env.For+serveBound, func() {
		for i, class := range []string{"lookup", "batch", "long", "lookup", "batch", "print"} {
			steps := []ledger.StepSpec{{Count: 1 + i%2*2, Gang: class == "batch"}}
			one := c.job(class, fmt.Sprintf("probe-%d", i), steps, []int64{200}, ledger.Repeat{})
			one.probe = true
			c.submit(one)
		}
	})
}

// CenterKindNames lists the faults in order.
func CenterKindNames() []string {
	out := make([]string, 0, len(CenterKinds))
	for name := range CenterKinds {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (c *Centers) finish() Result {
	res := Result{Seed: c.env.Seed, Trace: c.w.Trace, Lines: c.w.Lines, Jobs: len(c.callers), LastFault: c.lastAt, Logs: c.w.Logs}
	for _, p := range c.places {
		if b := p.now; b != nil && b.up {
			for _, a := range b.attempts() {
				b.hand.past = append(b.hand.past, b.run[a].run)
			}
		}
	}
	names := make([]string, 0, len(c.hands))
	for name := range c.hands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.runs = append(c.runs, c.hands[name].past...)
	}
	res.Runs = len(c.runs)
	c.judge()
	c.drained()
	c.crowded()
	first := map[string]time.Duration{}
	for _, r := range c.runs {
		if _, ok := first[r.Job]; !ok {
			first[r.Job] = r.from
		}
	}
	for _, one := range c.callers {
		if one.acceptedAt > 0 {
			res.Accepted++
		}
		if one.state == ledger.Done {
			res.Done++
		}
		if one.gaveUpAt > 0 {
			c.count("refused-and-run")
			if at, ran := first[one.spec.ID]; ran {
				c.fault("refused-and-run", "%s was refused with %s at %s and runs at %s", one.spec.ID, one.bounced, secs(one.gaveUpAt), secs(at))
			}
		}
		if at, ok := first[one.spec.ID]; ok && one.spec.Class == "lookup" {
			res.QuickMs = append(res.QuickMs, float64(at-one.sentAt)/float64(time.Millisecond))
		}
	}
	for _, n := range c.centers {
		if m, ok := n.main.(*center.Center); ok {
			res.Views = max(res.Views, m.Keeper().View().Epoch)
		}
	}
	res.Broken, res.Judged, res.Excused, res.Played = c.broken, c.judged, c.excused, c.played
	if res.Accepted == 0 || res.Runs == 0 {
		res.Broken = append(res.Broken, Violation{"not-served-again", "nothing was accepted or run in the whole scenario"})
	}
	return res
}

// ParseCenterFaults reads a list of kinds of this composition. ControlDay is the name of all faults of the control days together.
func ParseCenterFaults(text string) ([]string, error) {
	switch text {
	case "all":
		return CenterKindNames(), nil
	case ControlDay:
		return ControlKindNames(), nil
	}
	return parseKinds(text, slices.Concat(CenterKindNames(), slices.Sorted(maps.Keys(ControlKinds))))
}

// ControlDay names the mixed faults of the control days.
const ControlDay = "control"
