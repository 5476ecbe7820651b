package transport

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowConn accepts perWrite bytes of each write before the deadline expires, and nothing once
// it has accepted the initial value of left.
type slowConn struct {
	net.Conn
	perWrite, left         int
	deadlines, timeouts    int
	deadlineSinceLastWrite bool
}

func (c *slowConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	c.deadlineSinceLastWrite = true
	return nil
}

func (c *slowConn) Write(data []byte) (int, error) {
	if !c.deadlineSinceLastWrite {
		return 0, errors.New("write without a new deadline")
	}
	c.deadlineSinceLastWrite = false
	count := min(c.perWrite, c.left, len(data))
	c.left -= count
	if count < len(data) {
		c.timeouts++
		return count, os.ErrDeadlineExceeded
	}
	return count, nil
}

func TestSlowWriteContinuesWithProgress(t *testing.T) {
	const size = 6 << 20
	slow := &slowConn{perWrite: 1000, left: size}
	if written, err := (progressWriter{slow}).Write(make([]byte, size)); err != nil || written != size {
		t.Errorf("%d of %d bytes after %d timeouts: %v", written, size, slow.timeouts, err)
	}
	if slow.timeouts < size/maxBatchBytes {
		t.Errorf("only %d deadlines expired", slow.timeouts)
	}
}

func TestWriteWithoutProgressFails(t *testing.T) {
	stuck := &slowConn{perWrite: 1000, left: 2500}
	written, err := progressWriter{stuck}.Write(make([]byte, 5000))
	if written != 2500 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", written, err)
	}
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	var redial backoff
	for _, most := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		most *= time.Millisecond
		if wait := redial.nextDelay(); wait < most/2 || wait > most {
			t.Errorf("delay %s is not between %s and %s", wait, most/2, most)
		}
	}
}

// TestSilentPeerTimeoutsAreSet checks the socket options of a connection.
func TestSilentPeerTimeoutsAreSet(t *testing.T) {
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
