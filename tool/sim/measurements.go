package sim

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
)

// Measurements are measurements in simulated time, by name. Most play pairs of runs that
// have the same seed and differ in one setting. They print figures, and check nothing.
var Measurements = map[string]func(out io.Writer, deployment deploy.Deployment, seeds int){
	"quick-beside-batch": measureQuickBesideBatch,
	"inboxes":            measureQueuePlacement,
	"serve-again":        measureFailover,
	"lost-worker":        measureLostWorkers,
}

// summarize sorts values, and returns a text with their minimum, median and maximum.
func summarize(values []float64) string {
	sort.Float64s(values)
	if len(values) == 0 {
		return "none"
	}
	return fmt.Sprintf("min %.1f median %.1f max %.1f", values[0], values[len(values)/2], values[len(values)-1])
}

// percentile sorts values, and returns the one at a rank between 0 and 1, NaN if there are
// none.
func percentile(values []float64, rank float64) float64 {
	sort.Float64s(values)
	if len(values) == 0 {
		return math.NaN()
	}
	return values[min(len(values)-1, int(rank*float64(len(values))))]
}

// measureQuickBesideBatch measures the start latency of quick jobs. It plays each seed
// without and with a burst of long jobs that would fill all slots for most of the run.
func measureQuickBesideBatch(out io.Writer, deployment deploy.Deployment, seeds int) {
	long := deployment.Traffic[longTraffic]
	long.StepWidths, long.Cores = []int{1}, 1
	var runs []Options
	for seed := range uint64(seeds) {
		for _, wave := range []int{0, 160} {
			options := Options{Seed: seed + 1, Deployment: deployment, Duration: 40 * time.Second}
			options.Prepare = func(s *FleetScenario) {
				for i := range wave {
					s.world.At(10*time.Second, func() { s.submit(s.newJob(long, fmt.Sprintf("wave-%d", i))) })
				}
			}
			runs = append(runs, options)
		}
	}
	results := PlayFleets(runs)
	for i := 0; i < len(results); i += 2 {
		without, with := results[i], results[i+1]
		fmt.Fprintf(out, "seed=%d quickWaitMs without %s with %s\n",
			without.Seed, quickPercentiles(without), quickPercentiles(with))
	}
}

func quickPercentiles(r Result) string {
	return fmt.Sprintf("p50=%.1f p99=%.1f max=%.1f", percentile(r.QuickStartMillis, .5),
		percentile(r.QuickStartMillis, .99), percentile(r.QuickStartMillis, 1))
}

// measureQueuePlacement compares one queue per worker, with stealing, to one central queue.
// 60 jobs with two steps of 4 tasks each are submitted at once, and one worker is slow.
// Fetching an input that another worker holds takes no time, or 50 ms in addition to 400 ms
// of work.
func measureQueuePlacement(out io.Writer, deployment deploy.Deployment, seeds int) {
	for _, fetchMillis := range []int64{0, 50} {
		fmt.Fprintf(out, "fetchMs=%d\n", fetchMillis)
		measureQueuesWithFetch(out, deployment, seeds, fetchMillis)
	}
}

// grantRejectedEvent is the name of the event that a scheduler logs when a grant is rejected.
const grantRejectedEvent = "grant_rejected"

// queuesSubmitAt is the time at which measureQueuePlacement submits its jobs.
const queuesSubmitAt = 8 * time.Second

func measureQueuesWithFetch(out io.Writer, deployment deploy.Deployment, seeds int, fetchMillis int64) {
	var runs []Options
	for seed := range uint64(seeds) {
		for _, central := range []bool{false, true} {
			runs = append(runs, Options{
				Seed: seed + 1, Deployment: deployment, Duration: 20 * time.Second, CentralQueue: central,
				NoTraffic: true, Prepare: func(s *FleetScenario) { s.submitTwoStepJobs(fetchMillis) },
			})
		}
	}
	var makespans, local, rejected [2][]float64
	for i, result := range PlayFleets(runs) {
		kind := i % 2
		makespans[kind] = append(makespans[kind], (result.LastEnd-queuesSubmitAt).Seconds()*1000)
		local[kind] = append(local[kind], 100*result.Locality)
		rejected[kind] = append(rejected[kind], float64(result.LogCounts[grantRejectedEvent]))
	}
	for kind, name := range []string{"queues with stealing", "one central queue"} {
		fmt.Fprintf(out, "%s: makespanMs %s; inputs held %% %s; grants rejected %s\n",
			name, summarize(makespans[kind]), summarize(local[kind]), summarize(rejected[kind]))
	}
}

// submitTwoStepJobs schedules the jobs of measureQueuePlacement, and makes one worker slow a
// second before.
func (s *FleetScenario) submitTwoStepJobs(fetchMillis int64) {
	traffic := s.options.Deployment.Traffic[batchTraffic]
	traffic.StepWidths, traffic.RunMillis, traffic.Cores = []int{4, 4}, 400, 1
	payload := fmt.Appendf(nil, `{"runMs":400,"fetchMs":%d}`, fetchMillis)
	s.world.At(queuesSubmitAt-time.Second, func() {
		s.workerAt(0).setFaults(s.world.Now, fakeworker.Faults{SlowFactor: 4})
	})
	for i := range 60 {
		s.world.At(queuesSubmitAt, func() {
			job := s.newJob(traffic, fmt.Sprintf("two-%d", i))
			for t := range job.spec.Tasks {
				job.spec.Tasks[t].Payload = payload
			}
			s.submit(job)
		})
	}
}

