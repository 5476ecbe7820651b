// Package load plays the brief's traffic: open arrivals from a fixed seed, at
// their intended times whatever the answers do, re-submission after silence,
// and frequent status questions. Times are counted from the intended send.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"sorrelloom/core/front"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
)

// Env is the traffic to play and where it goes.
type Env struct {
	Deployment deploy.Deployment
	Fronts     []string
	Seed       uint64
	For        time.Duration
	Patience   time.Duration
	Scale      float64
	CrowdAt    time.Duration
	CrowdJobs  int
	Prefix     string
}

type arrival struct {
	at   time.Duration
	kind deploy.Traffic
	id   string
}

// Arrivals is the schedule: the same seed gives the same arrivals.
func Arrivals(e Env) []arrival {
	var out []arrival
	for i, kind := range e.Deployment.Traffic {
		chance := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		n := 0
		for at := time.Duration(0); ; n++ {
			at += time.Duration(chance.ExpFloat64() / (kind.PerSecond * e.Scale) * float64(time.Second))
			if at >= e.For {
				break
			}
			out = append(out, arrival{at, kind, fmt.Sprintf("%s-%s-%d", e.Prefix, kind.Class, n)})
		}
	}
	for n := range e.CrowdJobs {
		kind := e.Deployment.Traffic[n%len(e.Deployment.Traffic)]
		out = append(out, arrival{e.CrowdAt, kind, fmt.Sprintf("%s-crowd-%s-%d", e.Prefix, kind.Class, n)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// Class is what one class saw.
type Class struct {
	Sent, Accepted, Resent, Done, Failed, Unfinished, Asked int
	Bounces                                                 map[string]int
	AcceptMs, FinishMs                                      []float64
}

// Report is what became of the traffic.
type Report struct {
	mu      sync.Mutex
	Classes map[string]*Class
	Unknown int
}

// Run plays the schedule and waits until each job is over or out of patience.
func Run(e Env) *Report {
	report := &Report{Classes: map[string]*Class{}}
	for _, kind := range e.Deployment.Traffic {
		report.Classes[kind.Class] = &Class{Bounces: map[string]int{}}
	}
	c := client.Must(e.Fronts)
	start := time.Now()
	var open sync.WaitGroup
	for i, a := range Arrivals(e) {
		open.Add(1)
		time.AfterFunc(a.at-time.Since(start), func() {
			pool.Go(func() {
				defer open.Done()
				report.play(c, e, a, start, e.Fronts[i%len(e.Fronts)])
			})
		})
	}
	open.Wait()
	return report
}

func (r *Report) note(class string, f func(*Class)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.Classes[class])
}

func (r *Report) play(c *client.Client, e Env, a arrival, start time.Time, near string) {
	class := a.kind.Class
	since := func() float64 { return float64(time.Since(start)-a.at) / float64(time.Millisecond) }
	over := func() bool { return time.Since(start) > a.at+e.Patience }
	body, err := json.Marshal(a.kind.Job(e.Deployment.Service, a.id))
	if err != nil {
		panic(err)
	}
	r.note(class, func(c *Class) { c.Sent++ })
	for try := 0; ; try++ {
		if over() {
			r.note(class, func(c *Class) { c.Unfinished++ })
			return
		}
		if try > 0 {
			r.note(class, func(c *Class) { c.Resent++ })
		}
		res, err := c.At(near, "POST", "/v1/jobs", body, nil, 2*time.Second)
		var out front.Outcome
		if err == nil && res.Decode(&out) == nil {
			if res.Status == 200 {
				r.note(class, func(c *Class) { c.Accepted++; c.AcceptMs = append(c.AcceptMs, since()) })
				break
			}
			r.note(class, func(c *Class) { c.Bounces[out.Name]++ })
			if res.Status < 500 && res.Status != 429 {
				r.note(class, func(c *Class) { c.Failed++ })
				return
			}
			pause(time.Duration(max(out.RetryAfterMs, 50)) * time.Millisecond)
		} else {
			r.note(class, func(c *Class) { c.Bounces["silence"]++ })
			near = e.Fronts[(try+len(a.id))%len(e.Fronts)]
			pause(200 * time.Millisecond)
		}
	}
	for !over() {
		res, err := c.At(near, "GET", "/v1/jobs/"+a.id+"?wait=1s", nil, nil, 3*time.Second)
		r.note(class, func(c *Class) { c.Asked++ })
		var view front.JobView
		switch {
		case err != nil || res.Decode(&view) != nil:
			near = e.Fronts[int(since())%len(e.Fronts)]
			pause(100 * time.Millisecond)
		case res.Status == 404:
			r.mu.Lock()
			r.Unknown++
			r.mu.Unlock()
			return
		case res.Status != 200:
			pause(100 * time.Millisecond)
		case view.State == "done":
			r.note(class, func(c *Class) { c.Done++; c.FinishMs = append(c.FinishMs, since()) })
			return
		case view.State == "failed" || view.State == "cancelled":
			r.note(class, func(c *Class) { c.Failed++ })
			return
		}
	}
	r.note(class, func(c *Class) { c.Unfinished++ })
}

func pause(d time.Duration) { <-time.After(d) }

// Percentile of unsorted values, by the nearest rank.
func Percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// Lines gives the report, one line a class.
func (r *Report) Lines() []string {
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	ms := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	var out []string
	for _, name := range names {
		c := r.Classes[name]
		counts := fmt.Sprintf("class=%s sent=%d accepted=%d done=%d failed=%d unfinished=%d resent=%d asked=%d",
			name, c.Sent, c.Accepted, c.Done, c.Failed, c.Unfinished, c.Resent, c.Asked)
		accept := fmt.Sprintf("acceptMs_p50=%s acceptMs_p99=%s",
			ms(Percentile(c.AcceptMs, 50)), ms(Percentile(c.AcceptMs, 99)))
		finish := fmt.Sprintf("finishMs_p50=%s finishMs_p95=%s finishMs_p99=%s finishMs_max=%s",
			ms(Percentile(c.FinishMs, 50)), ms(Percentile(c.FinishMs, 95)),
			ms(Percentile(c.FinishMs, 99)), ms(Percentile(c.FinishMs, 100)))
		out = append(out, fmt.Sprintf("%s %s %s bounces=%v", counts, accept, finish, c.Bounces))
	}
	return append(out, fmt.Sprintf("unknown=%d", r.Unknown))
}

// Good says whether every job was finished and none was forgotten.
func (r *Report) Good() bool {
	for _, c := range r.Classes {
		if c.Sent == 0 || c.Done != c.Sent {
			return false
		}
	}
	return r.Unknown == 0
}
