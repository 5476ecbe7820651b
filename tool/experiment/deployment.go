package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is a log-normal distribution. Sigma is the standard deviation of the logarithm;
// values above Max are clamped to it, and a Max of 0 means no upper bound.
type Distribution struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"spread"`
	Max   float64 `json:"max"`
}

func (d Distribution) draw(rng *rand.Rand) float64 {
	value := d.Mean * math.Exp(d.Sigma*rng.NormFloat64()-d.Sigma*d.Sigma/2)
	if d.Max > 0 {
		value = math.Min(value, d.Max)
	}
	return value
}

// Class is a kind of job that is submitted to a deployment.
type Class struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"` // 0 is the most urgent
	// PerSecond is the mean arrival rate at a load of 1.
	PerSecond float64 `json:"perSecond"`
	// Worth is what a job earns if it finishes within its latency target, LateWorth what it
	// earns within three times the target. A long-running job earns Worth in every window.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// A job's latency target is CriticalPathFactor times its critical path, plus TargetMs.
	TargetMs           float64 `json:"targetMs"`
	CriticalPathFactor float64 `json:"stretch"`
	MaxFailures        int     `json:"maxFailures"`

	Steps Distribution `json:"steps"`
	Width Distribution `json:"width"`
	// RunMs is the mean run time of a job's tasks. RunTimeSigma is the log-normal sigma of the
	// run times within a step, EstimateSigma that of the expected run time given by clients.
	RunMs         Distribution `json:"runMs"`
	RunTimeSigma  float64      `json:"uneven"`
	EstimateSigma float64      `json:"guessError"`
	// MilliCores and MemoryMB are the resources of a task.
	MilliCores Distribution `json:"milliCores"`
	MemoryMB   Distribution `json:"memoryMB"`

	// The following fields are shares of the class's jobs, from 0 to 1: those that prefer the
	// rack of their data, require a label, limit the tasks per worker, run as gangs, save
	// checkpoints, allow duplicate attempts, have a task that fails once, and are cancelled.
	NearData     float64 `json:"nearData"`
	Labelled     float64 `json:"labelled"`
	Spread       float64 `json:"spread"`
	Gangs        float64 `json:"gangs"`
	Checkpointed float64 `json:"checkpointed"`
	Duplicates   float64 `json:"duplicates"`
	// FailOnce jobs have one task that fails once, whichever worker runs it.
	FailOnce  float64 `json:"failOnce"`
	Cancelled float64 `json:"cancelled"`

	// LongRunning jobs run until they are cancelled, after a time drawn from LifetimeS.
	LongRunning bool         `json:"longRunning"`
	LifetimeS   Distribution `json:"stayS"`
	// Initial is the number of jobs submitted when the traffic starts.
	Initial int `json:"initial"`
}

// Deployment describes a cluster and its traffic.
type Deployment struct {
	Name  string `json:"name"`
	Zones int    `json:"zones"`
	// Workers are spread evenly over the zones, about RackSize to a rack. Each worker has
	// MilliCores and MemoryMB times a factor of Sizes. Sizes, RunTimeFactors and Labels are
	// assigned to the workers in rotation.
	Workers        int       `json:"workers"`
	RackSize       int       `json:"rackSize"`
	MilliCores     int       `json:"milliCores"`
	MemoryMB       int       `json:"memoryMB"`
	Sizes          []float64 `json:"sizes"`
	RunTimeFactors []float64 `json:"runTimeFactors"`
	Labels         []string  `json:"labels"`
	// FarFactor multiplies the run time of a task that runs outside the rack of its data.
	FarFactor float64 `json:"farFactor"`
	MaxLeaseS float64 `json:"maxLeaseS"`
	GangWaitS float64 `json:"gangWaitS"`
	// SaveEveryS is the interval between checkpoints of a run, RestoreMs the time to resume
	// from one.
	SaveEveryS float64 `json:"saveEveryS"`
	RestoreMs  float64 `json:"restoreMs"`
	// CommitMs is the time to replicate a command to a quorum of disks, FailoverMs the time
	// from the end of an outage of the control processes until a new primary serves.
	CommitMs   float64 `json:"commitMs"`
	FailoverMs float64 `json:"failoverMs"`
	Classes    []Class `json:"classes"`
}

//go:embed print_shops.json
var printShops []byte

// PrintShops returns the embedded deployment of print shops: 66 workers of three sizes in racks
// of eight.
func PrintShops() (Deployment, error) { return ParseDeployment(printShops) }

// ParseDeployment decodes a deployment from JSON.
func ParseDeployment(data []byte) (Deployment, error) {
	var deployment Deployment
	if err := json.Unmarshal(data, &deployment); err != nil {
		return deployment, fmt.Errorf("parse deployment: %w", err)
	}
	return deployment, nil
}

// DrawDeployment derives a random deployment from a base and a seed. It varies the sizes and
// speeds of the workers, the racks, the mix of classes and their latency targets, at a mean load
// of 0.5 to 1.1 of the cluster's cores.
func DrawDeployment(base Deployment, seed uint64) Deployment {
	rng := rand.New(rand.NewPCG(seed, streamDeployment))
	drawn := base
	drawn.Name = fmt.Sprintf("drawn-%d", seed)
	drawn.Workers = 24 + rng.IntN(60)
	drawn.RackSize = 3 + rng.IntN(9)
	drawn.MilliCores = []int{8000, 16000, 32000}[rng.IntN(3)]
	drawn.MemoryMB = drawn.MilliCores * (2 + rng.IntN(2))
	drawn.FarFactor = 1.2 + 2*rng.Float64()
	drawn.MaxLeaseS = 4 + 6*rng.Float64()
	drawn.Sizes = [][]float64{{1}, {1, 1, 0.5, 2}, {1, 0.5, 4}}[rng.IntN(3)]
	drawn.RunTimeFactors = [][]float64{{1}, {1, 1, 1.3}, {1, 1.6}}[rng.IntN(3)]
	drawn.Classes = nil
	for _, class := range base.Classes {
		class.CriticalPathFactor = 1.3 + (class.CriticalPathFactor-1.3)*(0.5+rng.Float64())
		class.TargetMs *= 0.7 + 0.8*rng.Float64()
		class.NearData = rng.Float64() * 0.6
		class.RunTimeSigma *= 0.6 + 0.8*rng.Float64()
		class.PerSecond *= 0.4 + 1.2*rng.Float64()
		drawn.Classes = append(drawn.Classes, class)
	}
	drawn.scaleTo(0.5 + 0.6*rng.Float64())
	return drawn
}

// scaleTo scales the arrival rates of all classes so that the mean load is the given one.
func (d *Deployment) scaleTo(load float64) {
	factor := load / d.load()
	for i := range d.Classes {
		d.Classes[i].PerSecond *= factor
		d.Classes[i].Initial = int(math.Round(float64(d.Classes[i].Initial) * factor))
	}
}

// load returns the mean share of the cluster's cores that the traffic uses.
func (d *Deployment) load() float64 {
	cores := 0.0
	for i := range d.Workers {
		cores += float64(d.MilliCores) * d.Sizes[i%len(d.Sizes)]
	}
	used := 0.0
	for _, class := range d.Classes {
		seconds := class.RunMs.Mean / millisPerSecond
		if class.LongRunning {
			seconds = class.LifetimeS.Mean
		}
		used += class.PerSecond * class.Steps.Mean * class.Width.Mean * class.MilliCores.Mean * seconds
	}
	return used / cores
}

const millisPerSecond = 1000

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
