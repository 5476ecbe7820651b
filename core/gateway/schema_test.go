package gateway

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// apiSchemas holds the published JSON schemas of the API's bodies.
type apiSchemas struct {
	*testing.T
	compiler *jsonschema.Compiler
}

// loadSchemas reads api.schema.json, whose schemas allow no fields that they don't name.
func loadSchemas(t *testing.T) apiSchemas {
	t.Helper()
	text, err := os.ReadFile("api.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("api.json", document); err != nil {
		t.Fatal(err)
	}
	return apiSchemas{t, compiler}
}

func (s apiSchemas) schema(name string) *jsonschema.Schema {
	s.Helper()
	schema, err := s.compiler.Compile("api.json#/$defs/" + name)
	if err != nil {
		s.Fatal(err)
	}
	return schema
}

// validate checks a body against the schema with a name.
func (s apiSchemas) validate(name string, body any) {
	s.Helper()
	encoded := machine.MustJSON(body)
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
	if err != nil {
		s.Fatal(err)
	}
	if err := s.schema(name).Validate(value); err != nil {
		s.Errorf("%s: %v\n%s", name, err, encoded)
	}
}

// newGatewayWithTasks returns a gateway that knows a node, a worker and tasks in several
// states, and the attempt that is running.
func newGatewayWithTasks(t *testing.T) (*Gateway, state.Attempt) {
	t.Helper()
	fixture := statetest.New(t)
	fixture.AddWorker("w1+ssd", 4)
	fixture.AcceptJob("j", "quick", "a", "b<a")
	running := fixture.StartTask("j/a@w1")
	fixture.AcceptJob("k", "batch", "a:3", "b:3", "c+gpu")
	g := New(Config{Address: "1.1.1.1:1", Zone: "a", FirstCommandID: 1})
	node := wire.Node{
		ID: "2.2.2.2:2", Role: "scheduler", Zone: "a", Address: "2.2.2.2:2", HTTPAddress: "2.2.2.2:3",
	}
	deliver(g, "1.1.1.1:1", wire.KindNodeList, wire.Gossip{Nodes: []wire.Node{node}})
	deliver(g, "2.2.2.2:2", wire.KindFeedUpdate, snapshotOf(fixture.Store))
	return g, running
}

// TestAnswersMatchPublishedSchema validates each kind of response body against its schema.
func TestAnswersMatchPublishedSchema(t *testing.T) {
	schemas := loadSchemas(t)
	g, running := newGatewayWithTasks(t)
	for kind, schema := range map[string]string{
		RequestJobs: "jobs", RequestWorkers: "workers", RequestNodes: "nodes", RequestLeaderships: "duties",
	} {
		reply, ok := request(g, kind, "", "")
		if !ok || reply.StatusCode != 200 {
			t.Errorf("%s: %v %+v", kind, ok, reply)
		}
		schemas.validate(schema, reply.Body)
	}
	reply, _ := request(g, RequestStatus, "j", "")
	schemas.validate("job", reply.Body)
	reply, _ = request(g, RequestConfigCheck, "", statetest.Config)
	schemas.validate("check", reply.Body)
	if view := reply.Body.(ConfigCheckView); len(view.DryRun) != 4 {
		t.Errorf("dry run %+v", view.DryRun)
	}
	reply, _ = request(g, RequestConfigCheck, "", `{"services":{},"policies":{"order":"x"}}`)
	schemas.validate("bounce", reply.Body)
	reply, _ = request(g, RequestSubmit, "", `{`)
	schemas.validate("bounce", reply.Body)
	orders := state.HeartbeatReply{
		Starts:        []state.StartOrder{{Attempt: running, Service: "tickets", Class: "quick"}},
		Stops:         []state.Attempt{running},
		Acks:          []state.Attempt{running},
		LeaseDuration: time.Second,
	}
	schemas.validate("beat-back", HeartbeatView{outcomeOf(state.Result{Code: status.OK}), orders, 1000})
	var extra map[string]any
	if err := json.Unmarshal(machine.MustJSON(reply.Body), &extra); err != nil {
		t.Fatal(err)
	}
	extra["colour"] = "blue"
	if schemas.schema("bounce").Validate(extra) == nil {
		t.Error("the schema allows unknown fields, so the validation proves nothing")
	}
}

// TestDryRunShowsConfigChanges checks the shares, order and borrowing in the dry run of a
// configuration change.
func TestDryRunShowsConfigChanges(t *testing.T) {
	fixture := statetest.New(t)
	fixture.AddWorker("w1", 8)
	fixture.AcceptJob("j", "batch", "a", "b")
	proposed := fixture.Store.Config()
	proposed.Policies.Order, proposed.Policies.Borrow = "priority * 2", "false"
	for _, row := range fixture.Store.DryRun(proposed) {
		if row.Service != "tickets" || row.Class != "batch" {
			continue
		}
		want := state.DryRunRow{
			Service: "tickets", Class: "batch", Waiting: 2,
			Current:  state.DryRunOutcome{Known: true, ShareSlots: 4, Order: 10, Borrow: true},
			Proposed: state.DryRunOutcome{Known: true, ShareSlots: 4, Order: 20, Borrow: false},
		}
		if row != want {
			t.Errorf("got %+v, want %+v", row, want)
		}
		return
	}
	t.Error("the class is not shown")
}
