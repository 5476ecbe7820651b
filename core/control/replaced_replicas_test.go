package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// replace stops a control process permanently and starts another one with an empty disk at a
// new address. It returns when that process is a member of the view.
func (n *testNet) replace(address, successor string) {
	n.kill(address)
	n.addresses = slices.DeleteFunc(slices.Clone(n.addresses), func(other string) bool { return other == address })
	n.nodes[successor] = &testNode{}
	n.startReplica(successor, nil)
	n.addresses = append(n.addresses, successor)
	for deadline := n.now + 15*time.Second; !n.isMember(successor); {
		if n.now > deadline {
			n.t.Fatalf("%s is not a member after 15 s", successor)
		}
		n.announceNodes()
		n.run(time.Second)
	}
}

// isMember reports whether the leader's view has a voter at an address.
func (n *testNet) isMember(address string) bool {
	leader, ok := n.findLeader()
	return ok && slices.Contains(n.nodes[leader].control.Replica().MemberAddresses(), address)
}

// announceNodes sends all control processes the list of all of them, as the membership gossip
// does.
func (n *testNet) announceNodes() {
	var list wire.Gossip
	for _, address := range n.addresses {
		list.Nodes = append(list.Nodes, wire.Node{
			ID: n.nodes[address].control.ID(), Role: wire.RoleReplica, Zone: address, Address: address,
		})
	}
	for _, address := range n.addresses {
		n.step(address, machine.Input{Message: newMessage(wire.KindNodeList, address, list)})
	}
}

// TestAgentsFindThePrimaryOnceAllReplicasAreReplaced replaces the backups and then the primary
// by processes at other addresses, one after the other. Agents whose reports were never
// rejected in the meantime must find the new primary, and start a job submitted to it.
func TestAgentsFindThePrimaryOnceAllReplicasAreReplaced(t *testing.T) {
	const agents, startWithin = 5, 10 * time.Second
	n := newNet(t)
	n.configure()
	n.addAgents(agents, 300*time.Millisecond)
	n.run(2 * time.Second)
	first := n.leader()
	for i, address := range slices.Clone(n.addresses) {
		if address != first {
			n.replace(address, fmt.Sprintf("successor-%d:1", i))
		}
	}
	if n.leader() != first {
		t.Fatalf("the leader is %s, want %s", n.leader(), first)
	}
	n.replace(first, "last-successor:1")
	n.submitJob("j", 2*agents)
	n.run(startWithin)
	for _, s := range n.allAgents {
		if s.ends == 0 {
			t.Errorf("%s has completed no task within %s", s.address, startWithin)
		}
	}
}
