package host

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/transport"
)

// recorder is a machine that records its steps and returns outputs chosen by the test.
type recorder struct {
	steps   []string
	timerAt time.Duration
	do      func(now time.Duration, in machine.Input) machine.Output
}

func (r *recorder) NextTimer() time.Duration { return r.timerAt }

func (r *recorder) Step(now time.Duration, in machine.Input) machine.Output {
	switch {
	case in.Message.Kind != "":
		r.steps = append(r.steps, in.Message.Kind+" "+string(in.Message.Body))
	case in.Request.ID > 0:
		r.steps = append(r.steps, "request "+in.Request.Name)
	}
	if r.do != nil {
		return r.do(now, in)
	}
	return machine.Output{}
}

// start runs a host with a receive queue in which nothing expires.
func start(t *testing.T, r *recorder) (*Host, *Runner) {
	t.Helper()
	h := New("me", "127.0.0.1:0", nil, nil)
	h.receiveQueue = transport.NewReceiveQueue(func() time.Duration { return 0 }, h.counters)
	runner := h.Add(r)
	if err := h.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h, runner
}

// TestClusterMessagePrecedesRequests enqueues requests and a cluster message during a step. The
// cluster message must be handled first.
func TestClusterMessagePrecedesRequests(t *testing.T) {
	const requests = 5000
	r := &recorder{}
	h, runner := start(t, r)
	put := func(kind, body string) {
		h.receiveQueue.Enqueue(machine.Message{
			Version: machine.ProtocolVersion, Kind: kind, From: "other", Body: []byte(body),
		})
	}
	done := make(chan struct{})
	r.do = func(_ time.Duration, in machine.Input) machine.Output {
		switch {
		case in.Request.Name == "busy":
			for i := range requests {
				put(wire.KindCommand, fmt.Sprint(i))
			}
			put(wire.KindHeartbeat, "report")
			put(wire.KindCommandReply, "answer")
			put(wire.KindReplicate, "heartbeat")
		case in.Message.Kind == wire.KindCommand && string(in.Message.Body) == fmt.Sprint(requests-1):
			close(done)
		}
		return machine.Output{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	runner.Do(ctx, machine.Request{Name: "busy"})
	<-done
	runner.Inspect(func() {
		want := []string{"request busy", "replicate heartbeat", "command-back answer", "beat report", "command 0"}
		if len(r.steps) < 5 || fmt.Sprint(r.steps[:5]) != fmt.Sprint(want) {
			t.Errorf("got %q", r.steps[:5])
		}
		if len(r.steps) != requests+4 {
			t.Errorf("%d steps", len(r.steps))
		}
	})
}

func TestRequestGetsItsOwnResponse(t *testing.T) {
	r := &recorder{}
	var waiting []machine.Request
	r.do = func(_ time.Duration, in machine.Input) (out machine.Output) {
		if in.Request.ID == 0 {
			return out
		}
		if waiting = append(waiting, in.Request); len(waiting) == 3 {
			for _, request := range []machine.Request{waiting[2], waiting[0], waiting[1]} {
				out.Respond(request.ID, "answer to "+request.Name)
				out.Respond(request.ID, "second response")
			}
			out.Respond(1000, "unknown request")
		}
		return out
	}
	_, runner := start(t, r)
	answers := make(chan string)
	for _, name := range []string{"a", "b", "c"} {
		go func() {
			got, err := runner.Do(context.Background(), machine.Request{Name: name})
			answers <- fmt.Sprint(name, err == nil, got)
		}()
	}
	want := map[string]bool{"atrueanswer to a": true, "btrueanswer to b": true, "ctrueanswer to c": true}
	for range 3 {
		if got := <-answers; !want[got] {
			t.Errorf("got %q", got)
		}
	}
}

func TestTimersStepTheMachine(t *testing.T) {
	r := &recorder{}
	times := make(chan time.Duration, 10)
	r.do = func(now time.Duration, _ machine.Input) machine.Output {
		r.timerAt = 0
		if times <- now; len(times) < 3 {
			r.timerAt = now + 5*time.Millisecond
		}
		return machine.Output{}
	}
	start(t, r)
	last := -5 * time.Millisecond
	for range 3 {
		now := <-times
		if now < last+5*time.Millisecond {
			t.Errorf("a timer step at %s follows one at %s", now, last)
		}
		last = now
	}
}

// TestMessageToSelfIsDelivered checks that messages to the own address are encoded and
// decoded like any others.
func TestMessageToSelfIsDelivered(t *testing.T) {
	r := &recorder{}
	got := make(chan wire.SubscribeRequest, 2)
	r.do = func(_ time.Duration, in machine.Input) (out machine.Output) {
		if in.Request.ID > 0 {
			out.Send("", wire.KindSubscribe, wire.SubscribeRequest{Position: state.LogPosition{Index: 1}})
			out.Send("me", wire.KindSubscribe, wire.SubscribeRequest{Position: state.LogPosition{Index: 2}})
		}
		if in.Message.Kind == wire.KindSubscribe {
			var b wire.SubscribeRequest
			if err := machine.Unmarshal(in.Message.Body, &b); err != nil || in.Message.From != "me" {
				t.Errorf("from %s: %v", in.Message.From, err)
			}
			got <- b
		}
		return out
	}
	_, runner := start(t, r)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	runner.Do(ctx, machine.Request{Name: "go"})
	for _, want := range []uint64{1, 2} {
		if b := <-got; b.Position.Index != want {
			t.Errorf("got %+v, want %d", b, want)
		}
	}
}

func TestClosedHostFailsPendingRequests(t *testing.T) {
	r := &recorder{}
	h := New("me", "127.0.0.1:0", nil, nil)
	runner := h.Add(r)
	if err := h.Run(); err != nil {
		t.Fatal(err)
	}
	failed := make(chan error)
	begun := make(chan struct{})
	r.do = func(time.Duration, machine.Input) machine.Output {
		close(begun)
		return machine.Output{}
	}
	go func() {
		_, err := runner.Do(context.Background(), machine.Request{Name: "never answered"})
		failed <- err
	}()
	<-begun
	h.Close()
	if err := <-failed; !errors.Is(err, ErrClosed) {
		t.Errorf("got %v, want ErrClosed", err)
	}
	runner.Step(machine.Input{})
	if _, err := runner.Do(context.Background(), machine.Request{}); !errors.Is(err, ErrClosed) {
		t.Errorf("closed host: got %v, want ErrClosed", err)
	}
}
