package sim

import (
	"fmt"
	"net/http"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/tool/deploy"
)

const (
	// statusRetryDelay is the default delay between two status requests for a job.
	statusRetryDelay = 200 * time.Millisecond
	// probePrefix is the prefix of the job IDs of probes.
	probePrefix = "probe-"
)

// newJob creates a job of a kind of traffic and adds it to the scenario. It doesn't submit
// the job.
func (s *FleetScenario) newJob(traffic deploy.Traffic, id string) *clientJob {
	job := &clientJob{
		spec: traffic.NewJob(s.options.Deployment.Service, id), gatewayIndex: s.world.rng.IntN(64),
	}
	s.jobs = append(s.jobs, job)
	return job
}

// scheduleTraffic schedules the jobs of each kind of traffic until the end of Duration, as a
// Poisson process.
func (s *FleetScenario) scheduleTraffic() {
	for _, traffic := range s.options.Deployment.Traffic {
		at := trafficFrom
		for i := 1; ; i++ {
			at += time.Duration(s.world.rng.ExpFloat64() / traffic.PerSecond * float64(time.Second))
			if at >= s.options.Duration {
				break
			}
			s.scheduleJob(traffic, i, at)
		}
	}
}

// scheduleJob schedules the i-th job of a kind of traffic. Every tenth job needs a label,
// every third job of one step with several tasks is a gang, and some jobs are cancelled.
func (s *FleetScenario) scheduleJob(traffic deploy.Traffic, i int, at time.Duration) {
	job := s.newJob(traffic, fmt.Sprintf("%s-%d", traffic.Class, i))
	if i%10 == 3 {
		job.spec.Tasks[0].Labels = []string{s.workerAt(0).config.Labels[0]}
	}
	if len(traffic.StepWidths) == 1 && traffic.StepWidths[0] > 1 && i%3 == 0 {
		for t := range job.spec.Tasks {
			job.spec.Tasks[t].Gang = "all"
		}
	}
	s.world.At(at, func() { s.submit(job) })
	if isCancelled(i) {
		delay := time.Duration(s.world.rng.Int64N(int64(cancelDelayMax)))
		s.world.At(at+delay, func() { s.cancel(job) })
	}
}

// callerIn returns a client in the i-th zone, modulo the number of zones.
func (s *FleetScenario) callerIn(i int) client { return client{callerName, s.zoneOf(i)} }

func (s *FleetScenario) gatewayFor(i int) string { return s.gateways[i%len(s.gateways)] }

// submit sends a job to one gateway after the other until a reply says whether it is
// accepted, and then polls its status. Its submission time is that of the first attempt.
func (s *FleetScenario) submit(job *clientJob) {
	if job.sentAt == 0 {
		job.sentAt = s.world.Now
	}
	job.submissions++
	retry := func(delay time.Duration) {
		job.gatewayIndex++
		if s.world.Now < s.end {
			s.world.After(delay, func() { s.submit(job) })
		}
	}
	request := machine.Request{Kind: gateway.RequestSubmit, Body: machine.MustJSON(job.spec)}
	from, address := s.callerIn(job.gatewayIndex), s.gatewayFor(job.gatewayIndex)
	s.world.CallGateway(from, address, request, clientTimeout, func(reply gateway.Reply, ok bool) {
		switch {
		case !ok:
			retry(silenceRetryDelay)
		case reply.StatusCode == http.StatusOK:
			job.acceptedAt = s.world.Now
			s.jobAccepted()
			s.world.After(firstStatusDelay, func() { s.poll(job) })
		case isRetryStatus(reply.StatusCode):
			s.countCheck(checkRejectedWithoutTime)
			if reply.RetryAfter <= 0 {
				s.violate(checkRejectedWithoutTime, "status %d for %s does not say when to retry",
					reply.StatusCode, job.spec.ID)
			}
			retry(max(reply.RetryAfter, minRetryDelay))
		default:
			if outcome, ok := reply.Body.(gateway.Outcome); ok {
				job.rejection = outcome.Code
			}
		}
	})
}

// isRetryStatus reports whether a status code guarantees that the request had no effect, so
// that the client may send it again.
func isRetryStatus(statusCode int) bool {
	return statusCode == http.StatusServiceUnavailable || statusCode == http.StatusTooManyRequests
}

// poll requests the status of a job until it has ended.
func (s *FleetScenario) poll(job *clientJob) {
	if s.world.Now >= s.end || job.endedAt > 0 {
		return
	}
	job.gatewayIndex++
	request := machine.Request{Kind: gateway.RequestStatus, Name: job.spec.ID, Wait: time.Second}
	from, address := s.callerIn(job.gatewayIndex), s.gatewayFor(job.gatewayIndex)
	s.world.CallGateway(from, address, request, clientTimeout, func(reply gateway.Reply, ok bool) {
		delay := statusRetryDelay
		if ok {
			job.statusReads++
		}
		if ok && reply.StatusCode == http.StatusNotFound && job.unknownAt == 0 {
			job.unknownAt = s.world.Now
		}
		if view, isView := reply.Body.(gateway.JobView); ok && isView {
			job.noteView(view, s.world.Now)
		} else if ok && reply.RetryAfter > 0 {
			delay = reply.RetryAfter
		}
		s.world.After(delay, func() { s.poll(job) })
	})
}

// noteView records the state in which the client sees its job. If the job has ended, it also
// records a task that hasn't, if there is one.
func (c *clientJob) noteView(view gateway.JobView, now time.Duration) {
	c.state = view.State
	if !isEnded(view.State) {
		return
	}
	c.endedAt = now
	for _, task := range view.Tasks {
		if !isEnded(task.State) {
			c.openTask = task.ID
		}
	}
}

// jobAccepted is called when a client learns that its job is accepted. If wipeOnAccept is
// set, the primary loses its disk at that moment, and restarts later with an empty one.
func (s *FleetScenario) jobAccepted() {
	primary := s.primary()
	if !s.wipeOnAccept || primary == nil {
		return
	}
	s.wipeOnAccept = false
	s.world.Wipe(primary)
	s.world.After(s.world.randomMillis(1, 4000), func() { s.world.Boot(primary) })
	s.expectDegradedByDaemons(14 * time.Second)
}
