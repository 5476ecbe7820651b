package transport

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logline"
)

const (
	dialWait   = 700 * time.Millisecond
	idleAfter  = 30 * time.Second
	redialMin  = 100 * time.Millisecond
	redialMax  = 2 * time.Second
	batchBytes = 64 << 10
	// queueBytesMax bounds what waits on one connection; a larger frame may wait alone.
	queueBytesMax = 16 << 20
	// progressWait is how long a connection may take no byte at all of what is written.
	progressWait = 3 * time.Second
	// A machine behind a partition says nothing: what it has not acknowledged for so
	// long, or a probe on an idle connection, ends the connection.
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

// outgoing is a frame to be sent. Frames of one broadcast share their body.
type outgoing struct {
	kind   string
	header []byte
	body   []byte
	at     time.Duration
}

func (f outgoing) size() int { return len(f.header) + len(f.body) }

// connection sends the frames of one channel to one peer, from a goroutine of its
// own. Who pushes never waits: a full queue drops its oldest frame.
type connection struct {
	to       string
	now      func() time.Duration
	counters *Counters
	// ready is signalled when there is a frame, heard when the peer was heard from.
	ready  chan struct{}
	heard  chan struct{}
	closed chan struct{}

	mu    sync.Mutex
	queue fifo[outgoing]
	bytes int

	conn   net.Conn
	writer *bufio.Writer
}

func newConnection(to string, now func() time.Duration, counters *Counters, closed chan struct{}) *connection {
	return &connection{
		to: to, now: now, counters: counters,
		ready: make(chan struct{}, 1), heard: make(chan struct{}, 1), closed: closed,
	}
}

func (c *connection) push(line machine.Line, header []byte) {
	frame := outgoing{line.Kind, header, line.Body, c.now()}
	c.mu.Lock()
	for c.queue.len() > 0 && c.bytes+frame.size() > queueBytesMax {
		c.drop(c.pop(), Overflow)
	}
	c.queue.push(frame)
	c.bytes += frame.size()
	c.mu.Unlock()
	notify(c.ready)
}

func (c *connection) pop() outgoing {
	frame := c.queue.pop()
	c.bytes -= frame.size()
	return frame
}

func (c *connection) drop(frame outgoing, why Reason) {
	c.counters.dropped(Drop{Kind: frame.kind, Outgoing: true, Reason: why})
}

func (c *connection) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.len() == 0
}

// batch takes frames to be written together, without those that waited too long.
func (c *connection) batch() []outgoing {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var frames []outgoing
	for bytes := 0; c.queue.len() > 0 && (bytes == 0 || bytes+c.queue.first().size() <= batchBytes); {
		frame := c.pop()
		c.counters.waited(now - frame.at)
		if now-frame.at > TrafficOf(frame.kind).SendWithin {
			c.drop(frame, Expired)
			continue
		}
		frames = append(frames, frame)
		bytes += frame.size()
	}
	return frames
}

// run sends frames until the transport is closed, or until there were none for a
// while and retire agrees.
func (c *connection) run(retire func() bool) {
	defer c.hangUp()
	idle := time.NewTimer(idleAfter)
	var redial backoff
	for {
		select {
		case <-c.closed:
			c.finish()
			return
		case <-idle.C:
			if retire() {
				return
			}
		case <-c.ready:
		}
		idle.Reset(idleAfter)
		for !c.empty() {
			if c.conn == nil && !c.dial() {
				if !c.pause(&redial) {
					return
				}
				continue
			}
			if c.send(c.batch()) {
				redial = backoff{}
			} else if !c.pause(&redial) {
				return
			}
		}
	}
}

// finish sends what still waits, and gives up at the first failure.
func (c *connection) finish() {
	for !c.empty() && (c.conn != nil || c.dial()) && c.send(c.batch()) {
	}
}

func (c *connection) dial() bool {
	conn, err := dialer.Dial("tcp", c.to)
	if err != nil {
		return false
	}
	c.conn = conn
	c.writer = bufio.NewWriterSize(progressWriter{conn}, batchBytes)
	return true
}

// send writes frames and flushes once. When the connection breaks all of them count
// as unsent, so that no frame goes on where another connection left off.
func (c *connection) send(frames []outgoing) bool {
	for _, frame := range frames {
		c.writer.Write(frame.header)
		c.writer.Write(frame.body)
	}
	if err := c.writer.Flush(); err != nil {
		logline.Event("connection_lost", "to", c.to, "why", err.Error())
		for _, frame := range frames {
			c.drop(frame, Unsent)
		}
		c.hangUp()
		return false
	}
	for _, frame := range frames {
		c.counters.sent(frame.kind, len(frame.body))
	}
	return true
}

func (c *connection) hangUp() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.writer = nil, nil
}

// pause waits before the next dial, unless the peer is heard from. It says whether
// to go on.
func (c *connection) pause(redial *backoff) bool {
	wait := time.NewTimer(redial.next())
	defer wait.Stop()
	select {
	case <-c.closed:
		return false
	case <-c.heard:
		*redial = backoff{}
	case <-wait.C:
	}
	return true
}

// backoff doubles from redialMin to redialMax; a random part keeps those who lost
// the same peer from dialling it at the same moment.
type backoff struct{ last time.Duration }

func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, redialMin), redialMax)
	return b.last/2 + rand.N(b.last/2)
}

// progressWriter writes piece by piece, each with a deadline of its own: a large
// frame may take long on a slow connection while bytes go out.
type progressWriter struct{ conn net.Conn }

func (w progressWriter) Write(data []byte) (written int, err error) {
	for written < len(data) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(progressWait)); err != nil {
			return written, err
		}
		count, err := w.conn.Write(data[written:min(len(data), written+batchBytes)])
		written += count
		if err != nil && (count == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, err
		}
	}
	return written, nil
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
