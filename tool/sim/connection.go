package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// sendQuantum is the number of bytes after which the next connection may send.
	sendQuantum = 64 << 10
	// messageOverhead is the approximate size of a message without its body.
	messageOverhead = 64
)

// Links limit the traffic between nodes, which must have processors at both ends. As in
// daemon/transport, a node has a connection to each peer, with a queue of messages to send
// and a window of bytes that the peer has not read.
type Links struct {
	// BytesPerSecond is the send rate of a node over all of its connections; 0 is
	// unlimited.
	BytesPerSecond int
	// Window is the maximum number of bytes sent on a connection that the peer has not read.
	Window int
	// WriteTimeout is how long sending one message may take. After that the connection is
	// closed, and the part of the message that was sent is lost.
	WriteTimeout time.Duration
	// QueueMax is the capacity of a connection's queue, in messages; when it is full, further
	// messages are dropped.
	QueueMax int
}

// queuedMessage is a message to be sent, with its size in bytes including the overhead.
type queuedMessage struct {
	message machine.Message
	size    int
}

// segment is a range of sent bytes that belong to one message.
type segment struct {
	size      int
	completes *queuedMessage // the message whose last byte this is; nil if it continues
}

// connection carries messages from one node to another.
type connection struct {
	from, to         *node
	toIncarnation    uint64 // the incarnation of the peer's process to which it leads
	queue            []queuedMessage
	current          *queuedMessage
	unsent           int    // bytes of the current message that have not been sent
	currentNumber    uint64 // the number of the current message, counted from 1
	timeoutArmedFor  uint64 // the number of the last message whose timeout was armed
	currentStartedAt time.Duration
	inFlight         int    // bytes that were sent and have not been read
	resets           uint64 // how often it was reset, to discard chunks sent before
	unread           []segment
	reading          bool // the peer is processing a message of this connection
}

// sender shares a node's send rate among its connections by round robin.
type sender struct {
	world          *World
	node           *node
	connections    []*connection
	lastConnection int
	busy           bool
}

// connection returns the connection between two nodes, and creates it if there is none.
func (w *World) connection(from, to *node) *connection {
	if from.sender == nil {
		from.sender = &sender{world: w, node: from}
	}
	for _, c := range from.sender.connections {
		if c.to == to {
			return c
		}
	}
	c := &connection{from: from, to: to, toIncarnation: to.incarnation}
	from.sender.connections = append(from.sender.connections, c)
	return c
}

// queueMessage appends a message to the queue of a connection, or drops it if that is full.
func (w *World) queueMessage(from, to *node, message machine.Message) {
	c := w.connection(from, to)
	if len(c.queue) >= w.hardware.Links.QueueMax {
		w.LogCounts["message_dropped"]++
		return
	}
	c.queue = append(c.queue, queuedMessage{message, len(message.Body) + messageOverhead})
	from.sender.sendNext()
}

// canSend reports whether a connection has bytes to send and its window has space for
// them. A peer that is down refuses the connection: its queued messages are dropped.
func (s *sender) canSend(c *connection) bool {
	if c.current == nil && len(c.queue) == 0 {
		return false
	}
	if c.to.state == down {
		c.queue, c.current = nil, nil
		return false
	}
	if c.toIncarnation != c.to.incarnation {
		c.reset()
		c.toIncarnation = c.to.incarnation
	}
	if c.current == nil {
		if len(c.queue) == 0 {
			return false
		}
		s.dequeueMessage(c)
	}
	if c.inFlight < s.world.hardware.Links.Window {
		return true
	}
	s.armWriteTimeout(c)
	return false
}

// dequeueMessage makes the next message of a connection's queue the current one.
func (s *sender) dequeueMessage(c *connection) {
	next := c.queue[0]
	c.queue = c.queue[1:]
	c.current, c.unsent = &next, next.size
	c.currentNumber++
	c.currentStartedAt = s.world.Now
}

// armWriteTimeout schedules a check that closes the connection if its current message has
// not been sent within WriteTimeout. Later messages go over a new connection; the peer still
// reads those that were sent completely.
func (s *sender) armWriteTimeout(c *connection) {
	if c.current == nil || c.timeoutArmedFor == c.currentNumber {
		return
	}
	c.timeoutArmedFor = c.currentNumber
	number := c.currentNumber
	s.world.At(c.currentStartedAt+s.world.hardware.Links.WriteTimeout, func() {
		if c.currentNumber == number && c.current != nil && s.node.sender == s {
			s.abandon(c)
		}
	})
}

