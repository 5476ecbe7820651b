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

// Streams of random numbers of one seed: what one draws leaves the others as they are.
const (
	streamTraffic = iota + 1
	streamFaults
	streamWorkers
	streamDeployment
)

// plannedJob is a job as it is drawn before the day: what its caller submits, and what only
// the workers know.
type plannedJob struct {
	class *Class
	at    time.Duration
	spec  state.JobSpec
	steps []plannedStep
	// worth is what it earns in its aim.
	worth float64
	// cancelAt is when its caller cancels it; 0 is never.
	cancelAt time.Duration
}

// plannedStep is what only the workers know of a step: how long each of its tasks runs near
// its data, and which of them fails at its first attempt.
type plannedStep struct {
	runTimes []time.Duration
	failOnce int // -1 is none
}

// chain is how long the job takes if nothing ever waits.
func (j *plannedJob) chain() time.Duration {
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

// aim is how long the job may take and still be in time.
func (j *plannedJob) aim() time.Duration {
	return time.Duration(j.class.Stretch*float64(j.chain())) + millis(j.class.TargetMs)
}

// trafficDraw draws the jobs of a day.
type trafficDraw struct {
	deployment *Deployment
	rng        *rand.Rand
	racks      []string
	hot        []Fault
	jobs       []*plannedJob
}

// drawTraffic draws all jobs of a day in the order of their arrival.
func drawTraffic(deployment *Deployment, day *Day, racks []string) []*plannedJob {
	draw := trafficDraw{deployment: deployment, rng: rand.New(rand.NewPCG(day.Seed, streamTraffic)), racks: racks}
	for _, fault := range day.Faults {
		if fault.Kind == FaultHotRack {
			draw.hot = append(draw.hot, fault)
		}
	}
	for i := range deployment.Classes {
		class := &deployment.Classes[i]
		for range class.Initial {
			draw.add(class, trafficStart)
		}
		draw.arrivals(class, class.PerSecond*day.Load, trafficStart, trafficStart+day.Length)
		for _, fault := range day.Faults {
			if fault.Kind == FaultBurst && fault.Class == class.Name {
				extra := class.PerSecond * day.Load * (fault.Factor - 1)
				draw.arrivals(class, extra, fault.from(), fault.until())
			}
		}
	}
	slices.SortStableFunc(draw.jobs, func(a, b *plannedJob) int { return cmp.Compare(a.at, b.at) })
	return draw.jobs
}

func (d *trafficDraw) arrivals(class *Class, perSecond float64, from, until time.Duration) {
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

// add draws one job.
func (d *trafficDraw) add(class *Class, at time.Duration) {
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
		guess := meanRun * math.Exp(class.GuessError*d.rng.NormFloat64())
		step.ExpectedRunTime.Duration = millis(guess)
		for _, runTime := range planned.runTimes {
			work += runTime.Seconds() * float64(resources.Slots)
		}
		job.spec.Steps, job.steps = append(job.spec.Steps, step), append(job.steps, planned)
	}
	job.worth = class.Worth * d.relativeWorth(class, work)
	switch {
	case class.LongRunning:
		job.cancelAt = at + seconds(class.StayS.draw(d.rng))
	case d.chance(class.Cancelled):
		job.cancelAt = at + seconds(6*d.rng.Float64())
	}
	d.jobs = append(d.jobs, job)
}

// step draws how long the tasks of a step run.
func (d *trafficDraw) step(class *Class, width int, meanRun float64, failing bool) plannedStep {
	step := plannedStep{failOnce: -1}
	for range width {
		runMs := meanRun * math.Exp(class.Uneven*d.rng.NormFloat64()-class.Uneven*class.Uneven/2)
		step.runTimes = append(step.runTimes, millis(math.Min(math.Max(runMs, 10), class.RunMs.Max)))
	}
	if failing {
		step.failOnce = d.rng.IntN(width)
	}
	return step
}

// relativeWorth grows with a job's work, up to four times that of its class.
func (d *trafficDraw) relativeWorth(class *Class, work float64) float64 {
	if class.LongRunning {
		return 1
	}
	mean := class.Steps.Mean * class.Width.Mean * class.RunMs.Mean / millisPerSecond * class.MilliCores.Mean
	return math.Min(4, 0.3+0.7*work/mean)
}

func (d *trafficDraw) chance(probability float64) bool { return d.rng.Float64() < probability }

// nearRack draws the rack of a job's data; a hot rack has much of it for a while.
func (d *trafficDraw) nearRack(class *Class, at time.Duration) string {
	near, rack, hot := d.chance(class.NearData), d.rng.IntN(len(d.racks)), d.rng.Float64()
	if !near {
		return ""
	}
	for i, fault := range d.hot {
		if at >= fault.from() && at < fault.until() && hot < fault.Share {
			return d.racks[i%len(d.racks)]
		}
	}
	return d.racks[rack]
}

func (d *trafficDraw) labels(class *Class) []string {
	label := d.rng.IntN(len(d.deployment.Labels))
	if !d.chance(class.Labelled) {
		return nil
	}
	return []string{d.deployment.Labels[label]}
}

// luck is a number from 0 to 1 that depends on the seed, a text and a number alone.
func luck(seed uint64, text string, number int) float64 {
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
