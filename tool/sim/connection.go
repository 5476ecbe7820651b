package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// sendQuantum is how many bytes a connection sends before it is the next one's turn.
	sendQuantum = 64 << 10
	// messageOverhead is about the size of a message beside its body.
	messageOverhead = 64
)

// Links bound what goes between nodes, which need processors at both ends. Nodes have a
// connection to each peer, as in daemon/transport, with a queue of messages before it
// and a window of unread bytes behind it.
type Links struct {
	// BytesPerSecond is how fast a node sends, over all of its connections; 0 is a
	// network without bounds.
	BytesPerSecond int
	// Window is how many bytes may be sent that the peer has not read.
	Window int
	// WriteTimeout is how long one message may take to be sent: then the connection is
	// closed, and what was sent of the message is lost.
	WriteTimeout time.Duration
	// QueueMax is how many messages wait for a connection; more are dropped.
	QueueMax int
}

// queuedMessage is a message on its way.
type queuedMessage struct {
	message machine.Message
	size    int
}

// segment is a part of what was sent: bytes, and the message that ends with them.
type segment struct {
	size      int
	completes *queuedMessage // nil if no message ends here
}

// connection carries messages from one node to another.
type connection struct {
	from, to      *node
	toIncarnation uint64
	queue         []queuedMessage
	current       *queuedMessage
	unsent        int    // bytes of the current message that are still to be sent
	begun         uint64 // messages begun, which numbers the current one
	watched       uint64 // the number of the message whose timeout is armed
	begunAt       time.Duration
	inFlight      int // bytes sent and not read yet
	resets        uint64
	unread        []segment
	reading       bool // the peer is busy with a message of this connection
}

// sender shares a node's send rate among its connections, round robin.
type sender struct {
	world          *World
	node           *node
	connections    []*connection
	lastConnection int
	busy           bool
}

// connection returns a node's connection to another one.
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

// queueMessage puts a message into the queue of a connection.
func (w *World) queueMessage(from, to *node, message machine.Message) {
	c := w.connection(from, to)
	if len(c.queue) >= w.hardware.Links.QueueMax {
		w.LogCounts["message_dropped"]++
		return
	}
	c.queue = append(c.queue, queuedMessage{message, len(message.Body) + messageOverhead})
	from.sender.sendNext()
}

// canSend reports whether a connection has something to send and may send it. A peer
// that is down refuses the connection, and what waits for it is dropped.
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
		s.begin(c)
	}
	if c.inFlight < s.world.hardware.Links.Window {
		return true
	}
	s.armWriteTimeout(c)
	return false
}

// begin takes the next message of a connection's queue.
func (s *sender) begin(c *connection) {
	next := c.queue[0]
	c.queue = c.queue[1:]
	c.current, c.unsent = &next, next.size
	c.begun++
	c.begunAt = s.world.Now
}

// armWriteTimeout gives the current message up if it is not sent in time, and with it
// the connection: what follows goes by a new one. What was sent whole is still read.
func (s *sender) armWriteTimeout(c *connection) {
	if c.current == nil || c.watched == c.begun {
		return
	}
	c.watched = c.begun
	number := c.begun
	s.world.At(c.begunAt+s.world.hardware.Links.WriteTimeout, func() {
		if c.begun == number && c.current != nil && s.node.sender == s {
			s.abandon(c)
		}
	})
}

// abandon closes a connection whose current message was not sent in time.
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

// sendNext sends the next chunk if nothing is being sent.
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

// transmit sends one chunk of a connection.
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

// takeChunk takes the bytes of the next chunk from a connection's current message and
// those that wait behind it.
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
			s.begin(c)
		}
	}
	return parts, size
}

// receive takes a chunk at its end, unless it was lost on the way.
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

// readNext gives the peer the next message, once it is done with the one before.
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

// resumeSender lets the sender go on, if it is still there.
func (c *connection) resumeSender() {
	if c.from.sender != nil {
		c.from.sender.sendNext()
	}
}

// reset closes a connection. What was sent and not read, and the message that is being
// sent, are lost; later messages go by the next connection.
func (c *connection) reset() {
	c.resets++
	c.current, c.unread, c.inFlight, c.reading = nil, nil, 0, false
}
