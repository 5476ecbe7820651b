package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Weights of the users' measure, and the share unserved at which its logarithm is full.
const (
	weightWhole   = 0.4
	weightServed  = 0.35
	weightWindows = 0.15
	weightClass   = 0.1
	bestUnserved  = 0.001
	worstWindows  = 2
	lateFactor    = 3
)

// Report is what came of a day.
type Report struct {
	// Worth is the users' measure of the day: Whole is what was earned of what was owed,
	// Nines the share unserved on a logarithmic scale, Windows the mean of the two worst
	// windows, WorstClass the least that a class has earned.
	Worth, Whole, Nines, Windows, WorstClass float64
	// Owed is the worth that all jobs and windows were owed, Unserved their part not served.
	Owed, Unserved float64
	// Late and Lost count the jobs that came after their aim, and those that never came.
	Jobs, Late, Lost int
	Runs, FarRuns    int
	// Wasted are the core-seconds of runs that came to nothing.
	Wasted   float64
	Outcomes map[string]int
	// Causes is the worth lost by cause, by class and cause together in ClassCauses.
	Causes      map[string]float64
	ClassCauses map[string]map[string]float64
	// UnservedCauses are the jobs and windows not served at all, by class and cause.
	UnservedCauses map[string]float64
	// Timeline is the part earned in each window.
	Timeline []float64
	// Bound is the whole that a clairvoyant scheduler could have earned at most.
	Bound float64
	// FirstStartMs are the 50th and 95th percentile of the wait for the first start.
	FirstStartP50, FirstStartP95 time.Duration
	firstStarts                  []time.Duration
}

// earning is what one job, or one window of a long-running job, was owed and has earned.
type earning struct {
	at           time.Duration
	class        string
	owed, earned float64
	served       float64 // 1 is served
}

// observations are what the workers of a day saw.
type observations struct {
	runs, far int
	wasted    float64
	outcomes  map[string]int
}

// add takes the end of a run.
func (o *observations) add(r *run, took time.Duration) {
	if o.outcomes == nil {
		o.outcomes = map[string]int{}
	}
	o.runs++
	o.outcomes[r.outcome]++
	if r.far {
		o.far++
	}
	if r.outcome != outcomeSucceeded && !r.job.plan.class.LongRunning {
		kept := time.Duration(r.saved * float64(r.total) * r.factor)
		cores := float64(r.job.plan.spec.Steps[r.step].Resources.Slots) / millisPerSecond
		o.wasted += max(0, took-kept).Seconds() * cores
	}
}

// report sums a day up.
func (s *simulation) report(day *Day) Report {
	report := Report{
		Causes: map[string]float64{}, ClassCauses: map[string]map[string]float64{}, Outcomes: s.observed.outcomes,
		UnservedCauses: map[string]float64{},
		Runs:           s.observed.runs, FarRuns: s.observed.far, Wasted: s.observed.wasted,
	}
	var earnings []earning
	bound, boundOwed := 0.0, 0.0
	for _, job := range s.order {
		if job.plan.class.LongRunning {
			earnings = append(earnings, job.windowEarnings(&report)...)
			continue
		}
		if job.cancelled || !job.owed(s.queue.Now) {
			continue
		}
		earnings = append(earnings, job.earning(&report))
		boundOwed += job.plan.worth
		bound += job.plan.worth * s.boundOf(job)
	}
	report.sum(earnings, day)
	if boundOwed > 0 {
		report.Bound = bound / boundOwed
	}
	slices.Sort(report.firstStarts)
	if n := len(report.firstStarts); n > 0 {
		report.FirstStartP50, report.FirstStartP95 = report.firstStarts[n/2], report.firstStarts[n*95/100]
	}
	return report
}

// owed reports whether a job had the time to be served before the day was over.
func (j *playedJob) owed(end time.Duration) bool {
	return j.endedAt > 0 || j.plan.at+lateFactor*j.plan.aim() <= end
}