// failoverProbe records a run of measureFailover: the time at which the primary was killed,
// and the jobs that were submitted at a steady rate.
type failoverProbe struct {
	killedAt time.Duration
	jobs     []*clientJob
}

// prepare schedules the kill of the primary, and jobs at a steady rate.
func (p *failoverProbe) prepare(s *FleetScenario, killAt time.Duration) {
	s.world.At(killAt, func() {
		p.killedAt = s.world.Now
		s.expectDegradedByDaemons(10 * time.Second)
		s.world.Kill(s.primary())
	})
	for i := range 200 {
		s.world.At(14*time.Second+time.Duration(i)*50*time.Millisecond, func() {
			job := s.newJob(s.options.Deployment.Traffic[quickTraffic], fmt.Sprintf("%s%d", probePrefix, i))
			p.jobs = append(p.jobs, job)
			s.submit(job)
		})
	}
}

// measure considers the jobs that were submitted after the kill, and returns the time in ms
// from the kill until the first of them was accepted, and until the first was started.
func (p *failoverProbe) measure(result Result) (accepted, started float64) {
	firstAccepted, firstStarted := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, job := range p.jobs {
		if job.sentAt <= p.killedAt || job.acceptedAt == 0 {
			continue
		}
		firstAccepted = min(firstAccepted, job.acceptedAt)
		if at, ok := result.FirstStarts[job.spec.ID]; ok {
			firstStarted = min(firstStarted, at)
		}
	}
	millisSinceKill := func(at time.Duration) float64 { return float64((at - p.killedAt) / time.Millisecond) }
	return millisSinceKill(firstAccepted), millisSinceKill(firstStarted)
}

// measureFailover kills the primary, and measures the time until the first job that is
// submitted afterwards is accepted, and until the first is started.
func measureFailover(out io.Writer, deployment deploy.Deployment, seeds int) {
	runs, probes := make([]Options, seeds), make([]failoverProbe, seeds)
	for i := range runs {
		killAt := 14*time.Second + time.Duration(i)*37*time.Millisecond
		runs[i] = Options{
			Seed: uint64(i) + 1, Deployment: deployment, Duration: 25 * time.Second,
			Prepare: func(s *FleetScenario) { probes[i].prepare(s, killAt) },
		}
	}
	var accepted, started []float64
	for i, result := range PlayFleets(runs) {
		acceptedMillis, startedMillis := probes[i].measure(result)
		accepted, started = append(accepted, acceptedMillis), append(started, startedMillis)
	}
	fmt.Fprintf(out, "after the primary's death: first accepted ms %s; first started ms %s\n",
		summarize(accepted), summarize(started))
}

// measureLostWorkers crashes three workers permanently, and measures, by class, the time
// from the loss of each run to the next start of its task. It compares two policies: all classes
// restart lost attempts when the lease expires, or the configuration decides by class. An
// operator confirms the workers dead 20 s after the crash.
func measureLostWorkers(out io.Writer, deployment deploy.Deployment, seeds int) {
	var runs []Options
	for seed := range uint64(seeds) {
		for _, byLease := range []bool{true, false} {
			runs = append(runs, Options{
				Seed: seed + 1, Deployment: deployment, Duration: 40 * time.Second,
				Prepare: func(s *FleetScenario) { s.loseThreeWorkers(byLease) },
			})
		}
	}
	delays := [2]map[string][]float64{{}, {}}
	for i, result := range PlayFleets(runs) {
		for class, millis := range result.RestartMillis {
			delays[i%2][class] = append(delays[i%2][class], millis...)
		}
	}
	for _, traffic := range deployment.Traffic {
		byLease, byConfig := delays[0][traffic.Class], delays[1][traffic.Class]
		fmt.Fprintf(out, "class=%s restartMs lease alone: %s (%d lost); by the configuration: %s (%d lost)\n",
			traffic.Class, summarize(byLease), len(byLease), summarize(byConfig), len(byConfig))
	}
}

// loseThreeWorkers schedules the crash of three workers, which an operator confirms dead 20 s
// later. byLease configures all classes to restart lost attempts when their lease expires.
func (s *FleetScenario) loseThreeWorkers(byLease bool) {
	if byLease {
		s.world.At(5*time.Second, func() {
			var classes []string
			for _, traffic := range s.options.Deployment.Traffic {
				classes = append(classes, fmt.Sprintf(`%q:{"silence":"restart","runLimit":"6s"}`, traffic.Class))
			}
			s.changeConfig(fmt.Sprintf(`{"services":{%q:{"classes":{%s}}}}`,
				s.options.Deployment.Service, strings.Join(classes, ",")))
		})
	}
	for i := range 3 {
		s.world.At(15*time.Second, func() {
			worker := s.workerAt(i)
			s.crashWorker(worker)
			s.world.After(20*time.Second, func() { s.confirmDead(worker) })
		})
	}
}
