package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// town is a set of members whose lines arrive at once; addresses name them.
type network struct {
	now     time.Duration
	members map[string]*Gossiper
	order   []string
}

func (c *network) start(id, address string, incarnation int64, seeds ...string) {
	if _, ok := c.members[address]; !ok {
		c.order = append(c.order, address)
	}
	self := wire.Node{ID: id, Role: "keeper", Zone: "a", Address: address, Incarnation: incarnation}
	c.members[address] = New(Config{Self: self, Seeds: seeds, Seed: uint64(len(c.order))})
}

func (c *network) send(from string, out machine.Output) {
	for _, s := range out.Messages {
		if to := c.members[s.To]; to != nil {
			line := machine.Message{Version: 1, Kind: s.Kind, From: from, Body: machine.MustMarshal(s.Body)}
			c.send(s.To, to.Step(c.now, machine.Input{Message: line}))
		}
	}
}

func (c *network) advance(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 100 * time.Millisecond {
		for _, address := range c.order {
			if g := c.members[address]; g != nil {
				c.send(address, g.Step(c.now, machine.Input{}))
			}
		}
	}
}

// known says who is known at each living address, other than itself.
func (c *network) knownBy(id string) (count int) {
	for _, g := range c.members {
		for _, n := range g.Nodes() {
			if n.ID == id {
				count++
			}
		}
	}
	return count
}

func TestMembersJoinMoveAndExpire(t *testing.T) {
	c := &network{now: time.Second, members: map[string]*Gossiper{}}
	c.start("n0", "a0", 100)
	for i := 1; i < 7; i++ {
		c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("a%d", i), 100, "dead", "a0")
	}
	c.advance(10 * time.Second)
	if n := c.knownBy("n6"); n != 7 {
		t.Fatalf("joined through one living seed: known to %d of 7", n)
	}
	steps := []struct {
		name      string
		do        func()
		gone, new string
		living    int
	}{
		{"a dead one ages out and does not come back by hearsay", func() { delete(c.members, "a1") }, "n1", "n2", 6},
		{"back at a new address", func() { delete(c.members, "a2"); c.start("n2", "b2", 101, "a0") }, "", "n2", 6},
		{"another identity at a known address, though its clock went back",
			func() { c.start("fresh", "a3", 5, "a0") }, "n3", "fresh", 6},
		{"the same identity, though its clock went back", func() { c.start("n4", "a4", 7, "a0") }, "", "n4", 6},
	}
	for _, step := range steps {
		step.do()
		c.advance(20 * time.Second)
		if n := c.knownBy(step.gone); step.gone != "" && n > 0 {
			t.Errorf("%s: %s is still known to %d", step.name, step.gone, n)
		}
		if n := c.knownBy(step.new); n != step.living {
			t.Errorf("%s: %s is known to %d of %d", step.name, step.new, n, step.living)
		}
	}
	for _, g := range c.members {
		for _, n := range g.Nodes() {
			if n.ID == "n2" && n.Address != "b2" {
				t.Errorf("n2 is still thought to be at %s", n.Address)
			}
		}
	}
}

// TestANewcomerHearsOfAKeeperAtOnce has a newcomer ask one member that knows many
// daemons and one keeper: the first reply names the keeper, and the newcomer
// tells its own daemon in that moment.
func TestNewMemberLearnsOfReplicaFromFirstReply(t *testing.T) {
	for seed := range uint64(30) {
		asked := New(Config{Self: wire.Node{ID: "f0", Role: "front", Zone: "a", Address: "f0"}, Seed: seed})
		known := []wire.Node{{ID: "k", Role: "keeper", Zone: "a", Address: "k"}}
		for i := range 24 {
			site := string(rune('a' + i/8))
			name := fmt.Sprintf("s%d", i)
			known = append(known, wire.Node{ID: name, Role: "scheduler", Zone: site, Address: name})
		}
		input := func(kind, from string, body any) machine.Input {
			return machine.Input{Message: machine.Message{Version: 1, Kind: kind, From: from, Body: machine.MustMarshal(body)}}
		}
		asked.Step(time.Second, input(wire.KindShuffleReply, "x", wire.Gossip{Nodes: known}))
		self := wire.Node{ID: "new", Role: "keeper", Zone: "a", Address: "new"}
		newcomer := New(Config{Self: self, Seeds: []string{"f0"}, Seed: seed})
		notified := false
		for _, s := range newcomer.Step(time.Second, machine.Input{}).Messages {
			if s.To != "f0" {
				continue
			}
			for _, reply := range asked.Step(time.Second, input(s.Kind, "new", s.Body)).Messages {
				for _, out := range newcomer.Step(time.Second, input(reply.Kind, "f0", reply.Body)).Messages {
					b, ok := out.Body.(wire.Gossip)
					notified = notified || ok && out.To == "" && slices.ContainsFunc(b.Nodes, func(n wire.Node) bool {
						return n.Role == "keeper" && n.ID == "k"
					})
				}
			}
		}
		if !notified {
			t.Fatalf("seed %d: the newcomer does not know the keeper after the first reply", seed)
		}
	}
}
