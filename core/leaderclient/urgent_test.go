package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestAnsweredConfigurationIsNoEvidenceOfLostJobs has the leader answer an operator's command
// and a question before a job's that was sent earlier: they overtake, so the job's is not sent
// again. A job's command that is answered shows that what was sent before it is lost, whatever
// it is.
func TestAnsweredConfigurationIsNoEvidenceOfLostJobs(t *testing.T) {
	h := newHarness(t, "k0", "k1", "k2")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 7, state.KindAcceptJob, 2*time.Second)
	if h.requests[0].Urgent || h.requests[0].Question {
		t.Error("a job's command is urgent, or a question")
	}
	h.submit(20*ms, 8, state.KindReadJob, 2*time.Second)
	if h.requests[0].Urgent || !h.requests[0].Question {
		t.Error("a question after a job is urgent, or none")
	}
	h.submit(30*ms, 2, state.KindChangeConfig, 2*time.Second)
	if !h.requests[0].Urgent || h.requests[0].Question {
		t.Error("an operator's command is not urgent, or a question")
	}
	h.reply(40*ms, "k0", state.KindChangeConfig, success)
	h.step(300*ms, machine.Input{})
	h.submit(302*ms, 9, state.KindReadWaitingCount, 2*time.Second)
	h.reply(304*ms, "k0", state.KindReadWaitingCount, success)
	h.step(308*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 1 || h.counts[state.KindReadJob] != 2 {
		t.Errorf("a question that is answered says nothing of a job, but of an earlier question: %v", h.counts)
	}
	h.submit(310*ms, 3, state.KindReadConfig, 2*time.Second)
	h.submit(320*ms, 4, state.KindCancelJob, 2*time.Second)
	h.reply(330*ms, "k0", state.KindCancelJob, success)
	h.step(800*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 2 || h.counts[state.KindReadConfig] != 2 || h.counts[state.KindReadJob] != 3 {
		t.Errorf("what was lost is sent again: %v", h.counts)
	}
}

// TestJobDroppedWhileProbesAreAnswered has the leader drop a job's command for its age, and
// answer nothing but probes, which overtake it: the command is sent again all the same, and
// not while it may still wait there.
func TestJobDroppedWhileProbesAreAnswered(t *testing.T) {
	h := newHarness(t, "k0", "k1", "k2")
	h.reply(5*ms, "k0", "prove", success)
	h.submit(10*ms, 7, state.KindAcceptJob, 3*time.Second)
	resentAt := time.Duration(0)
	for at := 20 * ms; at < 2*time.Second && resentAt == 0; at += ms {
		h.step(at, machine.Input{})
		probed := false
		for _, request := range h.requests {
			probed = probed || request.Command.Kind == state.KindConfirmLeadership
		}
		if h.counts[state.KindAcceptJob] > 1 {
			resentAt = at
		}
		if probed {
			at += ms
			h.reply(at, "k0", "prove", success)
		}
	}
	if resentAt < wire.MaxCommandWait || resentAt > 2*maxProbeInterval {
		t.Errorf("the command was sent again at %s", resentAt)
	}
}
