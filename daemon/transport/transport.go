// Package transport carries messages between processes as frames over TCP.
//
// Each peer has one outgoing connection per channel, which is dialled when there is something
// to send. Delivery is not guaranteed: frames that wait too long, or whose peer cannot be
// reached, are dropped, and senders must retry. Received messages go into a ReceiveQueue. A
// malformed frame closes its connection and has no other effect.
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
	// acceptRetryDelay is the delay after a failed attempt to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
	// closeTimeout bounds the time for which Close waits for queued frames to be sent.
	closeTimeout = 250 * time.Millisecond
	// frameLogInterval is how often dropped and delayed frames are logged. Frames count as
	// delayed if one of them waited at least longWait.
	frameLogInterval = 10 * time.Second
	longWait         = wire.MaxCommandWait / 2
)

// Transport manages the connections of one process. Its methods are safe for concurrent use.
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

// Open listens on an address and adds all received messages to queue. now must be a monotonic
// clock.
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

// Close sends the queued frames to the peers that accept them within closeTimeout, and closes
// all connections. It must be called at most once.
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

// accept accepts connections until the transport is closed.
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

// read reads frames from a connection and does nothing else, so that messages wait in the
// receive queue, which knows their age, and not in the socket's buffer.
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

// signalPeerHeard ends the redial delay of a peer that has just sent a message.
func (t *Transport) signalPeerHeard(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for channel := range channelCount {
		if c, ok := t.outgoing[destination{peer, channel}]; ok {
			signal(c.peerHeard)
		}
	}
}

// Send queues a message for a peer. It never blocks. The body must not be modified
// afterwards.
func (t *Transport) Send(to string, message machine.Message) {
	header, err := EncodeFrameHeader(message)
	if err != nil {
		logging.Error("message_unsendable", "kind", message.Kind, "error", err.Error())
		return
	}
	target := destination{to, ClassOfKind(message.Kind).Channel}
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

// retire removes an idle connection. It reports false if a frame was queued meanwhile.
func (t *Transport) retire(target destination, c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.queue.empty() {
		return false
	}
	delete(t.outgoing, target)
	return true
}

// logFrames logs the counters of each interval in which frames were dropped or delayed.
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
