package state_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// checkReload loads a store from the records of s and checks that it equals s.
func checkReload(t *testing.T, s *state.Store) {
	t.Helper()
	loaded, err := state.Load(s.Records())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Records(), loaded.Records()); diff != "" {
		t.Errorf("the loaded store differs: %s", diff)
	}
	for _, service := range []string{"tickets", "podcasts"} {
		if diff := cmp.Diff(s.ServiceLoad(service), loaded.ServiceLoad(service)); diff != "" {
			t.Errorf("load of service %s differs: %s", service, diff)
		}
	}
}

// reload replaces the fixture's store by one loaded from its records, as the next primary
// would load it.
func reload(t *testing.T, f *statetest.Fixture) {
	t.Helper()
	next, err := state.Load(f.Store.Records())
	if err != nil {
		t.Fatal(err)
	}
	f.Store = next
}

func acceptJob(spec state.JobSpec) state.Command {
	return state.Command{Kind: state.KindAcceptJob, Job: spec}
}

func cancelJob(id string) state.Command {
	return state.Command{Kind: state.KindCancelJob, Name: id}
}

func drainZone(zone string, drain bool) state.Command {
	return state.Command{Kind: state.KindSetZoneDrained, Name: zone, Drain: drain}
}

func drainWorker(id string, drain bool) state.Command {
	return state.Command{Kind: state.KindDrainWorker, Name: id, Drain: drain}
}

func changeConfig(change state.ConfigChange) state.Command {
	return state.Command{Kind: state.KindChangeConfig, ConfigChange: change}
}

func heartbeat(hb state.Heartbeat) state.Command {
	return state.Command{Kind: state.KindHeartbeat, Heartbeat: hb}
}

func renewWorkers(renewals []state.Renewal) state.Command {
	return state.Command{Kind: state.KindRenewWorkers, Renewals: renewals}
}

func grantLeases(grant state.Grant) state.Command {
	return state.Command{Kind: state.KindGrantLeases, Grant: grant}
}

func schedulerHeartbeat(hb state.SchedulerHeartbeat) state.Command {
	return state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: hb}
}

func transferLeadership(name, candidate string) state.Command {
	return state.Command{
		Kind: state.KindTransferLeadership, Name: name,
		SchedulerHeartbeat: state.SchedulerHeartbeat{Candidate: candidate},
	}
}

// patchConfig returns a command that patches the configuration with the version base.
func patchConfig(base uint64, patch string) state.Command {
	return changeConfig(state.ConfigChange{BaseVersion: base, Patch: true, Body: []byte(patch)})
}

// withKey returns a command with an idempotency key.
func withKey(key string, cmd state.Command) state.Command {
	cmd.IdempotencyKey = key
	return cmd
}

// step is one event of a test.
type step = func(f *statetest.Fixture)

// advance returns a step that advances the time.
func advance(d time.Duration) step { return func(f *statetest.Fixture) { f.Advance(d) } }
