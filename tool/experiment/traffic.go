package experiment

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// Independent random streams of one seed: drawing from one does not affect the others.
const (
	streamTraffic = iota + 1
	streamFaults
	streamWorkers
	streamDeployment
)

// plannedJob is a job generated before the simulation: the spec that its client submits, and the
// run times known only to the modelled workers.
type plannedJob struct {
	class *Class
	at    time.Duration
	spec  state.JobSpec
	steps []plannedStep
	// worth is what the job earns if it finishes within its latency target.
	worth float64
	// cancelAt is when its client cancels it, 0 if never.
	cancelAt time.Duration
}

// plannedStep is the actual behaviour of a step, unknown to the scheduler: the run time of each
// task near its data, and the index of the task whose first attempt fails.
type plannedStep struct {
	runTimes []time.Duration
	failOnce int // -1 if none
}

// criticalPath returns the duration of the job if no task ever waits.
func (j *plannedJob) criticalPath() time.Duration {
	var chain time.Duration
	for _, step := range j.steps {
		longest := slices.Max(step.runTimes)
		if step.failOnce >= 0 {
			longest = max(longest, 2*step.runTimes[step.failOnce])
		}
		chain += longest
	}
	return chain
}

// latencyTarget returns how long the job may take without being late.
func (j *plannedJob) latencyTarget() time.Duration {
	return time.Duration(j.class.CriticalPathFactor*float64(j.criticalPath())) + millis(j.class.TargetMs)
}

// trafficGenerator generates the jobs of a day.
type trafficGenerator struct {
	deployment    *Deployment
	rng           *rand.Rand
	racks         []string
	hotRackFaults []Fault
	jobs          []*plannedJob
}

// generateTraffic generates all jobs of a day, in order of arrival.
func generateTraffic(deployment *Deployment, day *Day, racks []string) []*plannedJob {
	draw := trafficGenerator{deployment: deployment, rng: rand.New(rand.NewPCG(day.Seed, streamTraffic)), racks: racks}
	for _, fault := range day.Faults {
		if fault.Kind == FaultHotRack {
			draw.hotRackFaults = append(draw.hotRackFaults, fault)
		}
	}
	for i := range deployment.Classes {
		class := &deployment.Classes[i]
		for range class.Initial {
			draw.add(class, trafficStart)
		}
		draw.addArrivals(class, class.PerSecond*day.Load, trafficStart, trafficStart+day.Length)
		for _, fault := range day.Faults {
			if fault.Kind == FaultBurst && fault.Class == class.Name {
				extra := class.PerSecond * day.Load * (fault.Factor - 1)
				draw.addArrivals(class, extra, fault.from(), fault.until())
			}
		}
	}
	slices.SortStableFunc(draw.jobs, func(a, b *plannedJob) int { return cmp.Compare(a.at, b.at) })
	return draw.jobs
}

func (d *trafficGenerator) addArrivals(class *Class, perSecond float64, from, until time.Duration) {
	if perSecond <= 0 {
		return
	}
	for at := from; ; {
		at += time.Duration(d.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		d.add(class, at)
	}
}

// add generates one job.
func (d *trafficGenerator) add(class *Class, at time.Duration) {
	job := &plannedJob{class: class, at: at}
	id := fmt.Sprintf("%s-%d", class.Name, len(d.jobs))
	job.spec = state.JobSpec{ID: id, Service: service, Class: class.Name}
	width := max(1, int(math.Round(class.Width.draw(d.rng))))
	meanRun, near, labels := class.RunMs.draw(d.rng), d.nearRack(class, at), d.labels(class)
	resources := state.Resources{
		Slots: max(1, int(class.MilliCores.draw(d.rng))), MemoryMB: int(class.MemoryMB.draw(d.rng)),
	}
	placement := state.Placement{
		PreferredRack: near, Checkpointed: d.chance(class.Checkpointed),
		AllowsDuplicates: d.chance(class.Duplicates), LongRunning: class.LongRunning,
	}
	if d.chance(class.Spread) {
		placement.MaxPerWorker = 1 + d.rng.IntN(3)
	}
	gang, failing := d.chance(class.Gangs), d.chance(class.FailOnce)
	work := 0.0
	for i := range max(1, int(math.Round(class.Steps.draw(d.rng)))) {
		step := state.StepSpec{Count: width, Resources: resources, Labels: labels, Gang: gang, Placement: placement}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		planned := d.step(class, width, meanRun, failing && i == 0)
		guess := meanRun * math.Exp(class.EstimateSigma*d.rng.NormFloat64())
		step.ExpectedRunTime.Duration = millis(guess)
		for _, runTime := range planned.runTimes {
			work += runTime.Seconds() * float64(resources.Slots)
		}
		job.spec.Steps, job.steps = append(job.spec.Steps, step), append(job.steps, planned)
	}
	job.worth = class.Worth * d.relativeWorth(class, work)
	switch {
	case class.LongRunning:
		job.cancelAt = at + seconds(class.LifetimeS.draw(d.rng))
	case d.chance(class.Cancelled):
		job.cancelAt = at + seconds(6*d.rng.Float64())
	}
	d.jobs = append(d.jobs, job)
}

// step generates the run times of the tasks of a step.
func (d *trafficGenerator) step(class *Class, width int, meanRun float64, failing bool) plannedStep {
	step := plannedStep{failOnce: -1}
	for range width {
		runMs := meanRun * math.Exp(class.RunTimeSigma*d.rng.NormFloat64()-class.RunTimeSigma*class.RunTimeSigma/2)
		step.runTimes = append(step.runTimes, millis(math.Min(math.Max(runMs, 10), class.RunMs.Max)))
	}
	if failing {
		step.failOnce = d.rng.IntN(width)
	}
	return step
}

// relativeWorth returns the factor on the class's worth. It grows with the job's work, up to 4.
func (d *trafficGenerator) relativeWorth(class *Class, work float64) float64 {
	if class.LongRunning {
		return 1
	}
	mean := class.Steps.Mean * class.Width.Mean * class.RunMs.Mean / millisPerSecond * class.MilliCores.Mean
	return math.Min(4, 0.3+0.7*work/mean)
}

func (d *trafficGenerator) chance(probability float64) bool { return d.rng.Float64() < probability }

// nearRack returns the rack of a job's data, empty if the job prefers none. During a
// FaultHotRack it is the hot rack for the fault's share of these jobs.
func (d *trafficGenerator) nearRack(class *Class, at time.Duration) string {
	near, rack, hot := d.chance(class.NearData), d.rng.IntN(len(d.racks)), d.rng.Float64()
	if !near {
		return ""
	}
	for i, fault := range d.hotRackFaults {
		if at >= fault.from() && at < fault.until() && hot < fault.Share {
			return d.racks[i%len(d.racks)]
		}
	}
	return d.racks[rack]
}

func (d *trafficGenerator) labels(class *Class) []string {
	label := d.rng.IntN(len(d.deployment.Labels))
	if !d.chance(class.Labelled) {
		return nil
	}
	return []string{d.deployment.Labels[label]}
}

// hashFraction returns a pseudorandom number in [0, 1) determined by its arguments alone.
func hashFraction(seed uint64, text string, number int) float64 {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(number))
	hash := uint64(14695981039346656037)
	for _, b := range []byte(text) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	binary.LittleEndian.PutUint64(key[16:], hash)
	return rand.New(rand.NewChaCha8(key)).Float64()
}
