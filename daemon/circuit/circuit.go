// Package circuit carries lines between processes over TCP. There is one
// outgoing circuit per peer, dialled when there is something to say; lines to a
// peer that cannot be reached are dropped, since every sender repeats what
// matters. A damaged frame closes its circuit and nothing else.
package circuit

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logline"
	"sorrelloom/daemon/pool"
)

const (
	inboxMax    = 8192
	dialWait    = 700 * time.Millisecond
	writeWait   = 3 * time.Second
	idleAfter   = 30 * time.Second
	redialPause = 100 * time.Millisecond
	// A machine behind a cut says nothing: what it has not acknowledged for so
	// long, or a probe on an idle circuit, ends the circuit.
	unackedWait = 1500 * time.Millisecond
	probeAfter  = 2 * time.Second
	probeEach   = time.Second
	probeCount  = 2
)

var dialer = net.Dialer{
	Timeout:         dialWait,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEach, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if failed := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedWait.Milliseconds()))
		}); failed != nil {
			return failed
		}
		return err
	},
}

type Circuits struct {
	deliver  func(machine.Line)
	listener net.Listener
	mu       sync.Mutex
	out      map[string]chan []byte
	in       map[net.Conn]bool
	closed   bool
}

// Open listens on the address and hands every good line to deliver.
func Open(address string, deliver func(machine.Line)) (*Circuits, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Circuits{deliver: deliver, listener: l, out: map[string]chan []byte{}, in: map[net.Conn]bool{}}
	pool.Go(c.accept)
	return c, nil
}

func (c *Circuits) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.listener.Close()
	for conn := range c.in {
		conn.Close()
	}
	for _, lines := range c.out {
		close(lines)
	}
	c.out = map[string]chan []byte{}
}

func (c *Circuits) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			c.mu.Lock()
			closed := c.closed
			c.mu.Unlock()
			if closed {
				return
			}
			logline.Event("accept_failed", "why", err.Error())
			time.Sleep(redialPause)
			continue
		}
		c.mu.Lock()
		c.in[conn] = true
		c.mu.Unlock()
		pool.Go(func() { c.read(conn) })
	}
}

func (c *Circuits) read(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.in, conn)
		c.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := ReadFrame(reader)
		if err == io.EOF {
			return
		}
		if err != nil {
			logline.Event("circuit_closed", "peer", conn.RemoteAddr().String(), "why", err.Error())
			return
		}
		c.deliver(line)
	}
}

// Send puts a line into the peer's inbox; a full inbox drops it.
func (c *Circuits) Send(to string, line machine.Line) {
	header, err := FrameHeader(line)
	if err != nil {
		logline.Event("line_unsendable", "kind", line.Kind, "why", err.Error())
		return
	}
	data := append(header, line.Body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	lines, ok := c.out[to]
	if !ok {
		lines = make(chan []byte, inboxMax)
		c.out[to] = lines
		pool.Go(func() { c.write(to, lines) })
	}
	select {
	case lines <- data:
	default:
		logline.Event("line_dropped", "to", to, "kind", line.Kind)
	}
}

// write serves one peer's inbox until it has been idle for a while.
func (c *Circuits) write(to string, lines chan []byte) {
	var conn net.Conn
	var buffer *bufio.Writer
	drop := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer drop()
	idle := time.NewTimer(idleAfter)
	for {
		select {
		case data, ok := <-lines:
			if !ok {
				return
			}
			idle.Reset(idleAfter)
			if conn == nil {
				var err error
				if conn, err = dialer.Dial("tcp", to); err != nil {
					conn = nil
					drain(lines)
					time.Sleep(redialPause)
					continue
				}
				buffer = bufio.NewWriterSize(conn, 64<<10)
			}
			conn.SetWriteDeadline(time.Now().Add(writeWait))
			_, err := buffer.Write(data)
			if err == nil && len(lines) == 0 {
				err = buffer.Flush()
			}
			if err != nil {
				logline.Event("circuit_lost", "to", to, "why", err.Error())
				drop()
			}
		case <-idle.C:
			c.mu.Lock()
			if len(lines) == 0 {
				if c.out[to] == lines {
					delete(c.out, to)
				}
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
			idle.Reset(idleAfter)
		}
	}
}

func drain(lines chan []byte) {
	for {
		select {
		case _, ok := <-lines:
			if !ok {
				return
			}
		default:
			return
		}
	}
}
