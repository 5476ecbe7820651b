package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is a log-normal distribution, cut off at Max.
type Distribution struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

func (d Distribution) draw(rng *rand.Rand) float64 {
	value := d.Mean * math.Exp(d.Spread*rng.NormFloat64()-d.Spread*d.Spread/2)
	if d.Max > 0 {
		value = math.Min(value, d.Max)
	}
	return value
}

// Class is a kind of job that comes to a deployment. Shares are parts of its jobs.
type Class struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"` // 0 is the most urgent
	// PerSecond is how many jobs come at a load of 1.
	PerSecond float64 `json:"perSecond"`
	// Worth is what a job earns in its aim, LateWorth within three times its aim. A
	// long-running job earns it in every window.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// TargetMs and Stretch make up the aim: Stretch times the longest chain, and TargetMs.
	TargetMs    float64 `json:"targetMs"`
	Stretch     float64 `json:"stretch"`
	MaxFailures int     `json:"maxFailures"`

	Steps Distribution `json:"steps"`
	Width Distribution `json:"width"`
	// RunMs is the run time of a job's tasks, Uneven the spread within a step, and
	// GuessError that of the expected run time that callers give.
	RunMs      Distribution `json:"runMs"`
	Uneven     float64      `json:"uneven"`
	GuessError float64      `json:"guessError"`
	// MilliCores and MemoryMB are what a task takes.
	MilliCores Distribution `json:"milliCores"`
	MemoryMB   Distribution `json:"memoryMB"`

	NearData     float64 `json:"nearData"`
	Labelled     float64 `json:"labelled"`
	Spread       float64 `json:"spread"`
	Gangs        float64 `json:"gangs"`
	Checkpointed float64 `json:"checkpointed"`
	Duplicates   float64 `json:"duplicates"`
	// FailOnce is the part of the jobs of which one task fails by its own fault at first.
	FailOnce  float64 `json:"failOnce"`
	Cancelled float64 `json:"cancelled"`

	// LongRunning jobs run until they are cancelled after StayS.
	LongRunning bool         `json:"longRunning"`
	StayS       Distribution `json:"stayS"`
	// Initial is how many jobs are there when the traffic begins.
	Initial int `json:"initial"`
}

// Deployment is a cluster with its traffic.
type Deployment struct {
	Name  string `json:"name"`
	Zones int    `json:"zones"`
	// Workers are spread over the zones; RackSize of a zone share a rack. Sizes and
	// RunTimeFactors are dealt out in turn.
	Workers        int       `json:"workers"`
	RackSize       int       `json:"rackSize"`
	MilliCores     int       `json:"milliCores"`
	MemoryMB       int       `json:"memoryMB"`
	Sizes          []float64 `json:"sizes"`
	RunTimeFactors []float64 `json:"runTimeFactors"`
	Labels         []string  `json:"labels"`
	// FarFactor is how much longer a task runs away from the rack of its data.
	FarFactor float64 `json:"farFactor"`
	MaxLeaseS float64 `json:"maxLeaseS"`
	GangWaitS float64 `json:"gangWaitS"`
	// SaveEveryS is how often a run saves its progress, RestoreMs what going on from it costs.
	SaveEveryS float64 `json:"saveEveryS"`
	RestoreMs  float64 `json:"restoreMs"`
	// CommitMs is how long a command takes to be on enough disks, FailoverMs how long after
	// an outage of the control processes the next primary serves.
	CommitMs   float64 `json:"commitMs"`
	FailoverMs float64 `json:"failoverMs"`
	Classes    []Class `json:"classes"`
}

//go:embed print_shops.json
var printShops []byte

// PrintShops is the deployment of print shops: 66 workers of three sizes in racks of eight.
func PrintShops() (Deployment, error) { return ParseDeployment(printShops) }

// ParseDeployment decodes a deployment.
func ParseDeployment(data []byte) (Deployment, error) {
	var deployment Deployment
	if err := json.Unmarshal(data, &deployment); err != nil {
		return deployment, fmt.Errorf("parse deployment: %w", err)
	}
	return deployment, nil
}

// Draw varies a deployment: sizes, speeds, racks, the mix of classes and their slack, at a
// load of 0.5 to 1.1 of its room in the mean.
func Draw(base Deployment, seed uint64) Deployment {
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
		class.Stretch = 1.3 + (class.Stretch-1.3)*(0.5+rng.Float64())
		class.TargetMs *= 0.7 + 0.8*rng.Float64()
		class.NearData = rng.Float64() * 0.6
		class.Uneven *= 0.6 + 0.8*rng.Float64()
		class.PerSecond *= 0.4 + 1.2*rng.Float64()
		drawn.Classes = append(drawn.Classes, class)
	}
	drawn.scaleTo(0.5 + 0.6*rng.Float64())
	return drawn
}

// scaleTo sets the rates of all classes so that they take a part of the room in the mean.
func (d *Deployment) scaleTo(load float64) {
	factor := load / d.load()
	for i := range d.Classes {
		d.Classes[i].PerSecond *= factor
		d.Classes[i].Initial = int(math.Round(float64(d.Classes[i].Initial) * factor))
	}
}

// load is the part of the cores that the traffic takes in the mean.
func (d *Deployment) load() float64 {
	cores := 0.0
	for i := range d.Workers {
		cores += float64(d.MilliCores) * d.Sizes[i%len(d.Sizes)]
	}
	used := 0.0
	for _, class := range d.Classes {
		seconds := class.RunMs.Mean / millisPerSecond
		if class.LongRunning {
			seconds = class.StayS.Mean
		}
		used += class.PerSecond * class.Steps.Mean * class.Width.Mean * class.MilliCores.Mean * seconds
	}
	return used / cores
}

const millisPerSecond = 1000

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
