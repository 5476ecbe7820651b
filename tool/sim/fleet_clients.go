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
	// statusRetryDelay is after how long a job is asked after again.
	statusRetryDelay = 200 * time.Millisecond
	// probePrefix begins the IDs of probes.
	probePrefix = "probe-"
)

// newJob makes a job of a kind of traffic.
func (s *FleetScenario) newJob(traffic deploy.Traffic, id string) *clientJob {
	job := &clientJob{
		spec: traffic.NewJob(s.options.Deployment.Service, id), gatewayIndex: s.world.rng.IntN(64),
	}
	s.jobs = append(s.jobs, job)
	return job
}

// scheduleTraffic draws open arrivals of each kind of traffic until the end of Duration.
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

// scheduleJob schedules the i-th job of a kind of traffic. Each tenth needs a label, each
// third of many tasks is a gang, some are cancelled.
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

// callerIn is a client in the zone with a number.
func (s *FleetScenario) callerIn(i int) client { return client{callerName, s.zoneOf(i)} }

func (s *FleetScenario) gatewayFor(i int) string { return s.gateways[i%len(s.gateways)] }

// submit submits a job until there is a clear reply.
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

// isRetryStatus reports whether a status promises that nothing came of the request.
func isRetryStatus(statusCode int) bool {
	return statusCode == http.StatusServiceUnavailable || statusCode == http.StatusTooManyRequests
}

// poll asks after a job until it is over.
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

// noteView notes the state in which a job shows.
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

// jobAccepted is called for each accepted job: if it is so arranged, the primary loses
// its disk in that very moment, and comes back empty.
func (s *FleetScenario) jobAccepted() {
	primary := s.primary()
	if !s.wipeOnAccept || primary == nil {
		return
	}
	s.wipeOnAccept = false
	s.world.Wipe(primary)
	s.world.After(s.world.millisFrom(1, 4000), func() { s.world.Boot(primary) })
	s.degradeDaemons(14 * time.Second)
}
