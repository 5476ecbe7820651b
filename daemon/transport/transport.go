// Package transport carries messages between processes as frames over TCP.
//
// Each peer has one outgoing connection per channel, which is dialled when there is
// something to send. Delivery is not guaranteed: frames that wait too long, or for a peer
// that cannot be reached, are dropped, since senders repeat what matters. Received
// messages go into a ReceiveQueue. A malformed frame closes its connection and has no
// other effect.
package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

const (
	readBufferSize = 64 << 10
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// closeTimeout is how long Close waits for frames that are still to be sent.
	closeTimeout = 250 * time.Millisecond
	// frameLogInterval is how often dropped and delayed frames are logged, and longWait the
	// wait of a frame from which on it is.
	frameLogInterval = 10 * time.Second
	longWait         = wire.MaxCommandWait / 2
)

// Transport holds all connections of one process. Its methods are safe for concurrent use.
type Transport struct {
	now          func() time.Duration
	receiveQueue *ReceiveQueue
	counters     *Counters
	listener     net.Listener
	closed       chan struct{}

	mu       sync.Mutex
	outgoing map[destination]*connection
	incoming map[net.Conn]bool
	senders  sync.WaitGroup
}

// destination identifies an outgoing connection.
type destination struct {
	address string
	channel Channel
}

// Open listens on the address and enqueues every received message.
func Open(address string, now func() time.Duration, queue *ReceiveQueue, counters *Counters) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Transport{
		now: now, receiveQueue: queue, counters: counters, listener: listener, closed: make(chan struct{}),
		outgoing: map[destination]*connection{}, incoming: map[net.Conn]bool{},
	}
	pool.Go(t.accept)
	pool.Go(t.logFrames)
	return t, nil
}

// Close sends the waiting frames to those peers that accept them within closeTimeout, and
// closes all connections. It may be called once.
func (t *Transport) Close() {
	t.mu.Lock()
	close(t.closed)
	t.listener.Close()
	for conn := range t.incoming {
		conn.Close()
	}
	t.mu.Unlock()
	sent := make(chan struct{})
	pool.Go(func() {
		t.senders.Wait()
		close(sent)
	})
	select {
	case <-sent:
	case <-time.After(closeTimeout):
	}
}

func (t *Transport) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// accept takes connections until the transport is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		switch {
		case err == nil && t.addIncoming(conn):
			pool.Go(func() { t.read(conn) })
		case t.isClosed():
			return
		default:
			logging.Warn("accept_failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
		}
	}
}

// addIncoming registers a connection, or closes it if the transport is closed.
func (t *Transport) addIncoming(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed() {
		conn.Close()
		return false
	}
	t.incoming[conn] = true
	return true
}

// read reads frames from a connection. It does nothing else, so that messages wait in the
// receive queue, where their age is known, and not in the socket.
func (t *Transport) read(conn net.Conn) {
	defer t.removeIncoming(conn)
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for peerSignalled := false; ; {
		message, err := ReadFrame(reader)
		if err == io.EOF {
			return
		}
		if err != nil {
			logging.Warn("connection_closed", "peer", conn.RemoteAddr().String(), "error", err.Error())
			return
		}
		if !peerSignalled {
			peerSignalled = true
			t.signalPeerHeard(message.From)
		}
		t.receiveQueue.Enqueue(message)
	}
}

func (t *Transport) removeIncoming(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.incoming, conn)
}

// signalPeerHeard ends the delay before a peer is dialled again: it has just sent something.
func (t *Transport) signalPeerHeard(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for channel := range channelCount {
		if c, ok := t.outgoing[destination{peer, channel}]; ok {
			signal(c.peerHeard)
		}
	}
}

// Send queues a message for a peer. It never blocks. The body must not be changed.
func (t *Transport) Send(to string, message machine.Message) {
	header, err := EncodeFrameHeader(message)
	if err != nil {
		logging.Error("message_unsendable", "kind", message.Kind, "error", err.Error())
		return
	}
	target := destination{to, ClassOf(message.Kind).Channel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed() {
		return
	}
	c, ok := t.outgoing[target]
	if !ok {
		c = newConnection(to, t.now, t.counters, t.closed)
		t.outgoing[target] = c
		t.senders.Add(1)
		pool.Go(func() {
			defer t.senders.Done()
			c.run(func() bool { return t.retire(target, c) })
		})
	}
	c.queue.push(message, header)
}

// retire removes a connection, and reports false if a frame waits on it meanwhile.
func (t *Transport) retire(target destination, c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.queue.empty() {
		return false
	}
	delete(t.outgoing, target)
	return true
}

// logFrames logs the counters of every interval in which frames were dropped or waited long.
func (t *Transport) logFrames() {
	ticker := time.NewTicker(frameLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-ticker.C:
		}
		counts := t.counters.TakeAndReset()
		switch {
		case len(counts.Dropped) > 0:
			logging.Warn("frames_dropped", counts.Fields()...)
		case counts.LongestWait >= longWait:
			logging.Warn("frames_delayed", counts.Fields()...)
		}
	}
}
