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
	do := func(cmd ledger.Command) ledger.Result {
		sequence++
		cmd.LogPosition = ledger.LogPosition{Epoch: 1, Index: sequence}
		return l.Apply(cmd)
	}
	body := `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`
	if a := do(ledger.Command{Kind: ledger.KindChangeConfig, ConfigChange: ledger.ConfigChange{Body: []byte(body)}}); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	do(ledger.Command{Kind: ledger.KindTakeLeadership, Name: "d", SchedulerHeartbeat: ledger.SchedulerHeartbeat{Scheduler: "x"}})
	step := ledger.StepSpec{Count: 3, Resources: ledger.Resources{Slots: 40}}
	if a := do(ledger.Command{Kind: ledger.KindAcceptJob, Job: ledger.JobSpec{ID: "j", Service: "s", Class: "c", Steps: []ledger.StepSpec{step}}}); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	number := uint64(0)
	beat := func(running ...ledger.Attempt) {
		number++
		total := plan.Resources{Slots: 100}
		do(ledger.Command{Kind: ledger.KindHeartbeat, Heartbeat: ledger.Heartbeat{Worker: "w", Incarnation: 1, Number: number, Service: "s", Zone: "a", Free: total, Total: total, Running: running}})
	}
	grant := func(task string) code.Code {
		return do(ledger.Command{Kind: ledger.KindGrantLeases, Grant: ledger.Grant{Leadership: "d", Epoch: 1, Assignments: []ledger.Assignment{{Job: "j", Task: task, Worker: "w"}}}}).Code
	}
	at := func(task string, try int) ledger.Attempt { return ledger.Attempt{Job: "j", Task: task, Number: try} }
	beat()
	for _, task := range []string{"0.0.0", "0.0.1"} {
		if c := grant(task); c != code.OK {
			t.Fatal(task, c)
		}
	}
	beat(at("0.0.0", 1), at("0.0.1", 1))
	if c := grant("0.0.2"); c != code.InsufficientResources {
		t.Errorf("with 80 of 100 running, 40 more: %v", c)
	}
	// The first ends, but an attempt that is no turn runs beside the second.
	do(ledger.Command{Kind: ledger.KindCancelJob, Name: "none"})
	beat(at("0.0.1", 1), at("0.0.2", 9))
	if room := l.FreeResources("w"); room.Slots != 20 {
		t.Errorf("beside a stray attempt of 40 and a turn of 40 there are %d of 100 left", room.Slots)
	}
}
