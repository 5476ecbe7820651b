package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

const (
	randomZones = 3
	randomRacks = 4
	// maxRandomBacklog is the number of queued tasks at which no more jobs are submitted.
	maxRandomBacklog = 40
)

// randomCluster is a fixture with workers in several zones and racks, on which jobs of all
// kinds are submitted, run, end and are stopped at random.
type randomCluster struct {
	fixture
	random  *rand.Rand
	workers []string
	jobs    int
}

func newRandomCluster(t *testing.T, seed uint64, workers int) *randomCluster {
	c := &randomCluster{
		fixture: fixture{statetest.New(t), New()}, random: rand.New(rand.NewPCG(seed, 0)),
	}
	body := strings.Replace(statetest.Config, `waiting == 0 && idle >= asked`, `true`, 1)
	body = strings.Replace(body, `"share":0,"inboxMax":3`, `"share":20`, 1)
	body = strings.Replace(body, `"priority":10,"share":50`, `"priority":20,"share":30`, 1)
	change := state.ConfigChange{BaseVersion: 1, Body: []byte(body)}
	c.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		c.workers = append(c.workers, name)
		if i%3 == 0 {
			c.AddWorker(name+"+ssd", 8)
		} else {
			c.AddWorker(name, 8)
		}
		c.Heartbeat(name, func(hb *state.Heartbeat) {
			hb.Rack, hb.Zone = fmt.Sprintf("r%d", i%randomRacks), fmt.Sprintf("z%d", i%randomZones)
		})
	}
	c.update()
	return c
}

// zones returns the names of all zones.
func (c *randomCluster) zones() (zones []string) {
	for i := range randomZones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	return zones
}

// chance returns true with the given probability in percent.
func (c *randomCluster) chance(percent int) bool { return c.random.IntN(100) < percent }

// acceptRandomJob submits a job of one step, or of tasks of different sizes.
func (c *randomCluster) acceptRandomJob() {
	c.jobs++
	class := []string{"quick", "batch", "small"}[c.random.IntN(3)]
	spec := state.JobSpec{ID: fmt.Sprintf("j%d", c.jobs), Service: "tickets", Class: class}
	step := state.StepSpec{Count: 1 + c.random.IntN(6), Resources: state.Resources{Slots: 1 + c.random.IntN(4)}}
	step.Gang, step.Checkpointed, step.SameRack = c.chance(30), c.chance(30), c.chance(50)
	if c.chance(30) {
		step.PreferredRack = fmt.Sprintf("r%d", c.random.IntN(randomRacks))
	}
	if c.chance(20) {
		step.Labels = []string{"ssd"}
	}
	if c.chance(20) {
		step.MaxPerWorker = 1 + c.random.IntN(2)
	}
	spec.Steps = []state.StepSpec{step}
	if c.chance(30) {
		spec.Steps = nil
		for i := range step.Count {
			task := state.TaskSpec{ID: fmt.Sprint(i), Placement: step.Placement, Labels: step.Labels}
			task.Resources.Slots = 1 + c.random.IntN(4)
			if step.Gang {
				task.Gang = "g"
			}
			spec.Tasks = append(spec.Tasks, task)
		}
	}
	c.Apply(state.Command{Kind: state.KindAcceptJob, Job: spec})
}

// pullAll lets a worker pull until it finds nothing.
func (c *randomCluster) pullAll(worker string) {
	for _, round := range PullRounds {
		for range 20 {
			c.update()
			proposal, ok := c.dispatcher.Pull(c.Store, worker, InFlight{}, round)
			if !ok {
				break
			}
			grant := state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: proposal.Assignments}
			c.Apply(state.Command{Kind: state.KindGrantLeases, Grant: grant})
		}
	}
}

// report sends a heartbeat with all runs of a worker, some of which have ended.
func (c *randomCluster) report(worker string, endPercent int) {
	c.Heartbeat(worker, func(hb *state.Heartbeat) {
		hb.Running = nil
		for _, leased := range c.Store.LeasesOn(worker) {
			switch {
			case leased.Lease.StopReason != "":
				hb.Ended = append(hb.Ended, state.AttemptResult{Attempt: leased.Attempt, Stopped: true})
			case c.chance(endPercent):
				end := state.AttemptResult{Attempt: leased.Attempt, Succeeded: !c.chance(10)}
				hb.Ended = append(hb.Ended, end)
			default:
				hb.Running = append(hb.Running, leased.Attempt)
			}
		}
	})
	c.update()
}

// step makes a few random changes. Comparisons are left to the caller.
func (c *randomCluster) step() {
	for range c.random.IntN(4) {
		if len(c.dispatcher.queues.positions) < maxRandomBacklog {
			c.acceptRandomJob()
		}
	}
	for range c.random.IntN(4) {
		c.pullAll(c.workers[c.random.IntN(len(c.workers))])
	}
	for range c.random.IntN(3) {
		c.report(c.workers[c.random.IntN(len(c.workers))], 15)
	}
	c.Now += time.Duration(c.random.IntN(60)) * time.Millisecond
	c.update()
}
