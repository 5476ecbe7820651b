package front

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledgertest"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// served is a front whose copy was just brought up to date.
func served(t *testing.T) *Front {
	t.Helper()
	w := ledgertest.New(t)
	w.Worker("w1", 4)
	w.Job("j", "quick", "a")
	f := New(Env{Address: "1.1.1.1:1", Site: "a", First: 1})
	body := machine.MustMarshal(wire.NewsBody{Epoch: 1, At: w.Ledger.Position(), Records: w.Ledger.Records()})
	f.Step(time.Second, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.News, From: "2.2.2.2:2", Body: body}})
	return f
}

func ask(f *Front, kind, name, body string) (Reply, bool) {
	return askAt(1100*time.Millisecond, f, kind, name, body)
}

func askAt(now time.Duration, f *Front, kind, name, body string) (Reply, bool) {
	out := f.Step(now, machine.Input{Ask: machine.Ask{Key: 7, Kind: kind, Name: name, Body: json.RawMessage(body)}})
	for _, a := range out.Answers {
		if a.Key == 7 {
			return a.Body.(Reply), true
		}
	}
	return Reply{}, false
}

func TestBadInputIsBouncedAtOnceWithItsPlace(t *testing.T) {
	table := []struct {
		kind, name, body string
		want             code.Code
		place            string
	}{
		{Submit, "", `{"id":"x","service":"tickets"`, code.Malformed, "offset"},
		{Submit, "", `{"id":"x"} {"id":"y"}`, code.Malformed, "more than one"},
		{Submit, "", `{"id":"x","colour":"blue"}`, code.Malformed, "colour"},
		{Submit, "", `{"id":7}`, code.Malformed, "/id"},
		{Submit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","runLimit":"soon"}]}`, code.Malformed, "soon"},
		{Submit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","after":["b"]}]}`, code.BadJob, "/tasks/0/after/0"},
		{Submit, "", `{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a","room":{"slots":-1}}]}`, code.BadJob, "/tasks/0/room"},
		{Beat, "", `{"worker":"w1"}`, code.Malformed, "incarnation"},
		{Beat, "", `{"worker":"w1","mood":"good"}`, code.Malformed, "mood"},
		{PlanPut, "", `{`, code.Malformed, "offset"},
		{PlanCheck, "", `{"services":{"t":{"classes":{}}}}`, code.BadPlan, "/services/t"},
		{PlanCheck, "", `{"services":{},"policies":{"order":"priority *"}}`, code.BadPolicy, "line 1 column"},
		{"moon", "", ``, code.UnknownName, ""},
	}
	for _, row := range table {
		r, ok := ask(served(t), row.kind, row.name, row.body)
		out, is := r.Body.(Outcome)
		if !ok || !is || out.Code != row.want || r.Status != row.want.Status() {
			t.Errorf("%s %s: answered %v, %+v, want %v", row.kind, row.body, ok, r, row.want)
			continue
		}
		if place := string(machine.MustJSON(out)); !strings.Contains(place, row.place) {
			t.Errorf("%s %s: %q is not named in %s", row.kind, row.body, row.place, place)
		}
	}
}

func TestStatusFromTheCopyAndUnknownOnlyFromTheKeepers(t *testing.T) {
	f := served(t)
	if r, ok := ask(f, Status, "j", ""); !ok || r.Status != 200 {
		t.Errorf("a known job: %v %+v", ok, r)
	}
	if r, ok := ask(f, Status, "elsewhere", ""); ok {
		t.Fatalf("a job that the copy does not know was judged without the keepers: %+v", r)
	}
	out := f.Step(10*time.Second, machine.Input{})
	if len(out.Answers) != 1 {
		t.Fatalf("answers %+v", out.Answers)
	}
	if r := out.Answers[0].Body.(Reply); r.Status != 503 || r.RetryAfter <= 0 {
		t.Errorf("without keepers it must be 503 with a time to come back: %+v", r)
	}
	if r, ok := askAt(11*time.Second, f, Workers, "", ""); !ok || r.Status != 503 || r.RetryAfter <= 0 {
		t.Errorf("a stale copy must not be shown as the truth: %v %+v", ok, r)
	}
}

// TestWithoutKeepersAWriteIsBouncedAtOnce asks when no keeper has been heard of
// for long: the answer comes in the same step, and does not send all who ask
// back at the same moment.
func TestWithoutKeepersAWriteIsBouncedAtOnce(t *testing.T) {
	f := served(t)
	f.Step(10*time.Second, machine.Input{})
	back := map[time.Duration]bool{}
	for key := range uint64(20) {
		out := f.Step(10*time.Second, machine.Input{Ask: machine.Ask{Key: key + 1, Kind: Submit, Body: json.RawMessage(`{"id":"x","service":"tickets","class":"quick","tasks":[{"id":"a"}]}`)}})
		if len(out.Answers) != 1 {
			t.Fatalf("no answer at once: %+v", out.Answers)
		}
		r := out.Answers[0].Body.(Reply)
		if r.Status != 503 || r.RetryAfter < time.Second || r.RetryAfter > 2*time.Second {
			t.Fatalf("%+v", r)
		}
		back[r.RetryAfter] = true
	}
	if len(back) < 15 {
		t.Errorf("20 callers come back at %d moments", len(back))
	}
}
