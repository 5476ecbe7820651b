package state_test

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestRepeatedWriteDoesNotRestoreOlderState repeats a write, as a client does without a reply, after
// another operator's write has changed the same state. The repeat must not undo that change, neither
// on a store loaded from its records nor once the first write is forgotten.
func TestRepeatedWriteDoesNotRestoreOlderState(t *testing.T) {
	patch := func(limit string) state.Command {
		body := []byte(`{"limits":{"keep":"` + limit + `"}}`)
		return changeConfig(state.ConfigChange{Forced: true, Patch: true, Body: body})
	}
	transfer := func(to string) state.Command { return transferLeadership(statetest.Leadership, to) }
	stateOf := func(f *statetest.Fixture) string {
		worker, _ := f.Store.Worker("w1")
		current := f.Store.Config()
		return fmt.Sprint(f.Store.DrainedZones(), worker.Drained, worker.ConfirmedDead,
			f.Store.Leadership(statetest.Leadership).Leader, current.Limits.FinishedRetention, current.Version)
	}
	table := []struct {
		name          string
		first, second state.Command
		want          status.Code
	}{
		{"drain a zone, then refilled", drainZone("a", true), drainZone("a", false), status.AlreadyDone},
		{"refill a zone, then drained", drainZone("a", false), drainZone("a", true), status.AlreadyDone},
		{"drain a worker, then undrained", drainWorker("w1", true), drainWorker("w1", false), status.AlreadyDone},
		{"undrain a worker, then drained", drainWorker("w1", false), drainWorker("w1", true), status.AlreadyDone},
		{"transfer a leadership, then transferred back", transfer("s2"), transfer("s1"), status.AlreadyDone},
		{"forced configuration change, then changed again", patch("1h"), patch("2h"), status.AlreadyDone},
		{"rejected for a worker that becomes known", drainWorker("w9", true), drainZone("a", true), status.UnknownName},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.AddWorker("w1", 4)
			f.MustApply(schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: "s2", Zone: "a"}))
			row.first.IdempotencyKey, row.second.IdempotencyKey = "one", "two"
			f.Apply(row.first)
			f.MustApply(row.second)
			before := stateOf(f)
			reload(t, f)
			if row.want == status.UnknownName {
				f.AddWorker("w9", 4)
			}
			if again := f.Apply(row.first); again.Code != row.want || stateOf(f) != before {
				t.Errorf("the repeated write: %v %s, state %s, before %s", again.Code, again.Reason, stateOf(f), before)
			}
			other := row.first
			other.Name, other.ConfigChange.Body = "b", []byte(`{"limits":{}}`)
			if result := f.Apply(other); result.Code != status.IdempotencyKeyReused || stateOf(f) != before {
				t.Errorf("another write with the same key: %v", result.Code)
			}
			f.Advance(state.RequestRetention + time.Second)
			if late := f.Apply(row.first); late.Code != status.RequestExpired || stateOf(f) != before {
				t.Errorf("the write repeated once it is forgotten: %v %s", late.Code, late.Reason)
			}
			checkReload(t, f.Store)
		})
	}
}

// TestTemporaryRejectionNotRemembered checks that a write with a temporary rejection is evaluated
// again when it is repeated, and that a permanent rejection is returned again.
func TestTemporaryRejectionNotRemembered(t *testing.T) {
	f := &statetest.Fixture{T: t, Store: state.New(), Now: time.Second}
	drain := withKey("drain", drainZone("north", true))
	if result := f.Apply(drain); result.Code != status.NoConfig {
		t.Fatalf("without a configuration: %v", result.Code)
	}
	body := []byte(`{"sites":["north"],"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`)
	f.MustApply(changeConfig(state.ConfigChange{Body: body}))
	if result := f.Apply(drain); result.Code != status.OK {
		t.Errorf("repeated with a configuration: %v %s", result.Code, result.Reason)
	}
	stale := withKey("stale", changeConfig(state.ConfigChange{BaseVersion: 9, Body: body}))
	for range 2 {
		if result := f.Apply(stale); result.Code != status.StaleConfig {
			t.Errorf("on another base version: %v", result.Code)
		}
	}
}

