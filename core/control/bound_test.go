package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestTheStepsOfANewLeaderAreBounded has 20,000 tasks wait, and room for 600 of
// them, when the lead changes: no step takes more than a slice of the one or starts
// more than a part of the other, and all of it is done soon.
func TestStepsOfANewLeaderAreBounded(t *testing.T) {
	const jobs, width, workers, startsEach = 20, 1000, 60, 10
	const sliceMost, commandsMost = 2 * 8192, 64 + 32 + 4
	n := newNet(t)
	n.configure()
	for i := range jobs {
		n.submitJob(fmt.Sprintf("j%d", i), width)
	}
	var mostCommands, mostReleases uint64
	sequences, releases := map[*Control]uint64{}, map[*Control]uint64{}
	n.onStep = func(c *Control) {
		at, released := c.Replica().Store().Position().Index, c.Scheduler().Counters().Released
		if c.Replica().Serving() {
			mostCommands, mostReleases = max(mostCommands, at-sequences[c]), max(mostReleases, released-releases[c])
		}
		sequences[c], releases[c] = at, released
	}
	n.run(5 * time.Millisecond)
	mostCommands, mostReleases = 0, 0
	n.kill(n.leader())
	for !n.anyServes() {
		n.run(5 * time.Millisecond)
	}
	report := func(number uint64) {
		for i := range workers {
			b := heartbeatOf(number)
			b.Worker = fmt.Sprintf("w%03d", i)
			n.sendHeartbeat(n.leader(), testReplyWait, b)
		}
		n.run(100 * time.Millisecond)
	}
	// Half of the first reports are put off.
	report(1)
	report(2)
	n.run(2 * time.Second)
	l := n.nodes[n.leader()].control.Replica().Store()
	granted := 0
	for i := range workers {
		granted += l.LeaseCount(fmt.Sprintf("w%03d", i))
	}
	waits := 0
	for _, count := range n.nodes[n.leader()].control.Scheduler().QueueLengths() {
		waits += count
	}
	t.Logf("at most %d commands and %d tasks in a step", mostCommands, mostReleases)
	if mostReleases > sliceMost || mostCommands > commandsMost {
		t.Errorf("a step took %d commands and %d tasks", mostCommands, mostReleases)
	}
	// The first reports' starts go back, as nobody lists them, and are given again.
	if granted != workers*startsEach || waits != jobs*width-granted {
		t.Errorf("%d tasks are granted, %d wait", granted, waits)
	}
	if w, _ := l.Worker("w000"); w.Free != (state.Resources{Slots: 100}) {
		t.Errorf("%+v", w)
	}
}
