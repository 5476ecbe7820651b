package front

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// TestEveryAnswerMeetsThePublishedSchema asks every kind of question and holds
// the answer against api.schema.json, which allows no field it does not name.
func TestEveryAnswerMeetsThePublishedSchema(t *testing.T) {
	text, err := os.ReadFile("api.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("api.json", doc); err != nil {
		t.Fatal(err)
	}
	meets := func(name string, body any) {
		t.Helper()
		schema, err := compiler.Compile("api.json#/$defs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		value, err := jsonschema.UnmarshalJSON(bytes.NewReader(machine.MustJSON(body)))
		if err != nil {
			t.Fatal(err)
		}
		if err := schema.Validate(value); err != nil {
			t.Errorf("%s: %v\n%s", name, err, machine.MustJSON(body))
		}
	}
	w := ledgertest.New(t)
	w.Worker("w1+ssd", 4)
	w.Job("j", "quick", "a", "b<a")
	running := w.Start("j/a@w1")
	w.Job("k", "batch", "a:3", "b:3", "c+gpu")
	f := New(Env{Address: "1.1.1.1:1", Site: "a", First: 1})
	node := wire.Node{ID: "2.2.2.2:2", Role: "scheduler", Site: "a", Address: "2.2.2.2:2", HTTP: "2.2.2.2:3"}
	f.Step(time.Second, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.Nodes, From: "1.1.1.1:1", Body: machine.MustMarshal(wire.Gossip{Nodes: []wire.Node{node}})}})
	f.Step(time.Second, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.News, From: "2.2.2.2:2", Body: machine.MustMarshal(wire.NewsBody{Epoch: 1, At: w.Ledger.Position(), Records: w.Ledger.Records()})}})
	for kind, schema := range map[string]string{Jobs: "jobs", Workers: "workers", Nodes: "nodes", Duties: "duties"} {
		r, ok := ask(f, kind, "", "")
		if !ok || r.Status != 200 {
			t.Errorf("%s: %v %+v", kind, ok, r)
		}
		meets(schema, r.Body)
	}
	r, _ := ask(f, Status, "j", "")
	meets("job", r.Body)
	r, _ = ask(f, PlanCheck, "", ledgertest.Plan)
	meets("check", r.Body)
	if v := r.Body.(CheckView); len(v.DryRun) != 4 {
		t.Errorf("dry run %+v", v.DryRun)
	}
	r, _ = ask(f, PlanCheck, "", `{"services":{},"policies":{"order":"x"}}`)
	meets("bounce", r.Body)
	r, _ = ask(f, Submit, "", `{`)
	meets("bounce", r.Body)
	orders := ledger.Orders{Starts: []ledger.Start{{Attempt: running, Service: "tickets", Class: "quick"}}, Stops: []ledger.Attempt{running}, Acks: []ledger.Attempt{running}, Lease: time.Second}
	meets("beat-back", OrdersView{outcome(ledger.Answer{Code: code.OK}), orders, 1000})
	var extra map[string]any
	if err := json.Unmarshal(machine.MustJSON(r.Body), &extra); err != nil {
		t.Fatal(err)
	}
	extra["colour"] = "blue"
	schema, err := compiler.Compile("api.json#/$defs/bounce")
	if err != nil {
		t.Fatal(err)
	}
	if schema.Validate(extra) == nil {
		t.Error("the schema takes any field, so it shows nothing")
	}
}

// TestDryRunShowsWhatAPlanWouldChange compares shares, order and lending.
func TestDryRunShowsWhatAPlanWouldChange(t *testing.T) {
	w := ledgertest.New(t)
	w.Worker("w1", 8)
	w.Job("j", "batch", "a", "b")
	next := w.Ledger.Plan()
	next.Policies.Order, next.Policies.Borrow = "priority * 2", "false"
	for _, row := range w.Ledger.DryRun(next) {
		if row.Service != "tickets" || row.Class != "batch" {
			continue
		}
		want := ledger.DryRow{Service: "tickets", Class: "batch", Waiting: 2,
			Now:  ledger.DrySide{Known: true, Share: 4, Order: 10, Borrow: true},
			Then: ledger.DrySide{Known: true, Share: 4, Order: 20, Borrow: false}}
		if row != want {
			t.Errorf("got %+v, want %+v", row, want)
		}
		return
	}
	t.Error("the class is not shown")
}
