// Package deploy describes the two deployments of today as data: sites, small
// machines, workers, plan and traffic, with the brief's figures.
package deploy

import (
	_ "embed"
	"fmt"
	"sort"

	"sorrelloom/core/state"
)

// Traffic is one kind of job: how often it comes and what it is made of.
type Traffic struct {
	Class      string
	PerSecond  float64
	StepWidths []int
	RunMs      int64
	Cores      int
}

type Deployment struct {
	Name           string
	Service        string
	Config         []byte
	Zones          []string
	CoresPerWorker int
	Traffic        []Traffic
}

//go:embed reseller.json
var resellerConfig []byte

//go:embed podcast.json
var podcastConfig []byte

const (
	Workers        = 11
	SlotsPerWorker = 8
	WorkersPerRack = 3
	Replicas       = 3
	Schedulers     = 6
	Gateways       = 8
)

var deployments = map[string]Deployment{
	"reseller": {"reseller", "tickets", resellerConfig, []string{"a", "b", "c"}, 64, []Traffic{
		{"lookup", 9, []int{1}, 60, 1}, {"check", 2, []int{2, 1}, 250, 2}, {"repricing", 0.6, []int{2}, 5500, 8},
	}},
	"podcast": {"podcast", "podcasts", podcastConfig, []string{"a", "b", "c"}, 16, []Traffic{
		{"preview", 7, []int{1}, 80, 1}, {"chapters", 2, []int{2, 1}, 300, 2}, {"mastering", 0.6, []int{2}, 5500, 2},
	}},
}

// Get finds a deployment by name.
func Get(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		names := make([]string, 0, len(deployments))
		for n := range deployments {
			names = append(names, n)
		}
		sort.Strings(names)
		return Deployment{}, fmt.Errorf("no deployment %q; there are %v", name, names)
	}
	return d, nil
}

// Job makes the nth job of a kind. Steps are layers of tasks; each task of a
// layer depends on all of the layer before.
func (t Traffic) NewJob(service, id string) state.JobSpec {
	spec := state.JobSpec{ID: id, Service: service, Class: t.Class}
	var before []string
	for step, width := range t.StepWidths {
		var layer []string
		for i := range width {
			name := fmt.Sprintf("s%d-%d", step+1, i+1)
			spec.Tasks = append(spec.Tasks, state.TaskSpec{
				ID: name, DependsOn: before, Resources: state.Resources{Slots: 1, Cores: t.Cores}, Payload: fmt.Appendf(nil, `{"runMs":%d}`, t.RunMs),
			})
			layer = append(layer, name)
		}
		before = layer
	}
	return spec
}
