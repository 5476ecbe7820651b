package fleet

import (
	"bufio"
	"net"
	"sync"
	"time"

	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/transport"
)

const (
	dialTimeout    = time.Second
	readBufferSize = 64 << 10
)

// link is the one-way link from one daemon's address to another's.
type link struct{ from, to string }

// proxySet holds one proxy in front of each daemon of a fleet. A proxy forwards complete frames
// and drops those from senders that are partitioned from its daemon. A partition can therefore
// be one-way, and closes no connection.
type proxySet struct {
	mu         sync.Mutex
	partitions map[link]bool
	listeners  []net.Listener
}

func newProxySet() *proxySet { return &proxySet{partitions: map[link]bool{}} }

func (s *proxySet) setPartition(from, to string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[link{from, to}] = partitioned
}

func (s *proxySet) isPartitioned(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions[link{from, to}]
}

// open opens a proxy that listens at a daemon's advertised address and forwards to the address
// that the daemon listens on.
func (s *proxySet) open(address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	pool.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			pool.Go(func() { s.forward(in, address, target) })
		}
	})
	return nil
}

// forward forwards the frames of one connection until either side closes it.
func (s *proxySet) forward(in net.Conn, address, target string) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	reader := bufio.NewReaderSize(in, readBufferSize)
	for {
		message, err := transport.ReadFrame(reader)
		if err != nil {
			return
		}
		if s.isPartitioned(message.From, address) {
			continue
		}
		if err := transport.WriteFrame(out, message); err != nil {
			return
		}
	}
}

// close closes the listeners of all proxies.
func (s *proxySet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}
