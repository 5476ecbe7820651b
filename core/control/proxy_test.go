package control

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// TestProxyRedirectsToReplicas sends a proxy the requests that a replica receives: first
// without any knowledge of replicas, then with replicas known from gossip, then with a known
// view.
func TestProxyRedirectsToReplicas(t *testing.T) {
	p := NewProxy(wire.Member{ID: "p", Address: "p:1", Zone: "x"}, []string{"p:1", "a:1"})
	step := func(kind string, body any) []machine.OutgoingMessage {
		return p.Step(time.Second, machine.Input{Message: newMessage(kind, "f:1", body)}).Messages
	}
	out := p.Step(0, machine.Input{}).Messages
	if len(out) != 1 || out[0].To != "a:1" || out[0].Kind != wire.KindBootstrapProbe ||
		!out[0].Body.(wire.BootstrapStatus).Proxy {
		t.Errorf("the first step sends %+v, want a probe to the seed a:1", out)
	}
	p.nextQuery = time.Hour
	k1, k2 := wire.Member{ID: "k1", Address: "k:1"}, wire.Member{ID: "k2", Address: "k:2"}
	view := wire.View{Epoch: 3, Primary: k2, Voters: []wire.Member{k1, k2}}
	gossip := wire.Gossip{Nodes: []wire.Node{
		{ID: "k1", Role: wire.RoleReplica, Address: "k:1"}, {ID: "q", Role: "proxy", Address: "q:1"},
	}}
	for _, row := range []struct {
		name     string
		kind     string
		body     any
		primary  string
		replicas []string
	}{
		{"no knowledge", "", nil, "", nil},
		{"gossip", wire.KindNodeList, gossip, "", []string{"k:1"}},
		{
			"a view", wire.KindBootstrapReply, wire.BootstrapStatus{Member: view.Primary, View: view},
			"k:2", []string{"k:1", "k:2"},
		},
		{
			"an older view", wire.KindBootstrapReply, wire.BootstrapStatus{View: wire.View{Epoch: 2}},
			"k:2", []string{"k:1", "k:2"},
		},
	} {
		if row.kind != "" {
			step(row.kind, row.body)
		}
		command := step(wire.KindCommand, wire.CommandRequest{ID: 7})[0].Body.(wire.CommandReply)
		if command.ID != 7 || command.Result.Code != status.NotPrimary || command.Primary != row.primary ||
			!slices.Equal(command.Replicas, row.replicas) {
			t.Errorf("%s: reply to a command: %+v", row.name, command)
		}
		heartbeat := step(wire.KindHeartbeat, wire.HeartbeatRequest{ID: 8})[0].Body.(wire.HeartbeatReply)
		if heartbeat.ID != 8 || heartbeat.Result.Code != status.NotPrimary || heartbeat.Primary != row.primary ||
			!slices.Equal(heartbeat.Replicas, row.replicas) {
			t.Errorf("%s: reply to a heartbeat: %+v", row.name, heartbeat)
		}
	}
	probed := step(wire.KindBootstrapProbe, wire.BootstrapStatus{})[0].Body.(wire.BootstrapStatus)
	if !probed.Proxy || !probed.Empty || probed.View.Epoch != 3 {
		t.Errorf("reply to a probe: %+v", probed)
	}
	out = step(wire.KindFeedUpdate, wire.FeedUpdate{Rejected: true, Epoch: 4, Primary: "k:1"})
	if len(out) != 1 || out[0].To != "k:1" {
		t.Errorf("after an update that names a new primary, the proxy sends %+v", out)
	}
}

// TestBootstrapWithAProxyAmongTheSeeds bootstraps three replicas while the seed with the
// smallest address is a proxy. The replica with the smallest address becomes the leader.
func TestBootstrapWithAProxyAmongTheSeeds(t *testing.T) {
	n := newEmptyNet(t, "a:1", "b:1", "c:1")
	p := NewProxy(wire.Member{ID: "p", Address: "a:1", Zone: "a"}, n.addresses)
	replicas := []string{"b:1", "c:1", "d:1"}
	for _, address := range replicas {
		n.nodes[address] = &testNode{}
		n.start(address)
	}
	n.addresses = replicas
	var nodes []wire.Node
	for _, address := range replicas {
		id := n.nodes[address].control.ID()
		nodes = append(nodes, wire.Node{ID: id, Role: wire.RoleReplica, Zone: address, Address: address})
	}
	for range 30 {
		for _, address := range replicas {
			n.step(address, machine.Input{Message: newMessage(wire.KindNodeList, "", wire.Gossip{Nodes: nodes})})
			n.step(address, machine.Input{Message: newMessage(wire.KindBootstrapReply, "a:1", p.discovery())})
		}
		n.run(100 * time.Millisecond)
	}
	leader := n.leader()
	if view := n.nodes[leader].control.Replica().View(); leader != "b:1" || len(view.Voters) != 3 {
		t.Errorf("%s leads in view %+v, want b:1 with 3 voters", leader, view)
	}
}
