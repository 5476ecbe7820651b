package transport

import (
	"bufio"
	"net"
	"time"

	"sorrelloom/daemon/logging"
)

const (
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxBatchBytes bounds the size of a batch of frames and of a single write to a
	// connection.
	maxBatchBytes = 64 << 10
)

// connection sends the frames of one channel to one peer, in a goroutine of its own.
type connection struct {
	address  string
	counters *Counters
	queue    *sendQueue
	// peerHeard is signalled by the first message on each connection from the peer.
	peerHeard chan struct{}
	closed    chan struct{}

	// conn and writer are nil while disconnected. They are only used by the goroutine that
	// calls run.
	conn   net.Conn
	writer *bufio.Writer
}

func newConnection(address string, now func() time.Duration, counters *Counters, closed chan struct{}) *connection {
	return &connection{
		address: address, counters: counters, queue: newSendQueue(now, counters),
		peerHeard: make(chan struct{}, 1), closed: closed,
	}
}

// run sends frames until the transport is closed, or until the queue has been empty for
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

// sendQueued sends all queued frames, redialling after failures. It reports false if the
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

// drain sends all queued frames, but stops at the first failure.
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

// send writes frames and flushes once. If the connection breaks, all of them are dropped:
// none of them is continued on a new connection.
func (c *connection) send(frames []outgoingFrame) bool {
	for _, frame := range frames {
		// Errors of these writes are returned by Flush.
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

// waitBeforeRedial waits for the backoff delay, or until the peer is heard from, which resets
// the backoff. It reports false if the transport was closed meanwhile.
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

// signal wakes up the receiver of a channel that has a buffer for one signal. It does nothing
// if a signal is already pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
