// Fixed seeds of the composition of centers, doors and sides, and variants of it
// that are broken on purpose, each found by the check that should notice.

package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

func centerEnv(t *testing.T, seed uint64, faults string) Env {
	t.Helper()
	kinds, err := ParseCenterFaults(faults)
	if err != nil {
		t.Fatal(err)
	}
	return Env{Seed: seed, Faults: kinds, For: 45 * time.Second}
}

// TestCenterSeeds plays days with all faults mixed. Seed 2 was found: a primary
// that led again before another had taken the duties knew none of what waited. In
// the day of seed 25 callers are refused; in the others they may never be.
func TestCenterSeeds(t *testing.T) {
	var days []Env
	for _, seed := range []uint64{2, 3, 4, 6, 8, 9, 10, 11, 13, 15, 25} {
		days = append(days, centerEnv(t, seed, "all"))
	}
	judged := map[string]int{}
	for i, r := range playAll(days, PlayCenters) {
		for check, count := range r.Judged {
			judged[check] += count
		}
		for _, b := range r.Broken {
			t.Errorf("%s: %s\n  again: simulate -composition center -faults all -for %s -from %d -to %d", b.Check, b.Why, days[i].For, days[i].Seed, days[i].Seed)
		}
	}
	for _, check := range CenterChecks {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing in all these days", check)
		}
	}
	t.Logf("judged: %v", judged)
}

// TestEveryLastFaultOfCenters ends a calm day with each kind of fault; 12 s later
// every class of job must be served again.
func TestEveryLastFaultOfCenters(t *testing.T) {
	var days []Env
	for i, kind := range []string{"cut", "freeze", "isolate", "kill", "kill-centers", "kill-leader", "kill-leader-twice", "power-off", "slow-disk", "wipe", "wipe-after-yes", "wipe-after-yes-power-off", "worker-crash"} {
		e := centerEnv(t, 700+uint64(i), "none")
		e.For, e.Last = 13*time.Second, kind
		days = append(days, e)
	}
	for i, r := range playAll(days, PlayCenters) {
		for _, b := range r.Broken {
			t.Errorf("last fault %s: %s: %s", days[i].Last, b.Check, b.Why)
		}
		if r.Judged["not-served-again"] != 6 {
			t.Errorf("last fault %s: %d probes", days[i].Last, r.Judged["not-served-again"])
		}
	}
}

// TestRollingRestartOfCenters stops and starts every center, every door and every
// center again, with speed judged all the time.
func TestRollingRestartOfCenters(t *testing.T) {
	e := centerEnv(t, 71, "none")
	restarts, slow := 0, 0
	e.PrepareCenters = func(c *Centers) {
		for i, n := range slices.Concat(c.centers, c.doors, c.centers) {
			at := 9*time.Second + time.Duration(i)*3500*time.Millisecond
			c.w.At(at, func() { c.w.Stop(n) })
			c.w.At(at+1500*time.Millisecond, func() {
				if n.state != down {
					t.Errorf("%s is still there 1.5 s after it was asked to go", n.name)
					c.w.Kill(n)
				}
				restarts++
				c.w.Boot(n)
			})
		}
	}
	r := PlayCenters(e)
	for _, ms := range r.QuickMs {
		if ms > 1000 {
			slow++
		}
	}
	if len(r.Broken) > 0 || restarts != 9 || slow > 5 {
		t.Errorf("%d restarts, %d of %d quick jobs over 1 s, %v", restarts, slow, len(r.QuickMs), r.Broken)
	}
	t.Logf("views %d, quick jobs p99 %.1f ms, %d over 1 s", r.Views, percentile(r.QuickMs, .99), slow)
}

func TestOneSeedIsOneRunOfCenters(t *testing.T) {
	e := centerEnv(t, 7, "all")
	e.For = 25 * time.Second
	results := playAll([]Env{e, e}, PlayCenters)
	if results[0].Trace != results[1].Trace || results[0].Lines != results[1].Lines {
		t.Errorf("two runs of one seed differ: %x %d, %x %d", results[0].Trace, results[0].Lines, results[1].Trace, results[1].Lines)
	}
}

// alterSteps changes the steps of every job on its way from a door to a center.
func alterSteps(c *Centers, change func(*state.JobSpec)) {
	c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
		if b, ok := s.Body.(wire.CommandRequest); ok && b.Command.Kind == state.KindAcceptJob {
			b.Command.Job.Steps = slices.Clone(b.Command.Job.Steps)
			change(&b.Command.Job)
			s.Body = b
		}
		return s
	}
}

