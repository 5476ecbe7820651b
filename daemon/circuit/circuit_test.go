package circuit

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sorrelloom/core/machine"
)

const patience = 10 * time.Second

func open(t *testing.T) (*Circuits, string, chan machine.Line) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	lines := make(chan machine.Line, 100)
	c, err := Open(address, func(line machine.Line) { lines <- line })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, address, lines
}

func take(t *testing.T, lines chan machine.Line) machine.Line {
	t.Helper()
	select {
	case line := <-lines:
		return line
	case <-time.After(patience):
		t.Fatal("no line came")
		return machine.Line{}
	}
}

func TestLinesComeInOrderBothWays(t *testing.T) {
	a, addressA, linesA := open(t)
	b, addressB, linesB := open(t)
	for i := range 50 {
		a.Send(addressB, machine.Line{Wire: 1, Kind: fmt.Sprint(i), From: addressA})
	}
	for i := range 50 {
		if line := take(t, linesB); line.Kind != fmt.Sprint(i) || line.From != addressA {
			t.Fatalf("got %+v, want %d", line, i)
		}
	}
	b.Send(addressA, machine.Line{Wire: 1, Kind: "back", From: addressB})
	if line := take(t, linesA); line.Kind != "back" {
		t.Errorf("got %+v", line)
	}
}

// TestADamagedFrameClosesItsCircuitOnly sends rubbish on one circuit; another
// goes on, and a frame of a later version is taken.
func TestADamagedFrameClosesItsCircuitOnly(t *testing.T) {
	_, address, lines := open(t)
	for _, rubbish := range []string{"not a frame\n", `{"wire":1,"kind":"x"}`, "\x00\x00\x00\x00", "\x10\x00\x00\x01", "\x00\x00\x00\x03\x01\x05x", "\x00\x00\x00\x05\x00\x01k\x01f"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		fmt.Fprint(conn, rubbish)
		if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("%q: the circuit was not closed: %v", rubbish, err)
		}
		conn.Close()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "\x00\x00\x00\x13\x09\x05later\x0b127.0.0.1:1")
	if line := take(t, lines); line.Kind != "later" || line.Wire != 9 || line.From != "127.0.0.1:1" {
		t.Errorf("got %+v", line)
	}
}

// TestACircuitGivesUpOnASilentPeer reads back what the kernel was told.
func TestACircuitGivesUpOnASilentPeer(t *testing.T) {
	_, address, _ := open(t)
	conn, err := dialer.Dial("tcp", address)
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
		if err := raw.Control(func(fd uintptr) { got, option = unix.GetsockoptInt(int(fd), row.level, row.option) }); err != nil {
			t.Fatal(err)
		}
		if option != nil || got != row.want {
			t.Errorf("%s: got %d, want %d, %v", row.name, got, row.want, option)
		}
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}
