package transport

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// commandMessage returns a received message with a command, as leaderclient sends it.
func commandMessage(id uint64, kind state.CommandKind) machine.Message {
	outgoing := machine.OutgoingMessage{Kind: wire.KindCommand, Body: wire.CommandRequest{
		ID: id, Urgent: state.IsOperatorCommand(kind), Command: state.Command{Kind: kind},
	}}
	body, err := outgoing.Encode()
	if err != nil {
		panic(err)
	}
	return machine.Message{
		Version: machine.ProtocolVersion, Kind: outgoing.Kind, From: "gateway:1",
		CoalescingKey: outgoing.CoalescingKey(), Body: body,
	}
}

// TestOperatorCommandsPrecedeJobs simulates an overloaded primary, to which jobs are
// submitted faster than it handles them. Operators' commands must not wait behind the jobs.
func TestOperatorCommandsPrecedeJobs(t *testing.T) {
	const (
		handling = 5 * time.Millisecond
		waiting  = 1000
	)
	operatorKinds := []state.CommandKind{
		state.KindChangeConfig, state.KindReadConfig, state.KindReadRequest, state.KindSetZoneDrained,
	}
	now := time.Duration(0)
	queue := NewReceiveQueue(func() time.Duration { return now }, NewCounters())
	id := uint64(0)
	enqueue := func(kind state.CommandKind) {
		id++
		queue.Enqueue(commandMessage(id, kind))
	}
	for range waiting {
		enqueue(state.KindAcceptJob)
	}
	for range waiting {
		enqueue(state.KindReadJob)
	}
	for _, kind := range operatorKinds {
		enqueue(kind)
	}
	var handled []state.CommandKind
	for range operatorKinds {
		now += handling
		item, ok := queue.Dequeue(0)
		if !ok {
			t.Fatal("the queue is empty")
		}
		var request wire.CommandRequest
		if err := machine.Unmarshal(item.Message.Body, &request); err != nil {
			t.Fatal(err)
		}
		handled = append(handled, request.Command.Kind)
	}
	for i, kind := range operatorKinds {
		if handled[i] != kind {
			t.Errorf("got %s, want %s, after %s", handled[i], kind, time.Duration(i+1)*handling)
		}
	}
}
