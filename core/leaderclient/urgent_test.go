package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestOvertakingAnswersAreNoEvidenceOfLoss has the leader answer an operator's command and a
// read before a job command that was sent earlier: both may overtake it, so it is not sent
// again. An answered job command shows that all unanswered commands sent before it are lost,
// whatever their priorities.
func TestOvertakingAnswersAreNoEvidenceOfLoss(t *testing.T) {
	h := newHarness(t, "k0", "k1", "k2")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 7, state.KindAcceptJob, 2*time.Second)
	if h.requests[0].Urgent || h.requests[0].Query {
		t.Error("a job command is marked as urgent or as a read")
	}
	h.submit(20*ms, 8, state.KindReadJob, 2*time.Second)
	if h.requests[0].Urgent || !h.requests[0].Query {
		t.Error("a read after a job command is marked as urgent or not marked as a read")
	}
	h.submit(30*ms, 2, state.KindChangeConfig, 2*time.Second)
	if !h.requests[0].Urgent || h.requests[0].Query {
		t.Error("an operator's command is not marked as urgent or is marked as a read")
	}
	h.reply(40*ms, "k0", state.KindChangeConfig, success)
	h.step(300*ms, machine.Input{})
	h.submit(302*ms, 9, state.KindReadWaitingCount, 2*time.Second)
	h.reply(304*ms, "k0", state.KindReadWaitingCount, success)
	h.step(308*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 1 || h.counts[state.KindReadJob] != 2 {
		t.Errorf("an answered read must show that an earlier read is lost, but not a job command: %v", h.counts)
	}
	h.submit(310*ms, 3, state.KindReadConfig, 2*time.Second)
	h.submit(320*ms, 4, state.KindCancelJob, 2*time.Second)
	h.reply(330*ms, "k0", state.KindCancelJob, success)
	h.step(800*ms, machine.Input{})
	if h.counts[state.KindAcceptJob] != 2 || h.counts[state.KindReadConfig] != 2 || h.counts[state.KindReadJob] != 3 {
		t.Errorf("lost commands are not sent again exactly once: %v", h.counts)
	}
}

// TestJobDroppedWhileProbesAreAnswered has the leader drop a job command because of its age and
// answer nothing but probes, which overtake it: the command must be sent again, but not while
// it may still be queued there.
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
