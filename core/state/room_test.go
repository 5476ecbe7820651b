package state_test

import (
	"testing"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// A worker may always report all that it has: what runs on it, and what it runs
// beside its turns and is told to stop, must come off that.
func TestRoomOfAWorkerThatReportsItsTotal(t *testing.T) {
	l := state.New()
	sequence := uint64(0)
	do := func(cmd state.Command) state.Result {
		sequence++
		cmd.LogPosition = state.LogPosition{Epoch: 1, Index: sequence}
		return l.Apply(cmd)
	}
	body := `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`
	if a := do(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(body)}}); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	do(state.Command{Kind: state.KindTakeLeadership, Name: "d", SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "x"}})
	step := state.StepSpec{Count: 3, Resources: state.Resources{Slots: 40}}
	if a := do(state.Command{Kind: state.KindAcceptJob, Job: state.JobSpec{ID: "j", Service: "s", Class: "c", Steps: []state.StepSpec{step}}}); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	number := uint64(0)
	beat := func(running ...state.Attempt) {
		number++
		total := config.Resources{Slots: 100}
		do(state.Command{Kind: state.KindHeartbeat, Heartbeat: state.Heartbeat{Worker: "w", Incarnation: 1, Number: number, Service: "s", Zone: "a", Free: total, Total: total, Running: running}})
	}
	grant := func(task string) status.Code {
		return do(state.Command{Kind: state.KindGrantLeases, Grant: state.Grant{Leadership: "d", Epoch: 1, Assignments: []state.Assignment{{Job: "j", Task: task, Worker: "w"}}}}).Code
	}
	at := func(task string, try int) state.Attempt { return state.Attempt{Job: "j", Task: task, Number: try} }
	beat()
	for _, task := range []string{"0.0.0", "0.0.1"} {
		if c := grant(task); c != status.OK {
			t.Fatal(task, c)
		}
	}
	beat(at("0.0.0", 1), at("0.0.1", 1))
	if c := grant("0.0.2"); c != status.InsufficientResources {
		t.Errorf("with 80 of 100 running, 40 more: %v", c)
	}
	// The first ends, but an attempt that is no turn runs beside the second.
	do(state.Command{Kind: state.KindCancelJob, Name: "none"})
	beat(at("0.0.1", 1), at("0.0.2", 9))
	if room := l.FreeResources("w"); room.Slots != 20 {
		t.Errorf("beside a stray attempt of 40 and a turn of 40 there are %d of 100 left", room.Slots)
	}
}
