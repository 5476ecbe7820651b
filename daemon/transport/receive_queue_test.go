package transport

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// clock is a clock that tests set.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

func newTestQueue() (*ReceiveQueue, *clock, *Counters) {
	c, counters := &clock{}, NewCounters()
	return NewReceiveQueue(c.now, counters), c, counters
}

func newMessage(kind, from, key, body string) machine.Message {
	return machine.Message{
		Version: machine.ProtocolVersion, Kind: kind, From: from, CoalescingKey: key, Body: []byte(body),
	}
}

// drain dequeues everything and describes each item by its kind and body.
func drain(q *ReceiveQueue) []string {
	var taken []string
	for {
		item, ok := q.Dequeue(0)
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

func TestClusterMessagesPrecedeRequests(t *testing.T) {
	const requests = 5000
	q, _, _ := newTestQueue()
	for i := range requests {
		q.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	q.EnqueueCall(func() {})
	q.Enqueue(newMessage(wire.KindHeartbeatReply, "replica", "", "a"))
	q.Enqueue(newMessage(wire.KindReplicate, "replica", "", "r"))
	q.Enqueue(newMessage(wire.KindAccept, "replica", "", "v"))
	taken := drain(q)
	if len(taken) != requests+4 {
		t.Fatalf("%d items were dequeued", len(taken))
	}
	equal(t, taken[:6], []string{"replicate r", "accept v", "call", "beat-back a", "command 0", "command 1"})
}

// TestQueriesPrecedeNewJobs enqueues queries and reports behind many new jobs. They must
// be dequeued first, and a repeated query must replace the pending one.
func TestQueriesPrecedeNewJobs(t *testing.T) {
	const jobs = 1000
	q, _, counters := newTestQueue()
	for i := range jobs {
		q.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "report"))
	q.Enqueue(newMessage(wire.KindFeedUpdate, "replica", "", "update"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", machine.QueryKeyPrefix+"1", "question"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", machine.UrgentKeyPrefix+"2", "operator"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", machine.QueryKeyPrefix+"1", "question, resent"))
	if waiting := q.Len(); waiting != jobs+4 {
		t.Errorf("%d messages are pending", waiting)
	}
	equal(t, drain(q)[:5], []string{
		"command operator", "command question, resent", "beat report", "news update", "command 0",
	})
	if got := counters.TakeAndReset().Dropped; got[DropKey{Kind: wire.KindCommand, Reason: DropReplaced}] != 1 {
		t.Errorf("dropped: %v", got)
	}
}

// TestCompletedWritesDoNotDelayAcknowledgements completes another write whenever one is handled,
// as when each write causes the next. Messages of other members must still be handled.
func TestCompletedWritesDoNotDelayAcknowledgements(t *testing.T) {
	q, _, _ := newTestQueue()
	q.EnqueueCompletion(func() {})
	q.Enqueue(newMessage(wire.KindReplicateAck, "replica", "", "1"))
	q.Enqueue(newMessage(wire.KindReplicateAck, "replica", "", "2"))
	var taken []string
	for range 4 {
		item, _ := q.DequeueBeforeTimers()
		if item.Call != nil {
			taken = append(taken, "written")
			q.EnqueueCompletion(func() {})
			continue
		}
		taken = append(taken, string(item.Message.Body))
	}
	equal(t, taken, []string{"written", "1", "written", "2"})
}

func TestExpiredRequestIsDropped(t *testing.T) {
	q, clock, counters := newTestQueue()
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "old"))
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "old"))
	q.Enqueue(newMessage(wire.KindSubscribe, "front", "", "kept"))
	q.Enqueue(newMessage(wire.KindReplicate, "replica", "", "kept"))
	q.Enqueue(newMessage(wire.KindCommandReply, "replica", "", "kept"))
	clock.at = wire.MaxCommandWait + 1
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "new"))
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "new"))
	equal(t, drain(q), []string{"replicate kept", "command-back kept", "beat new", "follow kept", "command new"})
	counts := counters.TakeAndReset()
	if got := counts.Dropped[DropKey{Kind: wire.KindCommand, Reason: DropExpired}]; got != 1 {
		t.Errorf("%d commands were counted as expired", got)
	}
	if counts.LongestWait != clock.at {
		t.Errorf("the longest wait is %s", counts.LongestWait)
	}
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "in time"))
	clock.at += wire.MaxCommandWait
	equal(t, drain(q), []string{"command in time"})
}

// TestHeartbeatsExpireLaterThanCommands checks that heartbeats expire later than
// commands, since an agent that has waited for a reply for a while sends no other heartbeat
// for over a second.
func TestHeartbeatsExpireLaterThanCommands(t *testing.T) {
	q, clock, counters := newTestQueue()
	for _, wait := range []time.Duration{2 * wire.MaxCommandWait, heartbeatMaxAge} {
		q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "in time"))
		q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "late"))
		clock.at += wait
		equal(t, drain(q), []string{"beat in time"})
	}
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w", "late"))
	clock.at += heartbeatMaxAge + 1
	equal(t, drain(q), []string(nil))
	if got := counters.TakeAndReset().Dropped[DropKey{Kind: wire.KindHeartbeat, Reason: DropExpired}]; got != 1 {
		t.Errorf("%d heartbeats were counted as expired", got)
	}
}

