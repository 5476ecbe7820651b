package agent

import (
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestLateCallOfEarlierWorkerAfterRestart has a late call of a worker that has crashed
// come to an agent that has just restarted, after the first call of the worker in its
// place. The one that calls now is to be kept.
func TestLateCallOfEarlierWorkerAfterRestart(t *testing.T) {
	h := newHarness(t, 9000)
	late := h.call
	late.Number = 9
	h.call.Worker = "w2"
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.request(machine.Request{Kind: RequestCall, Decoded: late})
	for range 3 {
		h.advance(100 * ms)
		if reply := h.callAgent(nil); reply.LeaseRemaining == 0 {
			t.Errorf("the worker that calls is answered %+v", reply)
		}
		h.accept(state.HeartbeatReply{})
	}
	h.equal("worker", h.agent.Status().Worker, "w2")
}