// alterAnswer changes the answers to commands on their way to a door.
func alterAnswer(c *Centers, change func(a *state.Result)) {
	c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
		if b, ok := s.Body.(wire.CommandReply); ok {
			change(&b.Result)
			s.Body = b
		}
		return s
	}
}

// alterStarts changes the starts on their way to a side.
func alterStarts(c *Centers, change func(state.StartOrder) (state.StartOrder, bool)) {
	c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
		if b, ok := s.Body.(wire.HeartbeatReply); ok {
			var starts []state.StartOrder
			for _, start := range b.Result.Heartbeat.Starts {
				if start, keep := change(start); keep {
					starts = append(starts, start)
				}
			}
			b.Result.Heartbeat.Starts = starts
			s.Body = b
		}
		return s
	}
}

// alterEnds changes the ends in what a side reports.
func alterEnds(c *Centers, change func(*state.AttemptResult)) {
	c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
		if b, ok := s.Body.(wire.HeartbeatRequest); ok {
			b.Heartbeat.Ended = slices.Clone(b.Heartbeat.Ended)
			for i := range b.Heartbeat.Ended {
				change(&b.Heartbeat.Ended[i])
			}
			s.Body = b
		}
		return s
	}
}

// TestBrokenCentersAreFound breaks one part in each row of a calm day.
func TestBrokenCentersAreFound(t *testing.T) {
	workers := func(c *Centers, at time.Duration, do func(*beside)) {
		c.w.At(at, func() {
			for _, p := range c.places {
				do(p.now)
			}
		})
	}
	table := []struct {
		check, name string
		spoil       func(c *Centers)
	}{
		{"", "nothing is broken", func(c *Centers) {}},
		{"job-forgotten", "all disks begin to lie, and the power goes", func(c *Centers) {
			c.w.At(10*time.Second, func() {
				for _, n := range c.centers {
					n.diskLies = true
				}
			})
			c.w.At(14*time.Second, c.powerOff)
		}},
		{"twice-at-once", "workers run on behind a cut when their hold is over", func(c *Centers) {
			c.w.At(8*time.Second, func() {
				c.submit(c.job("long", "longest", []state.StepSpec{{Count: 20}}, []int64{15000}, state.Repeat{}))
			})
			workers(c, 8*time.Second, func(b *beside) {
				b.keeps = true
				if b.place.number%2 == 0 {
					c.w.After(3*time.Second, func() { c.cut(b.place.address, b.place.side.address, false, 20*time.Second) })
				}
			})
		}},
		{"again-after-good", "a good end is told as a lost one", func(c *Centers) {
			alterEnds(c, func(e *state.AttemptResult) {
				if strings.HasPrefix(e.Job, "batch-1") && e.Number == 1 {
					e.Succeeded, e.Lost = false, true
				}
			})
		}},
		{"before-dependency", "steps do not wait", func(c *Centers) {
			alterSteps(c, func(j *state.JobSpec) {
				for i := range j.Steps {
					j.Steps[i].DependsOn = nil
				}
			})
		}},
		{"before-due", "a repeated job comes too early", func(c *Centers) {
			alterSteps(c, func(j *state.JobSpec) {
				if j.Repeat.Count > 0 {
					j.Repeat.FirstAt = j.Repeat.FirstAt.Add(-2 * time.Second)
				}
			})
		}},
		{"wrong-worker", "labels are left out", func(c *Centers) {
			alterSteps(c, func(j *state.JobSpec) {
				for i := range j.Steps {
					j.Steps[i].Labels = nil
				}
			})
		}},
		{"over-room", "workers say that they have more", func(c *Centers) {
			for _, p := range c.places {
				p.lies = state.Resources{Slots: 100, MemoryMB: 100}
			}
			c.w.At(10*time.Second, func() { CenterKinds["crowd"](c) })
		}},
		{"crowded-worker", "the bound for each worker is left out", func(c *Centers) {
			alterSteps(c, func(j *state.JobSpec) {
				for i := range j.Steps {
					j.Steps[i].MaxPerWorker = 0
				}
			})
		}},
		{"defects-spent", "failures are told as lost", func(c *Centers) {
			workers(c, 3*time.Second, func(b *beside) { b.fails = true })
			alterEnds(c, func(e *state.AttemptResult) { e.Lost = e.Lost || !e.Succeeded && !e.Stopped })
		}},
		{"gang-alone", "one member of each gang is not told, and said to run", func(c *Centers) {
			untold := map[string][]state.Attempt{}
			c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
				switch b := s.Body.(type) {
				case wire.HeartbeatReply:
					var starts []state.StartOrder
					for _, start := range b.Result.Heartbeat.Starts {
						if start.Gang != "" && strings.HasSuffix(start.Task, ".1") {
							untold[s.To] = append(untold[s.To], start.Attempt)
						} else {
							starts = append(starts, start)
						}
					}
					b.Result.Heartbeat.Starts = starts
					s.Body = b
				case wire.HeartbeatRequest:
					b.Heartbeat.Running = append(slices.Clone(b.Heartbeat.Running), untold[n.address]...)
					s.Body = b
				}
				return s
			}
		}},
		{"start-while-draining", "workers do not say that they leave", func(c *Centers) {
			workers(c, 9*time.Second, func(b *beside) {
				b.mute = true
				if b.place.number < 6 {
					b.leave(6*time.Second, time.Second)
				}
			})
		}},
		{"start-in-emptied-site", "the order to empty a site is turned round", func(c *Centers) {
			c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
				if b, ok := s.Body.(wire.CommandRequest); ok && b.Command.Kind == state.KindDrainZone {
					b.Command.Drain = false
					s.Body = b
				}
				return s
			}
			c.w.At(9*time.Second, func() { CenterKinds["empty-site"](c) })
		}},
		{"start-after-cancel", "a cancel is carried as a question", func(c *Centers) {
			c.w.alter = func(n *node, s machine.OutgoingMessage) machine.OutgoingMessage {
				if b, ok := s.Body.(wire.CommandRequest); ok && b.Command.Kind == state.KindCancelJob {
					b.Command.Kind = state.KindReadJob
					s.Body = b
				}
				return s
			}
			c.w.At(8*time.Second, func() {
				one := c.job("batch", "cancelled", []state.StepSpec{{Count: 1}}, []int64{100}, state.Repeat{Count: 5, FirstAt: c.w.wall(), Every: millis(2000)})
				c.submit(one)
				c.w.After(time.Second, func() { c.cancel(one) })
			})
		}},
		{"finished-with-open-task", "what runs shows as done", func(c *Centers) {
			alterAnswer(c, func(a *state.Result) {
				if a.Job.State == state.Running {
					a.Job.State = state.Done
				}
			})
		}},
		{"plan-went-back", "an older plan is read", func(c *Centers) {
			c.w.At(9*time.Second, c.change)
			alterAnswer(c, func(a *state.Result) {
				if a.Config != nil {
					a.Config = &config.Config{Version: 1}
				}
			})
		}},
		{"quick-behind-batch", "the first starts of quick work are lost", func(c *Centers) {
			alterStarts(c, func(s state.StartOrder) (state.StartOrder, bool) {
				return s, s.Class != "lookup" || c.w.Now > 20*time.Second
			})
		}},
		{"long-unfinished", "the starts of one job are lost", func(c *Centers) {
			alterStarts(c, func(s state.StartOrder) (state.StartOrder, bool) { return s, s.Job != "long-1" })
		}},
		{"not-served-again", "nothing is started any more", func(c *Centers) {
			alterStarts(c, func(s state.StartOrder) (state.StartOrder, bool) { return s, !strings.HasPrefix(s.Job, "probe") })
		}},
		{"bounce-without-time", "a full inbox names no time", func(c *Centers) {
			alterAnswer(c, func(a *state.Result) {
				if a.Code == status.OK && c.w.chance.IntN(5) == 0 {
					*a = state.Result{Code: status.QueueFull}
				}
			})
		}},
		{"refused-and-run", "a job that is taken is refused", func(c *Centers) {
			alterAnswer(c, func(a *state.Result) {
				if a.Code == status.OK && c.w.chance.IntN(5) == 0 {
					*a = state.Result{Code: status.QueueFull, RetryAfter: time.Second}
				}
			})
		}},
		{"saved-of-another", "another task's text is handed over", func(c *Centers) {
			alterStarts(c, func(s state.StartOrder) (state.StartOrder, bool) {
				s.Checkpoint = "other/0.0.0:40"
				return s, true
			})
		}},
	}
	var days []Env
	for i, row := range table {
		e := centerEnv(t, 7000+uint64(i), "none")
		e.For, e.Settle, e.PrepareCenters = 14*time.Second, 25*time.Second, row.spoil
		days = append(days, e)
	}
	covered := map[string]bool{}
	for i, r := range playAll(days, PlayCenters) {
		row := table[i]
		covered[row.check] = true
		found := slices.ContainsFunc(r.Broken, func(b Violation) bool { return b.Check == row.check })
		if row.check == "" && len(r.Broken) > 0 {
			t.Errorf("%s, and found is %v", row.name, r.Broken)
		}
		if row.check != "" && !found {
			t.Errorf("%s: %s does not find it; found is %v", row.name, row.check, r.Broken)
		}
	}
	for _, check := range CenterChecks {
		if !covered[check] {
			t.Errorf("%s is not shown to fail", check)
		}
	}
}
