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
type Reason string

const (
	// Expired frames waited longer than their kind may.
	Expired Reason = "expired"
	// Replaced reports gave way to a newer one of the same worker.
	Replaced Reason = "replaced"
	// Overflow frames were the oldest of a full queue.
	Overflow Reason = "overflow"
	// Unsent frames were under way when their connection broke.
	Unsent Reason = "unsent"
)

// Drop names dropped frames: those of one kind, received or to be sent.
type Drop struct {
	Kind     string
	Outgoing bool
	Reason   Reason
}

// Flow is how many frames passed, and their bytes without headers.
type Flow struct{ Frames, Bytes uint64 }

// Counts is what happened since the last Counters.Take.
type Counts struct {
	Received map[string]Flow
	Sent     map[string]Flow
	Dropped  map[Drop]uint64
	// LongestWait is the longest time that a frame waited before it was taken or dropped.
	LongestWait time.Duration
}

func newCounts() Counts {
	return Counts{Received: map[string]Flow{}, Sent: map[string]Flow{}, Dropped: map[Drop]uint64{}}
}

// Counters count frames. They may be used by several goroutines.
type Counters struct {
	mu  sync.Mutex
	now Counts
}

// NewCounters gives counters at zero.
func NewCounters() *Counters { return &Counters{now: newCounts()} }

func (c *Counters) received(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Received[kind] = c.now.Received[kind].plus(bytes)
}

func (c *Counters) sent(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Sent[kind] = c.now.Sent[kind].plus(bytes)
}

func (c *Counters) dropped(drop Drop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Dropped[drop]++
}

func (c *Counters) waited(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.LongestWait = max(c.now.LongestWait, wait)
}

// Take gives what was counted and begins again at zero.
func (c *Counters) Take() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.now
	c.now = newCounts()
	return taken
}

func (f Flow) plus(bytes int) Flow { return Flow{f.Frames + 1, f.Bytes + uint64(bytes)} }

// Fields are the counts as the keys and values of a log line.
func (c Counts) Fields() []any {
	return []any{
		"dropped", c.drops(), "received", flows(c.Received), "sent", flows(c.Sent),
		"longestWaitMs", c.LongestWait.Milliseconds(),
	}
}

func (c Counts) drops() string {
	order := func(a, b Drop) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.way(), b.way()),
		)
	}
	var parts []string
	for _, drop := range slices.SortedFunc(maps.Keys(c.Dropped), order) {
		parts = append(parts, fmt.Sprintf("%s/%s/%s:%d", drop.Kind, drop.way(), drop.Reason, c.Dropped[drop]))
	}
	return strings.Join(parts, ",")
}

func (d Drop) way() string {
	if d.Outgoing {
		return "out"
	}
	return "in"
}

func flows(byKind map[string]Flow) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", kind, byKind[kind].Frames, byKind[kind].Bytes))
	}
	return strings.Join(parts, ",")
}
