// One scenario: a fleet of 17 daemons and 11 workers in three sites, the
// brief's traffic with gangs and labels in it, faults of the chosen kinds at
// times drawn from the seed, one last fault, and probes 12 seconds after it.

package sim

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
)

type Env struct {
	Seed       uint64
	Deployment deploy.Deployment
	Faults     []string
	For        time.Duration
	Verbose    func(string)
	Central    bool
	Quiet      bool
	// Settle is how long after the day what is still open is waited for.
	Settle time.Duration
	// Last is the kind that ends the day; else it is drawn from Faults.
	Last    string
	Prepare func(*Scenario)
	// PrepareCenters is the same for PlayCenters.
	PrepareCenters func(*Centers)
	// Size is the site of PlayCenters, Hardware what its machines have. The zero
	// values are the small site, and machines that take no time.
	Size     Size
	Hardware *Hardware
}

type Scenario struct {
	notes
	env      Env
	w        *World
	sites    []string
	fronts   []string
	keepers  []*node
	lastAt   time.Duration
	asks     int
	races    int
	repairAt time.Duration
	armed    bool
	replaced int
}

// Result is one run's judgement and what it went through.
type Result struct {
	Seed      uint64
	Broken    []Violation
	Trace     uint64
	Lines     int
	Jobs      int
	Accepted  int
	Done      int
	Failed    int
	Bad       int
	BadOn     map[string]int
	RunsOn    map[string]int
	Runs      int
	Races     int
	Views     uint64
	LastFault time.Duration
	Logs      map[string]int
	QuickMs   []float64
	First     map[string]time.Duration
	Stopped   int
	Locality  float64
	LastEnd   time.Duration
	LostMs    map[string][]float64
	Judged    map[string]int
	Excused   map[string]int
	// Played counts the faults by name.
	Played map[string]int
}

const settle = 75 * time.Second

// Play runs one scenario to its end.
func Play(e Env) Result {
	s := &Scenario{env: e, w: NewWorld(e.Seed), sites: e.Deployment.Zones}
	s.w.Verbose, s.w.central = e.Verbose, e.Central
	s.notes = newNotes()
	s.end = e.For + settle
	p, faults := config.Parse(e.Deployment.Config)
	if len(faults) > 0 {
		panic(faults)
	}
	for name, class := range p.Services[e.Deployment.Service].Classes {
		s.restart[name], s.share[name] = class.LostWorkerPolicy == config.RestartOnLostWorker, class.Share*deploy.Workers*deploy.SlotsPerWorker/100
	}
	s.build()
	if e.Prepare != nil {
		e.Prepare(s)
	}
	s.w.onPlan = s.sawPlan
	s.w.At(4*time.Second, func() {
		s.operate(machine.Request{Kind: gateway.RequestConfigPut, Body: e.Deployment.Config}, func(heardAt time.Duration, r gateway.Reply) {
			if out, ok := r.Body.(gateway.Outcome); ok && r.StatusCode == 200 {
				s.planned(heardAt, out.Version)
			} else {
				s.fault("plan-ignored", "the first plan is bounced: %+v", r.Body)
			}
		})
	})
	if !e.Quiet {
		s.traffic()
		if len(e.Faults) > 0 {
			s.operators()
		}
	}
	s.breakThings()
	s.watch()
	s.w.Run(e.For + serveBound + 12*time.Second)
	for s.w.Now < s.end && s.open() {
		s.w.Run(s.w.Now + time.Second)
	}
	s.end = s.w.Now
	return s.finish()
}

// watch notes the times in which no keeper says that it serves.
func (s *Scenario) watch() { s.watchIdle(s.w, s.primary) }

