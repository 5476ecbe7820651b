// Package load generates a deployment's traffic against real gateways, as an open-loop load:
// jobs are submitted at times scheduled from a seed, independently of the replies. Submissions
// are retried after rejections and timeouts, and the status of each job is polled until it ends.
// Latencies count from the scheduled arrival.
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
	// minRetryDelay is the minimum delay before a retry after a rejection, silenceRetryDelay
	// the delay after a call without a valid reply.
	minRetryDelay     = 50 * time.Millisecond
	silenceRetryDelay = 200 * time.Millisecond
	statusRetryDelay  = 100 * time.Millisecond
)

// Config configures the traffic and its targets.
type Config struct {
	Deployment deploy.Deployment
	// Gateways are the HTTP addresses of the gateways.
	Gateways []string
	Seed     uint64
	// Duration is the time span in which jobs arrive. JobTimeout bounds the time from the
	// arrival of a job to its end.
	Duration   time.Duration
	JobTimeout time.Duration
	// RateFactor is a factor on the deployment's arrival rates.
	RateFactor float64
	// BurstJobs is the number of additional jobs that arrive simultaneously at BurstAt.
	BurstAt   time.Duration
	BurstJobs int
	// IDPrefix is the prefix of all job IDs.
	IDPrefix string
}

// Run submits the traffic and waits until each job has ended or timed out.
func Run(config Config) *Report {
	report := newReport(config)
	gateways := client.MustNew(config.Gateways)
	start := time.Now()
	var pending sync.WaitGroup
	for i, a := range schedule(config) {
		pending.Add(1)
		j := &job{
			arrival: a, config: config, report: report, client: gateways,
			start: start, address: config.Gateways[i%len(config.Gateways)],
		}
		time.AfterFunc(a.at-time.Since(start), func() {
			pool.Go(func() {
				defer pending.Done()
				j.run()
			})
		})
	}
	pending.Wait()
	return report
}

// job tracks one job of the traffic from its submission to its end.
type job struct {
	arrival
	config  Config
	report  *Report
	client  *client.Client
	start   time.Time
	address string // of the gateway in use
}

// sinceArrival returns the time since the scheduled arrival.
func (j *job) sinceArrival() time.Duration { return time.Since(j.start) - j.at }

func (j *job) millisSinceArrival() float64 {
	return float64(j.sinceArrival()) / float64(time.Millisecond)
}

func (j *job) timedOut() bool { return j.sinceArrival() > j.config.JobTimeout }

func (j *job) update(change func(*ClassReport)) { j.report.update(j.traffic.Class, change) }

// run submits the job and waits until it has ended or timed out.
func (j *job) run() {
	j.update(func(c *ClassReport) { c.Submitted++ })
	if j.submit() {
		j.follow()
	}
}

// submit submits the job, with retries until it is accepted, rejected permanently or timed out.
// It reports whether the job was accepted.
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

// follow polls the status of the job until it has ended or timed out.
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
