package ledger_test

import (
	"testing"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/plan"
)

// A worker may always report all that it has: what runs on it, and what it runs
// beside its turns and is told to stop, must come off that.
func TestRoomOfAWorkerThatReportsItsTotal(t *testing.T) {
	l := ledger.New()
	sequence := uint64(0)
	do := func(cmd ledger.Command) ledger.Answer {
		sequence++
		cmd.Position = ledger.Position{Epoch: 1, Sequence: sequence}
		return l.Apply(cmd)
	}
	body := `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`
	if a := do(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Body: []byte(body)}}); !a.Code.Good() {
		t.Fatal(a)
	}
	do(ledger.Command{Kind: ledger.KindTake, Name: "d", Hello: ledger.Hello{Daemon: "x"}})
	step := ledger.StepSpec{Count: 3, Room: ledger.Room{Slots: 40}}
	if a := do(ledger.Command{Kind: ledger.KindAccept, Accept: ledger.JobSpec{ID: "j", Service: "s", Class: "c", Steps: []ledger.StepSpec{step}}}); !a.Code.Good() {
		t.Fatal(a)
	}
	number := uint64(0)
	beat := func(running ...ledger.Attempt) {
		number++
		total := plan.Room{Slots: 100}
		do(ledger.Command{Kind: ledger.KindBeat, Beat: ledger.Beat{Worker: "w", Incarnation: 1, Number: number, Service: "s", Site: "a", Free: total, Total: total, Running: running}})
	}
	grant := func(task string) code.Code {
		return do(ledger.Command{Kind: ledger.KindGrant, Grant: ledger.Grant{Duty: "d", Epoch: 1, Picks: []ledger.Pick{{Job: "j", Task: task, Worker: "w"}}}}).Code
	}
	at := func(task string, try int) ledger.Attempt { return ledger.Attempt{Job: "j", Task: task, Try: try} }
	beat()
	for _, task := range []string{"0.0.0", "0.0.1"} {
		if c := grant(task); c != code.OK {
			t.Fatal(task, c)
		}
	}
	beat(at("0.0.0", 1), at("0.0.1", 1))
	if c := grant("0.0.2"); c != code.NoRoom {
		t.Errorf("with 80 of 100 running, 40 more: %v", c)
	}
	// The first ends, but an attempt that is no turn runs beside the second.
	do(ledger.Command{Kind: ledger.KindCancel, Name: "none"})
	beat(at("0.0.1", 1), at("0.0.2", 9))
	if room := l.Room("w"); room.Slots != 20 {
		t.Errorf("beside a stray attempt of 40 and a turn of 40 there are %d of 100 left", room.Slots)
	}
}