func (s *Scenario) build() {
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%d:7000", i%3, i) }
	var founders []string
	for i := range deploy.Replicas {
		founders = append(founders, address(i))
	}
	i := 0
	for _, role := range []struct {
		name  string
		count int
	}{{"keeper", deploy.Replicas}, {"scheduler", deploy.Schedulers}, {"front", deploy.Gateways}} {
		for j := range role.count {
			var found []string
			if role.name == "keeper" {
				found = founders
			}
			n := s.w.Add(role.name, fmt.Sprintf("%s-%d", role.name, j+1), s.sites[i%len(s.sites)], address(i), founders, found)
			s.daemons = append(s.daemons, n)
			switch role.name {
			case "keeper":
				s.keepers = append(s.keepers, n)
			case "front":
				s.fronts = append(s.fronts, n.address)
			}
			i++
		}
	}
	labels := []string{"ssd", "vault"}
	if s.env.Deployment.Service == "podcasts" {
		labels = []string{"gpu", "archive"}
	}
	for j := range deploy.Workers {
		h := &hand{acked: map[state.Attempt]time.Duration{}, env: fakeworker.Env{
			ID: fmt.Sprintf("worker-%02d", j+1), Site: s.sites[j%len(s.sites)], Rack: fmt.Sprintf("r%d", j/deploy.WorkersPerRack), Service: s.env.Deployment.Service,
			Total: state.Resources{Slots: deploy.SlotsPerWorker, Cores: s.env.Deployment.CoresPerWorker},
		}}
		if j%4 == 0 {
			h.env.Labels = []string{labels[0]}
		}
		h.fronts = append(append([]string{}, s.fronts[j%len(s.fronts):]...), s.fronts[:j%len(s.fronts)]...)
		s.hands[h.name()] = h
		s.w.At(5*time.Second+time.Duration(j)*10*time.Millisecond, func() { s.bootHand(h) })
	}
}

// hand picks the worker with a number, in a fixed order.
func (s *Scenario) hand(i int) *hand {
	names := slices.Sorted(maps.Keys(s.hands))
	return s.hands[names[i%len(names)]]
}

func (s *Scenario) job(t deploy.Traffic, id string) *caller {
	c := &caller{spec: t.NewJob(s.env.Deployment.Service, id), turn: s.w.chance.IntN(64)}
	s.callers = append(s.callers, c)
	return c
}

// traffic draws open arrivals of each kind until the end of the day.
func (s *Scenario) traffic() {
	for _, t := range s.env.Deployment.Traffic {
		at, i := 6*time.Second, 0
		for {
			at += time.Duration(s.w.chance.ExpFloat64() / t.PerSecond * float64(time.Second))
			if at >= s.env.For {
				break
			}
			i++
			c := s.job(t, fmt.Sprintf("%s-%d", t.Class, i))
			if i%10 == 3 {
				c.spec.Tasks[0].Labels = []string{s.hand(0).env.Labels[0]}
			}
			if len(t.StepWidths) == 1 && t.StepWidths[0] > 1 && i%3 == 0 {
				for j := range c.spec.Tasks {
					c.spec.Tasks[j].Gang = "all"
				}
			}
			s.w.At(at, func() { s.submit(c) })
			if i%17 == 5 {
				s.w.At(at+time.Duration(s.w.chance.Int64N(int64(3*time.Second))), func() { s.cancel(c) })
			}
		}
	}
}

// operators change plans, empty sites and withdraw workers on every day with
// faults, so that those promises are judged in all weathers.
func (s *Scenario) operators() {
	kinds := []string{"plan-race", "empty-site", "worker-leave", "plan-race", "withdrawal"}
	for i, at := 0, 13*time.Second; at < s.env.For-8*time.Second; i, at = i+1, at+time.Duration(3000+s.w.chance.IntN(2000))*time.Millisecond {
		s.w.At(at, func() { Kinds[kinds[i%len(kinds)]](s) })
	}
}

// planned has every daemon looked at once the bound is over, counted from when
// the request could be heard.
func (s *Scenario) planned(heardAt time.Duration, sequence uint64) {
	for _, n := range s.daemons {
		s.follows(n, sequence, heardAt)
	}
}

