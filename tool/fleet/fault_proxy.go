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

// direction is the way from one daemon's address to another's.
type direction struct{ from, to string }

// proxySet is a proxy before each daemon of a fleet that is to be partitioned. A proxy
// forwards whole frames and drops those whose sender is partitioned from its daemon, so that
// a partition can be one-way, and neither side sees its connection close.
type proxySet struct {
	mu         sync.Mutex
	partitions map[direction]bool
	listeners  []net.Listener
}

func newProxySet() *proxySet { return &proxySet{partitions: map[direction]bool{}} }

func (s *proxySet) setPartition(from, to string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[direction{from, to}] = partitioned
}

func (s *proxySet) isPartitioned(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions[direction{from, to}]
}

// open listens at a daemon's address, and forwards to where the daemon listens.
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

// forward forwards the frames of one connection until it ends.
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

// close ends all proxies.
func (s *proxySet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}
