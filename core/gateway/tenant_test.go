package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// TestTenantJobIsVisibleOnlyToItsTenant requests the status of a tenant's job with the key of
// the tenant, with another tenant's key, with an unknown key and without a key. It also checks
// that write commands carry the key.
func TestTenantJobIsVisibleOnlyToItsTenant(t *testing.T) {
	fixture := statetest.New(t)
	body := fmt.Sprintf(`{"services":{"tickets":{"classes":{"quick":{"requiresKey":true}}}},
		"tenants":{"one":{"keys":[%q]},"two":{"keys":[%q]}}}`, config.DigestKey("k1"), config.DigestKey("k2"))
	change := state.ConfigChange{BaseVersion: 1, Patch: true, Body: json.RawMessage(body)}
	fixture.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	fixture.MustApply(state.Command{
		Kind: state.KindAcceptJob, Job: statetest.JobSpec("j", "quick", "a"), KeyDigest: config.DigestKey("k1"),
	})
	if code := fixture.AcceptJob("k", "quick", "a").Code; code != status.UnknownKey {
		t.Errorf("a job submitted without a key: %v", code)
	}
	g := New(Config{Address: "1.1.1.1:1", Zone: "a", FirstCommandID: 1})
	deliver(g, "2.2.2.2:2", wire.KindFeedUpdate, snapshotOf(fixture.Store))
	ask := func(kind, key string) machine.Output {
		request := machine.Request{ID: 7, Kind: kind, Name: "j", Body: json.RawMessage(jobWithTask(`{"id":"a"}`))}
		if key != "" {
			request.KeyDigest = config.DigestKey(key)
		}
		return g.Step(1100*time.Millisecond, machine.Input{Request: request})
	}
	for key, want := range map[string]status.Code{
		"k1": status.OK, "k2": status.UnknownJob, "k3": status.UnknownKey, "": status.UnknownKey,
	} {
		out := ask(RequestStatus, key)
		if len(out.Responses) != 1 || out.Responses[0].Body.(Reply).StatusCode != want.HTTPStatus() {
			t.Errorf("status with the key %q: %+v", key, out.Responses)
		}
	}
	for _, kind := range []string{RequestSubmit, RequestCancel} {
		for _, message := range ask(kind, "k1").Messages {
			request, isCommand := message.Body.(wire.CommandRequest)
			if isCommand && request.Command.KeyDigest != config.DigestKey("k1") {
				t.Errorf("%s carries the key digest %q", kind, request.Command.KeyDigest)
			}
		}
	}
}