// follows looks at one daemon. One that was itself down, frozen or cut meanwhile
// is given the bound again from the end of that.
func (s *Scenario) follows(n *node, sequence uint64, from time.Duration) {
	s.w.At(from+planBound, func() {
		v, ok := n.main.(interface{ Sequence() uint64 })
		switch {
		case !ok || !slices.Contains(s.daemons, n) || s.w.Now >= s.end:
		case n.troubled(from, s.w.Now):
			s.excuse("plan-ignored", "the daemon itself was down, frozen or cut")
			s.follows(n, sequence, s.w.Now)
		case s.servedSince(from, s.w.Now) > from:
			s.excuse("plan-ignored", "no keeper served")
			s.follows(n, sequence, s.servedSince(from, s.w.Now))
		default:
			s.count("plan-ignored")
			if v.Sequence() < sequence {
				s.fault("plan-ignored", "%s is at plan %d at %s, %d could be heard at %s", n.name, v.Sequence(), secs(s.w.Now), sequence, secs(from))
			}
		}
	})
}

func (s *Scenario) sawPlan(n *node, sequence uint64) {
	if sequence != n.sequence {
		s.count("plan-went-back")
	}
	if sequence < n.sequence {
		s.fault("plan-went-back", "%s went from plan %d to %d at %s", n.name, n.sequence, sequence, secs(s.w.Now))
	}
	n.sequence = sequence
}

// open says whether a job that can end has not ended yet.
func (s *Scenario) open() bool {
	for _, c := range s.callers {
		if c.overAt == 0 && c.bounced == 0 && !c.impossible {
			return true
		}
	}
	return false
}

func (s *Scenario) finish() Result {
	res := Result{Seed: s.env.Seed, Trace: s.w.Trace, Lines: s.w.Lines, Jobs: len(s.callers), Races: s.races, LastFault: s.lastAt, Logs: s.w.Logs}
	for _, name := range slices.Sorted(maps.Keys(s.hands)) {
		h := s.hands[name]
		if h.up {
			s.collect(h)
			for _, r := range h.w.Open() {
				h.past = append(h.past, run{Run: r, from: r.From + h.boot})
			}
		}
		s.runs = append(s.runs, h.past...)
	}
	res.Runs = len(s.runs)
	s.judge()
	s.drained()
	first := map[string]time.Duration{}
	res.BadOn, res.RunsOn = map[string]int{}, map[string]int{}
	for _, r := range s.runs {
		res.RunsOn[r.Worker]++
		if r.Outcome == "stopped" {
			res.Stopped++
		}
		if r.Outcome == "bad" {
			res.Bad++
			res.BadOn[r.Worker]++
		}
		if _, ok := first[r.Job]; !ok {
			first[r.Job] = r.from
		}
	}
	for _, c := range s.callers {
		if c.acceptedAt > 0 {
			res.Accepted++
		}
		switch c.state {
		case state.Done:
			res.Done++
		case state.Failed:
			res.Failed++
		}
		if at, ok := first[c.spec.ID]; ok && c.spec.Class == quickClass(c.spec.Service) {
			res.QuickMs = append(res.QuickMs, float64(at-c.sentAt)/float64(time.Millisecond))
		}
	}
	res.First, res.Locality = first, s.locality()
	for _, r := range s.runs {
		if !strings.HasPrefix(r.Job, "probe-") {
			res.LastEnd = max(res.LastEnd, r.to)
		}
	}
	res.LostMs = map[string][]float64{}
	for _, r := range s.runs {
		if r.Outcome != "" || r.to == 0 {
			continue
		}
		for _, next := range s.runs {
			if next.Job == r.Job && next.Task == r.Task && next.Number == r.Number+1 {
				res.LostMs[r.Class] = append(res.LostMs[r.Class], float64((next.from-r.to)/time.Millisecond))
			}
		}
	}
	for _, k := range s.keepers {
		if m, ok := k.main.(*replica.Replica); ok {
			res.Views = max(res.Views, m.View().Epoch)
		}
	}
	res.Broken, res.Judged, res.Excused = s.broken, s.judged, s.excused
	if res.Accepted == 0 || res.Runs == 0 {
		res.Broken = append(res.Broken, Violation{"not-served-again", "nothing was accepted or run in the whole scenario"})
	}
	return res
}