// TestRequestsAreProcessedBetweenHeartbeats checks that one request is dequeued after every
// three heartbeats while both are pending, and that each item has its waiting time.
func TestRequestsAreProcessedBetweenHeartbeats(t *testing.T) {
	q, clock, _ := newTestQueue()
	for i := range 4 {
		q.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	for i := range 8 {
		q.Enqueue(newMessage(wire.KindHeartbeat, "agent", fmt.Sprint("w", i), fmt.Sprint(i)))
	}
	clock.at = wire.MaxCommandWait
	if item, _ := q.Dequeue(0); item.Message.Kind != wire.KindHeartbeat || item.Waited != wire.MaxCommandWait {
		t.Errorf("the first item is a %s that waited %s", item.Message.Kind, item.Waited)
	}
	equal(t, drain(q), []string{
		"beat 1", "beat 2", "command 0", "beat 3", "beat 4", "beat 5", "command 1", "beat 6", "beat 7", "command 2",
		"command 3",
	})
}

// TestNewestMessageReplacesWaitingOne checks that a newer message takes the place of the
// pending one with the same key, and that heartbeats of other workers or senders are
// unaffected.
func TestNewestMessageReplacesWaitingOne(t *testing.T) {
	q, _, counters := newTestQueue()
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "first"))
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w2", "other worker"))
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent 2", "w1", "other sender"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "one"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "two"))
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "second, which is longer"))
	equal(t, drain(q), []string{
		"beat second, which is longer", "beat other worker", "beat other sender", "command one", "command two",
	})
	replaced := DropKey{Kind: wire.KindHeartbeat, Reason: DropReplaced}
	if got := counters.TakeAndReset().Dropped; len(got) != 1 || got[replaced] != 1 {
		t.Errorf("dropped: %v", got)
	}
	q.Enqueue(newMessage(wire.KindHeartbeat, "agent", "w1", "third"))
	equal(t, drain(q), []string{"beat third"})
	for priority := range q.requests {
		if bytes := q.requests[priority].bytes; bytes != 0 {
			t.Errorf("%d bytes are counted in an empty queue of priority %d", bytes, priority)
		}
	}
	if len(q.latestByKey) != 0 {
		t.Errorf("%d keys are left in an empty queue", len(q.latestByKey))
	}
}

func TestFullReceiveQueueDropsOldestRequests(t *testing.T) {
	const more = 3
	q, _, counters := newTestQueue()
	for i := range maxRequestFrames + more {
		q.Enqueue(newMessage(wire.KindCommand, "gateway", "", fmt.Sprint(i)))
	}
	if taken := drain(q); len(taken) != maxRequestFrames || taken[0] != "command 3" {
		t.Errorf("%d commands were kept, the first is %s", len(taken), taken[0])
	}
	if got := counters.TakeAndReset().Dropped[DropKey{Kind: wire.KindCommand, Reason: DropOverflow}]; got != more {
		t.Errorf("%d commands were counted as dropped", got)
	}
	large := string(make([]byte, maxRequestBytes/2))
	for _, name := range []string{"a", "b", "c"} {
		q.Enqueue(newMessage(wire.KindFeedUpdate, "replica", "", large+name))
	}
	if taken := drain(q); len(taken) != 1 {
		t.Errorf("%d frames larger than half the limit were kept", len(taken))
	}
}

func TestClosedQueueRejectsCalls(t *testing.T) {
	q, _, _ := newTestQueue()
	q.Close()
	if q.EnqueueCall(func() {}) {
		t.Error("a closed queue accepted a call")
	}
}

func TestDequeueWaitsForNextMessage(t *testing.T) {
	q, _, _ := newTestQueue()
	taken := make(chan QueueItem)
	go func() {
		for {
			if item, ok := q.Dequeue(time.Hour); ok {
				taken <- item
				return
			}
		}
	}()
	q.Enqueue(newMessage(wire.KindDecided, "replica", "", "x"))
	if item := <-taken; item.Message.Kind != wire.KindDecided {
		t.Errorf("got %+v", item)
	}
}

// TestRequestsDoNotOvertakeOperatorCommands enqueues many reports and a change, and later a
// query and an operator's command. The change must be dequeued after maxReportsInRow reports,
// but not before the query and the operator's command.
func TestRequestsDoNotOvertakeOperatorCommands(t *testing.T) {
	q := NewReceiveQueue(func() time.Duration { return 0 }, NewCounters())
	for i := range maxReportsInRow + 1 {
		q.Enqueue(newMessage(wire.KindHeartbeat, "agent", fmt.Sprint(i), fmt.Sprint(i)))
	}
	q.Enqueue(newMessage(wire.KindCommand, "gateway", "", "change"))
	for range maxReportsInRow {
		q.tryDequeue()
	}
	q.Enqueue(newMessage(wire.KindCommand, "gateway", machine.QueryKeyPrefix+"1", "question"))
	q.Enqueue(newMessage(wire.KindCommand, "gateway", machine.UrgentKeyPrefix+"2", "operator"))
	want := []string{"command operator", "command question", "command change", fmt.Sprint("beat ", maxReportsInRow)}
	equal(t, drain(q), want)
}
