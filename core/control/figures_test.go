package control

import "testing"

// TestFiguresOfLeaderAndFollowers has a job wait, of which one task is leased and begun.
func TestFiguresOfLeaderAndFollowers(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.runTask()
	n.submitJob("waits", 30)
	for _, address := range n.addresses {
		node := n.nodes[address]
		figures := node.control.Figures(n.now - node.boot)
		if address != n.leader() {
			if figures.Replica.Serving || figures.Classes != nil || figures.QueuedTasks != 0 {
				t.Errorf("the follower %s tells %+v", address, figures)
			}
			continue
		}
		if len(figures.Classes) != 1 || len(figures.Replica.Members) != 3 {
			t.Fatalf("the leader tells %+v", figures)
		}
		class := figures.Classes[0]
		if class.WaitingJobs != 1 || class.LeasedTasks+class.ReadyTasks != 31 || class.ReadyTasks != figures.QueuedTasks {
			t.Errorf("the class has %+v, %d tasks are queued", class, figures.QueuedTasks)
		}
	}
}
