package control

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// TestLateHeartbeatOverwritesNothing delivers an old heartbeat seconds after a newer one. It is
// rejected with the number of the newest one, without orders or a lease. The records of the
// worker and its task don't change, and the worker's lease expires as if the late heartbeat
// had not arrived.
func TestLateHeartbeatOverwritesNothing(t *testing.T) {
	const newest, lateness = 9, 3 * time.Second
	table := []struct {
		name   string
		change func(late *state.Heartbeat)
	}{
		{"same content as the newest", func(*state.Heartbeat) {}},
		{"before the start of the task", func(late *state.Heartbeat) { late.Running = nil }},
		{"with the end of the task", func(late *state.Heartbeat) {
			late.Ended, late.Running = []state.AttemptResult{{Attempt: late.Running[0]}}, nil
		}},
		{"with fewer resources", func(late *state.Heartbeat) { late.Free.Slots, late.Total.Slots = 1, 1 }},
		{"leaving", func(late *state.Heartbeat) { late.Leaving = true }},
		{"of another zone", func(late *state.Heartbeat) { late.Zone = "y" }},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			attempt := n.runTask()
			newestAt := n.now
			n.sendHeartbeat(n.leader(), 0, heartbeatOf(newest, attempt))
			n.run(lateness)
			before, _ := n.leaderStore().Worker("w")
			if before.Number != newest {
				t.Fatalf("the state contains heartbeat %d, want %d", before.Number, newest)
			}
			late := heartbeatOf(newest-1, attempt)
			row.change(&late)
			id := n.sendHeartbeat(n.leader(), 0, late)
			n.run(testRenewal)
			result := n.heartbeatReplies[id].Result
			orders := result.Heartbeat
			if result.Code != status.StaleHeartbeat || orders.HeartbeatNumber != newest || orders.LeaseDuration > 0 ||
				len(orders.Starts)+len(orders.Stops) > 0 {
				t.Errorf("the late heartbeat is answered with %+v", result)
			}
			store := n.leaderStore()
			after, _ := store.Worker("w")
			if after.LeaseExpiresAt != before.LeaseExpiresAt || after.LastSeenAt != before.LastSeenAt ||
				after.Number != newest || after.Leaving || after.Zone != "x" || after.Free != before.Free ||
				after.Capacity != before.Capacity {
				t.Errorf("the worker was %+v, is %+v", before, after)
			}
			if task := store.LeasesOn("w"); len(task) != 1 || task[0].Attempt != attempt {
				t.Errorf("the worker has the leases %+v, want one of %v", task, attempt)
			}
			// ExpiryMargin is 1 s.
			n.run(newestAt + testLease + 1200*time.Millisecond - n.now)
			if leases := n.leaderStore().LeaseCount("w"); leases != 0 {
				t.Errorf("%d leases remain of a worker that has been silent since its newest heartbeat", leases)
			}
		})
	}
}
