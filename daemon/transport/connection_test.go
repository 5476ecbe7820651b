package transport

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// slowConn takes a few bytes of each write before the deadline passes, and after a
// while none at all.
type slowConn struct {
	net.Conn
	perWrite, left       int
	deadlines, timeouts  int
	deadlineSinceLastPut bool
}

func (c *slowConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	c.deadlineSinceLastPut = true
	return nil
}

func (c *slowConn) Write(data []byte) (int, error) {
	if !c.deadlineSinceLastPut {
		return 0, errors.New("a write without a deadline of its own")
	}
	c.deadlineSinceLastPut = false
	count := min(c.perWrite, c.left, len(data))
	c.left -= count
	if count < len(data) {
		c.timeouts++
		return count, os.ErrDeadlineExceeded
	}
	return count, nil
}

func TestALargeFrameMayTakeLongWhileBytesGoOut(t *testing.T) {
	const size = 6 << 20
	slow := &slowConn{perWrite: 1000, left: size}
	if written, err := (progressWriter{slow}).Write(make([]byte, size)); err != nil || written != size {
		t.Errorf("%d of %d bytes after %d timeouts: %v", written, size, slow.timeouts, err)
	}
	if slow.timeouts < size/maxBatchBytes {
		t.Errorf("only %d deadlines passed", slow.timeouts)
	}
}

func TestAWriteWithoutAnyProgressIsAnError(t *testing.T) {
	stuck := &slowConn{perWrite: 1000, left: 2500}
	written, err := progressWriter{stuck}.Write(make([]byte, 5000))
	if written != 2500 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", written, err)
	}
}

func TestRedialWaitsGrowWithinTheirBounds(t *testing.T) {
	var redial backoff
	for _, most := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		most *= time.Millisecond
		if wait := redial.nextDelay(); wait < most/2 || wait > most {
			t.Errorf("a wait of %s, not between %s and %s", wait, most/2, most)
		}
	}
}

// TestAPeerThatIsHeardFromIsDialledAtOnce has a wait of at least a second ahead,
// which patience would not show; the wait must also begin anew.
func TestAPeerThatIsHeardFromIsDialledAtOnce(t *testing.T) {
	c := newConnection("peer", (&clock{}).now, NewCounters(), make(chan struct{}))
	redial := backoff{lastDelay: maxRedialDelay}
	signal(c.peerHeard)
	if goOn := c.waitBeforeRedial(&redial); !goOn || redial.lastDelay != 0 {
		t.Errorf("goes on: %v, with a last wait of %s", goOn, redial.lastDelay)
	}
}

func TestAFullConnectionKeepsItsNewestFrames(t *testing.T) {
	const size, frames = 1 << 20, 40
	counters := NewCounters()
	c := newConnection("peer", (&clock{}).now, counters, make(chan struct{}))
	body := string(make([]byte, size))
	for i := range frames {
		c.push(newMessage(wire.KindFeedUpdate, "me", "", body), []byte{byte(i)})
	}
	if c.queuedBytes > maxQueuedBytes || c.queue.len() != 15 {
		t.Errorf("%d frames of %d bytes wait", c.queue.len(), c.queuedBytes)
	}
	if first := c.queue.first().header[0]; first != frames-15 {
		t.Errorf("the oldest kept is %d", first)
	}
	if got := counters.TakeAndReset().Dropped[DropKey{Kind: wire.KindFeedUpdate, Outgoing: true, Reason: DropOverflow}]; got != frames-15 {
		t.Errorf("%d count as dropped", got)
	}
}

func TestFramesThatWaitedTooLongAreNotSent(t *testing.T) {
	clock, counters := &clock{}, NewCounters()
	c := newConnection("peer", clock.now, counters, make(chan struct{}))
	c.push(newMessage(wire.KindCommand, "me", "", ""), []byte("old command"))
	c.push(newMessage(wire.KindReplicate, "me", "", ""), []byte("heartbeat in time"))
	clock.at = requestMaxAge + 1
	c.push(newMessage(wire.KindCommand, "me", "", ""), []byte("new command"))
	var sent []string
	for _, frame := range c.nextBatch() {
		sent = append(sent, string(frame.header))
	}
	equal(t, sent, []string{"heartbeat in time", "new command"})
	if got := counters.TakeAndReset().Dropped[DropKey{Kind: wire.KindCommand, Outgoing: true, Reason: DropExpired}]; got != 1 {
		t.Errorf("%d commands count as expired", got)
	}
}

// TestABatchIsBounded: what waits behind a batch can still expire or be dropped.
func TestABatchIsBounded(t *testing.T) {
	c := newConnection("peer", (&clock{}).now, NewCounters(), make(chan struct{}))
	for range 3 {
		c.push(newMessage(wire.KindSnapshotChunk, "me", "", string(make([]byte, 2*maxBatchBytes))), nil)
	}
	for range 100 {
		c.push(newMessage(wire.KindReplicate, "me", "", string(make([]byte, 1000))), nil)
	}
	for _, want := range []int{1, 1, 1, 65, 35, 0} {
		if got := len(c.nextBatch()); got != want {
			t.Errorf("a batch of %d frames, not %d", got, want)
		}
	}
}
