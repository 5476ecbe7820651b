package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestAnsweredConfigurationIsNoEvidenceOfLostJobs has the leader answer an operator's command
// before a job's that was sent earlier: it overtakes, so the job's is not sent again. A job's
// command that is answered shows that what was sent before it is lost, urgent or not.
func TestAnsweredConfigurationIsNoEvidenceOfLostJobs(t *testing.T) {
	h := newHarness(t, "k0", "k1", "k2")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 7, state.KindAcceptJob, 2*time.Second)
	if h.requests[0].Urgent {
		t.Error("a job's command is urgent")
	}
	h.submit(30*ms, 2, state.KindChangeConfig, 2*time.Second)
	if !h.requests[0].Urgent {
		t.Error("an operator's command is not urgent")
	}
	h.reply(40*ms, "k0", state.KindChangeConfig, success)
	h.step(300*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 1 {
		t.Errorf("the job's command was sent %d times", h.counts[state.KindAcceptJob])
	}
	h.submit(310*ms, 3, state.KindReadConfig, 2*time.Second)
	h.submit(320*ms, 4, state.KindReadJob, 2*time.Second)
	h.reply(330*ms, "k0", state.KindReadJob, success)
	h.step(600*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 2 || h.counts[state.KindReadConfig] != 2 {
		t.Errorf("what was lost is sent again: %v", h.counts)
	}
}
