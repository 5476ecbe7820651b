package transport

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const testTimeout = 10 * time.Second

type endpoint struct {
	*Transport
	address      string
	receiveQueue *ReceiveQueue
}

func open(t *testing.T) endpoint {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	counters := NewCounters()
	queue := NewReceiveQueue(now, counters)
	tr, err := Open("127.0.0.1:0", now, queue, counters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return endpoint{tr, tr.listener.Addr().String(), queue}
}

// receive waits for the next message.
func (e endpoint) receive(t *testing.T) machine.Message {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		if item, ok := e.receiveQueue.Dequeue(time.Until(until)); ok {
			return item.Message
		}
	}
	t.Fatal("no message arrived")
	return machine.Message{}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitClose waits until the peer has closed a connection.
func awaitClose(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection was not closed: %v", err)
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

func TestMessagesArriveInOrderBothWays(t *testing.T) {
	a, b := open(t), open(t)
	for i := range 50 {
		a.Send(b.address, newMessage(wire.KindReplicate, a.address, "", fmt.Sprint(i)))
	}
	for i := range 50 {
		if got := b.receive(t); string(got.Body) != fmt.Sprint(i) || got.From != a.address || got.Kind != wire.KindReplicate {
			t.Fatalf("got %+v, want %d", got, i)
		}
	}
	b.Send(a.address, newMessage("back", b.address, "", ""))
	if got := a.receive(t); got.Kind != "back" {
		t.Errorf("got %+v", got)
	}
}

// TestMalformedFrameClosesOnlyItsConnection sends malformed data on some connections. Another
// connection must still work, and a frame of a later version must be accepted.
func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	e := open(t)
	other := dial(t, e.address)
	for _, malformed := range []string{
		"not a frame\n", `{"wire":1,"kind":"x"}`, "\x00\x00\x00\x00", "\x10\x00\x00\x01",
		"\x00\x00\x00\x03\x01\x05x", "\x00\x00\x00\x06\x00\x01k\x01f\x00",
	} {
		conn := dial(t, e.address)
		fmt.Fprint(conn, malformed)
		awaitClose(t, conn)
	}
	later := newMessage("later", "127.0.0.1:1", "", "x")
	later.Version = 9
	if err := WriteFrame(other, later); err != nil {
		t.Fatal(err)
	}
	if got := e.receive(t); got.Kind != "later" || got.Version != 9 || got.From != "127.0.0.1:1" {
		t.Errorf("got %+v", got)
	}
}

// TestConnectionResetWithinFrameDeliversNothing breaks the connection at every byte of a
// reply. The same reply on a new connection must arrive complete and once.
func TestConnectionResetWithinFrameDeliversNothing(t *testing.T) {
	e := open(t)
	answer := newMessage(wire.KindCommandReply, "replica", "", "answer to 1")
	whole := frameOf(t, answer)
	for length := range whole {
		conn := dial(t, e.address).(*net.TCPConn)
		if _, err := conn.Write(whole[:length]); err != nil {
			t.Fatal(err)
		}
		if length%2 == 0 {
			conn.SetLinger(0)
			conn.Close()
			continue
		}
		conn.CloseWrite()
		awaitClose(t, conn)
	}
	if err := WriteFrame(dial(t, e.address), answer); err != nil {
		t.Fatal(err)
	}
	if got := e.receive(t); string(got.Body) != "answer to 1" {
		t.Errorf("got %+v", got)
	}
	if got := e.counters.TakeAndReset().Received[wire.KindCommandReply].Frames; got != 1 {
		t.Errorf("%d frames were delivered", got)
	}
}

// TestConnectionsOfOnePeerDoNotMix sends a reply on a new connection while part of another
// one has arrived on the old connection.
func TestConnectionsOfOnePeerDoNotMix(t *testing.T) {
	e := open(t)
	first := frameOf(t, newMessage(wire.KindCommandReply, "replica", "", "answer to 1"))
	second := frameOf(t, newMessage(wire.KindCommandReply, "replica", "", "answer to 2"))
	before, after := dial(t, e.address), dial(t, e.address)
	for _, part := range []struct {
		conn net.Conn
		data []byte
		want string
	}{
		{before, first[:len(first)-4], ""},
		{after, second, "answer to 2"},
		{before, first[len(first)-4:], "answer to 1"},
	} {
		if _, err := part.conn.Write(part.data); err != nil {
			t.Fatal(err)
		}
		if part.want == "" {
			continue
		}
		if got := e.receive(t); string(got.Body) != part.want || got.From != "replica" {
			t.Errorf("got %+v, want %s", got, part.want)
		}
	}
}

func TestClosedTransportSendsNothing(t *testing.T) {
	queue, clock, counters := newTestQueue()
	tr, err := Open("127.0.0.1:0", clock.now, queue, counters)
	if err != nil {
		t.Fatal(err)
	}
	conn := dial(t, tr.listener.Addr().String())
	if err := WriteFrame(conn, newMessage(wire.KindHeartbeat, "agent", "", "")); err != nil {
		t.Fatal(err)
	}
	tr.Close()
	tr.Send("127.0.0.1:1", newMessage(wire.KindHeartbeat, "me", "", ""))
	if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
		t.Error("a connection is still open")
	}
	if len(tr.outgoing) != 0 {
		t.Error("a closed transport opened a connection")
	}
}

// TestCloseDrainsSendQueues checks that a stopping process can still send its last messages,
// such as those that hand over its leadership.
func TestCloseDrainsSendQueues(t *testing.T) {
	other := open(t)
	queue, clock, counters := newTestQueue()
	me, err := Open("127.0.0.1:0", clock.now, queue, counters)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		me.Send(other.address, newMessage(wire.KindReplicate, "me", "", fmt.Sprint(i)))
	}
	me.Close()
	for i := range 50 {
		if got := other.receive(t); string(got.Body) != fmt.Sprint(i) {
			t.Fatalf("got %s, want %d", got.Body, i)
		}
	}
}
