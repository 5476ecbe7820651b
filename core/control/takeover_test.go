package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
)

// TestTakeoverIsLogged has a leader fail while 5 of 25 tasks wait and one of two workers
// falls silent: its successor logs once each that its queues are rebuilt, that it grants
// again, and, once the silent worker has had its time, which have reported.
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
			t.Errorf("%s was logged %d times", name, len(events))
			continue
		}
		if fields := fmt.Sprint(events[0].Fields); len(fields) < len(want) || fields[:len(want)] != want {
			t.Errorf("%s %s", name, fields)
		}
	}
}
