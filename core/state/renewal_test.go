package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestRenewWorkers extends a worker's lease, and checks that a late renewal does not undo a
// newer one and that a renewal of an unknown worker creates no record.
func TestRenewWorkers(t *testing.T) {
	f := statetest.New(t)
	f.MustApply(heartbeat(heartbeatOf(1)))
	before, _ := f.Store.Worker("w")
	f.Advance(2 * time.Second)
	renewals := []state.Renewal{
		{Worker: "w", Incarnation: 1, Number: 5, Age: 300 * time.Millisecond},
		{Worker: "unknown", Incarnation: 1, Number: 1},
	}
	f.MustApply(renewWorkers(renewals))
	after, _ := f.Store.Worker("w")
	if after.LastSeenAt != f.Now-300*time.Millisecond || after.LeaseExpiresAt != after.LastSeenAt+6*time.Second ||
		after.Number != 5 {
		t.Errorf("before %+v, after %+v at %s", before, after, f.Now)
	}
	if _, known := f.Store.Worker("unknown"); known {
		t.Error("a renewal created the record of a worker")
	}
	f.MustApply(renewWorkers([]state.Renewal{
		{Worker: "w", Incarnation: 1, Number: 4, Age: 4 * time.Second},
	}))
	again, _ := f.Store.Worker("w")
	if again.LastSeenAt != after.LastSeenAt || again.LeaseExpiresAt != after.LeaseExpiresAt || again.Number != 5 {
		t.Errorf("a late renewal changed %+v to %+v", after, again)
	}
	checkReload(t, f.Store)
}

// TestWorkerLeaseLoadedFromSnapshot loads the records after each change of a worker's lease,
// and checks that no record of a forgotten worker is kept.
func TestWorkerLeaseLoadedFromSnapshot(t *testing.T) {
	f := statetest.New(t)
	f.MustApply(heartbeat(heartbeatOf(1)))
	checkReload(t, f.Store)
	f.MustApply(renewWorkers([]state.Renewal{{Worker: "w", Incarnation: 1, Number: 7}}))
	checkReload(t, f.Store)
	f.Advance(time.Second)
	f.MustApply(heartbeat(heartbeatOf(8)))
	checkReload(t, f.Store)
	f.AcceptJob("j", "quick", "a")
	grant := state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{
		{Job: "j", Task: "a", Worker: "w", HeartbeatNumber: 12},
	}}
	f.MustApply(grantLeases(grant))
	if lease := f.Store.LeasesOn("w")[0].Lease; lease.HeartbeatNumber != 12 {
		t.Errorf("the lease was granted on heartbeat %d", lease.HeartbeatNumber)
	}
	checkReload(t, f.Store)
	again := heartbeatOf(1)
	again.Incarnation = 2
	f.MustApply(heartbeat(again))
	checkReload(t, f.Store)
	f.Advance(time.Hour)
	f.MustApply(state.Command{Kind: state.KindTick})
	checkReload(t, f.Store)
	for _, r := range f.Store.Records() {
		if r.Bucket == "worker" {
			t.Errorf("the record of a forgotten worker is kept: %s", r.Key)
		}
	}
}