// replaceConfig returns a change to a complete configuration, sent by a process that does not
// follow the state.
func replaceConfig(base uint64, key, digest, keep string) state.Command {
	body := fmt.Appendf(nil, `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}},"limits":{"keep":%q}}`, keep)
	return state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: key, Digest: digest, RequestedAt: state.RequestTimeUnknown,
		ConfigChange: state.ConfigChange{BaseVersion: base, Version: base + 3, Body: body},
	}
}

// TestRepeatedConfigAcknowledgedAfterHours repeats each of hundreds of accepted configuration changes
// hours later, on another primary. Each is acknowledged and none is applied twice.
func TestRepeatedConfigAcknowledgedAfterHours(t *testing.T) {
	const changes = 500
	f := statetest.New(t)
	var taken []state.Command
	for range changes {
		base := f.Store.Config().Version
		key := fmt.Sprint("plan", base)
		c := replaceConfig(base, key, key, fmt.Sprintf("%dm", 10+base))
		f.MustApply(c)
		if result := f.Apply(replaceConfig(base, "rival", "rival", "1h")); result.Code != status.StaleConfig {
			t.Fatalf("another change on version %d: %v", base, result.Code)
		}
		taken = append(taken, c)
		f.Now += 30 * time.Second
		f.Apply(state.Command{Kind: state.KindTick})
	}
	reload(t, f)
	newest := f.Store.Config().Version
	for _, c := range taken {
		if result := f.Apply(c); result.Code != status.AlreadyDone || f.Store.Config().Version != newest {
			t.Fatalf("%s repeated: %v %s", c.IdempotencyKey, result.Code, result.Reason)
		}
		if read := f.Store.Read(state.Command{Kind: state.KindReadRequest, Name: c.IdempotencyKey}); !read.Code.IsSuccess() {
			t.Fatalf("read of %s: %v", c.IdempotencyKey, read.Code)
		}
	}
	checkReload(t, f.Store)
}

// TestConfigRequestsBounded checks that the oldest configuration changes are forgotten beyond
// MaxConfigRequests, also after a load from the records.
func TestConfigRequestsBounded(t *testing.T) {
	f := statetest.New(t)
	for i := range state.MaxConfigRequests + 10 {
		key := fmt.Sprint("plan", i)
		f.MustApply(replaceConfig(f.Store.Config().Version, key, key, "10m"))
	}
	f.Apply(state.Command{Kind: state.KindTick})
	reload(t, f)
	known := func(i int) bool {
		return f.Store.Read(state.Command{Kind: state.KindReadRequest, Name: fmt.Sprint("plan", i)}).Code.IsSuccess()
	}
	if known(0) || known(9) || !known(10) || !known(state.MaxConfigRequests+9) {
		t.Errorf("known: %v %v %v %v, want false false true true",
			known(0), known(9), known(10), known(state.MaxConfigRequests+9))
	}
}

// TestRepeatRecognizedByDigest checks that a repeat is recognized by the digest of the call:
// processes with different settings may translate the same call to different configurations.
// Another call with the same key is rejected.
func TestRepeatRecognizedByDigest(t *testing.T) {
	f := statetest.New(t)
	base := f.Store.Config().Version
	f.MustApply(replaceConfig(base, "key", "call", "10m"))
	if result := f.Apply(replaceConfig(base, "key", "call", "20m")); result.Code != status.AlreadyDone {
		t.Errorf("the same call, translated differently: %v %s", result.Code, result.Reason)
	}
	if result := f.Apply(replaceConfig(base, "key", "another call", "10m")); result.Code != status.IdempotencyKeyReused {
		t.Errorf("another call with the same key: %v", result.Code)
	}
}
