// Connections between simulated processes, as daemon/circuit has them: one to each
// peer, with a queue of lines before it and a bounded window behind it. A process
// sends with a bounded rate, shared by its connections in turn.

package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// chunk is what a connection sends before it is the next one's turn.
	chunk = 64 << 10
	// lineHead is the size of a line beside its body, about.
	lineHead = 64
)

// Links bound what goes between processes. They need processors at both ends.
type Links struct {
	// Rate is how many bytes a second a process sends; 0 is a network without bounds.
	Rate int
	// Window is how many bytes a peer that does not read lets the sender send.
	Window int
	// WriteWait is how long one line may take to be sent: then the connection is
	// closed, and what was sent of the line is lost.
	WriteWait time.Duration
	// QueueMax is how many lines wait for a connection; more are dropped.
	QueueMax int
}

// wireLine is a line on its way.
type wireLine struct {
	line machine.Message
	size int
}

// segment is a part of what was sent: bytes, and the line that ends with them.
type segment struct {
	size int
	line *wireLine
}

// connection carries lines from one process to another.
type connection struct {
	from, to *node
	toLife   uint64
	queue    []wireLine
	current  *wireLine
	left     int    // bytes of the current line that are still to be sent
	lines    uint64 // lines begun, to know the current one by
	guarded  uint64 // the line whose time is watched
	begunAt  time.Duration
	inFlight int // bytes sent and not read yet
	resets   uint64
	unread   []segment
	reading  bool // the peer is busy with a line of this connection
}

// sender shares a process's rate among its connections.
type sender struct {
	w     *World
	n     *node
	peers []*connection
	turn  int
	busy  bool
}

// connect finds a process's connection to another.
func (w *World) connect(n, to *node) *connection {
	if n.sender == nil {
		n.sender = &sender{w: w, n: n}
	}
	at := slices.IndexFunc(n.sender.peers, func(c *connection) bool { return c.to == to })
	if at >= 0 {
		return n.sender.peers[at]
	}
	c := &connection{from: n, to: to, toLife: to.life}
	n.sender.peers = append(n.sender.peers, c)
	return c
}

// queueLine puts a line before a connection.
func (w *World) queueLine(n, to *node, line machine.Message) {
	c := w.connect(n, to)
	if len(c.queue) >= w.hardware.Links.QueueMax {
		w.Logs["line_dropped"]++
		return
	}
	c.queue = append(c.queue, wireLine{line, len(line.Body) + lineHead})
	n.sender.pump()
}

// ready says whether a connection has something to send and may send it. A peer that
// is down refuses the connection, and what waits for it is dropped.
func (s *sender) ready(c *connection) bool {
	if c.current == nil && len(c.queue) == 0 {
		return false
	}
	if c.to.state == down {
		c.queue, c.current = nil, nil
		return false
	}
	if c.toLife != c.to.life {
		c.reset()
		c.toLife = c.to.life
	}
	if c.current == nil {
		if len(c.queue) == 0 {
			return false
		}
		s.begin(c)
	}
	if c.inFlight < s.w.hardware.Links.Window {
		return true
	}
	s.guard(c)
	return false
}

// begin takes the next line.
func (s *sender) begin(c *connection) {
	line := c.queue[0]
	c.queue = c.queue[1:]
	c.current, c.left = &line, line.size
	c.lines++
	c.begunAt = s.w.Now
}

// guard gives the current line up if it is not sent in time, and with it the
// connection: what follows goes by another. What was sent whole is still read.
func (s *sender) guard(c *connection) {
	if c.current == nil || c.guarded == c.lines {
		return
	}
	c.guarded = c.lines
	number := c.lines
	s.w.At(c.begunAt+s.w.hardware.Links.WriteWait, func() {
		if c.lines != number || c.current == nil || s.n.sender != s {
			return
		}
		s.w.say("circuit_lost %s to %s, a line of %d bytes, %s", s.n.name, c.to.name, c.current.size, c.current.line.Kind)
		s.w.Logs["circuit_lost"]++
		at := slices.Index(s.peers, c)
		if at < 0 {
			return
		}
		s.peers[at] = &connection{from: c.from, to: c.to, toLife: c.to.life, queue: c.queue}
		c.queue, c.current = nil, nil
		s.pump()
	})
}

// pump sends the next chunk if nothing is being sent.
func (s *sender) pump() {
	if s.busy || s.n.sender != s || s.n.state == frozen {
		return
	}
	for range s.peers {
		s.turn = (s.turn + 1) % len(s.peers)
		if c := s.peers[s.turn]; s.ready(c) {
			s.transmit(c)
			return
		}
	}
}

// transmit sends one chunk of a connection.
func (s *sender) transmit(c *connection) {
	bound := min(chunk, s.w.hardware.Links.Window-c.inFlight)
	var parts []segment
	total := 0
	for total < bound {
		size := min(c.left, bound-total)
		total += size
		c.left -= size
		part := segment{size: size}
		if c.left == 0 {
			part.line, c.current = c.current, nil
		}
		parts = append(parts, part)
		if c.current == nil {
			if len(c.queue) == 0 || total == bound {
				break
			}
			s.begin(c)
		}
	}
	s.guard(c)
	c.inFlight += total
	resets := c.resets
	var took time.Duration
	if rate := s.w.hardware.Links.Rate; rate > 0 {
		took = time.Duration(float64(total) / float64(rate) * float64(time.Second))
	}
	arrives := s.w.Now + took + s.w.latency(s.n.site, c.to.site)
	pair := [2]string{s.n.address, c.to.address}
	arrives = max(arrives, s.w.last[pair]+time.Nanosecond)
	s.w.last[pair] = arrives
	life := c.to.life
	s.w.At(arrives, func() { s.w.arrive(c, parts, resets, life) })
	s.busy = true
	s.w.After(took, func() { s.busy = false; s.pump() })
}

// arrive takes a chunk at its end, unless it was lost on the way.
func (w *World) arrive(c *connection, parts []segment, resets, life uint64) {
	if c.resets != resets {
		return
	}
	if c.to.life != life || c.to.state == down {
		c.reset()
		return
	}
	if w.isCut(c.from.address, c.to.address) {
		for _, part := range parts {
			c.inFlight -= part.size
		}
		c.continues()
		return
	}
	c.unread = append(c.unread, parts...)
	w.read(c, resets)
}

// read gives the peer the next line, once it is done with the one before.
func (w *World) read(c *connection, resets uint64) {
	for !c.reading && len(c.unread) > 0 && c.resets == resets {
		part := c.unread[0]
		c.unread = c.unread[1:]
		c.inFlight -= part.size
		if part.line == nil {
			continue
		}
		c.reading = true
		w.deliver(c.to, part.line.line, func() {
			if c.resets == resets {
				c.reading = false
				w.read(c, resets)
			}
		})
	}
	c.continues()
}

// continues lets the sender go on, if it is still there.
func (c *connection) continues() {
	if c.from.sender != nil {
		c.from.sender.pump()
	}
}

// reset closes a connection. What was sent and not read, and the line that is being
// sent, are lost; later lines go by the next connection.
func (c *connection) reset() {
	c.resets++
	c.current, c.unread, c.inFlight, c.reading = nil, nil, 0, false
}
