package feed

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const ms = time.Millisecond

// deliver passes a message to a replica and returns the kinds of the messages that the
// replica sends, by receiver address. A body of type []byte is taken as encoded already.
func deliver(r *ReadReplica, now time.Duration, from, kind string, body any) map[string][]string {
	encoded, isEncoded := body.([]byte)
	if !isEncoded {
		encoded = machine.MustMarshal(body)
	}
	var out machine.Output
	r.Receive(now, machine.Message{Kind: kind, From: from, Body: encoded}, &out)
	return sentKinds(out)
}

// sentKinds returns the kinds of the messages in an output, by receiver address.
func sentKinds(out machine.Output) map[string][]string {
	kinds := map[string][]string{}
	for _, message := range out.Messages {
		kinds[message.To] = append(kinds[message.To], message.Kind)
	}
	return kinds
}

// newZone returns two fresh replicas in one zone: the zone relay and another one.
func newZone(t *testing.T) (relay, other *ReadReplica) {
	t.Helper()
	nodes := machine.MustMarshal(wire.Gossip{Nodes: []wire.Node{
		{Role: "keeper", Address: "k0"},
		{Role: "front", Zone: "s", Address: "a"},
		{Role: "front", Zone: "s", Address: "b"},
	}})
	relay, other = NewReadReplica("a", "s", 1), NewReadReplica("b", "s", 1)
	deliver(relay, 0, "", wire.KindNodeList, nodes)
	deliver(other, 0, "", wire.KindNodeList, nodes)
	if relay.upstream.zoneRelay == "b" {
		relay, other = other, relay
	}
	empty := state.New()
	update := wire.FeedUpdate{Epoch: 1, Position: empty.Position(), Records: empty.Records()}
	deliver(relay, 10*ms, "k0", wire.KindFeedUpdate, update)
	deliver(other, 10*ms, "k0", wire.KindFeedUpdate, update)
	if !relay.Fresh(10*ms) || !other.Fresh(10*ms) {
		t.Fatal("the replicas are not fresh after a snapshot from the primary")
	}
	return relay, other
}

// TestStoppingZoneRelayRejectsSubscribers checks that the subscriber of a zone relay
// that is shut down switches to the primary within redirectDelay, and that the relay
// also rejects a later subscription.
func TestStoppingZoneRelayRejectsSubscribers(t *testing.T) {
	relay, other := newZone(t)
	request := wire.SubscribeRequest{Position: state.New().Position()}
	deliver(relay, 20*ms, other.address, wire.KindSubscribe, request)
	var out machine.Output
	relay.Stop(&out)
	if got := sentKinds(out)[other.address]; len(got) != 1 || got[0] != wire.KindFeedUpdate {
		t.Fatalf("the stopping relay sends its subscriber %v", got)
	}
	deliver(other, 30*ms, relay.address, wire.KindFeedUpdate, out.Messages[0].Body)
	out = machine.Output{}
	other.HandleTimers(30*ms+redirectDelay, &out)
	if got := sentKinds(out)["k0"]; len(got) != 1 || got[0] != wire.KindSubscribe {
		t.Errorf("the rejected subscriber sends %v", sentKinds(out))
	}
	got := deliver(relay, 120*ms, other.address, wire.KindSubscribe, request)[other.address]
	if len(got) != 1 || got[0] != wire.KindFeedUpdate || len(relay.relay.subscribers) != 0 {
		t.Errorf("a subscriber of a stopping relay gets %v, and it has %d subscribers", got, len(relay.relay.subscribers))
	}
}
