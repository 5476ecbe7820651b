// Relays stand before each daemon of a fleet that is to be cut. A relay passes
// on whole frames and drops those whose sender is cut from its daemon, so a cut
// can be one-way, and neither side sees its connection close.

package fleet

import (
	"bufio"
	"net"
	"sync"
	"time"

	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/transport"
)

type proxySet struct {
	mu         sync.Mutex
	partitions map[[2]string]bool
	listeners  []net.Listener
}

func newProxySet() *proxySet { return &proxySet{partitions: map[[2]string]bool{}} }

func (r *proxySet) setPartition(from, to string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[[2]string{from, to}] = cut
}

func (r *proxySet) isPartitioned(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[[2]string{from, to}]
}

func (r *proxySet) open(address, behind string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	pool.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			pool.Go(func() { r.forward(in, address, behind) })
		}
	})
	return nil
}

func (r *proxySet) forward(in net.Conn, address, behind string) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", behind, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	reader := bufio.NewReaderSize(in, 64<<10)
	for {
		line, err := transport.ReadFrame(reader)
		if err != nil {
			return
		}
		if r.isPartitioned(line.From, address) {
			continue
		}
		if err := transport.WriteFrame(out, line); err != nil {
			return
		}
	}
}

func (r *proxySet) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		l.Close()
	}
}
