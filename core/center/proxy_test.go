package center

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// TestAProxySendsOn asks a proxy that knows nothing, then one that knows keepers from
// the members, then one that has heard the view, for all that a keeper is asked for.
func TestAProxySendsOn(t *testing.T) {
	p := NewProxy(wire.Seat{ID: "p", Address: "p:1", Site: "x"}, []string{"p:1", "a:1"})
	step := func(kind string, body any) []machine.Send {
		return p.Step(time.Second, machine.Input{Line: machine.Line{Wire: 1, Kind: kind, From: "f:1", Body: machine.MustMarshal(body)}}).Sends
	}
	if out := p.Step(0, machine.Input{}).Sends; len(out) != 1 || out[0].To != "a:1" || out[0].Kind != wire.Found || !out[0].Body.(wire.FoundBody).Proxy {
		t.Errorf("it asks %+v for the view", out)
	}
	p.askAt = time.Hour
	view := wire.View{Epoch: 3, Primary: wire.Seat{ID: "k2", Address: "k:2"}, Witnesses: []wire.Seat{{ID: "k1", Address: "k:1"}, {ID: "k2", Address: "k:2"}}}
	for _, row := range []struct {
		name    string
		kind    string
		body    any
		primary string
		keepers []string
	}{
		{"nothing", "", nil, "", nil},
		{"members", wire.Nodes, wire.Gossip{Nodes: []wire.Node{{ID: "k1", Role: "keeper", Address: "k:1"}, {ID: "q", Role: "proxy", Address: "q:1"}}}, "", []string{"k:1"}},
		{"a view", wire.FoundBack, wire.FoundBody{Seat: view.Primary, View: view}, "k:2", []string{"k:1", "k:2"}},
		{"an older view", wire.FoundBack, wire.FoundBody{View: wire.View{Epoch: 2}}, "k:2", []string{"k:1", "k:2"}},
	} {
		if row.kind != "" {
			step(row.kind, row.body)
		}
		c := step(wire.Command, wire.CommandBody{ID: 7})[0].Body.(wire.CommandBackBody)
		b := step(wire.Beat, wire.BeatBody{ID: 8})[0].Body.(wire.BeatBackBody)
		if c.ID != 7 || c.Answer.Code != code.NotPrimary || c.Primary != row.primary || !slices.Equal(c.Keepers, row.keepers) {
			t.Errorf("%s: a command gets %+v", row.name, c)
		}
		if b.ID != 8 || b.Answer.Code != code.NotPrimary || b.Primary != row.primary || !slices.Equal(b.Keepers, row.keepers) {
			t.Errorf("%s: a beat gets %+v", row.name, b)
		}
	}
	if f := step(wire.Found, wire.FoundBody{})[0].Body.(wire.FoundBody); !f.Proxy || !f.Empty || f.View.Epoch != 3 {
		t.Errorf("a keeper gets %+v", f)
	}
	if out := step(wire.News, wire.NewsBody{Bounced: true, Epoch: 4, Primary: "k:1"}); len(out) != 1 || out[0].To != "k:1" {
		t.Errorf("word of a new primary leads to %+v", out)
	}
}

// TestCentersFoundWithAProxyAmongTheSeeds has the smallest seed without a disk.
func TestCentersFoundWithAProxyAmongTheSeeds(t *testing.T) {
	n := &net{t: t, nodes: map[string]*node{}, addr: []string{"a:1", "b:1", "c:1"}, replies: map[uint64]wire.BeatBackBody{}, answers: map[uint64]wire.CommandBackBody{}}
	p := NewProxy(wire.Seat{ID: "p", Address: "a:1", Site: "a"}, n.addr)
	keepers := []string{"b:1", "c:1", "d:1"}
	for _, at := range keepers {
		n.nodes[at] = &node{}
		n.start(at)
	}
	n.addr = keepers
	var nodes []wire.Node
	for _, at := range keepers {
		nodes = append(nodes, wire.Node{ID: n.nodes[at].center.ID(), Role: "keeper", Site: at, Address: at})
	}
	for range 30 {
		for _, at := range keepers {
			n.step(at, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.Nodes, Body: machine.MustMarshal(wire.Gossip{Nodes: nodes})}})
			n.step(at, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.FoundBack, From: "a:1", Body: machine.MustMarshal(p.self())}})
		}
		n.run(100 * time.Millisecond)
	}
	if at := n.leader(); at != "b:1" || len(n.nodes[at].center.Keeper().View().Witnesses) != 3 {
		t.Errorf("%s leads by %+v", at, n.nodes[at].center.Keeper().View())
	}
}
