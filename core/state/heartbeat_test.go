package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestStaleHeartbeatRejected checks that a heartbeat with a lower number than the last one is
// rejected with the incarnation of the last one.
func TestStaleHeartbeatRejected(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.Heartbeat("w1", nil)
	old := f.Apply(heartbeat(state.Heartbeat{
		Worker: "w1", Incarnation: 1, Number: 1, Zone: "a", Service: "tickets",
	}))
	if old.Code != status.StaleHeartbeat || old.Heartbeat.Incarnation != 1 {
		t.Errorf("got %v %+v", old.Code, old.Heartbeat)
	}
}
