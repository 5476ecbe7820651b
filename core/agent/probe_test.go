package agent

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// answerProbe delivers a reply to the last probe.
func (h *harness) answerProbe(reply wire.CommandReply) {
	h.Helper()
	if len(h.probes) == 0 {
		h.Fatal("no probe was sent")
	}
	reply.ID = h.probes[len(h.probes)-1].ID
	h.step(machine.Input{Message: machine.Message{
		Version: 1, Kind: wire.KindCommandReply, From: "k1", Body: machine.MustMarshal(reply),
	}})
}

// TestIdleAgentLearnsOfReplacedReplicas replaces replicas while an agent has no worker. The agent's
// probes go to the primary and, once that is silent, to the replicas of the newest view, so the first
// report of a worker is sent to the current primary.
func TestIdleAgentLearnsOfReplacedReplicas(t *testing.T) {
	h := newHarness(t, 1)
	h.step(machine.Input{})
	h.advance(probeInterval)
	h.equal("kind", h.probes[0].Command.Kind, state.KindConfirmLeadership)
	h.answerProbe(wire.CommandReply{
		Result: state.Result{Code: status.NotPrimary}, Primary: "k2", Replicas: []string{"k1", "k2", "k3"}, ReplicasEpoch: 1,
	})
	h.advance(probeInterval)
	h.answerProbe(wire.CommandReply{Replicas: []string{"k2", "n1", "n3"}, ReplicasEpoch: 3})
	h.advance(2 * probeInterval)
	h.answerProbe(wire.CommandReply{
		Result: state.Result{Code: status.NotPrimary}, Primary: "n3", Replicas: []string{"n1", "n2", "n3"}, ReplicasEpoch: 5,
	})
	h.equal("targets", h.probeTargets, []string{"k1", "k2", "k2", "n1"})
	h.equal("reached", h.agent.ReachesReplicas(h.now), true)
	h.callAgent(nil)
	h.equal("target of the report", h.targets, []string{"n3"})
	h.equal("replicas", h.agent.replicas.known.Addresses, []string{"n1", "n2", "n3"})
}

// TestNoProbesWhileReporting checks that no probe is sent while reports are answered.
func TestNoProbesWhileReporting(t *testing.T) {
	h := newHarness(t, 1)
	for range 20 {
		h.callAgent(nil)
		h.accept(state.HeartbeatReply{})
		h.advance(300 * ms)
	}
	h.equal("probes", len(h.probes), 0)
}

// TestBootstrapReplicasAreReplaced checks that new bootstrap replicas are tried when no replica that
// the agent knows answers.
func TestBootstrapReplicasAreReplaced(t *testing.T) {
	h := newHarness(t, 1)
	h.agent.SetBootstrapReplicas([]string{"n1"})
	for end := h.now + 5*time.Second; h.now < end; h.advance(100 * ms) {
		h.callAgent(nil)
	}
	h.equal("last target", h.targets[len(h.targets)-1], "n1")
	h.equal("reached", h.agent.ReachesReplicas(h.now), false)
}
