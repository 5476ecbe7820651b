package transport

import (
	"bufio"
	"net"
	"time"

	"sorrelloom/daemon/logging"
)

const (
	// idleTimeout is how long a connection stays open without a frame.
	idleTimeout = 30 * time.Second
	// maxBatchBytes bounds what is written to a connection at a time.
	maxBatchBytes = 64 << 10
)

// connection sends the frames of one channel to one peer, from a goroutine of its own.
type connection struct {
	address  string
	counters *Counters
	queue    *sendQueue
	// peerHeard is signalled when the peer itself has sent something.
	peerHeard chan struct{}
	closed    chan struct{}

	// conn and writer are nil while there is no connection; only run uses them.
	conn   net.Conn
	writer *bufio.Writer
}

func newConnection(address string, now func() time.Duration, counters *Counters, closed chan struct{}) *connection {
	return &connection{
		address: address, counters: counters, queue: newSendQueue(now, counters),
		peerHeard: make(chan struct{}, 1), closed: closed,
	}
}

// run sends frames until the transport is closed, or until there was none for
// idleTimeout and tryRetire succeeds.
func (c *connection) run(tryRetire func() bool) {
	defer c.disconnect()
	idle := time.NewTimer(idleTimeout)
	var redial backoff
	for {
		select {
		case <-c.closed:
			c.drain()
			return
		case <-idle.C:
			if tryRetire() {
				return
			}
		case <-c.queue.nonEmpty:
		}
		idle.Reset(idleTimeout)
		if !c.sendQueued(&redial) {
			return
		}
	}
}

// sendQueued sends what waits, and dials as often as that takes. It reports false if the
// transport was closed meanwhile.
func (c *connection) sendQueued(redial *backoff) bool {
	for !c.queue.empty() {
		if (c.conn != nil || c.dial()) && c.send(c.queue.nextBatch()) {
			*redial = backoff{}
		} else if !c.waitBeforeRedial(redial) {
			return false
		}
	}
	return true
}

// drain sends what waits, and gives up at the first failure.
func (c *connection) drain() {
	for !c.queue.empty() && (c.conn != nil || c.dial()) && c.send(c.queue.nextBatch()) {
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

// send writes frames and flushes once. If the connection breaks, all of them are dropped,
// so that no frame continues on a new connection where another one ended.
func (c *connection) send(frames []outgoingFrame) bool {
	for _, frame := range frames {
		// An error is returned again by Flush.
		_, _ = c.writer.Write(frame.header)
		_, _ = c.writer.Write(frame.body)
	}
	if err := c.writer.Flush(); err != nil {
		logging.Warn("connection_lost", "to", c.address, "error", err.Error())
		for _, frame := range frames {
			c.queue.drop(frame, DropUnsent)
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

// waitBeforeRedial waits for the next delay, or less if the peer is heard from. It
// reports false if the transport was closed meanwhile.
func (c *connection) waitBeforeRedial(redial *backoff) bool {
	delay := time.NewTimer(redial.nextDelay())
	defer delay.Stop()
	select {
	case <-c.closed:
		return false
	case <-c.peerHeard:
		*redial = backoff{}
	case <-delay.C:
	}
	return true
}

// signal wakes up the receiver of a channel with space for one signal. Signals that
// wait already are not repeated.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
