package host

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/storage"
)

// TestCompletedWritePrecedesExpiredTimer completes a write and lets a timer expire during one
// long step. The machine must see the completed write first, or it would take the disk for
// slow.
func TestCompletedWritePrecedesExpiredTimer(t *testing.T) {
	store, _, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	const longStep = 200 * time.Millisecond
	r := &recorder{}
	nextInput := make(chan uint64, 1)
	busy := false
	r.do = func(now time.Duration, in machine.Input) (out machine.Output) {
		switch {
		case in.Request.Name == "write":
			out.Writes = []machine.Write{{ID: 7}}
		case in.Request.Name == "busy":
			busy, r.timerAt = true, now
			time.Sleep(longStep)
		case busy:
			busy, r.timerAt = false, 0
			nextInput <- in.CompletedWrite
		}
		return out
	}
	h := New("me", "127.0.0.1:0", store, func(err error) { t.Error(err) })
	runner := h.Add(r)
	if err := h.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	runner.host.receiveQueue.EnqueueCall(func() {
		runner.step(machine.Input{Request: machine.Request{ID: 1, Name: "write"}})
		runner.step(machine.Input{Request: machine.Request{ID: 2, Name: "busy"}})
	})
	if completed := <-nextInput; completed != 7 {
		t.Errorf("the first input after the long step completes write %d, want 7", completed)
	}
}
