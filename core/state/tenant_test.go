package state_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/quota"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// tenantFixture is a fixture with tenants. The key of each tenant is its name.
type tenantFixture struct {
	*statetest.Fixture
}

func newTenantFixture(t *testing.T, limits map[string]int) tenantFixture {
	t.Helper()
	f := tenantFixture{statetest.New(t)}
	f.setLimits(limits)
	return f
}

// setLimits replaces the configured tenants by the given ones, with their limits in slots.
func (f tenantFixture) setLimits(limits map[string]int) {
	f.T.Helper()
	var tenants []string
	for name := range f.Store.Config().Tenants {
		if _, stays := limits[name]; !stays {
			tenants = append(tenants, fmt.Sprintf(`%q:null`, name))
		}
	}
	for name, slots := range limits {
		tenants = append(tenants, fmt.Sprintf(`%q:{"keys":[%q],"limit":{"slots":%d}}`, name, config.DigestKey(name), slots))
	}
	f.MustApply(patchConfig(f.Store.Config().Version, `{"tenants":{`+strings.Join(tenants, ",")+`}}`))
}

func (f tenantFixture) accept(tenant, id, class string, tasks ...string) state.Result {
	f.T.Helper()
	return f.Apply(state.Command{
		Kind: state.KindAcceptJob, Job: statetest.JobSpec(id, class, tasks...), KeyDigest: config.DigestKey(tenant),
	})
}

// TestTenantUsageAcrossLostWorkers checks a tenant's usage while the tenant is removed from the
// configuration, a worker restarts as another incarnation, a worker is lost, and an attempt
// runs without a lease. A task counts until its end is reported or it must have ended.
func TestTenantUsageAcrossLostWorkers(t *testing.T) {
	f := newTenantFixture(t, map[string]int{"one": 3})
	f.AddWorker("w1", 8)
	f.AddWorker("w2", 8)
	f.accept("one", "j", "quick", "a", "b", "c", "d", "e")
	want := func(what string, slots int) {
		t.Helper()
		if got := f.Store.TenantUsage("one").Slots; got != slots {
			t.Errorf("%s: %d slots are used, want %d", what, got, slots)
		}
	}
	a := f.StartTask("j/a@w1")
	f.StartTask("j/b@w1")
	want("two tasks run", 2)
	if code := f.Grant("j/c@w2"); code != status.OK {
		t.Errorf("grant of a third task: %v", code)
	}
	want("a third is leased and not yet listed", 3)
	if code := f.Grant("j/d@w2"); code != status.TenantLimitReached {
		t.Errorf("grant of a fourth task, above the limit: %v", code)
	}
	f.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
	want("one task has ended", 2)
	f.setLimits(map[string]int{"other": 1})
	if code := f.Grant("j/d@w2"); code != status.OK {
		t.Errorf("grant within the last limit of a removed tenant: %v", code)
	}
	if code := f.Grant("j/e@w2"); code != status.TenantLimitReached {
		t.Errorf("grant above the last limit of a removed tenant: %v", code)
	}
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation++; hb.Running = nil; hb.Number = 1 })
	want("the worker has restarted", 3)
	f.Advance(time.Minute)
	want("all attempts must have ended", 0)
	f.Heartbeat("w2", func(hb *state.Heartbeat) { hb.Running = []state.Attempt{{Job: "j", Task: "a", Number: 1}} })
	want("an attempt of a task that is done runs without a lease", 1)
	f.Heartbeat("w2", func(hb *state.Heartbeat) { hb.Running = nil })
	want("the attempt without a lease has ended", 0)
}

// TestTenantLimitAppliesToWholeGang checks that the grant of a whole gang that would take its
// tenant above the limit is rejected, and accepted once the limit is raised.
func TestTenantLimitAppliesToWholeGang(t *testing.T) {
	f := newTenantFixture(t, map[string]int{"one": 3})
	f.AddWorker("w1", 8)
	f.accept("one", "g", "quick", "a[x]", "b[x]", "c[x]")
	f.accept("one", "j", "quick", "a")
	f.StartTask("j/a@w1")
	if code := f.Grant("g/a@w1", "g/b@w1", "g/c@w1"); code != status.TenantLimitReached {
		t.Errorf("grant of a gang above the limit: %v", code)
	}
	if explained := f.Store.Explain("g"); !strings.Contains(explained, "its tenant one has 1 slots") {
		t.Errorf("explanation: %s", explained)
	}
	f.setLimits(map[string]int{"one": 4})
	if code := f.Grant("g/a@w1", "g/b@w1", "g/c@w1"); code != status.OK {
		t.Errorf("grant of a gang within the limit: %v", code)
	}
}

