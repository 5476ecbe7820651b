// Package transport carries lines between processes as frames over TCP. Each peer
// has one outgoing connection per channel, dialled when there is something to say;
// frames that wait too long, or for a peer that cannot be reached, are dropped, since
// every sender repeats what matters. Received frames go into an inbox. A damaged
// frame closes its connection and nothing else.
package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

const (
	readBufferSize = 64 << 10
	// acceptPause is the time until the next try after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// closeWait is how long Close waits for what is still to be sent.
	closeTimeout = 250 * time.Millisecond
	// reportEach is how often dropped frames are logged.
	dropLogInterval = 10 * time.Second
)

// Transport is one process's end of all its connections.
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

type destination struct {
	address string
	channel Channel
}

// Open listens on the address and puts every good frame into the inbox.
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
	pool.Go(t.logDrops)
	return t, nil
}

// Close sends what still waits for peers that take it at once, and ends all
// connections. It may be called once.
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

func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		switch {
		case err == nil && t.keep(conn):
			pool.Go(func() { t.read(conn) })
		case t.isClosed():
			return
		default:
			logging.Info("accept_failed", "why", err.Error())
			time.Sleep(acceptRetryDelay)
		}
	}
}

// keep remembers a connection, or closes it if the transport is closed.
func (t *Transport) keep(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed() {
		conn.Close()
		return false
	}
	t.incoming[conn] = true
	return true
}

// read cuts frames out of a connection. It does nothing else, so that frames wait
// in the inbox, where their age is known, and not in the socket.
func (t *Transport) read(conn net.Conn) {
	defer t.removeIncoming(conn)
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for peerSignalled := false; ; {
		message, err := ReadFrame(reader)
		if err == io.EOF {
			return
		}
		if err != nil {
			logging.Info("connection_closed", "peer", conn.RemoteAddr().String(), "why", err.Error())
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

// heardFrom has a peer dialled at once that could not be reached before.
func (t *Transport) signalPeerHeard(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for channel := range channelCount {
		if c, ok := t.outgoing[destination{peer, channel}]; ok {
			signal(c.peerHeard)
		}
	}
}

// Send queues a line for a peer. It never blocks; the body must not be changed.
func (t *Transport) Send(to string, message machine.Message) {
	header, err := EncodeFrameHeader(message)
	if err != nil {
		logging.Info("line_unsendable", "kind", message.Kind, "why", err.Error())
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
	c.push(message, header)
}

// retire forgets a connection that has nothing to send.
func (t *Transport) retire(target destination, c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.empty() {
		return false
	}
	delete(t.outgoing, target)
	return true
}

// report logs the counters every while in which frames were dropped.
func (t *Transport) logDrops() {
	ticker := time.NewTicker(dropLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-ticker.C:
		}
		if counts := t.counters.TakeAndReset(); len(counts.Dropped) > 0 {
			logging.Info("frames_dropped", counts.Fields()...)
		}
	}
}
