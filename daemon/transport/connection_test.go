package transport

import (
	"bufio"
	"net"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// TestPeerHeardEndsBackoff signals a peer whose backoff delay is at least a second. The wait
// must end at once, and the backoff must be reset.
func TestPeerHeardEndsBackoff(t *testing.T) {
	c := newConnection("peer", (&clock{}).now, NewCounters(), make(chan struct{}))
	redial := backoff{lastDelay: maxRedialDelay}
	signal(c.peerHeard)
	if proceed := c.waitBeforeRedial(&redial); !proceed || redial.lastDelay != 0 {
		t.Errorf("continues: %v, last delay %s", proceed, redial.lastDelay)
	}
}

// nonReadingPeer starts a peer that reads cluster messages, but stops reading from a
// connection after any other message.
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
					if err != nil || ClassOfKind(got.Kind).Priority != PriorityCluster {
						return
					}
					members <- got
				}
			}()
		}
	}()
	return listener.Addr().String(), members
}

// TestNonReadingPeerDoesNotDelayOthers sends a peer that doesn't read far more than sockets and
// queues can hold. Heartbeats must still reach this peer on another channel, and other peers
// must not be affected.
func TestNonReadingPeerDoesNotDelayOthers(t *testing.T) {
	me, other := open(t), open(t)
	nonReading, members := nonReadingPeer(t)
	body := string(make([]byte, 1<<20))
	for range 64 {
		me.Send(nonReading, newMessage(wire.KindCommandReply, me.address, "", body))
	}
	me.Send(nonReading, newMessage(wire.KindReplicate, me.address, "", "heartbeat"))
	me.Send(other.address, newMessage(wire.KindCommandReply, me.address, "", "small"))
	if got := other.receive(t); string(got.Body) != "small" {
		t.Errorf("the other peer got %s", got.Kind)
	}
	select {
	case got := <-members:
		if string(got.Body) != "heartbeat" {
			t.Errorf("the non-reading peer got %s", got.Kind)
		}
	case <-time.After(testTimeout):
		t.Error("the heartbeat is delayed by unread messages")
	}
	overflow := DropKey{Kind: wire.KindCommandReply, Outgoing: true, Reason: DropOverflow}
	if me.counters.TakeAndReset().Dropped[overflow] == 0 {
		t.Error("none of 64 MB for a non-reading peer was dropped")
	}
}

// TestSnapshotDoesNotDelayVote sends a vote while the peer does not read the log channel.
func TestSnapshotDoesNotDelayVote(t *testing.T) {
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

// TestUnreachablePeerIsRedialled starts to send before the peer listens.
func TestUnreachablePeerIsRedialled(t *testing.T) {
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
