package transport

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 700 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// writeProgressTimeout is how long a write may make no progress before it fails.
	writeProgressTimeout = 3 * time.Second
	// A peer behind a network partition doesn't respond. The connection is closed if sent
	// data isn't acknowledged within unacknowledgedTimeout or, when it is idle, if keep-alive
	// probes fail.
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 2
)

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: setUnacknowledgedTimeout,
}

// setUnacknowledgedTimeout makes the kernel close a connection whose peer acknowledges
// nothing for unacknowledgedTimeout.
func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		milliseconds := int(unacknowledgedTimeout.Milliseconds())
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// backoff computes redial delays that double from minRedialDelay to maxRedialDelay. Jitter
// keeps processes that lost the same peer from dialling it simultaneously.
type backoff struct{ lastDelay time.Duration }

func (b *backoff) nextDelay() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, minRedialDelay), maxRedialDelay)
	return b.lastDelay/2 + rand.N(b.lastDelay/2)
}

// progressWriter writes in pieces, each with a deadline of its own, so that a large frame may
// take long on a slow connection as long as there is progress.
type progressWriter struct{ conn net.Conn }

// Write writes all data. It fails if the peer accepts nothing for writeProgressTimeout.
func (w progressWriter) Write(data []byte) (written int, err error) {
	for written < len(data) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeProgressTimeout)); err != nil {
			return written, err
		}
		count, err := w.conn.Write(data[written:min(len(data), written+maxBatchBytes)])
		written += count
		if err != nil && (count == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, err
		}
	}
	return written, nil
}
