package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// town is a set of members whose lines arrive at once; addresses name them.
type town struct {
	now     time.Duration
	members map[string]*Member
	order   []string
}

func (c *town) add(id, address string, incarnation int64, seeds ...string) {
	if _, ok := c.members[address]; !ok {
		c.order = append(c.order, address)
	}
	self := wire.Node{ID: id, Role: "keeper", Site: "a", Address: address, Incarnation: incarnation}
	c.members[address] = New(Env{Self: self, Seeds: seeds, Seed: uint64(len(c.order))})
}

func (c *town) send(from string, out machine.Output) {
	for _, s := range out.Sends {
		if to := c.members[s.To]; to != nil {
			line := machine.Line{Wire: 1, Kind: s.Kind, From: from, Body: machine.MustMarshal(s.Body)}
			c.send(s.To, to.Step(c.now, machine.Input{Line: line}))
		}
	}
}

func (c *town) pass(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 100 * time.Millisecond {
		for _, address := range c.order {
			if m := c.members[address]; m != nil {
				c.send(address, m.Step(c.now, machine.Input{}))
			}
		}
	}
}

// known says who is known at each living address, other than itself.
func (c *town) known(id string) (count int) {
	for _, m := range c.members {
		for _, n := range m.Nodes() {
			if n.ID == id {
				count++
			}
		}
	}
	return count
}

func TestMembersJoinMoveAndAgeOut(t *testing.T) {
	c := &town{now: time.Second, members: map[string]*Member{}}
	c.add("n0", "a0", 100)
	for i := 1; i < 7; i++ {
		c.add(fmt.Sprintf("n%d", i), fmt.Sprintf("a%d", i), 100, "dead", "a0")
	}
	c.pass(10 * time.Second)
	if n := c.known("n6"); n != 7 {
		t.Fatalf("joined through one living seed: known to %d of 7", n)
	}
	steps := []struct {
		name      string
		do        func()
		gone, new string
		living    int
	}{
		{"a dead one ages out and does not come back by hearsay", func() { delete(c.members, "a1") }, "n1", "n2", 6},
		{"back at a new address", func() { delete(c.members, "a2"); c.add("n2", "b2", 101, "a0") }, "", "n2", 6},
		{"another identity at a known address, though its clock went back",
			func() { c.add("fresh", "a3", 5, "a0") }, "n3", "fresh", 6},
		{"the same identity, though its clock went back", func() { c.add("n4", "a4", 7, "a0") }, "", "n4", 6},
	}
	for _, step := range steps {
		step.do()
		c.pass(20 * time.Second)
		if n := c.known(step.gone); step.gone != "" && n > 0 {
			t.Errorf("%s: %s is still known to %d", step.name, step.gone, n)
		}
		if n := c.known(step.new); n != step.living {
			t.Errorf("%s: %s is known to %d of %d", step.name, step.new, n, step.living)
		}
	}
	for _, m := range c.members {
		for _, n := range m.Nodes() {
			if n.ID == "n2" && n.Address != "b2" {
				t.Errorf("n2 is still thought to be at %s", n.Address)
			}
		}
	}
}

// TestANewcomerHearsOfAKeeperAtOnce has a newcomer ask one member that knows many
// daemons and one keeper: the first reply names the keeper, and the newcomer
// tells its own daemon in that moment.
func TestANewcomerHearsOfAKeeperAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		asked := New(Env{Self: wire.Node{ID: "f0", Role: "front", Site: "a", Address: "f0"}, Seed: seed})
		hear := []wire.Node{{ID: "k", Role: "keeper", Site: "a", Address: "k"}}
		for i := range 24 {
			site := string(rune('a' + i/8))
			name := fmt.Sprintf("s%d", i)
			hear = append(hear, wire.Node{ID: name, Role: "scheduler", Site: site, Address: name})
		}
		line := func(kind, from string, body any) machine.Input {
			return machine.Input{Line: machine.Line{Wire: 1, Kind: kind, From: from, Body: machine.MustMarshal(body)}}
		}
		asked.Step(time.Second, line(wire.ShuffleBack, "x", wire.Gossip{Nodes: hear}))
		self := wire.Node{ID: "new", Role: "keeper", Site: "a", Address: "new"}
		fresh := New(Env{Self: self, Seeds: []string{"f0"}, Seed: seed})
		told := false
		for _, s := range fresh.Step(time.Second, machine.Input{}).Sends {
			if s.To != "f0" {
				continue
			}
			for _, back := range asked.Step(time.Second, line(s.Kind, "new", s.Body)).Sends {
				for _, out := range fresh.Step(time.Second, line(back.Kind, "f0", back.Body)).Sends {
					b, ok := out.Body.(wire.Gossip)
					told = told || ok && out.To == "" && slices.ContainsFunc(b.Nodes, func(n wire.Node) bool {
						return n.Role == "keeper" && n.ID == "k"
					})
				}
			}
		}
		if !told {
			t.Fatalf("seed %d: the newcomer does not know the keeper after the first reply", seed)
		}
	}
}
