// Package deploy defines the two existing deployments as data: zones, workers,
// configuration and traffic.
package deploy

import (
	_ "embed" // for the configurations
	"fmt"
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// Traffic is one kind of job of a deployment, with its arrival rate.
type Traffic struct {
	Class     string
	PerSecond float64
	// StepWidths is the number of tasks of each step.
	StepWidths []int
	// RunMillis is the run time of each task.
	RunMillis int64
	// Cores is the number of cores that each task needs.
	Cores int
}

// Deployment is a service with its configuration and its traffic. Traffic lists quick jobs
// first, then batch jobs, then long ones.
type Deployment struct {
	Name    string
	Service string
	// Config is the configuration as JSON.
	Config         []byte
	Zones          []string
	CoresPerWorker int
	Traffic        []Traffic
}

//go:embed reseller.json
var resellerConfig []byte

//go:embed podcast.json
var podcastConfig []byte

// The number of processes, and the size of the workers, in both deployments.
const (
	Workers        = 11
	SlotsPerWorker = 8
	WorkersPerRack = 3
	Replicas       = 3
	Schedulers     = 6
	Gateways       = 8
)

// zones are the zones of both deployments.
var zones = []string{"a", "b", "c"}

// deployments maps names to deployments.
var deployments = map[string]Deployment{
	"reseller": {
		Name: "reseller", Service: "tickets", Config: resellerConfig, Zones: zones, CoresPerWorker: 64,
		Traffic: []Traffic{
			{Class: "lookup", PerSecond: 9, StepWidths: []int{1}, RunMillis: 60, Cores: 1},
			{Class: "check", PerSecond: 2, StepWidths: []int{2, 1}, RunMillis: 250, Cores: 2},
			{Class: "repricing", PerSecond: 0.6, StepWidths: []int{2}, RunMillis: 5500, Cores: 8},
		},
	},
	"podcast": {
		Name: "podcast", Service: "podcasts", Config: podcastConfig, Zones: zones, CoresPerWorker: 16,
		Traffic: []Traffic{
			{Class: "preview", PerSecond: 7, StepWidths: []int{1}, RunMillis: 80, Cores: 1},
			{Class: "chapters", PerSecond: 2, StepWidths: []int{2, 1}, RunMillis: 300, Cores: 2},
			{Class: "mastering", PerSecond: 0.6, StepWidths: []int{2}, RunMillis: 5500, Cores: 2},
		},
	},
}

// Get returns the deployment with the given name.
func Get(name string) (Deployment, error) {
	deployment, ok := deployments[name]
	if !ok {
		names := slices.Sorted(maps.Keys(deployments))
		return Deployment{}, fmt.Errorf("unknown deployment %q; known are %v", name, names)
	}
	return deployment, nil
}

// NewJob creates a job of this kind. Each task of a step depends on all tasks of the previous
// step.
func (t Traffic) NewJob(service, id string) state.JobSpec {
	spec := state.JobSpec{ID: id, Service: service, Class: t.Class}
	var previous []string
	for step, width := range t.StepWidths {
		var tasks []string
		for i := range width {
			task := fmt.Sprintf("s%d-%d", step+1, i+1)
			spec.Tasks = append(spec.Tasks, state.TaskSpec{
				ID: task, DependsOn: previous, Resources: state.Resources{Slots: 1, Cores: t.Cores},
				Payload: fmt.Appendf(nil, `{"runMs":%d}`, t.RunMillis),
			})
			tasks = append(tasks, task)
		}
		previous = tasks
	}
	return spec
}
