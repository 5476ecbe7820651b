package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Weights of the components of Report.Worth.
const (
	weightEarned  = 0.4
	weightServed  = 0.35
	weightWindows = 0.15
	weightClass   = 0.1
	// minUnserved is the unserved share at and below which ServedScore is 1.
	minUnserved      = 0.001
	worstWindowCount = 2
	// lateFactor is the multiple of its latency target after which a job counts as lost.
	lateFactor = 3
)

// Report holds the results of a simulated day.
type Report struct {
	// Worth is the overall score of the day from the users' view, a weighted sum of the other
	// four: EarnedShare is the earned share of the worth owed, ServedScore the unserved share
	// on a logarithmic scale, WorstWindows the mean earned share of the two worst windows, and
	// WorstClass the lowest earned share of any class. All range from 0 to 1.
	Worth, EarnedShare, ServedScore, WorstWindows, WorstClass float64
	// Owed is the total worth of all jobs and windows, Unserved the share of them not served.
	Owed, Unserved float64
	// Late counts the jobs that missed their latency target, Lost those that failed, did not
	// finish, or took longer than lateFactor times the target.
	Jobs, Late, Lost int
	Runs, FarRuns    int
	// Wasted is the core-seconds spent in runs that did not succeed, without what their
	// checkpoints saved.
	Wasted   float64
	Outcomes map[string]int
	// Causes is the worth lost by cause, ClassCauses by class and cause.
	Causes      map[string]float64
	ClassCauses map[string]map[string]float64
	// UnservedCauses counts the jobs and windows not served, by class and cause; a job with
	// several causes counts in part for each.
	UnservedCauses map[string]float64
	// Timeline is the earned share of each window.
	Timeline []float64
	// Bound is the upper bound of the earned share, that of a clairvoyant scheduler. It covers
	// the jobs that are not long-running.
	Bound float64
	// FirstStartP50 and FirstStartP95 are percentiles of the time from the submission of a job
	// to the start of its first task.
	FirstStartP50, FirstStartP95 time.Duration
	firstStarts                  []time.Duration
}

// earning is the worth owed and earned for one job, or for one window of a long-running job.
type earning struct {
	at           time.Duration
	class        string
	owed, earned float64
	served       float64 // from 0, not served, to 1, fully served
}

// observations aggregates the runs of all workers.
type observations struct {
	runs, remoteRuns int
	wasted           float64
	outcomes         map[string]int
}

// add records a run that has ended.
func (o *observations) add(r *run, took time.Duration) {
	if o.outcomes == nil {
		o.outcomes = map[string]int{}
	}
	o.runs++
	o.outcomes[r.outcome]++
	if r.remote {
		o.remoteRuns++
	}
	if r.outcome != outcomeSucceeded && !r.job.plan.class.LongRunning {
		kept := time.Duration(r.savedShare * float64(r.runTime) * r.factor)
		cores := float64(r.job.plan.spec.Steps[r.step].Resources.Slots) / millisPerSecond
		o.wasted += max(0, took-kept).Seconds() * cores
	}
}

// report computes the report of the simulated day.
func (s *simulation) report(day *Day) Report {
	report := Report{
		Causes: map[string]float64{}, ClassCauses: map[string]map[string]float64{}, Outcomes: s.observed.outcomes,
		UnservedCauses: map[string]float64{},
		Runs:           s.observed.runs, FarRuns: s.observed.remoteRuns, Wasted: s.observed.wasted,
	}
	var earnings []earning
	bound, boundOwed := 0.0, 0.0
	for _, job := range s.jobsInOrder {
		if job.plan.class.LongRunning {
			earnings = append(earnings, job.evaluateWindows(&report)...)
			continue
		}
		if job.cancelled || !job.isOwed(s.queue.Now) {
			continue
		}
		earnings = append(earnings, job.evaluate(&report))
		boundOwed += job.plan.worth
		bound += job.plan.worth * s.upperBound(job)
	}
	report.computeScores(earnings, day)
	if boundOwed > 0 {
		report.Bound = bound / boundOwed
	}
	slices.Sort(report.firstStarts)
	if n := len(report.firstStarts); n > 0 {
		report.FirstStartP50, report.FirstStartP95 = report.firstStarts[n/2], report.firstStarts[n*95/100]
	}
	return report
}

// isOwed reports whether a job counts: it has ended, or lateFactor times its latency target has
// passed by the end of the simulation.
func (j *simulatedJob) isOwed(end time.Duration) bool {
	return j.endedAt > 0 || j.plan.at+lateFactor*j.plan.latencyTarget() <= end
}

// evaluate computes the earning of a job, and adds it and the causes of lost worth to the
// report.
func (j *simulatedJob) evaluate(report *Report) earning {
	plan := j.plan
	result := earning{at: plan.at, class: plan.class.Name, owed: plan.worth}
	took, target := j.endedAt-plan.at, plan.latencyTarget()
	report.Jobs++
	if j.firstStart > 0 {
		report.firstStarts = append(report.firstStarts, j.firstStart-plan.at)
	}
	late := plan.class.LateWorth / plan.class.Worth
	switch {
	case j.endedAt == 0 || !j.succeeded || took > lateFactor*target:
		report.Lost++
	case took > target:
		report.Late++
		result.served, result.earned = 1, plan.worth*late
	default:
		result.served, result.earned = 1, plan.worth
	}
	if result.earned < result.owed {
		j.attributeLoss(report, result.owed-result.earned, result.served == 0)
	}
	return result
}

