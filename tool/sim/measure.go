// Measurements in virtual time, each as paired runs: the same seed with one
// thing changed. They print figures and judge nothing.

package sim

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
)

// PlayAll plays several days at once; each is a world of its own.
func PlayAll(days []Env) []Result { return playAll(days, Play) }

func playAll(days []Env, play func(Env) Result) []Result {
	results := make([]Result, len(days))
	gate := make(chan struct{}, 8)
	var open sync.WaitGroup
	for i, e := range days {
		open.Add(1)
		pool.Go(func() {
			defer open.Done()
			gate <- struct{}{}
			results[i] = play(e)
			<-gate
		})
	}
	open.Wait()
	return results
}

func spread(values []float64) string {
	sort.Float64s(values)
	if len(values) == 0 {
		return "none"
	}
	return fmt.Sprintf("min %.1f median %.1f max %.1f", values[0], values[len(values)/2], values[len(values)-1])
}

func percentile(values []float64, p float64) float64 {
	sort.Float64s(values)
	if len(values) == 0 {
		return math.NaN()
	}
	return values[min(len(values)-1, int(p*float64(len(values))))]
}

// Measures by name.
var Measures = map[string]func(out io.Writer, d deploy.Deployment, seeds int){
	"quick-beside-batch": quickBesideBatch,
	"inboxes":            inboxes,
	"serve-again":        serveAgain,
	"lost-worker":        lostWorker,
}

// quickBesideBatch plays each seed without and with a wave of long work that
// would fill all slots for most of the day.
func quickBesideBatch(out io.Writer, d deploy.Deployment, seeds int) {
	var days []Env
	for seed := range uint64(seeds) {
		for _, wave := range []int{0, 160} {
			days = append(days, Env{Seed: seed + 1, Deployment: d, For: 40 * time.Second, Prepare: func(s *Scenario) {
				long := d.Traffic[2]
				long.StepWidths, long.Cores = []int{1}, 1
				for i := range wave {
					s.w.At(10*time.Second, func() { s.submit(s.job(long, fmt.Sprintf("wave-%d", i))) })
				}
			}})
		}
	}
	results := PlayAll(days)
	for i := 0; i < len(results); i += 2 {
		a, b := results[i], results[i+1]
		fmt.Fprintf(out, "seed=%d quickWaitMs without p50=%.1f p99=%.1f max=%.1f with p50=%.1f p99=%.1f max=%.1f\n", a.Seed,
			percentile(a.QuickMs, .5), percentile(a.QuickMs, .99), percentile(a.QuickMs, 1), percentile(b.QuickMs, .5), percentile(b.QuickMs, .99), percentile(b.QuickMs, 1))
	}
}

// inboxes gives 60 two-step jobs of 4 and 4 tasks at once, with one straggler,
// to inboxes with helpers and to one central inbox; inputs that another worker
// holds cost nothing, or 50 ms each beside 400 ms of work.
func inboxes(out io.Writer, d deploy.Deployment, seeds int) {
	for _, fetchMs := range []int64{0, 50} {
		fmt.Fprintf(out, "fetchMs=%d\n", fetchMs)
		inboxesWith(out, d, seeds, fetchMs)
	}
}

func inboxesWith(out io.Writer, d deploy.Deployment, seeds int, fetchMs int64) {
	var days []Env
	for seed := range uint64(seeds) {
		for _, central := range []bool{false, true} {
			days = append(days, Env{Seed: seed + 1, Deployment: d, For: 20 * time.Second, Central: central, Quiet: true, Prepare: func(s *Scenario) {
				two := d.Traffic[1]
				two.StepWidths, two.RunMs, two.Cores = []int{4, 4}, 400, 1
				s.w.At(7*time.Second, func() { s.hand(0).set(s.w.Now, fakeworker.Faults{Slow: 4}) })
				for i := range 60 {
					s.w.At(8*time.Second, func() {
						c := s.job(two, fmt.Sprintf("two-%d", i))
						for t := range c.spec.Tasks {
							c.spec.Tasks[t].Payload = fmt.Appendf(nil, `{"runMs":400,"fetchMs":%d}`, fetchMs)
						}
						s.submit(c)
					})
				}
			}})
		}
	}
	results := PlayAll(days)
	var spans, local, lost [2][]float64
	for i, r := range results {
		k := i % 2
		spans[k] = append(spans[k], (r.LastEnd-8*time.Second).Seconds()*1000)
		local[k] = append(local[k], 100*r.Locality)
		lost[k] = append(lost[k], float64(r.Logs["grant_rejected"]))
	}
	for k, name := range []string{"inboxes with helpers", "one central inbox"} {
		fmt.Fprintf(out, "%s: makespanMs %s; inputs held %% %s; grants bounced %s\n", name, spread(spans[k]), spread(local[k]), spread(lost[k]))
	}
}

