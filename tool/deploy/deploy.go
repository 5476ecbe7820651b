// Package deploy describes the two deployments of today as data: zones, workers,
// configuration and traffic.
package deploy

import (
	_ "embed" // for the configurations
	"fmt"
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// Traffic is one kind of job: how often it comes and what it is made of.
type Traffic struct {
	Class     string
	PerSecond float64
	// StepWidths is how many tasks each step has.
	StepWidths []int
	// RunMillis is how long each task runs.
	RunMillis int64
	// Cores is how many cores each task needs.
	Cores int
}

// Deployment is one deployment: a service with its configuration, and its traffic: quick
// jobs first, then batches, then long ones.
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

// How many processes both deployments have, and how large their workers are.
const (
	Workers        = 11
	SlotsPerWorker = 8
	WorkersPerRack = 3
	Replicas       = 3
	Schedulers     = 6
	Gateways       = 8
)

// zones are those of both deployments.
var zones = []string{"a", "b", "c"}

// deployments are all deployments by name.
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

// Get finds a deployment by name.
func Get(name string) (Deployment, error) {
	deployment, ok := deployments[name]
	if !ok {
		names := slices.Sorted(maps.Keys(deployments))
		return Deployment{}, fmt.Errorf("no deployment %q; there are %v", name, names)
	}
	return deployment, nil
}

// NewJob makes a job of a kind of traffic. Steps are layers of tasks; each task of a step
// depends on all of the step before.
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