// TestTenantUsageMatchesRecount applies random commands of two tenants. After each command,
// the usage that is updated incrementally must equal a recount and the usage of a store loaded
// from the records. No grant may take a tenant above its limit.
func TestTenantUsageMatchesRecount(t *testing.T) {
	const seeds, steps = 20, 150
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newTenantFixture(t, map[string]int{"one": 3, "two": 5})
		jobs := 0
		for _, worker := range []string{"w1", "w2", "w3"} {
			f.AddWorker(worker, 6)
		}
		for range steps {
			f.applyRandomCommand(random, &jobs)
			f.checkUsage(seed)
		}
	}
}

// applyRandomCommand applies one random command.
func (f tenantFixture) applyRandomCommand(random *rand.Rand, jobs *int) {
	f.T.Helper()
	tenant := []string{"one", "two"}[random.IntN(2)]
	worker := []string{"w1", "w2", "w3"}[random.IntN(3)]
	switch random.IntN(12) {
	case 0, 1:
		*jobs++
		f.accept(tenant, fmt.Sprintf("j%d", *jobs), "batch", "a", "b", "c")
	case 2, 3, 4, 5:
		f.requestRandomLeases(random, worker)
	case 6, 7, 8:
		f.sendRandomHeartbeat(random, worker)
	case 9:
		f.setLimits(map[string]int{"one": 1 + random.IntN(4), "two": 1 + random.IntN(6)})
	case 10:
		f.Advance(time.Duration(random.IntN(4000)) * time.Millisecond)
	case 11:
		id := fmt.Sprintf("j%d", 1+random.IntN(*jobs+1))
		f.Apply(state.Command{Kind: state.KindCancelJob, Name: id, KeyDigest: config.DigestKey(tenant)})
	}
}

// requestRandomLeases requests the lease of a random task of each active job on a worker, and
// checks that no lease is granted above the limit.
func (f tenantFixture) requestRandomLeases(random *rand.Rand, worker string) {
	f.T.Helper()
	for _, job := range f.Store.ActiveJobs() {
		task := job.Spec.Tasks[random.IntN(len(job.Spec.Tasks))].ID
		if f.Grant(job.Spec.ID+"/"+task+"@"+worker) != status.OK {
			continue
		}
		used, limit := f.Store.TenantUsage(job.Tenant), f.Store.TenantLimit(job.Tenant)
		if !quota.Allows(limit, used, state.Resources{}) {
			f.T.Errorf("tenant %s was granted %+v of %+v", job.Tenant, used, limit)
		}
	}
}

// sendRandomHeartbeat sends a heartbeat of a worker that lists some of its leases as running,
// ends some, leaves out the others and, once in eight times, comes from a new incarnation that
// runs nothing.
func (f tenantFixture) sendRandomHeartbeat(random *rand.Rand, worker string) {
	f.T.Helper()
	f.Heartbeat(worker, func(hb *state.Heartbeat) {
		if hb.Running = nil; random.IntN(8) == 0 {
			hb.Incarnation, hb.Number = hb.Incarnation+1, 1
			return
		}
		for _, leased := range f.Store.LeasesOn(worker) {
			switch random.IntN(4) {
			case 0:
				end := state.AttemptResult{Attempt: leased.Attempt, Succeeded: random.IntN(2) == 0}
				hb.Ended = append(hb.Ended, end)
			case 1, 2:
				hb.Running = append(hb.Running, leased.Attempt)
			}
		}
	})
}

func (f tenantFixture) checkUsage(seed uint64) {
	f.T.Helper()
	loaded, err := state.Load(f.Store.Records())
	if err != nil {
		f.T.Fatal(err)
	}
	for _, tenant := range []string{"one", "two"} {
		if kept, counted := f.Store.TenantUsage(tenant), loaded.TenantUsage(tenant); kept != counted {
			f.T.Fatalf("seed %d: tenant %s uses %+v, after a load %+v", seed, tenant, kept, counted)
		}
	}
	if differences := f.Store.RecountTenants(); len(differences) > 0 {
		f.T.Fatalf("seed %d: the recount differs: %+v", seed, differences)
	}
}
