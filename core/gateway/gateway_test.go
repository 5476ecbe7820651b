package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// newServingGateway returns a gateway with a fresh read replica.
func newServingGateway(t *testing.T) *Gateway {
	t.Helper()
	fixture := statetest.New(t)
	fixture.AddWorker("w1", 4)
	fixture.AcceptJob("j", "quick", "a")
	g := New(Config{Address: "1.1.1.1:1", Zone: "a", FirstCommandID: 1})
	deliver(g, "2.2.2.2:2", wire.KindFeedUpdate, snapshotOf(fixture.Store))
	return g
}

// snapshotOf returns a feed update that sets a read replica to the state of a store.
func snapshotOf(store *state.Store) wire.FeedUpdate {
	return wire.FeedUpdate{Epoch: 1, Position: store.Position(), Records: store.Records()}
}

// deliver delivers a message to a gateway at 1 s.
func deliver(g *Gateway, from, kind string, body any) {
	g.Step(time.Second, machine.Input{Message: machine.Message{
		Version: 1, Kind: kind, From: from, Body: machine.MustMarshal(body),
	}})
}

// request makes a request at 1.1 s, and returns the reply and whether it came at once.
func request(g *Gateway, kind, name, body string) (Reply, bool) {
	return requestAt(1100*time.Millisecond, g, kind, name, body)
}

func requestAt(now time.Duration, g *Gateway, kind, name, body string) (Reply, bool) {
	const id = 7
	out := g.Step(now, machine.Input{Request: machine.Request{
		ID: id, Kind: kind, Name: name, Body: json.RawMessage(body),
	}})
	for _, response := range out.Responses {
		if response.RequestID == id {
			return response.Body.(Reply), true
		}
	}
	return Reply{}, false
}

// TestMalformedRequestIsRejectedWithPosition checks that a rejection names the position of the
// error in the body.
func TestMalformedRequestIsRejectedWithPosition(t *testing.T) {
	table := []struct {
		kind, body string
		want       status.Code
		position   string
	}{
		{RequestSubmit, `{"id":"x","service":"tickets"`, status.Malformed, "offset"},
		{RequestSubmit, `{"id":"x"} {"id":"y"}`, status.Malformed, "more than one"},
		{RequestSubmit, `{"id":"x","colour":"blue"}`, status.Malformed, "colour"},
		{RequestSubmit, `{"id":7}`, status.Malformed, "/id"},
		{RequestSubmit, jobWithTask(`{"id":"a","runLimit":"soon"}`), status.Malformed, "soon"},
		{RequestSubmit, jobWithTask(`{"id":"a","after":["b"]}`), status.InvalidJob, "/tasks/0/after/0"},
		{RequestSubmit, jobWithTask(`{"id":"a","room":{"slots":-1}}`), status.InvalidJob, "/tasks/0/room"},
		{RequestHeartbeat, `{"worker":"w1"}`, status.Malformed, "incarnation"},
		{RequestHeartbeat, `{"worker":"w1","mood":"good"}`, status.Malformed, "mood"},
		{RequestConfigPut, `{`, status.Malformed, "offset"},
		{RequestConfigCheck, `{"services":{"t":{"classes":{}}}}`, status.InvalidConfig, "/services/t"},
		{RequestConfigCheck, `{"services":{},"policies":{"order":"priority *"}}`, status.InvalidPolicy, "line 1 column"},
		{"moon", ``, status.UnknownName, ""},
	}
	for _, row := range table {
		reply, ok := request(newServingGateway(t), row.kind, "", row.body)
		outcome, isOutcome := reply.Body.(Outcome)
		if !ok || !isOutcome || outcome.Code != row.want || reply.StatusCode != row.want.HTTPStatus() {
			t.Errorf("%s %s: answered %v, %+v, want %v", row.kind, row.body, ok, reply, row.want)
			continue
		}
		if encoded := string(machine.MustJSON(outcome)); !strings.Contains(encoded, row.position) {
			t.Errorf("%s %s: %q is not named in %s", row.kind, row.body, row.position, encoded)
		}
	}
}

// jobWithTask returns the body of a job with one task.
func jobWithTask(task string) string {
	return `{"id":"x","service":"tickets","class":"quick","tasks":[` + task + `]}`
}

// TestUnknownJobIsReadAtThePrimary requests the status of a job that the read replica doesn't
// have: only the primary may answer that it is unknown. Without replicas, the request and
// queries are rejected with 503 and a time to retry.
func TestUnknownJobIsReadAtThePrimary(t *testing.T) {
	g := newServingGateway(t)
	if reply, ok := request(g, RequestStatus, "j", ""); !ok || reply.StatusCode != 200 {
		t.Errorf("status of a known job: %v %+v", ok, reply)
	}
	if reply, ok := request(g, RequestStatus, "elsewhere", ""); ok {
		t.Fatalf("the status of a job that the read replica does not have was answered without the primary: %+v", reply)
	}
	out := g.Step(10*time.Second, machine.Input{})
	if len(out.Responses) != 1 {
		t.Fatalf("want one response, got %+v", out.Responses)
	}
	if reply := out.Responses[0].Body.(Reply); reply.StatusCode != 503 || reply.RetryAfter <= 0 {
		t.Errorf("without replicas the reply must be 503 with a time to retry: %+v", reply)
	}
	reply, ok := requestAt(11*time.Second, g, RequestWorkers, "", "")
	if !ok || reply.StatusCode != 503 || reply.RetryAfter <= 0 {
		t.Errorf("a query must not be answered from a stale read replica: %v %+v", ok, reply)
	}
}

// TestWriteIsRejectedAtOnceWithoutReplicas submits jobs when no replica has answered for several
// seconds: the rejections must come in the same step, with different times to retry.
func TestWriteIsRejectedAtOnceWithoutReplicas(t *testing.T) {
	g := newServingGateway(t)
	g.Step(10*time.Second, machine.Input{})
	retries := map[time.Duration]bool{}
	for i := range uint64(20) {
		body := json.RawMessage(jobWithTask(`{"id":"a"}`))
		out := g.Step(10*time.Second, machine.Input{Request: machine.Request{ID: i + 1, Kind: RequestSubmit, Body: body}})
		if len(out.Responses) != 1 {
			t.Fatalf("want one response at once, got %+v", out.Responses)
		}
		reply := out.Responses[0].Body.(Reply)
		if reply.StatusCode != 503 || reply.RetryAfter < time.Second || reply.RetryAfter > 2*time.Second {
			t.Fatalf("%+v", reply)
		}
		retries[reply.RetryAfter] = true
	}
	if len(retries) < 15 {
		t.Errorf("20 callers were given only %d different retry times, want at least 15", len(retries))
	}
}