// Kinds are the faults that a scenario can be asked for.
var Kinds = map[string]func(*Scenario){
	"crowd": func(s *Scenario) {
		for i := range 120 {
			t := s.env.Deployment.Traffic[i%3]
			c := s.job(t, fmt.Sprintf("crowd%d-%d", s.w.Now/time.Millisecond, i))
			s.submit(c)
		}
		s.slow(5 * time.Second)
	},
	"large": func(s *Scenario) {
		for i := range 6 {
			t := s.env.Deployment.Traffic[2]
			t.StepWidths = []int{8, 2}
			t.RunMs = 3000
			s.submit(s.job(t, fmt.Sprintf("large%d-%d", s.w.Now/time.Millisecond, i)))
		}
	},
	"worker-crash": func(s *Scenario) {
		h := s.hand(s.w.chance.IntN(deploy.Workers))
		s.slow(9 * time.Second)
		s.crashHand(h)
		if s.w.chance.IntN(2) == 0 {
			s.w.After(time.Duration(1+s.w.chance.IntN(9))*time.Second, func() { s.bootHand(h) })
		} else {
			s.w.After(4*time.Second, func() { s.gone(h) })
		}
	},
	"worker-run-on": func(s *Scenario) {
		h := s.hand(s.w.chance.IntN(deploy.Workers))
		if !h.up || h.cut {
			return
		}
		h.set(s.w.Now, fakeworker.Faults{RunOn: true, Slow: 4})
		s.w.After(3*time.Second, func() {
			s.w.say("cut %s, which runs on", h.name())
			s.setCut(h, true)
			s.slow(9 * time.Second)
			s.w.After(time.Duration(9+s.w.chance.IntN(20))*time.Second, func() {
				s.w.say("mend %s", h.name())
				s.setCut(h, false)
				h.set(s.w.Now, fakeworker.Faults{})
			})
		})
	},
	"worker-slow": func(s *Scenario) { s.spoil(fakeworker.Faults{Slow: 4}, 15*time.Second) },
	"worker-fail": func(s *Scenario) { s.spoil(fakeworker.Faults{FailEach: 3}, 10*time.Second) },
	"worker-hang": func(s *Scenario) {
		s.spoil(fakeworker.Faults{Hang: true}, 2*time.Second)
		s.slow(2 * time.Second)
	},
	"worker-cut": func(s *Scenario) {
		h := s.hand(s.w.chance.IntN(deploy.Workers))
		s.w.say("cut %s", h.name())
		s.setCut(h, true)
		s.slow(9 * time.Second)
		s.w.After(time.Duration(2+s.w.chance.IntN(14))*time.Second, func() { s.w.say("mend %s", h.name()); s.setCut(h, false) })
	},
	"worker-leave": func(s *Scenario) { s.leave(s.hand(s.w.chance.IntN(deploy.Workers)), 5*time.Second) },
	"withdrawal": func(s *Scenario) {
		first := s.w.chance.IntN(deploy.Workers)
		for i := range 4 {
			s.w.After(time.Duration(i*300)*time.Millisecond, func() { s.leave(s.hand(first+i), 2500*time.Millisecond) })
		}
	},
	"worker-fail-class": func(s *Scenario) {
		s.spoil(fakeworker.Faults{FailClass: s.env.Deployment.Traffic[s.w.chance.IntN(3)].Class}, 12*time.Second)
	},
	"kill": func(s *Scenario) {
		n := s.daemons[s.w.chance.IntN(len(s.daemons))]
		s.w.Kill(n)
		s.w.After(time.Duration(1+s.w.chance.IntN(6))*time.Second, func() { s.w.Boot(n) })
		s.hurt(8 * time.Second)
	},
	"kill-primary": func(s *Scenario) {
		if n := s.primary(); n != nil {
			s.w.Kill(n)
			s.w.After(time.Duration(1+s.w.chance.IntN(6))*time.Second, func() { s.w.Boot(n) })
		}
		s.hurt(9 * time.Second)
	},
	"stop": func(s *Scenario) {
		n := s.daemons[s.w.chance.IntN(len(s.daemons))]
		s.w.Stop(n)
		s.w.After(6*time.Second, func() { s.w.Kill(n); s.w.Boot(n) })
		s.hurt(10 * time.Second)
	},
	"freeze": func(s *Scenario) {
		n := s.daemons[s.w.chance.IntN(len(s.daemons))]
		if s.w.chance.IntN(2) == 0 {
			if p := s.primary(); p != nil {
				n = p
			}
		}
		s.w.Freeze(n)
		s.w.After(time.Duration(500+s.w.chance.IntN(9000))*time.Millisecond, func() { s.w.Wake(n) })
		s.hurt(14 * time.Second)
	},
	"wipe": (*Scenario).wipe,
	"wipe-after-yes": func(s *Scenario) {
		if s.w.Now < s.repairAt || !s.seated() {
			return
		}
		s.repairAt = s.w.Now + 20*time.Second
		s.armed = true
	},
	"replace": func(s *Scenario) {
		if s.w.Now < s.repairAt || !s.seated() {
			return
		}
		s.repairAt = s.w.Now + 20*time.Second
		i := s.w.chance.IntN(len(s.keepers))
		old := s.keepers[i]
		s.w.Kill(old)
		s.replaced++
		address := fmt.Sprintf("10.9.%d.1:7000", s.replaced)
		var seeds []string
		for _, n := range s.daemons[len(s.daemons)-3:] {
			seeds = append(seeds, n.address)
		}
		s.w.After(2*time.Second, func() {
			n := s.w.Add("keeper", fmt.Sprintf("keeper-new-%d", s.replaced), old.site, address, seeds, nil)
			s.keepers[i] = n
			for j, d := range s.daemons {
				if d == old {
					s.daemons[j] = n
				}
			}
		})
		s.hurt(14 * time.Second)
	},
	"slow-disk": func(s *Scenario) {
		n := s.keepers[s.w.chance.IntN(len(s.keepers))]
		s.w.slowDisk(n, 8*time.Second)
		s.hurt(14 * time.Second)
	},
	"clock-jump": func(s *Scenario) {
		s.w.wallSkew += time.Duration(s.w.chance.IntN(2000)-1000) * time.Hour
	},
	"clock": func(s *Scenario) {
		s.w.wallSkew += time.Duration(s.w.chance.IntN(200)-100) * time.Hour
		n := s.daemons[s.w.chance.IntN(len(s.daemons))]
		s.w.Kill(n)
		s.w.After(time.Second, func() { s.w.Boot(n) })
		s.hurt(9 * time.Second)
	},
	"cut-one-way": func(s *Scenario) {
		a, b := s.daemons[s.w.chance.IntN(len(s.daemons))], s.daemons[s.w.chance.IntN(len(s.daemons))]
		if s.w.chance.IntN(2) == 0 {
			a, b = s.keepers[s.w.chance.IntN(3)], s.keepers[s.w.chance.IntN(3)]
		}
		s.w.say("cut %s to %s", a.name, b.name)
		s.w.Cut(a.address, b.address)
		s.w.After(7*time.Second, func() { s.w.Mend(a.address, b.address) })
		s.hurt(12 * time.Second)
	},
	"split": func(s *Scenario) {
		n := s.keepers[s.w.chance.IntN(len(s.keepers))]
		s.w.isolateFor(n, 8*time.Second)
		s.hurt(14 * time.Second)
	},
	"site-lost": (*Scenario).loseSite,
	"site-lost-crowd": func(s *Scenario) {
		s.loseSite()
		for i := range 150 {
			s.w.After(time.Duration(i*10)*time.Millisecond, func() {
				s.submit(s.job(s.env.Deployment.Traffic[0], fmt.Sprintf("urgent%d-%d", s.w.Now/time.Millisecond, i)))
			})
		}
	},
	"site-lost-disk": func(s *Scenario) {
		s.loseSite()
		s.w.After(11*time.Second, func() {
			if s.seated() {
				s.repairAt = 0
				s.wipe()
			}
		})
	},
	"seeds-swapped": func(s *Scenario) {
		i := 3 + s.w.chance.IntN(6)
		old := s.daemons[i]
		s.w.Kill(old)
		s.replaced++
		address := fmt.Sprintf("10.8.%d.1:7000", s.replaced)
		seeds := []string{address, s.daemons[len(s.daemons)-1].address, s.daemons[len(s.daemons)-2].address}
		for _, n := range s.daemons {
			n.seeds = seeds
		}
		s.w.After(time.Second, func() {
			s.daemons[i] = s.w.Add(old.role, fmt.Sprintf("%s-new-%d", old.role, s.replaced), old.site, address, seeds, nil)
		})
		s.hurt(9 * time.Second)
	},
	"seeds": func(s *Scenario) {
		for _, n := range s.daemons[3:6] {
			s.w.Kill(n)
		}
		for _, n := range s.daemons {
			n.seeds = []string{s.daemons[len(s.daemons)-1].address, s.daemons[len(s.daemons)-2].address}
		}
		s.w.After(3*time.Second, func() {
			for _, n := range s.daemons[3:6] {
				s.w.Boot(n)
			}
		})
		s.hurt(10 * time.Second)
	},
	"plan-storm": func(s *Scenario) {
		for i := range 20 {
			s.w.After(time.Duration(i*30)*time.Millisecond, func() {
				s.change(i, fmt.Sprintf(`{"limits":{"maxLosses":%d}}`, 20+i))
			})
		}
	},
	"plan-race": func(s *Scenario) {
		s.change(1, `{"policies":{"order":"priority + waited / 60"}}`)
		s.change(2, `{"policies":{"order":"priority"}}`)
	},
	"plan-large": func(s *Scenario) {
		var b strings.Builder
		for i := range 1500 {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `"extra%d":{"largestWorker":{"slots":1},"classes":{"c":{"priority":1,"share":10}}}`, i)
		}
		s.change(3, `{"services":{`+b.String()+`}}`)
	},
	"impossible": func(s *Scenario) {
		for i := range 40 {
			t := s.env.Deployment.Traffic[2]
			c := s.job(t, fmt.Sprintf("impossible%d-%d", s.w.Now/time.Millisecond, i))
			c.impossible = true
			switch i % 3 {
			case 0:
				c.spec.Tasks[0].Resources.Slots = 99
			case 1:
				c.spec.Tasks[0].Labels = []string{"moonstone"}
			default:
				service, _ := config.Parse(s.env.Deployment.Config)
				c.spec.Tasks[0].Labels = []string{service.Services[s.env.Deployment.Service].Labels[1]}
			}
			s.submit(c)
		}
	},
	"empty-site": func(s *Scenario) {
		for _, e := range s.empties {
			if e.to == 0 || e.to > s.w.Now-5*time.Second {
				return
			}
		}
		s.empty(s.sites[s.w.chance.IntN(len(s.sites))], 9*time.Second)
	},
}

