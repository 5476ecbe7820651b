package control

import "testing"

// TestMetricsOfPrimaryAndOtherReplicas checks the metrics of the primary and of the other replicas
// while one task runs and a job with 30 tasks is waiting.
func TestMetricsOfPrimaryAndOtherReplicas(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.runTask()
	n.submitJob("waits", 30)
	for _, address := range n.addresses {
		node := n.nodes[address]
		metrics := node.control.Metrics(n.now - node.boot)
		if address != n.leader() {
			if metrics.Replica.Serving || metrics.Classes != nil || metrics.QueuedTasks != 0 {
				t.Errorf("replica %s: %+v", address, metrics)
			}
			continue
		}
		if len(metrics.Classes) != 1 || len(metrics.Replica.Members) != 3 {
			t.Fatalf("primary: %+v", metrics)
		}
		class := metrics.Classes[0]
		if class.WaitingJobs != 1 || class.LeasedTasks+class.ReadyTasks != 31 || class.ReadyTasks != metrics.QueuedTasks {
			t.Errorf("class %+v, %d queued tasks", class, metrics.QueuedTasks)
		}
	}
}
