package control

import (
	"testing"

	"sorrelloom/core/state"
)

// TestStartToWorkerThatIsTakenByNumber has no start say on which report it was granted where the
// primary may take a later report by its number for the word that the start was not taken: the
// worker would take it from a late reply, and run what was granted elsewhere.
func TestStartToWorkerThatIsTakenByNumber(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*state.Heartbeat)
		told   bool
	}{
		{"all is said", func(*state.Heartbeat) {}, true},
		{"no reply was taken yet", func(heartbeat *state.Heartbeat) { heartbeat.LastReply = 0 }, false},
		{"the total is left out", func(heartbeat *state.Heartbeat) { heartbeat.Total = state.Resources{} }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			n.heartbeat(heartbeatOf(1))
			n.submitJob("j", 1)
			second := heartbeatOf(2)
			second.LastReply = 1
			row.change(&second)
			starts := n.heartbeat(second).Result.Heartbeat.Starts
			if len(starts) != 1 || (starts[0].GrantedOn > 0) != row.told {
				t.Errorf("got %+v", starts)
			}
		})
	}
}