// attributeLoss splits the lost worth of a job among the causes of its delays, in proportion
// to their durations: those of the last task of each step, and causeNoPrimary for the time
// until the job was accepted.
func (j *simulatedJob) attributeLoss(report *Report, lost float64, unserved bool) {
	total := time.Duration(0)
	causes := map[string]time.Duration{causeNoPrimary: 0}
	if j.acceptedAt > 0 {
		causes[causeNoPrimary] = j.acceptedAt - j.plan.at
	}
	for step := range j.plan.steps {
		if last := j.lastTask(step); last != nil {
			for cause, took := range last.causes {
				causes[cause] += took
			}
		}
	}
	for _, took := range causes {
		total += took
	}
	if total == 0 {
		causes[causeNoPrimary], total = 1, 1
	}
	class := report.ClassCauses[j.plan.class.Name]
	if class == nil {
		class = map[string]float64{}
		report.ClassCauses[j.plan.class.Name] = class
	}
	for cause, took := range causes {
		part := lost * float64(took) / float64(total)
		if unserved {
			report.UnservedCauses[j.plan.class.Name+": "+cause] += float64(took) / float64(total)
		}
		report.Causes[cause] += part
		class[cause] += part
	}
}

// lastTask returns the task of a step that ended last, nil if none was started.
func (j *simulatedJob) lastTask(step int) *simulatedTask {
	var last *simulatedTask
	for n := range j.plan.spec.Steps[step].Count {
		if task := j.tasks[fmt.Sprintf("0.%d.%d", step, n)]; task != nil && (last == nil || task.endedAt > last.endedAt) {
			last = task
		}
	}
	return last
}

// evaluateWindows computes the earnings of a long-running job's windows.
func (j *simulatedJob) evaluateWindows(report *Report) []earning {
	var earnings []earning
	for _, window := range j.windows {
		if window.from >= trafficStart+dayLength {
			break
		}
		worth := j.plan.worth
		earnings = append(earnings, earning{
			at: window.from, class: j.plan.class.Name, owed: worth, earned: worth * window.share, served: window.share,
		})
		report.Causes[causeNotRunning] += worth * (1 - window.share)
		report.UnservedCauses[j.plan.class.Name+": not at work"] += 1 - window.share
	}
	return earnings
}

// computeScores computes the worth and its components from all earnings.
func (r *Report) computeScores(earnings []earning, day *Day) {
	windows := make([]earning, int(day.Length/windowLength))
	classes := map[string]*earning{}
	var total earning
	for i := range earnings {
		e := &earnings[i]
		class := classes[e.class]
		if class == nil {
			class = &earning{}
			classes[e.class] = class
		}
		index := min(len(windows)-1, int((e.at-trafficStart)/windowLength))
		for _, sum := range []*earning{&total, class, &windows[index]} {
			sum.owed, sum.earned = sum.owed+e.owed, sum.earned+e.earned
		}
		total.served += e.served
	}
	r.EarnedShare, r.Owed = total.share(), total.owed
	r.Unserved = 1 - total.served/float64(max(1, len(earnings)))
	r.ServedScore = math.Min(1, math.Log(math.Max(r.Unserved, minUnserved))/math.Log(minUnserved))
	r.WorstClass = 1
	for _, class := range classes {
		r.WorstClass = math.Min(r.WorstClass, class.share())
	}
	for i := range windows {
		r.Timeline = append(r.Timeline, windows[i].share())
	}
	worst := slices.Clone(r.Timeline)
	slices.Sort(worst)
	for _, part := range worst[:worstWindowCount] {
		r.WorstWindows += part / worstWindowCount
	}
	r.Worth = weightEarned*r.EarnedShare + weightServed*r.ServedScore +
		weightWindows*r.WorstWindows + weightClass*r.WorstClass
}

func (e *earning) share() float64 {
	if e.owed == 0 {
		return 1
	}
	return e.earned / e.owed
}

// upperBound returns the largest share of its worth that a job could have earned: with all tasks
// of a step started immediately, on healthy workers near their data, whenever there was a
// primary.
func (s *simulation) upperBound(job *simulatedJob) float64 {
	plan := job.plan
	at := s.nextServedTime(plan.at)
	for _, step := range plan.steps {
		at = s.nextServedTime(at + slices.Max(step.runTimes))
	}
	switch took, target := at-plan.at, plan.latencyTarget(); {
	case took <= target:
		return 1
	case took <= lateFactor*target:
		return plan.class.LateWorth / plan.class.Worth
	}
	return 0
}

// nextServedTime returns the earliest time, at or after the given one, with a primary.
func (s *simulation) nextServedTime(at time.Duration) time.Duration {
	for range s.outages {
		for _, outage := range s.outages {
			if at >= outage.from && at < outage.to {
				at = outage.to
			}
		}
	}
	return at
}
