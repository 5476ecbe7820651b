package control

import (
	"testing"

	"sorrelloom/core/state"
)

// TestStartOrderSetsGrantedOnForWorkersThatReportReplies guards against a task that runs twice.
// If heartbeats lack LastReply or Total, the primary may conclude from the number of a later
// heartbeat that a start was lost, and grant the task elsewhere. With GrantedOnHeartbeat, the worker's
// agent would still accept that start from a late reply.
func TestStartOrderSetsGrantedOnForWorkersThatReportReplies(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*state.Heartbeat)
		want   bool // whether GrantedOnHeartbeat is set
	}{
		{"complete", func(*state.Heartbeat) {}, true},
		{"without LastReply", func(heartbeat *state.Heartbeat) { heartbeat.LastReply = 0 }, false},
		{"without Total", func(heartbeat *state.Heartbeat) { heartbeat.Total = state.Resources{} }, false},
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
			if len(starts) != 1 || (starts[0].GrantedOnHeartbeat > 0) != row.want {
				t.Errorf("got %+v, want one start with GrantedOn set: %v", starts, row.want)
			}
		})
	}
}