// serveAgain kills the primary and measures until the next accepted job and
// the next start of a job handed in after the kill.
func serveAgain(out io.Writer, d deploy.Deployment, seeds int) {
	var accepted, started []float64
	var mu sync.Mutex
	var days []Env
	var checks []func(Result)
	for seed := range uint64(seeds) {
		var probes []*caller
		var killedAt time.Duration
		days = append(days, Env{Seed: seed + 1, Deployment: d, For: 25 * time.Second, Prepare: func(s *Scenario) {
			s.w.At(14*time.Second+time.Duration(seed)*37*time.Millisecond, func() {
				killedAt = s.w.Now
				s.hurt(10 * time.Second)
				s.w.Kill(s.primary())
			})
			for i := range 200 {
				s.w.At(14*time.Second+time.Duration(i)*50*time.Millisecond, func() {
					c := s.job(d.Traffic[0], fmt.Sprintf("probe-%d", i))
					probes = append(probes, c)
					s.submit(c)
				})
			}
		}})
		checks = append(checks, func(r Result) {
			first, run := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
			for _, c := range probes {
				if c.sentAt > killedAt && c.acceptedAt > 0 {
					first = min(first, c.acceptedAt)
					if at, ok := r.First[c.spec.ID]; ok {
						run = min(run, at)
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, float64((first-killedAt)/time.Millisecond))
			started = append(started, float64((run-killedAt)/time.Millisecond))
		})
	}
	for i, r := range PlayAll(days) {
		checks[i](r)
	}
	fmt.Fprintf(out, "after the primary's death: first accepted ms %s; first started ms %s\n", spread(accepted), spread(started))
}

// lostWorker crashes three workers for good and measures, by class, from the end
// of each run that was lost to the task's next start: with the rule before (a
// turn goes back when the lease is over) and with the plan's choices, where an
// operator says 20 s after the crash that the machines are gone.
func lostWorker(out io.Writer, d deploy.Deployment, seeds int) {
	var days []Env
	for seed := range uint64(seeds) {
		for _, before := range []bool{true, false} {
			days = append(days, Env{Seed: seed + 1, Deployment: d, For: 40 * time.Second, Prepare: func(s *Scenario) {
				if before {
					s.w.At(5*time.Second, func() {
						var classes []string
						for _, t := range d.Traffic {
							classes = append(classes, fmt.Sprintf(`%q:{"silence":"restart","runLimit":"6s"}`, t.Class))
						}
						s.change(1, fmt.Sprintf(`{"services":{%q:{"classes":{%s}}}}`, d.Service, strings.Join(classes, ",")))
					})
				}
				for i := range 3 {
					s.w.At(15*time.Second, func() {
						h := s.hand(i)
						s.crashHand(h)
						s.w.After(20*time.Second, func() { s.gone(h) })
					})
				}
			}})
		}
	}
	ms := [2]map[string][]float64{{}, {}}
	for i, r := range PlayAll(days) {
		for class, values := range r.LostMs {
			ms[i%2][class] = append(ms[i%2][class], values...)
		}
	}
	for _, t := range d.Traffic {
		fmt.Fprintf(out, "class=%s restartMs lease alone: %s (%d lost); by the plan: %s (%d lost)\n", t.Class,
			spread(ms[0][t.Class]), len(ms[0][t.Class]), spread(ms[1][t.Class]), len(ms[1][t.Class]))
	}
}

// locality is the part of the inputs that stood on the worker of their step.
func (n *notes) locality() float64 {
	where := map[string]string{}
	for _, r := range n.runs {
		if r.Outcome == "good" {
			where[r.Job+"/"+r.Task] = r.Worker
		}
	}
	specs := map[string]state.TaskSpec{}
	for _, c := range n.callers {
		for _, t := range c.spec.Tasks {
			specs[c.spec.ID+"/"+t.ID] = t
		}
	}
	held, all := 0, 0
	for _, r := range n.runs {
		for _, dep := range specs[r.Job+"/"+r.Task].DependsOn {
			all++
			if where[r.Job+"/"+dep] == r.Worker {
				held++
			}
		}
	}
	return float64(held) / max(1, float64(all))
}
