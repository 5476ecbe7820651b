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

	"sorrelloom/core/gateway"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
)

// Env is the traffic to play and where it goes.
type Config struct {
	Deployment deploy.Deployment
	Gateways   []string
	Seed       uint64
	Duration   time.Duration
	JobTimeout time.Duration
	RateFactor float64
	BurstAt    time.Duration
	BurstJobs  int
	IDPrefix   string
}

type arrival struct {
	at      time.Duration
	traffic deploy.Traffic
	jobID   string
}

// Arrivals is the schedule: the same seed gives the same arrivals.
func Schedule(e Config) []arrival {
	var out []arrival
	for i, kind := range e.Deployment.Traffic {
		chance := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		n := 0
		for at := time.Duration(0); ; n++ {
			at += time.Duration(chance.ExpFloat64() / (kind.PerSecond * e.RateFactor) * float64(time.Second))
			if at >= e.Duration {
				break
			}
			out = append(out, arrival{at, kind, fmt.Sprintf("%s-%s-%d", e.IDPrefix, kind.Class, n)})
		}
	}
	for n := range e.BurstJobs {
		kind := e.Deployment.Traffic[n%len(e.Deployment.Traffic)]
		out = append(out, arrival{e.BurstAt, kind, fmt.Sprintf("%s-crowd-%s-%d", e.IDPrefix, kind.Class, n)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// Class is what one class saw.
type ClassReport struct {
	Submitted, Accepted, Retried, Done, Failed, Unfinished, StatusReads int
	Rejections                                                          map[string]int
	AcceptMs, FinishMs                                                  []float64
}

// Report is what became of the traffic.
type Report struct {
	mu          sync.Mutex
	Classes     map[string]*ClassReport
	UnknownJobs int
}

// Run plays the schedule and waits until each job is over or out of patience.
func Run(e Config) *Report {
	report := &Report{Classes: map[string]*ClassReport{}}
	for _, kind := range e.Deployment.Traffic {
		report.Classes[kind.Class] = &ClassReport{Rejections: map[string]int{}}
	}
	c := client.MustNew(e.Gateways)
	start := time.Now()
	var open sync.WaitGroup
	for i, a := range Schedule(e) {
		open.Add(1)
		time.AfterFunc(a.at-time.Since(start), func() {
			pool.Go(func() {
				defer open.Done()
				report.runJob(c, e, a, start, e.Gateways[i%len(e.Gateways)])
			})
		})
	}
	open.Wait()
	return report
}

func (r *Report) update(class string, f func(*ClassReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.Classes[class])
}

func (r *Report) runJob(c *client.Client, e Config, a arrival, start time.Time, near string) {
	class := a.traffic.Class
	since := func() float64 { return float64(time.Since(start)-a.at) / float64(time.Millisecond) }
	over := func() bool { return time.Since(start) > a.at+e.JobTimeout }
	body, err := json.Marshal(a.traffic.NewJob(e.Deployment.Service, a.jobID))
	if err != nil {
		panic(err)
	}
	r.update(class, func(c *ClassReport) { c.Submitted++ })
	for try := 0; ; try++ {
		if over() {
			r.update(class, func(c *ClassReport) { c.Unfinished++ })
			return
		}
		if try > 0 {
			r.update(class, func(c *ClassReport) { c.Retried++ })
		}
		res, err := c.CallAddress(near, "POST", "/v1/jobs", body, nil, 2*time.Second)
		var out gateway.Outcome
		if err == nil && res.Decode(&out) == nil {
			if res.Status == 200 {
				r.update(class, func(c *ClassReport) { c.Accepted++; c.AcceptMs = append(c.AcceptMs, since()) })
				break
			}
			r.update(class, func(c *ClassReport) { c.Rejections[out.Name]++ })
			if res.Status < 500 && res.Status != 429 {
				r.update(class, func(c *ClassReport) { c.Failed++ })
				return
			}
			wait(time.Duration(max(out.RetryAfterMillis, 50)) * time.Millisecond)
		} else {
			r.update(class, func(c *ClassReport) { c.Rejections["silence"]++ })
			near = e.Gateways[(try+len(a.jobID))%len(e.Gateways)]
			wait(200 * time.Millisecond)
		}
	}
	for !over() {
		res, err := c.CallAddress(near, "GET", "/v1/jobs/"+a.jobID+"?wait=1s", nil, nil, 3*time.Second)
		r.update(class, func(c *ClassReport) { c.StatusReads++ })
		var view gateway.JobView
		switch {
		case err != nil || res.Decode(&view) != nil:
			near = e.Gateways[int(since())%len(e.Gateways)]
			wait(100 * time.Millisecond)
		case res.Status == 404:
			r.mu.Lock()
			r.UnknownJobs++
			r.mu.Unlock()
			return
		case res.Status != 200:
			wait(100 * time.Millisecond)
		case view.State == "done":
			r.update(class, func(c *ClassReport) { c.Done++; c.FinishMs = append(c.FinishMs, since()) })
			return
		case view.State == "failed" || view.State == "cancelled":
			r.update(class, func(c *ClassReport) { c.Failed++ })
			return
		}
	}
	r.update(class, func(c *ClassReport) { c.Unfinished++ })
}

func wait(d time.Duration) { <-time.After(d) }

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
			name, c.Submitted, c.Accepted, c.Done, c.Failed, c.Unfinished, c.Retried, c.StatusReads)
		accept := fmt.Sprintf("acceptMs_p50=%s acceptMs_p99=%s",
			ms(Percentile(c.AcceptMs, 50)), ms(Percentile(c.AcceptMs, 99)))
		finish := fmt.Sprintf("finishMs_p50=%s finishMs_p95=%s finishMs_p99=%s finishMs_max=%s",
			ms(Percentile(c.FinishMs, 50)), ms(Percentile(c.FinishMs, 95)),
			ms(Percentile(c.FinishMs, 99)), ms(Percentile(c.FinishMs, 100)))
		out = append(out, fmt.Sprintf("%s %s %s bounces=%v", counts, accept, finish, c.Rejections))
	}
	return append(out, fmt.Sprintf("unknown=%d", r.UnknownJobs))
}

// Good says whether every job was finished and none was forgotten.
func (r *Report) Complete() bool {
	for _, c := range r.Classes {
		if c.Submitted == 0 || c.Done != c.Submitted {
			return false
		}
	}
	return r.UnknownJobs == 0
}
