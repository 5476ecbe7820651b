package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
)

// TestTakeoverIsLogged kills the leader while 5 of 25 tasks are queued and one of two workers
// falls silent. The new leader logs once that its queues are rebuilt, once that it grants
// again, and, after takeoverTimeout, how many workers have reported and how many are silent.
func TestTakeoverIsLogged(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeatsOf(2, 1)
	n.submitJob("j", 25)
	n.kill(n.leader())
	logged := map[string][]machine.LogEvent{}
	n.onLog = func(event machine.LogEvent) { logged[event.Name] = append(logged[event.Name], event) }
	n.runUntilServed(testTick)
	for number := uint64(2); number < 50; number++ {
		n.heartbeatsOf(1, number)
		n.run(500 * time.Millisecond)
	}
	for name, want := range map[string]string{
		"queues_rebuilt":   "[tasks 5 ",
		"grants_resumed":   "[tookMs ",
		"workers_reported": "[workers 2 silent 1 reports ",
	} {
		events := logged[name]
		if len(events) != 1 {
			t.Errorf("%s was logged %d times, want once", name, len(events))
			continue
		}
		if fields := fmt.Sprint(events[0].Fields); len(fields) < len(want) || fields[:len(want)] != want {
			t.Errorf("%s has the fields %s, want a prefix of %s", name, fields, want)
		}
	}
}
