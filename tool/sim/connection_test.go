package sim

import (
	"slices"
	"testing"
	"time"
)

// TestUnreadingPeerBlocksWriter freezes a peer, so that the window fills up and the write
// timeout closes the connection.
func TestUnreadingPeerBlocksWriter(t *testing.T) {
	w, from, to, got := newPair(slowReader(time.Millisecond))
	w.Freeze(to)
	w.RunUntil(time.Second)
	for range 4 {
		w.sendText(from, "x", 60_000)
	}
	w.RunUntil(2 * time.Second)
	if sent := from.sender.connections[0].inFlight; sent > 100_000 {
		t.Errorf("%d bytes are in flight through a window of 100000", sent)
	}
	w.RunUntil(4500 * time.Millisecond)
	if w.LogCounts["connection_lost"] != 1 {
		t.Errorf("%d connections were closed after the write timeout of 3 s, want 1", w.LogCounts["connection_lost"])
	}
	w.Unfreeze(to)
	w.RunUntil(8 * time.Second)
	if len(got.kinds) != 3 {
		t.Errorf("%d of 4 messages arrived, want 3: only the one that timed out is lost", len(got.kinds))
	}
}

func TestLargeMessagesShareTheRate(t *testing.T) {
	w, from, _, got := newPair(slowReader(time.Millisecond))
	w.sendText(from, "large", 500_000)
	w.sendText(from, "small", 10)
	w.RunUntil(5 * time.Second)
	least, most := 500*time.Millisecond, 600*time.Millisecond
	if !slices.Equal(got.kinds, []string{"large", "small"}) || got.at[0] < least || got.at[0] > most {
		t.Errorf("got %v at %v, want the small message after the large one, which takes 0.5 s", got.kinds, got.at)
	}
}

func TestResetLosesOnlyMessagesInFlight(t *testing.T) {
	w, from, _, got := newPair(slowReader(time.Millisecond))
	w.sendText(from, "before", 50_000)
	w.RunUntil(10 * time.Millisecond)
	from.sender.connections[0].reset()
	w.sendText(from, "after", 10)
	w.RunUntil(time.Second)
	if !slices.Equal(got.kinds, []string{"after"}) {
		t.Errorf("got %v, want only the message sent after the reset", got.kinds)
	}
}

// TestHeldMessagesArriveInOrder checks that messages sent on a held link are delivered in
// order once it is released.
func TestHeldMessagesArriveInOrder(t *testing.T) {
	w, from, _, got := newPair(slowReader(time.Millisecond))
	w.HoldLink("a", "b")
	w.sendText(from, "first", 10)
	w.sendText(from, "second", 10)
	w.RunUntil(time.Second)
	if len(got.kinds) > 0 {
		t.Errorf("%v arrived over a held link", got.kinds)
	}
	w.ReleaseLink("a", "b")
	w.sendText(from, "third", 10)
	w.RunUntil(2 * time.Second)
	if !slices.Equal(got.kinds, []string{"first", "second", "third"}) {
		t.Errorf("got %v, want the messages in the order in which they were sent", got.kinds)
	}
}
