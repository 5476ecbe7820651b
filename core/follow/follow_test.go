package follow

import (
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// TestAHomeOfNewsThatGoesSaysSo: a daemon that passes news on to others of its
// site goes down in good order; they ask the primary within bounceWait, and are
// sent on as well if they ask it once more.
func TestAHomeOfNewsThatGoesSaysSo(t *testing.T) {
	const ms = time.Millisecond
	nodes := machine.MustMarshal(wire.Gossip{Nodes: []wire.Node{{Role: "keeper", Address: "k0"}, {Role: "front", Site: "s", Address: "a"}, {Role: "front", Site: "s", Address: "b"}}})
	a, b := New("a", "s", 1), New("b", "s", 1)
	line := func(c *Copy, at time.Duration, from, kind string, body any) map[string][]string {
		var out machine.Output
		if raw, ok := body.([]byte); ok {
			c.Line(at, machine.Line{Kind: kind, From: from, Body: raw}, &out)
		} else {
			c.Line(at, machine.Line{Kind: kind, From: from, Body: machine.MustMarshal(body)}, &out)
		}
		return sent(out)
	}
	line(a, 0, "", wire.Nodes, nodes)
	line(b, 0, "", wire.Nodes, nodes)
	home, other := a, b
	if a.home == "b" {
		home, other = b, a
	}
	position := ledger.Position{Epoch: 1, Sequence: 0}
	news := wire.NewsBody{Epoch: 1, At: position, Records: ledger.New().Records()}
	news.At = ledger.New().Position()
	line(home, 10*ms, "k0", wire.News, news)
	line(other, 10*ms, "k0", wire.News, news)
	if !home.Fresh(10*ms) || !other.Fresh(10*ms) {
		t.Fatal("the copies are not loaded")
	}
	line(home, 20*ms, other.self, wire.Follow, wire.FollowBody{At: news.At})
	var out machine.Output
	home.Leave(&out)
	if got := sent(out)[other.self]; len(got) != 1 || got[0] != wire.News {
		t.Fatalf("the home goes and tells its subscriber %v", got)
	}
	line(other, 30*ms, home.self, wire.News, out.Sends[0].Body)
	out = machine.Output{}
	other.Wake(30*ms+bounceWait, &out)
	if got := sent(out)["k0"]; len(got) != 1 || got[0] != wire.Follow {
		t.Errorf("the subscriber asks %v", sent(out))
	}
	if got := line(home, 120*ms, other.self, wire.Follow, wire.FollowBody{At: news.At})[other.self]; len(got) != 1 || got[0] != wire.News || len(home.subs) != 0 {
		t.Errorf("one that asks a home that goes hears %v, and it has %d subscribers", got, len(home.subs))
	}
}

// sent gives the kinds of what was sent, by address.
func sent(out machine.Output) map[string][]string {
	to := map[string][]string{}
	for _, s := range out.Sends {
		to[s.To] = append(to[s.To], s.Kind)
	}
	return to
}
