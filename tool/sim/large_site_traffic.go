package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// trafficStream is a kind of job that is submitted at a steady rate.
type trafficStream struct {
	class     string
	perSecond float64
	tasks     int
	runMillis int64
}

// largeSiteTraffic is the traffic of the large site.
var largeSiteTraffic = []trafficStream{
	{classLookup, 50, 3, 640},
	{classBatch, 4, 25, 1800},
	{classLong, 1, 20, 6000},
}

// payloadTextLength is the length of the padding in each job's payload. It gives snapshots
// the size that was measured: 6 MB for 8,000 records.
const payloadTextLength = 3300

// paddedPayload is a job's payload with padding in Text.
type paddedPayload struct {
	RunMillis []int64 `json:"runMs"`
	Text      string  `json:"text"`
}

func padPayload(runMillis int64, length int) json.RawMessage {
	return machine.MustJSON(paddedPayload{RunMillis: []int64{runMillis}, Text: strings.Repeat("x", length)})
}

// scheduleStreams schedules the jobs of streams from start to end, with the rates multiplied
// by scale. The jobs of a stream are spaced evenly, with a jitter of up to one interval.
func (s *ControlScenario) scheduleStreams(streams []trafficStream, scale float64, start, end time.Duration) {
	for _, stream := range streams {
		interval := time.Duration(float64(time.Second) / (stream.perSecond * scale))
		for i, at := 0, start; at < end; i, at = i+1, at+interval {
			jitter := time.Duration(s.world.rng.Int64N(int64(interval)))
			s.world.At(at+jitter, func() { s.submitStreamJob(stream, i) })
		}
	}
}

// submitStreamJob submits the job of a stream with a number.
func (s *ControlScenario) submitStreamJob(stream trafficStream, number int) {
	id := fmt.Sprintf("%s-%d", stream.class, number)
	steps := []state.StepSpec{{Count: stream.tasks}}
	job := s.newJob(stream.class, id, steps, []int64{stream.runMillis}, state.Repeat{})
	job.request.Payload = padPayload(stream.runMillis, payloadTextLength)
	s.submit(job)
}

// Ended jobs that are still kept in the state. They are submitted with a start time in the
// future and cancelled soon after, which costs little.
const (
	finishedJobsStart      = 5 * time.Second
	finishedJobsInterval   = 20 * time.Millisecond
	finishedJobCount       = 200
	finishedJobTasks       = 30
	finishedJobTextLength  = 15_000
	finishedJobCancelDelay = 200 * time.Millisecond // after its submission
)

// scheduleFinishedJobs schedules jobs that fill the state with ended jobs.
func (s *ControlScenario) scheduleFinishedJobs() {
	for i := range finishedJobCount {
		s.world.At(finishedJobsStart+time.Duration(i)*finishedJobsInterval, func() {
			later := state.Repeat{
				Count: 1, Every: millis(1000),
				FirstAt: s.world.wallTime().Add(time.Hour).Truncate(time.Second),
			}
			steps := []state.StepSpec{{Count: finishedJobTasks}}
			job := s.newJob(classBatch, fmt.Sprintf("earlier-%d", i), steps, []int64{100}, later)
			job.request.Payload = padPayload(100, finishedJobTextLength)
			s.submit(job)
			s.world.After(finishedJobCancelDelay, func() { s.cancel(job) })
		})
	}
}
