package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestScanLooksThroughAllQueuesForAllWorkers has 240 workers with room and many gangs that no
// workers can take, each of whose members fits any of them: no step looks at more than a part
// of all queues for all workers, and a task that comes then is started soon all the same.
func TestScanLooksThroughAllQueuesForAllWorkers(t *testing.T) {
	const workers, gangs = 240, 400
	const mostLooks, mostTime = 20_000, 2 * time.Second
	n := newNet(t)
	n.configure()
	n.addAgents(workers, time.Second)
	n.run(3 * time.Second)
	for i := range gangs {
		// A member needs over half of a worker's 20 slots, and there are more than workers.
		step := state.StepSpec{Count: workers + 1, Gang: true, Resources: state.Resources{Slots: 11 + i%9}}
		n.lastID++
		n.step(n.leader(), machine.Input{Message: newMessage(wire.KindCommand, "gateway", wire.CommandRequest{
			ID: n.lastID, Command: state.Command{Kind: state.KindAcceptJob, Summary: true, Job: state.JobSpec{
				ID: fmt.Sprintf("g%d", i), Service: "s", Class: "c", Steps: []state.StepSpec{step},
			}},
		})})
	}
	n.run(100 * time.Millisecond)
	looks, most := map[*Control]uint64{}, uint64(0)
	n.onStep = func(c *Control) {
		count := c.Scheduler().Looks()
		most, looks[c] = max(most, count-looks[c]), count
	}
	n.run(testTick)
	most = 0
	submittedAt := n.now
	n.submitJob("last", 1)
	granted := func() bool {
		job, _ := n.leaderStore().Job("last")
		return job.Tasks[0].Lease.Held()
	}
	for !granted() && n.now < submittedAt+mostTime {
		n.run(testTick)
	}
	t.Logf("at most %d looks in a step, started after %s", most, n.now-submittedAt)
	if !granted() {
		t.Errorf("a task that fits is not started after %s", mostTime)
	}
	if most > mostLooks {
		t.Errorf("a step took %d looks", most)
	}
}