// abandon replaces a connection whose current message was not sent in time by a new one,
// which takes over its queue.
func (s *sender) abandon(c *connection) {
	s.world.logf("connection_lost %s to %s, a message of %d bytes, %s",
		s.node.name, c.to.name, c.current.size, c.current.message.Kind)
	s.world.LogCounts["connection_lost"]++
	i := slices.Index(s.connections, c)
	if i < 0 {
		return
	}
	s.connections[i] = &connection{from: c.from, to: c.to, toIncarnation: c.to.incarnation, queue: c.queue}
	c.queue, c.current = nil, nil
	s.sendNext()
}

// sendNext sends a chunk of the next connection that can send, unless the node is already
// sending.
func (s *sender) sendNext() {
	if s.busy || s.node.sender != s || s.node.state == frozen {
		return
	}
	for range s.connections {
		s.lastConnection = (s.lastConnection + 1) % len(s.connections)
		if c := s.connections[s.lastConnection]; s.canSend(c) {
			s.transmit(c)
			return
		}
	}
}

// transmit sends one chunk of a connection and schedules its arrival at the peer.
func (s *sender) transmit(c *connection) {
	parts, size := s.takeChunk(c)
	s.armWriteTimeout(c)
	c.inFlight += size
	var duration time.Duration
	if rate := s.world.hardware.Links.BytesPerSecond; rate > 0 {
		duration = time.Duration(float64(size) / float64(rate) * float64(time.Second))
	}
	arrival := s.world.arrivalTime(s.node, c.to, s.world.Now+duration)
	resets, incarnation := c.resets, c.to.incarnation
	s.world.At(arrival, func() { s.world.receive(c, parts, resets, incarnation) })
	s.busy = true
	s.world.After(duration, func() {
		s.busy = false
		s.sendNext()
	})
}

// takeChunk takes the next chunk, of at most sendQuantum bytes, from a connection's current
// message and the messages queued after it.
func (s *sender) takeChunk(c *connection) (parts []segment, size int) {
	bound := min(sendQuantum, s.world.hardware.Links.Window-c.inFlight)
	for size < bound {
		part := segment{size: min(c.unsent, bound-size)}
		size += part.size
		c.unsent -= part.size
		if c.unsent == 0 {
			part.completes, c.current = c.current, nil
		}
		parts = append(parts, part)
		if c.current == nil {
			if len(c.queue) == 0 || size == bound {
				break
			}
			s.dequeueMessage(c)
		}
	}
	return parts, size
}

// receive hands an arriving chunk to the peer, unless the connection was reset, the peer
// went down or restarted, or the link is blocked.
func (w *World) receive(c *connection, parts []segment, resets, incarnation uint64) {
	if c.resets != resets {
		return
	}
	if c.to.incarnation != incarnation || c.to.state == down {
		c.reset()
		return
	}
	if w.isBlocked(c.from.address, c.to.address) {
		for _, part := range parts {
			c.inFlight -= part.size
		}
		c.resumeSender()
		return
	}
	c.unread = append(c.unread, parts...)
	w.readNext(c, resets)
}

// readNext delivers the next complete message once the peer has processed the previous one.
func (w *World) readNext(c *connection, resets uint64) {
	for !c.reading && len(c.unread) > 0 && c.resets == resets {
		part := c.unread[0]
		c.unread = c.unread[1:]
		c.inFlight -= part.size
		if part.completes == nil {
			continue
		}
		c.reading = true
		w.deliver(c.to, part.completes.message, func() {
			if c.resets == resets {
				c.reading = false
				w.readNext(c, resets)
			}
		})
	}
	c.resumeSender()
}

// resumeSender lets the sending node continue, if it still has a sender: a node that was
// killed has none.
func (c *connection) resumeSender() {
	if c.from.sender != nil {
		c.from.sender.sendNext()
	}
}

// reset closes and reopens a connection. Bytes that were sent and not read are lost, and so
// is the message that is being sent; queued messages are kept.
func (c *connection) reset() {
	c.resets++
	c.current, c.unread, c.inFlight, c.reading = nil, nil, 0, false
}
