package host

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

func TestInputsAreNamedByKind(t *testing.T) {
	for _, row := range []struct {
		in   machine.Input
		want string
	}{
		{machine.Input{Message: machine.Message{Kind: wire.KindHeartbeat}}, wire.KindHeartbeat},
		{machine.Input{CompletedWrite: 3}, inputWrite},
		{machine.Input{Request: machine.Request{ID: 1}}, inputRequest},
		{machine.Input{Stop: true}, inputStop},
		{machine.Input{WallTime: time.Now()}, inputTimer},
	} {
		if got := inputKind(row.in); got != row.want {
			t.Errorf("%+v: got %q, want %q", row.in, got, row.want)
		}
	}
}

// TestLoadOfAnInterval measures steps of two kinds with several phases over two intervals.
func TestLoadOfAnInterval(t *testing.T) {
	now := time.Duration(0)
	meter := newLoadMeter(func() time.Duration { return now })
	step := func(in machine.Input, receive, schedule time.Duration) {
		meter.phases.BeginStep()
		now += receive
		meter.phases.Enter(machine.PhaseSchedule)
		now += schedule
		meter.endStep(now, in)
	}
	heartbeat := machine.Input{Message: machine.Message{Kind: wire.KindHeartbeat}}
	step(heartbeat, 2*time.Millisecond, 5*time.Millisecond)
	step(heartbeat, 3*time.Millisecond, 0)
	step(machine.Input{}, 0, 30*time.Millisecond)
	now = 80 * time.Millisecond
	load, share := meter.takeInterval(now)
	if share != 0.5 {
		t.Errorf("got the busy share %v, want 0.5", share)
	}
	const want = "[phases schedule:35,receive:5 steps beat:2/10/7,timer:1/30/30]"
	if got := fmt.Sprint(load.fields()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	step(heartbeat, 0, 20*time.Millisecond)
	load, share = meter.takeInterval(now)
	if load.Inputs[wire.KindHeartbeat] != (Steps{1, 20 * time.Millisecond, 20 * time.Millisecond}) || share != 1 {
		t.Errorf("second interval: %+v, busy share %v", load, share)
	}
	if total := meter.Total(); total.Inputs[wire.KindHeartbeat].Count != 3 ||
		total.Phases[machine.PhaseSchedule] != 55*time.Millisecond {
		t.Errorf("total: %+v", total)
	}
}

// TestStepsAreMeasured checks the measured time of a step that spends time in a phase.
func TestStepsAreMeasured(t *testing.T) {
	const spent = 20 * time.Millisecond
	r := &recorder{}
	h, runner := start(t, r)
	done := make(chan struct{})
	r.do = func(_ time.Duration, in machine.Input) (out machine.Output) {
		if in.Request.ID > 0 {
			h.Phases().Enter(machine.PhaseApply)
			time.Sleep(spent)
			out.Respond(in.Request.ID, "done")
		}
		return out
	}
	go func() {
		_, _ = runner.Do(t.Context(), machine.Request{Name: "work"})
		close(done)
	}()
	<-done
	runner.Inspect(func() {})
	load := h.Metrics().Load
	if load.Inputs[inputRequest].Count != 1 || load.Phases[machine.PhaseApply] < spent {
		t.Errorf("measured %+v", load)
	}
}
