package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// TestReadyAfterRecentConfirmation checks that the client is ready only for readyTTL after a
// leader confirmed its leadership.
func TestReadyAfterRecentConfirmation(t *testing.T) {
	h := newHarness(t, "k0")
	check := func(at time.Duration, want bool) {
		t.Helper()
		if got := h.client.Ready(at); got != want {
			t.Errorf("at %s Ready returns %v", at, got)
		}
	}
	check(10*ms, false)
	h.reply(20*ms, "k0", "prove", notPrimary)
	check(20*ms, false)
	h.reply(100*ms, "k0", "prove", success)
	check(1600*ms, true)
	check(1601*ms, false)
}

// TestStopsOnceAllCommandsAreAnswered stops a client while a command is pending: it must answer
// the command before it reports that it has stopped.
func TestStopsOnceAllCommandsAreAnswered(t *testing.T) {
	h := newHarness(t, "k0")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 1, state.KindAcceptJob, time.Second)
	h.step(20*ms, machine.Input{Stop: true})
	if h.stopped {
		t.Error("stopped with a pending command")
	}
	h.reply(30*ms, "k0", "accept", success)
	if !h.stopped || h.answers[1].Code != status.OK {
		t.Errorf("stopped %v, answered %+v", h.stopped, h.answers[1])
	}
}

// TestBootstrapReplicasMayBeSetLater sets the bootstrap replicas of a client that started
// without any.
func TestBootstrapReplicasMayBeSetLater(t *testing.T) {
	h := newHarness(t)
	h.want()
	h.client.SetBootstrapReplicas([]string{"k9"})
	h.step(h.client.NextTimer(), machine.Input{})
	h.want("prove>k9")
}

// BenchmarkAnswer submits and answers one command while 1,000 others are pending.
func BenchmarkAnswer(b *testing.B) {
	c := New(Config{Address: "client", Replicas: []string{"k0"}, FirstCommandID: 1})
	now := time.Duration(0)
	reply := func(id uint64, body wire.CommandReply) {
		body.ID = id
		message := machine.Message{
			Version: 1, Kind: wire.KindCommandReply, From: "k0", Body: machine.MustMarshal(body),
		}
		c.Step(now, machine.Input{Message: message})
	}
	submit := func(id uint64) {
		command := state.Command{Kind: state.KindReadJob}
		request := machine.Request{ID: id, Kind: RequestCommand, Decoded: command, Wait: time.Hour}
		c.Step(now, machine.Input{Request: request})
	}
	reply(0, received)
	for id := uint64(1); id <= 1000; id++ {
		submit(id)
	}
	for b.Loop() {
		now += time.Microsecond
		submit(5000)
		reply(c.lastCommandID, success)
	}
}
