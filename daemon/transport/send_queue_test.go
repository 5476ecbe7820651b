package transport

import (
	"testing"

	"sorrelloom/core/wire"
)

func TestFullSendQueueDropsOldestFrames(t *testing.T) {
	const size, frames = 1 << 20, 40
	counters := NewCounters()
	c := newConnection("peer", (&clock{}).now, counters, make(chan struct{}))
	body := string(make([]byte, size))
	for i := range frames {
		c.queue.push(newMessage(wire.KindFeedUpdate, "me", "", body), []byte{byte(i)})
	}
	if c.queue.bytes > maxQueuedBytes || c.queue.frames.len() != 15 {
		t.Errorf("%d frames with %d bytes are queued", c.queue.frames.len(), c.queue.bytes)
	}
	if first := c.queue.frames.first().header[0]; first != frames-15 {
		t.Errorf("the oldest queued frame is %d", first)
	}
	overflow := DropKey{Kind: wire.KindFeedUpdate, Outgoing: true, Reason: DropOverflow}
	if got := counters.TakeAndReset().Dropped[overflow]; got != frames-15 {
		t.Errorf("%d frames were counted as dropped", got)
	}
}

func TestExpiredFramesAreNotSent(t *testing.T) {
	clock, counters := &clock{}, NewCounters()
	c := newConnection("peer", clock.now, counters, make(chan struct{}))
	c.queue.push(newMessage(wire.KindCommand, "me", "", ""), []byte("old command"))
	c.queue.push(newMessage(wire.KindReplicate, "me", "", ""), []byte("heartbeat in time"))
	clock.at = wire.MaxCommandWait + 1
	c.queue.push(newMessage(wire.KindCommand, "me", "", ""), []byte("new command"))
	var sent []string
	for _, frame := range c.queue.nextBatch() {
		sent = append(sent, string(frame.header))
	}
	equal(t, sent, []string{"heartbeat in time", "new command"})
	expired := DropKey{Kind: wire.KindCommand, Outgoing: true, Reason: DropExpired}
	if got := counters.TakeAndReset().Dropped[expired]; got != 1 {
		t.Errorf("%d commands were counted as expired", got)
	}
}

// TestBatchIsBounded checks the size of batches, so that the frames queued behind a batch can
// still expire or be dropped.
func TestBatchIsBounded(t *testing.T) {
	c := newConnection("peer", (&clock{}).now, NewCounters(), make(chan struct{}))
	for range 3 {
		c.queue.push(newMessage(wire.KindSnapshotChunk, "me", "", string(make([]byte, 2*maxBatchBytes))), nil)
	}
	for range 100 {
		c.queue.push(newMessage(wire.KindReplicate, "me", "", string(make([]byte, 1000))), nil)
	}
	for _, want := range []int{1, 1, 1, 65, 35, 0} {
		if got := len(c.queue.nextBatch()); got != want {
			t.Errorf("got a batch of %d frames, want %d", got, want)
		}
	}
}
