package transport

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// clock is a time that a test moves on by hand.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

func newTestInbox() (*Inbox, *clock, *Counters) {
	c, counters := &clock{}, NewCounters()
	return NewInbox(c.now, counters), c, counters
}

func line(kind, from, key, body string) machine.Line {
	return machine.Line{Wire: machine.WireSequence, Kind: kind, From: from, Key: key, Body: []byte(body)}
}

// drain takes all that waits and names each item by kind and body.
func drain(b *Inbox) []string {
	var taken []string
	for {
		item, ok := b.Take(0)
		if !ok {
			return taken
		}
		if item.Call != nil {
			taken = append(taken, "call")
			continue
		}
		taken = append(taken, item.Line.Kind+" "+string(item.Line.Body))
	}
}

func equal(t *testing.T, got, want []string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFramesOfMembersOvertakeQueuedRequests(t *testing.T) {
	const requests = 5000
	b, _, _ := newTestInbox()
	for i := range requests {
		b.Put(line(wire.Command, "gateway", "", fmt.Sprint(i)))
	}
	b.Call(func() {})
	b.Put(line(wire.BeatBack, "keeper", "", "a"))
	b.Put(line(wire.Replicate, "keeper", "", "r"))
	b.Put(line(wire.Accept, "keeper", "", "v"))
	taken := drain(b)
	if len(taken) != requests+4 {
		t.Fatalf("%d items were taken", len(taken))
	}
	equal(t, taken[:6], []string{"replicate r", "accept v", "call", "beat-back a", "command 0", "command 1"})
}

func TestARequestThatWaitedTooLongIsNotGivenOut(t *testing.T) {
	b, clock, counters := newTestInbox()
	b.Put(line(wire.Command, "gateway", "", "old"))
	b.Put(line(wire.Beat, "agent", "w", "old"))
	b.Put(line(wire.Follow, "front", "", "kept"))
	b.Put(line(wire.Replicate, "keeper", "", "kept"))
	b.Put(line(wire.CommandBack, "keeper", "", "kept"))
	clock.at = requestMaxAge + 1
	b.Put(line(wire.Command, "gateway", "", "new"))
	b.Put(line(wire.Beat, "agent", "w", "new"))
	equal(t, drain(b), []string{"replicate kept", "command-back kept", "beat new", "follow kept", "command new"})
	counts := counters.Take()
	if got := counts.Dropped[Drop{Kind: wire.Command, Reason: Expired}]; got != 1 {
		t.Errorf("%d commands count as expired", got)
	}
	if counts.LongestWait != clock.at {
		t.Errorf("the longest wait is %s", counts.LongestWait)
	}
	b.Put(line(wire.Command, "gateway", "", "in time"))
	clock.at += requestMaxAge
	equal(t, drain(b), []string{"command in time"})
}

// TestTheNewestReportReplacesTheOneThatWaits: it takes its place in the queue, and
// reports of other workers, also by the same sender, stand as they did.
func TestTheNewestReportReplacesTheOneThatWaits(t *testing.T) {
	b, _, counters := newTestInbox()
	b.Put(line(wire.Beat, "agent", "w1", "first"))
	b.Put(line(wire.Beat, "agent", "w2", "other worker"))
	b.Put(line(wire.Beat, "agent 2", "w1", "other sender"))
	b.Put(line(wire.Command, "gateway", "", "one"))
	b.Put(line(wire.Command, "gateway", "", "two"))
	b.Put(line(wire.Beat, "agent", "w1", "second, which is longer"))
	equal(t, drain(b), []string{
		"beat second, which is longer", "beat other worker", "beat other sender", "command one", "command two",
	})
	if got := counters.Take().Dropped; len(got) != 1 || got[Drop{Kind: wire.Beat, Reason: Replaced}] != 1 {
		t.Errorf("dropped: %v", got)
	}
	b.Put(line(wire.Beat, "agent", "w1", "third"))
	equal(t, drain(b), []string{"beat third"})
	if b.requests.bytes != 0 || len(b.newest) != 0 {
		t.Errorf("%d bytes and %d keys are left of an empty queue", b.requests.bytes, len(b.newest))
	}
}

func TestAFullQueueDropsItsOldestRequests(t *testing.T) {
	const more = 3
	b, _, counters := newTestInbox()
	for i := range requestFramesMax + more {
		b.Put(line(wire.Command, "gateway", "", fmt.Sprint(i)))
	}
	if taken := drain(b); len(taken) != requestFramesMax || taken[0] != "command 3" {
		t.Errorf("%d were kept, first %s", len(taken), taken[0])
	}
	if got := counters.Take().Dropped[Drop{Kind: wire.Command, Reason: Overflow}]; got != more {
		t.Errorf("%d commands count as dropped", got)
	}
	large := string(make([]byte, requestBytesMax/2))
	for _, name := range []string{"a", "b", "c"} {
		b.Put(line(wire.News, "keeper", "", large+name))
	}
	if taken := drain(b); len(taken) != 1 {
		t.Errorf("%d frames of over half the bound were kept", len(taken))
	}
}

func TestAClosedInboxTakesNoCalls(t *testing.T) {
	b, _, _ := newTestInbox()
	b.Close()
	if b.Call(func() {}) {
		t.Error("a call was taken")
	}
}

func TestAWaitEndsWithTheNextFrame(t *testing.T) {
	b, _, _ := newTestInbox()
	taken := make(chan Item)
	go func() {
		for {
			if item, ok := b.Take(time.Hour); ok {
				taken <- item
				return
			}
		}
	}()
	b.Put(line(wire.Decided, "keeper", "", "x"))
	if item := <-taken; item.Line.Kind != wire.Decided {
		t.Errorf("got %+v", item)
	}
}
