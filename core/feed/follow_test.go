package feed

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestAHomeOfNewsThatGoesSaysSo: a daemon that passes news on to others of its
// site goes down in good order; they ask the primary within bounceWait, and are
// sent on as well if they ask it once more.
func TestStoppingZoneRelayRejectsSubscribers(t *testing.T) {
	const ms = time.Millisecond
	nodes := machine.MustMarshal(wire.Gossip{Nodes: []wire.Node{{Role: "keeper", Address: "k0"}, {Role: "front", Zone: "s", Address: "a"}, {Role: "front", Zone: "s", Address: "b"}}})
	a, b := NewReadReplica("a", "s", 1), NewReadReplica("b", "s", 1)
	deliver := func(r *ReadReplica, at time.Duration, from, kind string, body any) map[string][]string {
		var out machine.Output
		if raw, ok := body.([]byte); ok {
			r.Receive(at, machine.Message{Kind: kind, From: from, Body: raw}, &out)
		} else {
			r.Receive(at, machine.Message{Kind: kind, From: from, Body: machine.MustMarshal(body)}, &out)
		}
		return sentKinds(out)
	}
	deliver(a, 0, "", wire.KindNodeList, nodes)
	deliver(b, 0, "", wire.KindNodeList, nodes)
	relay, other := a, b
	if a.zoneRelay == "b" {
		relay, other = b, a
	}
	position := state.LogPosition{Epoch: 1, Index: 0}
	update := wire.FeedUpdate{Epoch: 1, Position: position, Records: state.New().Records()}
	update.Position = state.New().Position()
	deliver(relay, 10*ms, "k0", wire.KindFeedUpdate, update)
	deliver(other, 10*ms, "k0", wire.KindFeedUpdate, update)
	if !relay.Fresh(10*ms) || !other.Fresh(10*ms) {
		t.Fatal("the copies are not loaded")
	}
	deliver(relay, 20*ms, other.self, wire.KindSubscribe, wire.SubscribeRequest{Position: update.Position})
	var out machine.Output
	relay.Stop(&out)
	if got := sentKinds(out)[other.self]; len(got) != 1 || got[0] != wire.KindFeedUpdate {
		t.Fatalf("the home goes and tells its subscriber %v", got)
	}
	deliver(other, 30*ms, relay.self, wire.KindFeedUpdate, out.Messages[0].Body)
	out = machine.Output{}
	other.HandleTimers(30*ms+redirectDelay, &out)
	if got := sentKinds(out)["k0"]; len(got) != 1 || got[0] != wire.KindSubscribe {
		t.Errorf("the subscriber asks %v", sentKinds(out))
	}
	if got := deliver(relay, 120*ms, other.self, wire.KindSubscribe, wire.SubscribeRequest{Position: update.Position})[other.self]; len(got) != 1 || got[0] != wire.KindFeedUpdate || len(relay.subscribers) != 0 {
		t.Errorf("one that asks a home that goes hears %v, and it has %d subscribers", got, len(relay.subscribers))
	}
}

// sent gives the kinds of what was sent, by address.
func sentKinds(out machine.Output) map[string][]string {
	to := map[string][]string{}
	for _, s := range out.Messages {
		to[s.To] = append(to[s.To], s.Kind)
	}
	return to
}
