package control

import "testing"

// TestFiguresOfLeaderAndFollowers compares the figures of the leader and its followers while
// one task runs and a job with 30 tasks is waiting.
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
				t.Errorf("follower %s: %+v", address, figures)
			}
			continue
		}
		if len(figures.Classes) != 1 || len(figures.Replica.Members) != 3 {
			t.Fatalf("leader: %+v", figures)
		}
		class := figures.Classes[0]
		if class.WaitingJobs != 1 || class.LeasedTasks+class.ReadyTasks != 31 || class.ReadyTasks != figures.QueuedTasks {
			t.Errorf("class %+v, %d queued tasks", class, figures.QueuedTasks)
		}
	}
}
