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
	"sorrelloom/daemon/logging"
)

const (
	dialTimeout    = 700 * time.Millisecond
	idleTimeout    = 30 * time.Second
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	maxBatchBytes  = 64 << 10
	// queueBytesMax bounds what waits on one connection; a larger frame may wait alone.
	maxQueuedBytes = 16 << 20
	// progressWait is how long a connection may take no byte at all of what is written.
	writeProgressTimeout = 3 * time.Second
	// A machine behind a partition says nothing: what it has not acknowledged for so
	// long, or a probe on an idle connection, ends the connection.
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 2
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if failed := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		}); failed != nil {
			return failed
		}
		return err
	},
}

// outgoing is a frame to be sent. Frames of one broadcast share their body.
type outgoingFrame struct {
	kind     string
	header   []byte
	body     []byte
	queuedAt time.Duration
}

func (f outgoingFrame) size() int { return len(f.header) + len(f.body) }

// connection sends the frames of one channel to one peer, from a goroutine of its
// own. Who pushes never waits: a full queue drops its oldest frame.
type connection struct {
	address  string
	now      func() time.Duration
	counters *Counters
	// ready is signalled when there is a frame, heard when the peer was heard from.
	frameQueued chan struct{}
	peerHeard   chan struct{}
	closed      chan struct{}

	mu          sync.Mutex
	queue       fifo[outgoingFrame]
	queuedBytes int

	conn   net.Conn
	writer *bufio.Writer
}

func newConnection(to string, now func() time.Duration, counters *Counters, closed chan struct{}) *connection {
	return &connection{
		address: to, now: now, counters: counters,
		frameQueued: make(chan struct{}, 1), peerHeard: make(chan struct{}, 1), closed: closed,
	}
}

func (c *connection) push(message machine.Message, header []byte) {
	frame := outgoingFrame{message.Kind, header, message.Body, c.now()}
	c.mu.Lock()
	for c.queue.len() > 0 && c.queuedBytes+frame.size() > maxQueuedBytes {
		c.drop(c.pop(), DropOverflow)
	}
	c.queue.push(frame)
	c.queuedBytes += frame.size()
	c.mu.Unlock()
	signal(c.frameQueued)
}

func (c *connection) pop() outgoingFrame {
	frame := c.queue.pop()
	c.queuedBytes -= frame.size()
	return frame
}

func (c *connection) drop(frame outgoingFrame, why DropReason) {
	c.counters.dropped(DropKey{Kind: frame.kind, Outgoing: true, Reason: why})
}

func (c *connection) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.len() == 0
}

// batch takes frames to be written together, without those that waited too long.
func (c *connection) nextBatch() []outgoingFrame {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var frames []outgoingFrame
	for bytes := 0; c.queue.len() > 0 && (bytes == 0 || bytes+c.queue.first().size() <= maxBatchBytes); {
		frame := c.pop()
		c.counters.waited(now - frame.queuedAt)
		if now-frame.queuedAt > ClassOf(frame.kind).MaxSendWait {
			c.drop(frame, DropExpired)
			continue
		}
		frames = append(frames, frame)
		bytes += frame.size()
	}
	return frames
}

// run sends frames until the transport is closed, or until there were none for a
// while and retire agrees.
func (c *connection) run(tryRetire func() bool) {
	defer c.disconnect()
	idle := time.NewTimer(idleTimeout)
	var redialBackoff backoff
	for {
		select {
		case <-c.closed:
			c.drain()
			return
		case <-idle.C:
			if tryRetire() {
				return
			}
		case <-c.frameQueued:
		}
		idle.Reset(idleTimeout)
		for !c.empty() {
			if c.conn == nil && !c.dial() {
				if !c.waitBeforeRedial(&redialBackoff) {
					return
				}
				continue
			}
			if c.send(c.nextBatch()) {
				redialBackoff = backoff{}
			} else if !c.waitBeforeRedial(&redialBackoff) {
				return
			}
		}
	}
}

// finish sends what still waits, and gives up at the first failure.
func (c *connection) drain() {
	for !c.empty() && (c.conn != nil || c.dial()) && c.send(c.nextBatch()) {
	}
}

func (c *connection) dial() bool {
	conn, err := dialer.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	c.conn = conn
	c.writer = bufio.NewWriterSize(progressWriter{conn}, maxBatchBytes)
	return true
}

// send writes frames and flushes once. When the connection breaks all of them count
// as unsent, so that no frame goes on where another connection left off.
func (c *connection) send(frames []outgoingFrame) bool {
	for _, frame := range frames {
		c.writer.Write(frame.header)
		c.writer.Write(frame.body)
	}
	if err := c.writer.Flush(); err != nil {
		logging.Info("connection_lost", "to", c.address, "why", err.Error())
		for _, frame := range frames {
			c.drop(frame, DropUnsent)
		}
		c.disconnect()
		return false
	}
	for _, frame := range frames {
		c.counters.sent(frame.kind, len(frame.body))
	}
	return true
}

func (c *connection) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.writer = nil, nil
}

// pause waits before the next dial, unless the peer is heard from. It says whether
// to go on.
func (c *connection) waitBeforeRedial(redial *backoff) bool {
	wait := time.NewTimer(redial.nextDelay())
	defer wait.Stop()
	select {
	case <-c.closed:
		return false
	case <-c.peerHeard:
		*redial = backoff{}
	case <-wait.C:
	}
	return true
}

// backoff doubles from redialMin to redialMax; a random part keeps those who lost
// the same peer from dialling it at the same moment.
type backoff struct{ lastDelay time.Duration }

func (b *backoff) nextDelay() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, minRedialDelay), maxRedialDelay)
	return b.lastDelay/2 + rand.N(b.lastDelay/2)
}

// progressWriter writes piece by piece, each with a deadline of its own: a large
// frame may take long on a slow connection while bytes go out.
type progressWriter struct{ conn net.Conn }

func (w progressWriter) Write(data []byte) (written int, err error) {
	for written < len(data) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeProgressTimeout)); err != nil {
			return written, err
		}
		count, err := w.conn.Write(data[written:min(len(data), written+maxBatchBytes)])
		written += count
		if err != nil && (count == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, err
		}
	}
	return written, nil
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
