package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/transport"
)

// recorder is a machine that lets a test see and steer its steps.
type recorder struct {
	steps  []string
	wakeAt time.Duration
	do     func(now time.Duration, in machine.Input) machine.Output
}

func (r *recorder) Wakeup() time.Duration { return r.wakeAt }

func (r *recorder) Step(now time.Duration, in machine.Input) machine.Output {
	switch {
	case in.Line.Kind != "":
		r.steps = append(r.steps, in.Line.Kind+" "+string(in.Line.Body))
	case in.Ask.Key > 0:
		r.steps = append(r.steps, "ask "+in.Ask.Name)
	}
	if r.do != nil {
		return r.do(now, in)
	}
	return machine.Output{}
}

// start runs a host in whose inbox nothing ages.
func start(t *testing.T, r *recorder) (*Host, *Shard) {
	t.Helper()
	h := New("me", "127.0.0.1:0", nil, nil)
	h.inbox = transport.NewInbox(func() time.Duration { return 0 }, h.counters)
	s := h.Add(r)
	if err := h.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h, s
}

// TestAFrameOfAMemberIsTheNextStep has requests wait while a step is under way.
func TestAFrameOfAMemberIsTheNextStep(t *testing.T) {
	const requests = 5000
	r := &recorder{}
	h, s := start(t, r)
	put := func(kind, body string) {
		h.inbox.Put(machine.Line{Wire: machine.WireSequence, Kind: kind, From: "other", Body: []byte(body)})
	}
	done := make(chan struct{})
	r.do = func(_ time.Duration, in machine.Input) machine.Output {
		switch {
		case in.Ask.Name == "busy":
			for i := range requests {
				put(wire.Command, fmt.Sprint(i))
			}
			put(wire.Beat, "report")
			put(wire.CommandBack, "answer")
			put(wire.Replicate, "heartbeat")
		case in.Line.Kind == wire.Beat:
			close(done)
		}
		return machine.Output{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Ask(ctx, machine.Ask{Name: "busy"})
	<-done
	s.Look(func() {
		want := []string{"ask busy", "replicate heartbeat", "command-back answer", "command 0"}
		if len(r.steps) < 4 || fmt.Sprint(r.steps[:4]) != fmt.Sprint(want) {
			t.Errorf("got %q", r.steps[:4])
		}
		if len(r.steps) != requests+4 {
			t.Errorf("%d steps", len(r.steps))
		}
	})
}

func TestARequestIsAnsweredWithItsOwnAnswer(t *testing.T) {
	r := &recorder{}
	var waiting []machine.Ask
	r.do = func(_ time.Duration, in machine.Input) (out machine.Output) {
		if in.Ask.Key == 0 {
			return out
		}
		if waiting = append(waiting, in.Ask); len(waiting) == 3 {
			for _, ask := range []machine.Ask{waiting[2], waiting[0], waiting[1]} {
				out.Answer(ask.Key, "answer to "+ask.Name)
				out.Answer(ask.Key, "one too many")
			}
			out.Answer(1000, "nobody's")
		}
		return out
	}
	_, s := start(t, r)
	answers := make(chan string)
	for _, name := range []string{"a", "b", "c"} {
		go func() {
			got, ok := s.Ask(context.Background(), machine.Ask{Name: name})
			answers <- fmt.Sprint(name, ok, got)
		}()
	}
	want := map[string]bool{"atrueanswer to a": true, "btrueanswer to b": true, "ctrueanswer to c": true}
	for range 3 {
		if got := <-answers; !want[got] {
			t.Errorf("got %q", got)
		}
	}
}

func TestAMachineIsSteppedWhenItWantsToBe(t *testing.T) {
	r := &recorder{}
	times := make(chan time.Duration, 10)
	r.do = func(now time.Duration, _ machine.Input) machine.Output {
		r.wakeAt = 0
		if times <- now; len(times) < 3 {
			r.wakeAt = now + 5*time.Millisecond
		}
		return machine.Output{}
	}
	start(t, r)
	last := -5 * time.Millisecond
	for range 3 {
		now := <-times
		if now < last+5*time.Millisecond {
			t.Errorf("a step at %s follows the one at %s", now, last)
		}
		last = now
	}
}

// TestWhatAMachineSendsItselfComesBack takes the frame apart as any other.
func TestWhatAMachineSendsItselfComesBack(t *testing.T) {
	r := &recorder{}
	got := make(chan wire.FollowBody, 2)
	r.do = func(_ time.Duration, in machine.Input) (out machine.Output) {
		if in.Ask.Key > 0 {
			out.Send("", wire.Follow, wire.FollowBody{At: ledger.Position{Sequence: 1}})
			out.Send("me", wire.Follow, wire.FollowBody{At: ledger.Position{Sequence: 2}})
		}
		if in.Line.Kind == wire.Follow {
			var b wire.FollowBody
			if err := machine.Unmarshal(in.Line.Body, &b); err != nil || in.Line.From != "me" {
				t.Errorf("from %s: %v", in.Line.From, err)
			}
			got <- b
		}
		return out
	}
	_, s := start(t, r)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Ask(ctx, machine.Ask{Name: "go"})
	for _, want := range []uint64{1, 2} {
		if b := <-got; b.At.Sequence != want {
			t.Errorf("got %+v, want %d", b, want)
		}
	}
}

func TestAClosedHostKeepsNobodyWaiting(t *testing.T) {
	r := &recorder{}
	h := New("me", "127.0.0.1:0", nil, nil)
	s := h.Add(r)
	if err := h.Run(); err != nil {
		t.Fatal(err)
	}
	asked := make(chan bool)
	begun := make(chan struct{})
	r.do = func(time.Duration, machine.Input) machine.Output {
		close(begun)
		return machine.Output{}
	}
	go func() {
		_, ok := s.Ask(context.Background(), machine.Ask{Name: "never answered"})
		asked <- ok
	}()
	<-begun
	h.Close()
	if <-asked {
		t.Error("an answer came")
	}
	s.Step(machine.Input{})
	if _, ok := s.Ask(context.Background(), machine.Ask{}); ok {
		t.Error("a closed host answers")
	}
}
