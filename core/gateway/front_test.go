package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// served is a front whose copy was just brought up to date.
func newServingGateway(t *testing.T) *Gateway {
	t.Helper()
	w := statetest.New(t)
	w.AddWorker("w1", 4)
	w.AcceptJob("j", "quick", "a")
	g := New(Config{Address: "1.1.1.1:1", Zone: "a", FirstCommandID: 1})
	body := machine.MustMarshal(wire.FeedUpdate{Epoch: 1, Position: w.Store.Position(), Records: w.Store.Records()})
	g.Step(time.Second, machine.Input{Message: machine.Message{Version: 1, Kind: wire.KindFeedUpdate, From: "2.2.2.2:2", Body: body}})
	return g
}

func request(g *Gateway, kind, name, body string) (Reply, bool) {
	return requestAt(1100*time.Millisecond, g, kind, name, body)
}

func requestAt(now time.Duration, g *Gateway, kind, name, body string) (Reply, bool) {
	out := g.Step(now, machine.Input{Request: machine.Request{ID: 7, Kind: kind, Name: name, Body: json.RawMessage(body)}})
	for _, a := range out.Responses {
		if a.RequestID == 7 {
			return a.Body.(Reply), true
		}
	}
	return Reply{}, false
}

func TestMalformedRequestIsRejectedWithPosition(t *testing.T) {
	table := []struct {
		kind, name, body string
		want             status.Code
		place            string
	}{
		{RequestSubmit, "", `{"id":"x","service":"tickets"`, status.Malformed, "offset"},
		{RequestSubmit, "", `{"id":"x"} {"id":"y"}`, status.Malformed, "more than one"},
		{RequestSubmit, "", `{"id":"x","colour":"blue"}`, status.Malformed, "colour"},
		{RequestSubmit, "", `{"id":7}`, status.Malformed, "/id"},
		{RequestSubmit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","runLimit":"soon"}]}`, status.Malformed, "soon"},
		{RequestSubmit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","after":["b"]}]}`, status.InvalidJob, "/tasks/0/after/0"},
		{RequestSubmit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","room":{"slots":-1}}]}`, status.InvalidJob, "/tasks/0/room"},
		{RequestHeartbeat, "", `{"worker":"w1"}`, status.Malformed, "incarnation"},
		{RequestHeartbeat, "", `{"worker":"w1","mood":"good"}`, status.Malformed, "mood"},
		{RequestConfigPut, "", `{`, status.Malformed, "offset"},
		{RequestConfigCheck, "", `{"services":{"t":{"classes":{}}}}`, status.InvalidConfig, "/services/t"},
		{RequestConfigCheck, "", `{"services":{},"policies":{"order":"priority *"}}`, status.InvalidPolicy, "line 1 column"},
		{"moon", "", ``, status.UnknownName, ""},
	}
	for _, row := range table {
		r, ok := request(newServingGateway(t), row.kind, row.name, row.body)
		out, is := r.Body.(Outcome)
		if !ok || !is || out.Code != row.want || r.StatusCode != row.want.HTTPStatus() {
			t.Errorf("%s %s: answered %v, %+v, want %v", row.kind, row.body, ok, r, row.want)
			continue
		}
		if place := string(machine.MustJSON(out)); !strings.Contains(place, row.place) {
			t.Errorf("%s %s: %q is not named in %s", row.kind, row.body, row.place, place)
		}
	}
}

func TestUnknownJobIsNeverJudgedByTheReadReplica(t *testing.T) {
	g := newServingGateway(t)
	if r, ok := request(g, RequestStatus, "j", ""); !ok || r.StatusCode != 200 {
		t.Errorf("a known job: %v %+v", ok, r)
	}
	if r, ok := request(g, RequestStatus, "elsewhere", ""); ok {
		t.Fatalf("a job that the copy does not know was judged without the keepers: %+v", r)
	}
	out := g.Step(10*time.Second, machine.Input{})
	if len(out.Responses) != 1 {
		t.Fatalf("answers %+v", out.Responses)
	}
	if r := out.Responses[0].Body.(Reply); r.StatusCode != 503 || r.RetryAfter <= 0 {
		t.Errorf("without keepers it must be 503 with a time to come back: %+v", r)
	}
	if r, ok := requestAt(11*time.Second, g, RequestWorkers, "", ""); !ok || r.StatusCode != 503 || r.RetryAfter <= 0 {
		t.Errorf("a stale copy must not be shown as the truth: %v %+v", ok, r)
	}
}

// TestWithoutKeepersAWriteIsBouncedAtOnce asks when no keeper has been heard of
// for long: the answer comes in the same step, and does not send all who ask
// back at the same moment.
func TestWriteIsRejectedAtOnceWithoutReplicas(t *testing.T) {
	g := newServingGateway(t)
	g.Step(10*time.Second, machine.Input{})
	back := map[time.Duration]bool{}
	for key := range uint64(20) {
		out := g.Step(10*time.Second, machine.Input{Request: machine.Request{ID: key + 1, Kind: RequestSubmit, Body: json.RawMessage(`{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a"}]}`)}})
		if len(out.Responses) != 1 {
			t.Fatalf("no answer at once: %+v", out.Responses)
		}
		r := out.Responses[0].Body.(Reply)
		if r.StatusCode != 503 || r.RetryAfter < time.Second || r.RetryAfter > 2*time.Second {
			t.Fatalf("%+v", r)
		}
		back[r.RetryAfter] = true
	}
	if len(back) < 15 {
		t.Errorf("20 callers come back at %d moments", len(back))
	}
}
