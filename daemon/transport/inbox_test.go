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

func newTestQueue() (*ReceiveQueue, *clock, *Counters) {
	c, counters := &clock{}, NewCounters()
	return NewReceiveQueue(c.now, counters), c, counters
}

func newMessage(kind, from, key, body string) machine.Message {
	return machine.Message{Version: machine.ProtocolVersion, Kind: kind, From: from, CoalescingKey: key, Body: []byte(body)}
}

// drain takes all that waits and names each item by kind and body.
func drain(b *ReceiveQueue) []string {
	var taken []string
	for {
		item, ok := b.Dequeue(0)
		if !ok {
			return taken
		}
		if item.Call != nil {
			taken = append(taken, "call")
			continue
		}
		taken = append(taken, item.Message.Kind+" "+string(item.Message.Body))
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
	b, _, _ := newTestQueue()
	for i := range requests {
		b.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	b.EnqueueCall(func() {})
	b.Enqueue(newMessage(wire.KindHeartbeatReply, "keeper", "", "a"))
	b.Enqueue(newMessage(wire.KindReplicate, "keeper", "", "r"))
	b.Enqueue(newMessage(wire.KindAccept, "keeper", "", "v"))
	taken := drain(b)
	if len(taken) != requests+4 {
		t.Fatalf("%d items were taken", len(taken))
	}
	equal(t, taken[:6], []string{"replicate r", "accept v", "call", "beat-back a", "command 0", "command 1"})
}

func TestARequestThatWaitedTooLongIsNotGivenOut(t *testing.T) {
	b, clock, counters := newTestQueue()
	b.Enqueue(newMessage(wire.KindCommand, "gateway", "", "old"))
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "old"))
	b.Enqueue(newMessage(wire.KindSubscribe, "front", "", "kept"))
	b.Enqueue(newMessage(wire.KindReplicate, "keeper", "", "kept"))
	b.Enqueue(newMessage(wire.KindCommandReply, "keeper", "", "kept"))
	clock.at = requestMaxAge + 1
	b.Enqueue(newMessage(wire.KindCommand, "gateway", "", "new"))
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "new"))
	equal(t, drain(b), []string{"replicate kept", "command-back kept", "beat new", "follow kept", "command new"})
	counts := counters.TakeAndReset()
	if got := counts.Dropped[DropKey{Kind: wire.KindCommand, Reason: DropExpired}]; got != 1 {
		t.Errorf("%d commands count as expired", got)
	}
	if counts.LongestWait != clock.at {
		t.Errorf("the longest wait is %s", counts.LongestWait)
	}
	b.Enqueue(newMessage(wire.KindCommand, "gateway", "", "in time"))
	clock.at += requestMaxAge
	equal(t, drain(b), []string{"command in time"})
}

// TestTheNewestReportReplacesTheOneThatWaits: it takes its place in the queue, and
// reports of other workers, also by the same sender, stand as they did.
func TestTheNewestReportReplacesTheOneThatWaits(t *testing.T) {
	b, _, counters := newTestQueue()
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "first"))
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w2", "other worker"))
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent 2", "w1", "other sender"))
	b.Enqueue(newMessage(wire.KindCommand, "gateway", "", "one"))
	b.Enqueue(newMessage(wire.KindCommand, "gateway", "", "two"))
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "second, which is longer"))
	equal(t, drain(b), []string{
		"beat second, which is longer", "beat other worker", "beat other sender", "command one", "command two",
	})
	if got := counters.TakeAndReset().Dropped; len(got) != 1 || got[DropKey{Kind: wire.KindHeartbeat, Reason: DropReplaced}] != 1 {
		t.Errorf("dropped: %v", got)
	}
	b.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "third"))
	equal(t, drain(b), []string{"beat third"})
	if b.requests.bytes != 0 || len(b.latestByKey) != 0 {
		t.Errorf("%d bytes and %d keys are left of an empty queue", b.requests.bytes, len(b.latestByKey))
	}
}

func TestAFullQueueDropsItsOldestRequests(t *testing.T) {
	const more = 3
	b, _, counters := newTestQueue()
	for i := range maxRequestFrames + more {
		b.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	if taken := drain(b); len(taken) != maxRequestFrames || taken[0] != "command 3" {
		t.Errorf("%d were kept, first %s", len(taken), taken[0])
	}
	if got := counters.TakeAndReset().Dropped[DropKey{Kind: wire.KindCommand, Reason: DropOverflow}]; got != more {
		t.Errorf("%d commands count as dropped", got)
	}
	large := string(make([]byte, maxRequestBytes/2))
	for _, name := range []string{"a", "b", "c"} {
		b.Enqueue(newMessage(wire.KindFeedUpdate, "keeper", "", large+name))
	}
	if taken := drain(b); len(taken) != 1 {
		t.Errorf("%d frames of over half the bound were kept", len(taken))
	}
}

func TestAClosedInboxTakesNoCalls(t *testing.T) {
	b, _, _ := newTestQueue()
	b.Close()
	if b.EnqueueCall(func() {}) {
		t.Error("a call was taken")
	}
}

func TestAWaitEndsWithTheNextFrame(t *testing.T) {
	b, _, _ := newTestQueue()
	taken := make(chan QueueItem)
	go func() {
		for {
			if item, ok := b.Dequeue(time.Hour); ok {
				taken <- item
				return
			}
		}
	}()
	b.Enqueue(newMessage(wire.KindDecided, "keeper", "", "x"))
	if item := <-taken; item.Message.Kind != wire.KindDecided {
		t.Errorf("got %+v", item)
	}
}
