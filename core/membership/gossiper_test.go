package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// network is a set of gossipers, by address, whose messages are delivered immediately.
type network struct {
	now     time.Duration
	members map[string]*Gossiper
	order   []string
}

func (n *network) start(id, address string, incarnation int64, seeds ...string) {
	if _, ok := n.members[address]; !ok {
		n.order = append(n.order, address)
	}
	self := wire.Node{ID: id, Role: "keeper", Zone: "a", Address: address, Incarnation: incarnation}
	n.members[address] = New(Config{Self: self, Seeds: seeds, RandomSeed: uint64(len(n.order))})
}

func (n *network) send(from string, out machine.Output) {
	for _, sent := range out.Messages {
		if to := n.members[sent.To]; to != nil {
			message := machine.Message{Version: 1, Kind: sent.Kind, From: from, Body: machine.MustMarshal(sent.Body)}
			n.send(sent.To, to.Step(n.now, machine.Input{Message: message}))
		}
	}
}

func (n *network) advance(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += 100 * time.Millisecond {
		for _, address := range n.order {
			if g := n.members[address]; g != nil {
				n.send(address, g.Step(n.now, machine.Input{}))
			}
		}
	}
}

// knownBy returns the number of running nodes that know a node, including itself.
func (n *network) knownBy(id string) (count int) {
	for _, g := range n.members {
		for _, node := range g.Nodes() {
			if node.ID == id {
				count++
			}
		}
	}
	return count
}

// TestMembersJoinMoveAndExpire checks that seven nodes that join through one seed come
// to know one another, and that the others notice when one stops, moves to another
// address or is replaced.
func TestMembersJoinMoveAndExpire(t *testing.T) {
	net := &network{now: time.Second, members: map[string]*Gossiper{}}
	net.start("n0", "a0", 100)
	for i := 1; i < 7; i++ {
		net.start(fmt.Sprintf("n%d", i), fmt.Sprintf("a%d", i), 100, "dead", "a0")
	}
	net.advance(10 * time.Second)
	if count := net.knownBy("n6"); count != 7 {
		t.Fatalf("n6, which joined through a single running seed, is known to %d of 7", count)
	}
	steps := []struct {
		name      string
		do        func()
		gone, new string
		living    int
	}{
		{"a stopped node expires and old gossip does not bring it back",
			func() { delete(net.members, "a1") }, "n1", "n2", 6},
		{"a node restarts at a new address",
			func() { delete(net.members, "a2"); net.start("n2", "b2", 101, "a0") }, "", "n2", 6},
		{"another node starts at a known address, with an earlier incarnation",
			func() { net.start("fresh", "a3", 5, "a0") }, "n3", "fresh", 6},
		{"a node restarts with an earlier incarnation, since its clock went back",
			func() { net.start("n4", "a4", 7, "a0") }, "", "n4", 6},
	}
	for _, step := range steps {
		step.do()
		net.advance(20 * time.Second)
		if count := net.knownBy(step.gone); step.gone != "" && count > 0 {
			t.Errorf("%s: %s is still known to %d", step.name, step.gone, count)
		}
		if count := net.knownBy(step.new); count != step.living {
			t.Errorf("%s: %s is known to %d of %d", step.name, step.new, count, step.living)
		}
	}
	for _, g := range net.members {
		for _, n := range g.Nodes() {
			if n.ID == "n2" && n.Address != "b2" {
				t.Errorf("n2 is still listed at its old address %s", n.Address)
			}
		}
	}
}

// TestNewMemberLearnsOfReplicaFromFirstReply checks that a new node whose seed knows
// one replica among many other nodes learns of the replica from the seed's first reply,
// and publishes it to its own process in the same step.
func TestNewMemberLearnsOfReplicaFromFirstReply(t *testing.T) {
	for seed := range uint64(30) {
		asked := New(Config{Self: wire.Node{ID: "f0", Role: "front", Zone: "a", Address: "f0"}, RandomSeed: seed})
		known := []wire.Node{{ID: "k", Role: "keeper", Zone: "a", Address: "k"}}
		for i := range 24 {
			zone := string(rune('a' + i/8))
			name := fmt.Sprintf("s%d", i)
			known = append(known, wire.Node{ID: name, Role: "scheduler", Zone: zone, Address: name})
		}
		input := func(kind, from string, body any) machine.Input {
			message := machine.Message{Version: 1, Kind: kind, From: from, Body: machine.MustMarshal(body)}
			return machine.Input{Message: message}
		}
		asked.Step(time.Second, input(wire.KindShuffleReply, "x", wire.Gossip{Nodes: known}))
		self := wire.Node{ID: "new", Role: "keeper", Zone: "a", Address: "new"}
		newcomer := New(Config{Self: self, Seeds: []string{"f0"}, RandomSeed: seed})
		notified := false
		for _, s := range newcomer.Step(time.Second, machine.Input{}).Messages {
			if s.To != "f0" {
				continue
			}
			for _, reply := range asked.Step(time.Second, input(s.Kind, "new", s.Body)).Messages {
				for _, out := range newcomer.Step(time.Second, input(reply.Kind, "f0", reply.Body)).Messages {
					gossip, ok := out.Body.(wire.Gossip)
					notified = notified || ok && out.To == "" && slices.ContainsFunc(gossip.Nodes, func(n wire.Node) bool {
						return n.Role == "keeper" && n.ID == "k"
					})
				}
			}
		}
		if !notified {
			t.Fatalf("seed %d: the new node did not publish the replica after the first reply", seed)
		}
	}
}

// TestNodeRejoinsThroughNewSeeds checks that a node all of whose known nodes have been
// replaced finds the new ones once it is given one of them as a seed.
func TestNodeRejoinsThroughNewSeeds(t *testing.T) {
	n := &network{members: map[string]*Gossiper{}}
	n.start("old", "old:1", 1)
	n.start("away", "away:1", 1, "old:1")
	n.advance(2 * time.Second)
	delete(n.members, "old:1")
	n.start("new", "new:1", 1)
	n.advance(20 * time.Second)
	if count := n.knownBy("new"); count != 1 {
		t.Fatalf("%d nodes know the new one before it is a seed, want only itself", count)
	}
	n.members["away:1"].SetSeeds([]string{"new:1"})
	n.advance(3 * time.Second)
	if count := n.knownBy("new"); count != 2 {
		t.Errorf("%d nodes know the new one after it became a seed, want 2", count)
	}
}
