// Package load plays a deployment's traffic against real gateways: open arrivals from a fixed
// seed, at their scheduled times whatever the replies are, retries after silence, and
// frequent status requests. Times are counted from the scheduled arrival.
package load

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/state"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
)

const (
	submitTimeout = 2 * time.Second
	statusTimeout = 3 * time.Second
	// minRetryDelay is the least delay after a rejection, silenceRetryDelay that after
	// silence.
	minRetryDelay     = 50 * time.Millisecond
	silenceRetryDelay = 200 * time.Millisecond
	statusRetryDelay  = 100 * time.Millisecond
)

// Config is the traffic to play and where it goes.
type Config struct {
	Deployment deploy.Deployment
	// Gateways are HTTP addresses.
	Gateways []string
	Seed     uint64
	// Duration is how long jobs arrive, JobTimeout how long one may take in all.
	Duration   time.Duration
	JobTimeout time.Duration
	// RateFactor is a factor on the deployment's rates.
	RateFactor float64
	// BurstJobs jobs arrive at once at BurstAt.
	BurstAt   time.Duration
	BurstJobs int
	// IDPrefix begins all job IDs.
	IDPrefix string
}

// Run plays the traffic and waits until each job is over or has timed out.
func Run(config Config) *Report {
	report := newReport(config)
	gateways := client.MustNew(config.Gateways)
	start := time.Now()
	var open sync.WaitGroup
	for i, a := range schedule(config) {
		open.Add(1)
		j := &job{
			arrival: a, config: config, report: report, client: gateways,
			start: start, address: config.Gateways[i%len(config.Gateways)],
		}
		time.AfterFunc(a.at-time.Since(start), func() {
			pool.Go(func() {
				defer open.Done()
				j.run()
			})
		})
	}
	open.Wait()
	return report
}

// job is one job of the traffic on its way.
type job struct {
	arrival
	config  Config
	report  *Report
	client  *client.Client
	start   time.Time
	address string // of the gateway that is asked
}

// sinceArrival is the time since the scheduled arrival.
func (j *job) sinceArrival() time.Duration { return time.Since(j.start) - j.at }

func (j *job) millisSinceArrival() float64 {
	return float64(j.sinceArrival()) / float64(time.Millisecond)
}

func (j *job) timedOut() bool { return j.sinceArrival() > j.config.JobTimeout }

func (j *job) update(change func(*ClassReport)) { j.report.update(j.traffic.Class, change) }

// run submits the job, and asks after it until it is over or has timed out.
func (j *job) run() {
	j.update(func(c *ClassReport) { c.Submitted++ })
	if j.submit() {
		j.follow()
	}
}

// submit submits the job until it is accepted, and reports whether it was.
func (j *job) submit() bool {
	body, err := json.Marshal(j.traffic.NewJob(j.config.Deployment.Service, j.jobID))
	if err != nil {
		panic(err)
	}
	for attempt := 0; !j.timedOut(); attempt++ {
		if attempt > 0 {
			j.update(func(c *ClassReport) { c.Retried++ })
		}
		response, err := j.client.CallAddress(j.address, "POST", "/v1/jobs", body, nil, submitTimeout)
		var outcome gateway.Outcome
		if err != nil || response.Decode(&outcome) != nil {
			j.update(func(c *ClassReport) { c.Rejections["silence"]++ })
			j.address = j.config.Gateways[(attempt+len(j.jobID))%len(j.config.Gateways)]
			wait(silenceRetryDelay)
			continue
		}
		if response.Status == http.StatusOK {
			j.update(func(c *ClassReport) {
				c.Accepted++
				c.AcceptMillis = append(c.AcceptMillis, j.millisSinceArrival())
			})
			return true
		}
		j.update(func(c *ClassReport) { c.Rejections[outcome.Name]++ })
		if response.Status < http.StatusInternalServerError && response.Status != http.StatusTooManyRequests {
			j.update(func(c *ClassReport) { c.Failed++ })
			return false
		}
		wait(max(time.Duration(outcome.RetryAfterMillis)*time.Millisecond, minRetryDelay))
	}
	j.update(func(c *ClassReport) { c.Unfinished++ })
	return false
}

// follow asks after the job until it is over or has timed out.
func (j *job) follow() {
	for !j.timedOut() {
		response, err := j.client.CallAddress(j.address, "GET", "/v1/jobs/"+j.jobID+"?wait=1s", nil, nil, statusTimeout)
		j.update(func(c *ClassReport) { c.StatusReads++ })
		var view gateway.JobView
		switch {
		case err != nil || response.Decode(&view) != nil:
			j.address = j.config.Gateways[int(j.millisSinceArrival())%len(j.config.Gateways)]
			wait(statusRetryDelay)
		case response.Status == http.StatusNotFound:
			j.report.countUnknown()
			return
		case response.Status != http.StatusOK:
			wait(statusRetryDelay)
		case view.State == state.Done:
			j.update(func(c *ClassReport) {
				c.Done++
				c.FinishMillis = append(c.FinishMillis, j.millisSinceArrival())
			})
			return
		case view.State == state.Failed || view.State == state.Cancelled:
			j.update(func(c *ClassReport) { c.Failed++ })
			return
		}
	}
	j.update(func(c *ClassReport) { c.Unfinished++ })
}

func wait(d time.Duration) { <-time.After(d) }
