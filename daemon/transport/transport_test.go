package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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

// take waits for the next line that arrives.
func (e endpoint) receive(t *testing.T) machine.Message {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		if item, ok := e.receiveQueue.Dequeue(time.Until(until)); ok {
			return item.Message
		}
	}
	t.Fatal("no line came")
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

// awaitClose waits until the other side has closed a connection.
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

func TestLinesComeInOrderBothWays(t *testing.T) {
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

// TestADamagedFrameClosesItsConnectionOnly sends rubbish on one connection; another
// goes on, and a frame of a later version is taken.
func TestADamagedFrameClosesItsConnectionOnly(t *testing.T) {
	e := open(t)
	other := dial(t, e.address)
	for _, rubbish := range []string{
		"not a frame\n", `{"wire":1,"kind":"x"}`, "\x00\x00\x00\x00", "\x10\x00\x00\x01",
		"\x00\x00\x00\x03\x01\x05x", "\x00\x00\x00\x06\x00\x01k\x01f\x00",
	} {
		conn := dial(t, e.address)
		fmt.Fprint(conn, rubbish)
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

// TestAConnectionResetInAFrameDeliversNothing breaks off at every byte of an answer;
// the same answer on a new connection then comes whole, and once.
func TestAConnectionResetInAFrameDeliversNothing(t *testing.T) {
	e := open(t)
	answer := newMessage(wire.KindCommandReply, "keeper", "", "answer to 1")
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

// TestAnswersOnTwoConnectionsOfAPeerDoNotMix sends one answer on a new connection
// while another has come by half on the old one.
func TestAnswersOnTwoConnectionsOfAPeerDoNotMix(t *testing.T) {
	e := open(t)
	first := frameOf(t, newMessage(wire.KindCommandReply, "keeper", "", "answer to 1"))
	second := frameOf(t, newMessage(wire.KindCommandReply, "keeper", "", "answer to 2"))
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
		if got := e.receive(t); string(got.Body) != part.want || got.From != "keeper" {
			t.Errorf("got %+v, want %s", got, part.want)
		}
	}
}

// deafPeer reads frames of members, and nothing more of a connection once it has
// read a request from it.
func nonReadingPeer(t *testing.T) (address string, members chan machine.Message) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	members = make(chan machine.Message, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				reader := bufio.NewReader(conn)
				for {
					got, err := ReadFrame(reader)
					if err != nil || ClassOf(got.Kind).Priority != PriorityCluster {
						return
					}
					members <- got
				}
			}()
		}
	}()
	return listener.Addr().String(), members
}

// TestAPeerThatDoesNotReadDelaysNobody queues far more for such a peer than fits
// into sockets and queues. Its own heartbeats still come through, and others notice nothing.
func TestAPeerThatDoesNotReadDelaysNobody(t *testing.T) {
	me, other := open(t), open(t)
	deaf, members := nonReadingPeer(t)
	body := string(make([]byte, 1<<20))
	for range 64 {
		me.Send(deaf, newMessage(wire.KindCommandReply, me.address, "", body))
	}
	me.Send(deaf, newMessage(wire.KindReplicate, me.address, "", "heartbeat"))
	me.Send(other.address, newMessage(wire.KindCommandReply, me.address, "", "small"))
	if got := other.receive(t); string(got.Body) != "small" {
		t.Errorf("the other peer got %s", got.Kind)
	}
	select {
	case got := <-members:
		if string(got.Body) != "heartbeat" {
			t.Errorf("the deaf peer got %s", got.Kind)
		}
	case <-time.After(testTimeout):
		t.Error("the heartbeat waits behind what is not read")
	}
	overflow := DropKey{Kind: wire.KindCommandReply, Outgoing: true, Reason: DropOverflow}
	if me.counters.TakeAndReset().Dropped[overflow] == 0 {
		t.Error("all 64 MB are kept for a peer that does not read")
	}
}

// TestASnapshotStandsBeforeNoVote has a peer that reads nothing of the log.
func TestASnapshotStandsBeforeNoVote(t *testing.T) {
	me := open(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	me.Send(address, newMessage(wire.KindSnapshotChunk, me.address, "", string(make([]byte, 32<<20))))
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	me.Send(address, newMessage(wire.KindAccept, me.address, "", "vote"))
	second, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	second.SetDeadline(time.Now().Add(testTimeout))
	if got, err := ReadFrame(second); err != nil || got.Kind != wire.KindAccept {
		t.Errorf("got kind %q, %v", got.Kind, err)
	}
}

// TestAnUnreachablePeerIsDialledAgain has nobody listen at first.
func TestAnUnreachablePeerIsDialledAgain(t *testing.T) {
	me := open(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	me.Send(address, newMessage(wire.KindReplicate, me.address, "", "early"))
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for over := time.After(testTimeout); ; {
		select {
		case conn := <-accepted:
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if got, err := ReadFrame(conn); err != nil || got.Kind != wire.KindReplicate {
				t.Errorf("got kind %q, %v", got.Kind, err)
			}
			return
		case <-ticker.C:
			me.Send(address, newMessage(wire.KindReplicate, me.address, "", "again"))
		case <-over:
			t.Fatal("the peer was not dialled again")
		}
	}
}

func TestAClosedTransportSendsNothing(t *testing.T) {
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
		t.Error("a connection stays open")
	}
	if len(tr.outgoing) != 0 {
		t.Error("a connection was made")
	}
}

// TestCloseSendsWhatWaits: the last words of a process that stops count, such as
// those that hand its lead over.
func TestCloseSendsWhatWaits(t *testing.T) {
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

// TestAConnectionGivesUpOnASilentPeer reads back what the kernel was told.
func TestAConnectionGivesUpOnASilentPeer(t *testing.T) {
	e := open(t)
	conn, err := dialer.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		name                string
		level, option, want int
	}{
		{"milliseconds without an acknowledgement", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1500},
		{"probes", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"seconds to the first probe", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 2},
		{"seconds between probes", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{"probes without an answer", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
	} {
		var got int
		var option error
		err := raw.Control(func(fd uintptr) { got, option = unix.GetsockoptInt(int(fd), row.level, row.option) })
		if err != nil {
			t.Fatal(err)
		}
		if option != nil || got != row.want {
			t.Errorf("%s: got %d, want %d, %v", row.name, got, row.want, option)
		}
	}
}