// earning judges one job, and adds what it has lost to the causes.
func (j *playedJob) earning(report *Report) earning {
	plan := j.plan
	result := earning{at: plan.at, class: plan.class.Name, owed: plan.worth}
	took, aim := j.endedAt-plan.at, plan.aim()
	report.Jobs++
	if j.firstStart > 0 {
		report.firstStarts = append(report.firstStarts, j.firstStart-plan.at)
	}
	late := plan.class.LateWorth / plan.class.Worth
	switch {
	case j.endedAt == 0 || !j.succeeded || took > lateFactor*aim:
		report.Lost++
	case took > aim:
		report.Late++
		result.served, result.earned = 1, plan.worth*late
	default:
		result.served, result.earned = 1, plan.worth
	}
	if result.earned < result.owed {
		j.blame(report, result.owed-result.earned, result.served == 0)
	}
	return result
}

// blame splits the worth that a job has lost among what held up the last task of each step.
func (j *playedJob) blame(report *Report, lost float64, unserved bool) {
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

// lastTask is the task of a step that ended last.
func (j *playedJob) lastTask(step int) *playedTask {
	var last *playedTask
	for n := range j.plan.spec.Steps[step].Count {
		if task := j.tasks[fmt.Sprintf("0.%d.%d", step, n)]; task != nil && (last == nil || task.endedAt > last.endedAt) {
			last = task
		}
	}
	return last
}

// windowEarnings are those of a long-running job.
func (j *playedJob) windowEarnings(report *Report) []earning {
	var earnings []earning
	for _, window := range j.windows {
		if window.from >= trafficStart+dayLength {
			break
		}
		worth := j.plan.worth
		earnings = append(earnings, earning{
			at: window.from, class: j.plan.class.Name, owed: worth, earned: worth * window.share, served: window.share,
		})
		report.Causes[causeNotAtWork] += worth * (1 - window.share)
		report.UnservedCauses[j.plan.class.Name+": not at work"] += 1 - window.share
	}
	return earnings
}

// sum works the measure out from all earnings.
func (r *Report) sum(earnings []earning, day *Day) {
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
	r.Whole, r.Owed = total.part(), total.owed
	r.Unserved = 1 - total.served/float64(max(1, len(earnings)))
	r.Nines = math.Min(1, math.Log(math.Max(r.Unserved, bestUnserved))/math.Log(bestUnserved))
	r.WorstClass = 1
	for _, class := range classes {
		r.WorstClass = math.Min(r.WorstClass, class.part())
	}
	for i := range windows {
		r.Timeline = append(r.Timeline, windows[i].part())
	}
	worst := slices.Clone(r.Timeline)
	slices.Sort(worst)
	for _, part := range worst[:worstWindows] {
		r.Windows += part / worstWindows
	}
	r.Worth = weightWhole*r.Whole + weightServed*r.Nines + weightWindows*r.Windows + weightClass*r.WorstClass
}

func (e *earning) part() float64 {
	if e.owed == 0 {
		return 1
	}
	return e.earned / e.owed
}

// boundOf is what a job could have earned at most, if all of its tasks had started at once on
// sound workers near their data whenever there was a primary.
func (s *simulation) boundOf(job *playedJob) float64 {
	plan := job.plan
	at := s.servedAt(plan.at)
	for _, step := range plan.steps {
		at = s.servedAt(at + slices.Max(step.runTimes))
	}
	switch took, aim := at-plan.at, plan.aim(); {
	case took <= aim:
		return 1
	case took <= lateFactor*aim:
		return plan.class.LateWorth / plan.class.Worth
	}
	return 0
}

// servedAt is the first moment from a time on at which there was a primary.
func (s *simulation) servedAt(at time.Duration) time.Duration {
	for range s.outages {
		for _, outage := range s.outages {
			if at >= outage.from && at < outage.to {
				at = outage.to
			}
		}
	}
	return at
}
