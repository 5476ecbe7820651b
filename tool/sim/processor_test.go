package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// recorder is a state machine that records the kinds of the messages it receives, and when.
type recorder struct {
	kinds []string
	at    []time.Duration
}

func (r *recorder) NextTimer() time.Duration { return 0 }

func (r *recorder) Step(now time.Duration, in machine.Input) machine.Output {
	if in.Message.Kind != "" {
		r.kinds = append(r.kinds, in.Message.Kind)
		r.at = append(r.at, now)
	}
	return machine.Output{}
}

// newPair returns a world that contains only a sender and a receiver, and the receiver's
// recorder.
func newPair(hardware *Hardware) (w *World, from, to *node, got *recorder) {
	w = NewWorld(1)
	w.hardware = hardware
	got = &recorder{}
	add := func(address string, m machine.Machine) *node {
		n := &node{name: address, role: roleLeaderClient, address: address, state: up, machine: m, diskSlowFactor: 1}
		n.processor = w.newProcessor(n)
		w.nodes[address] = n
		return n
	}
	return w, add("a", &recorder{}), add("b", got), got
}

// sendText sends a message with a text of size bytes to the receiver.
func (w *World) sendText(from *node, kind string, size int) {
	body := machine.MustJSON(strings.Repeat("x", size))
	w.send(from, encodedMessage{machine.OutgoingMessage{To: "b", Kind: kind}, body})
}

// slowReader returns hardware on which reading a message takes a given processor time, and a
// process has half a core.
func slowReader(each time.Duration) *Hardware {
	links := Links{BytesPerSecond: 1_000_000, Window: 100_000, WriteTimeout: 3 * time.Second, QueueMax: 100}
	return &Hardware{Share: 0.5, Costs: Costs{ReadMessage: each}, Links: links}
}

func TestBusyProcessorTakesMessagesInTurn(t *testing.T) {
	w, from, _, got := newPair(slowReader(100 * time.Millisecond))
	for range 5 {
		w.sendText(from, "x", 10)
	}
	w.RunUntil(2 * time.Second)
	if len(got.at) != 5 {
		t.Fatalf("%d of 5 messages were processed", len(got.at))
	}
	for i := 1; i < 5; i++ {
		if gap := got.at[i] - got.at[i-1]; gap != 200*time.Millisecond {
			t.Errorf("message %d is processed %s after the one before, want 200ms: 100ms of work on half a core", i, gap)
		}
	}
}

func TestQueuePolicyRanksAndDropsStaleMessages(t *testing.T) {
	hardware := slowReader(100 * time.Millisecond)
	hardware.QueuePolicy = QueuePolicy{
		Rank: func(kind string) int { return map[string]int{wire.KindReplicate: 0, wire.KindHeartbeat: 1}[kind] },
		MaxAge: func(kind string) time.Duration {
			return map[string]time.Duration{wire.KindHeartbeat: 400 * time.Millisecond}[kind]
		},
	}
	w, _, to, got := newPair(hardware)
	for _, kind := range []string{
		wire.KindHeartbeat, wire.KindHeartbeat, wire.KindReplicate, wire.KindReplicate, wire.KindHeartbeat,
	} {
		w.deliver(to, machine.Message{Version: 1, Kind: kind, From: "a"}, nil)
	}
	w.RunUntil(2 * time.Second)
	want := []string{wire.KindHeartbeat, wire.KindReplicate, wire.KindReplicate}
	if !slices.Equal(got.kinds, want) {
		t.Errorf("processed %v, want %v: replicate messages first, heartbeats older than 400ms dropped", got.kinds, want)
	}
}

func TestQueuedMessageIsCoalesced(t *testing.T) {
	hardware := slowReader(100 * time.Millisecond)
	hardware.QueuePolicy.CoalescingKey = func(message machine.Message) string {
		return map[string]string{wire.KindHeartbeat: "worker"}[message.Kind]
	}
	w, _, to, got := newPair(hardware)
	for _, from := range []string{"a", "a", "a", "c"} {
		w.deliver(to, machine.Message{Version: 1, Kind: wire.KindHeartbeat, From: from}, nil)
	}
	w.RunUntil(2 * time.Second)
	if len(got.kinds) != 3 {
		t.Errorf("%d heartbeats processed, want 3: the first of a, the newest of a, and that of c", len(got.kinds))
	}
}

func TestReadAheadDoesNotBlockWriter(t *testing.T) {
	hardware := slowReader(500 * time.Millisecond)
	hardware.QueuePolicy.ReadsAhead = true
	w, from, to, _ := newPair(hardware)
	for range 4 {
		w.sendText(from, "x", 60_000)
	}
	w.RunUntil(time.Second)
	if waits := len(to.processor.queue); waits != 3 || from.sender.connections[0].inFlight > 0 {
		t.Errorf("%d messages queued, want 3; %d bytes in flight, want 0", waits, from.sender.connections[0].inFlight)
	}
}