// KindNames lists the faults in order.
func KindNames() []string {
	out := make([]string, 0, len(Kinds))
	for name := range Kinds {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// yes is told of each accepted job; if armed, the primary loses its disk in
// that very moment, and comes back empty.
func (s *Scenario) yes() {
	n := s.primary()
	if !s.armed || n == nil {
		return
	}
	s.armed = false
	s.w.Wipe(n)
	s.w.After(time.Duration(1+s.w.chance.IntN(4000))*time.Millisecond, func() { s.w.Boot(n) })
	s.hurt(14 * time.Second)
}

// loseSite takes a whole site away for nine seconds, if no disk is missing.
func (s *Scenario) loseSite() {
	if s.w.Now < s.repairAt || !s.seated() {
		return
	}
	s.repairAt = s.w.Now + 20*time.Second
	site := s.sites[s.w.chance.IntN(len(s.sites))]
	s.w.say("lose site %s", site)
	for _, n := range s.daemons {
		if n.site == site {
			s.w.Kill(n)
			s.w.After(9*time.Second, func() { s.w.Boot(n) })
		}
	}
	for i := range deploy.Workers {
		if h := s.hand(i); h.env.Site == site {
			s.crashHand(h)
			s.w.After(9*time.Second, func() { s.bootHand(h) })
		}
	}
	s.hurt(18 * time.Second)
}

// wipe takes a keeper's disk, if none is missing.
func (s *Scenario) wipe() {
	if s.w.Now < s.repairAt || !s.seated() {
		return
	}
	s.repairAt = s.w.Now + 20*time.Second
	n := s.keepers[s.w.chance.IntN(len(s.keepers))]
	s.w.Wipe(n)
	s.w.After(time.Duration(s.w.chance.IntN(4))*time.Second, func() { s.w.Boot(n) })
	s.hurt(14 * time.Second)
}

// leave has a worker say that it goes, go, and come back later.
func (s *Scenario) leave(h *hand, after time.Duration) {
	if !h.up || h.leftAt > 0 || h.cut {
		return
	}
	s.w.say("leave %s", h.name())
	h.w.Leave()
	h.leftAt = s.w.Now
	h.lefts = append(h.lefts, [2]time.Duration{s.w.Now, s.w.Now + 10*time.Second})
	s.tickHand(h)
	s.w.After(after, func() {
		s.crashHand(h)
		s.w.After(5*time.Second, func() { s.bootHand(h) })
	})
}

func (s *Scenario) spoil(f fakeworker.Faults, d time.Duration) {
	h := s.hand(s.w.chance.IntN(deploy.Workers))
	if !h.up {
		return
	}
	s.w.say("spoil %s %+v", h.name(), f)
	h.set(s.w.Now, f)
	s.w.After(d, func() {
		if h.up {
			h.set(s.w.Now, fakeworker.Faults{})
		}
	})
}

// slow notes a time in which speed is not judged.
func (s *Scenario) slow(d time.Duration) { s.slowAt(s.w.Now, d) }

// hurt is slow for a fault of the daemons themselves.
func (s *Scenario) hurt(d time.Duration) {
	s.slow(d)
	s.lastAt = max(s.lastAt, s.w.Now)
}

// seated says whether every witness of the newest view is a keeper that is up:
// only then may another disk be lost, since of three one may be missing.
func (s *Scenario) seated() bool { return seatedIn(s.keepers) }

func (s *Scenario) primary() *node { return primaryOf(s.keepers) }

// breakThings puts the chosen faults on the agenda, then one last fault, and
// probes from 12 seconds after it on.
func (s *Scenario) breakThings() {
	s.w.drawFaults(s.env, func(kind string) { s.w.say("fault %s", kind); Kinds[kind](s) })
	if last := s.env.Last; last != "" || len(s.env.Faults) > 0 {
		if last == "" {
			last = s.env.Faults[s.w.chance.IntN(len(s.env.Faults))]
		}
		s.w.At(s.env.For, func() { s.w.say("last fault %s", last); Kinds[last](s) })
	}
	s.w.At(s.env.For+serveBound, func() {
		for i := range 6 {
			c := s.job(s.env.Deployment.Traffic[i%3], fmt.Sprintf("probe-%d", i))
			c.probe = true
			s.submit(c)
		}
	})
}

// ParseFaults reads a list of kinds; a kind that does not exist is an error.
func ParseFaults(text string) ([]string, error) { return parseKinds(text, KindNames()) }

func parseKinds(text string, names []string) ([]string, error) {
	switch text {
	case "all":
		return names, nil
	case "none":
		return nil, nil
	}
	kinds := strings.Split(text, ",")
	for _, kind := range kinds {
		if !slices.Contains(names, kind) {
			return nil, fmt.Errorf("no fault %q; there are %s", kind, strings.Join(names, " "))
		}
	}
	return kinds, nil
}
