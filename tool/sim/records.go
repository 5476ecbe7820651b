package sim

import (
	"math"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// Records is the history of a real fleet, as workers, clients and operators recorded it. All
// times are by the same clock.
type Records struct {
	Runs           []fakeworker.Run
	Workers        []fakeworker.Config
	Jobs           []JobRecord
	DrainedZones   []ZoneDrain
	LeavingWorkers []WorkerDrain
}

// JobRecord is a job as its client saw it. CancelledAt and EndedAt are the times at which
// the client received the replies that say so, zero if it received none.
type JobRecord struct {
	Spec                 state.JobSpec
	CancelledAt, EndedAt time.Duration
	State                string
}

// ZoneDrain is the interval from the request to drain a zone to the request to refill it.
type ZoneDrain struct {
	Zone     string
	From, To time.Duration
}

// WorkerDrain is the interval in which a worker drains. It begins when the worker or an
// operator announces that the worker leaves.
type WorkerDrain struct {
	Worker   string
	From, To time.Duration
}

// CheckRecords runs the checks of the oracle on the history of a real fleet. It returns the
// violations, and how often each check had something to judge. The end of a run counts from
// when it happened, not from its acknowledgement.
func CheckRecords(records Records) ([]Violation, map[string]int) {
	o := newOracle()
	for _, config := range records.Workers {
		o.workers[config.ID] = newSimWorker(config, fakeworker.New(config))
	}
	for _, record := range records.Jobs {
		job := &clientJob{
			spec: record.Spec, state: record.State, endedAt: record.EndedAt, cancelledAt: record.CancelledAt,
		}
		if job.endedAt == 0 {
			job.endedAt = math.MaxInt64
		}
		o.jobs = append(o.jobs, job)
	}
	for _, r := range records.Runs {
		o.runs = append(o.runs, run{Run: r, startedAt: r.Start, endedAt: r.End})
		o.end = max(o.end, r.Start+time.Millisecond, r.End)
	}
	for _, drain := range records.DrainedZones {
		o.drainedZones = append(o.drainedZones, &zoneDrain{span{drain.From, drain.To}, drain.Zone})
	}
	for _, drain := range records.LeavingWorkers {
		worker := o.workers[drain.Worker]
		worker.leaving = append(worker.leaving, span{drain.From, drain.To})
	}
	o.checkHistory()
	o.checkDraining()
	return o.violations, o.judged
}
