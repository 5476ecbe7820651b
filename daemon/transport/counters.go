package transport

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Reason says why a frame was dropped.
type DropReason string

const (
	// Expired frames waited longer than their kind may.
	DropExpired DropReason = "expired"
	// Replaced reports gave way to a newer one of the same worker.
	DropReplaced DropReason = "replaced"
	// Overflow frames were the oldest of a full queue.
	DropOverflow DropReason = "overflow"
	// Unsent frames were under way when their connection broke.
	DropUnsent DropReason = "unsent"
)

// Drop names dropped frames: those of one kind, received or to be sent.
type DropKey struct {
	Kind     string
	Outgoing bool
	Reason   DropReason
}

// Flow is how many frames passed, and their bytes without headers.
type Flow struct{ Frames, Bytes uint64 }

// Counts is what happened since the last Counters.Take.
type Counts struct {
	Received map[string]Flow
	Sent     map[string]Flow
	Dropped  map[DropKey]uint64
	// LongestWait is the longest time that a frame waited before it was taken or dropped.
	LongestWait time.Duration
}

func newCounts() Counts {
	return Counts{Received: map[string]Flow{}, Sent: map[string]Flow{}, Dropped: map[DropKey]uint64{}}
}

// Counters count frames. They may be used by several goroutines.
type Counters struct {
	mu      sync.Mutex
	current Counts
}

// NewCounters gives counters at zero.
func NewCounters() *Counters { return &Counters{current: newCounts()} }

func (c *Counters) received(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Received[kind] = c.current.Received[kind].plus(bytes)
}

func (c *Counters) sent(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Sent[kind] = c.current.Sent[kind].plus(bytes)
}

func (c *Counters) dropped(drop DropKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Dropped[drop]++
}

func (c *Counters) waited(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.LongestWait = max(c.current.LongestWait, wait)
}

// Take gives what was counted and begins again at zero.
func (c *Counters) TakeAndReset() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.current
	c.current = newCounts()
	return taken
}

func (f Flow) plus(bytes int) Flow { return Flow{f.Frames + 1, f.Bytes + uint64(bytes)} }

// Fields are the counts as the keys and values of a log line.
func (c Counts) Fields() []any {
	return []any{
		"dropped", c.formatDrops(), "received", formatFlows(c.Received), "sent", formatFlows(c.Sent),
		"longestWaitMs", c.LongestWait.Milliseconds(),
	}
}

func (c Counts) formatDrops() string {
	order := func(a, b DropKey) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.direction(), b.direction()),
		)
	}
	var parts []string
	for _, drop := range slices.SortedFunc(maps.Keys(c.Dropped), order) {
		parts = append(parts, fmt.Sprintf("%s/%s/%s:%d", drop.Kind, drop.direction(), drop.Reason, c.Dropped[drop]))
	}
	return strings.Join(parts, ",")
}

func (d DropKey) direction() string {
	if d.Outgoing {
		return "out"
	}
	return "in"
}

func formatFlows(byKind map[string]Flow) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", kind, byKind[kind].Frames, byKind[kind].Bytes))
	}
	return strings.Join(parts, ",")
}
