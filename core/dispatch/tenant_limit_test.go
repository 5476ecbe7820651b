package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// withTenants adds the tenants "one" and "two", whose keys are their names, with limits in
// slots; 0 is no limit.
func (s fixture) withTenants(one, two int) fixture {
	s.T.Helper()
	body := fmt.Sprintf(`{"tenants":{"one":{"keys":[%q],"limit":{"slots":%d}},"two":{"keys":[%q],"limit":{"slots":%d}}}}`,
		config.DigestKey("one"), one, config.DigestKey("two"), two)
	change := state.ConfigChange{BaseVersion: s.Store.Config().Version, Patch: true, Body: []byte(body)}
	s.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	return s
}

// acceptFor submits a job of a tenant.
func (s fixture) acceptFor(tenant, id, class string, tasks ...string) {
	s.T.Helper()
	s.MustApply(state.Command{
		Kind: state.KindAcceptJob, Job: statetest.JobSpec(id, class, tasks...), KeyDigest: config.DigestKey(tenant),
	})
}

// waitWithHeartbeats advances the time and sends heartbeats of the given workers.
func (s fixture) waitWithHeartbeats(d time.Duration, workers ...string) {
	s.Now += d
	for _, worker := range workers {
		s.Heartbeat(worker, nil)
	}
	s.update()
}

// TestTenantAtLimitBlocksNoOtherTenant makes the oldest tasks in every queue those of a tenant
// at its limit: the tasks of others are pulled, and the tenant's again once one of its tasks
// has ended.
func TestTenantAtLimitBlocksNoOtherTenant(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 8, "w2": 8}, "w1", "w2").withTenants(1, 0)
	s.acceptFor("one", "j", "quick", "a", "b", "c", "d", "e", "f")
	running := s.StartTask("j/a@w1")
	s.acceptFor("two", "k", "quick", "x")
	s.AcceptJob("l", "quick", "y")
	pulled := map[string]bool{}
	for range 2 {
		assignments, _ := s.pull("w2", true)
		pulled[assignments] = true
		if assignments != "" {
			s.StartTask(assignments)
		}
	}
	if !pulled["k/x@w2"] || !pulled["l/y@w2"] {
		t.Errorf("pulled: %v", pulled)
	}
	if got := s.dispatcher.TakeTenantsAtLimit(); len(got) != 1 || got[0] != "one" {
		t.Errorf("tenants at their limits: %v", got)
	}
	if more, _ := s.pull("w2", true); more != "" {
		t.Errorf("pulled above the limit: %s", more)
	}
	s.EndAttempt("w1", state.AttemptResult{Attempt: running, Succeeded: true})
	if more, _ := s.pull("w1", true); more == "" {
		t.Error("nothing is pulled although a task of the tenant has ended")
	}
}

// TestGangIsNotStarvedByItsTenant submits small tasks of a tenant while a gang of the same
// tenant waits for resources within the limit. Younger tasks that are not quick wait for the
// gang while half of the limit is in use.
func TestGangIsNotStarvedByItsTenant(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 8, "w2": 8}, "w1", "w2").withTenants(4, 0)
	s.acceptFor("one", "old", "batch", "a", "b", "c")
	for _, task := range []string{"a", "b", "c"} {
		s.StartTask("old/" + task + "@w1")
	}
	s.acceptFor("one", "gang", "batch", "a[g]", "b[g]", "c[g]")
	s.waitWithHeartbeats(time.Millisecond, "w1", "w2")
	s.acceptFor("one", "young", "batch", "a", "b", "c")
	s.acceptFor("one", "urgent", "quick", "q")
	s.waitWithHeartbeats(StealDelay+time.Millisecond, "w1", "w2")
	if got, _ := s.pull("w2", true); got != "urgent/q@w2" {
		t.Errorf("before the gang holds back work: %q", got)
	}
	s.waitWithHeartbeats(reserveAfter+time.Millisecond, "w1", "w2")
	if got, _ := s.pull("w2", true); got != "urgent/q@w2" {
		t.Errorf("quick work waits for the gang: %q", got)
	}
	urgent := s.StartTask("urgent/q@w2")
	end := func(attempt state.Attempt, worker string) {
		s.EndAttempt(worker, state.AttemptResult{Attempt: attempt, Succeeded: true})
		s.waitWithHeartbeats(reservationTTL+time.Millisecond, "w1", "w2")
	}
	end(urgent, "w2")
	if got, _ := s.pull("w2", true); got != "" {
		t.Errorf("younger work is pulled while over half of the limit is used: %q", got)
	}
	end(state.Attempt{Job: "old", Task: "a", Number: 1}, "w1")
	end(state.Attempt{Job: "old", Task: "b", Number: 1}, "w1")
	if got, _ := s.pull("w2", true); got != "gang/a@w2 gang/b@w2 gang/c@w2" {
		t.Errorf("the gang is not pulled once it fits: %q", got)
	}
}

// TestNoPreemptionForTenantAtLimit fills the worker, and checks that nothing is preempted for a
// task that its tenant's limit holds back.
func TestNoPreemptionForTenantAtLimit(t *testing.T) {
	for _, row := range []struct {
		limit int
		want  bool
	}{{0, true}, {1, false}} {
		s := newFixture(t, map[string]int{"w1": 2}, "w1").withTenants(row.limit, 0)
		s.acceptFor("one", "j", "small", "a")
		s.AcceptJob("s", "small", "b")
		s.StartTask("j/a@w1")
		s.StartTask("s/b@w1")
		s.acceptFor("one", "q", "quick", "x")
		s.waitWithHeartbeats(100*time.Millisecond, "w1")
		if _, ok := s.preempt(); ok != row.want {
			t.Errorf("limit %d: preempted %v", row.limit, ok)
		}
	}
}
