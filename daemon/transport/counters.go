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

// DropReason is the reason for which a frame was dropped.
type DropReason string

const (
	// DropExpired is for frames that waited longer than their kind allows.
	DropExpired DropReason = "expired"
	// DropReplaced is for requests that were replaced by a newer one with the same coalescing
	// key.
	DropReplaced DropReason = "replaced"
	// DropOverflow is for the oldest frames of a full queue.
	DropOverflow DropReason = "overflow"
	// DropUnsent is for frames that were being written when their connection broke.
	DropUnsent DropReason = "unsent"
)

// DropKey identifies a count of dropped frames. Outgoing is true for frames to be sent, and
// false for received ones.
type DropKey struct {
	Kind     string
	Outgoing bool
	Reason   DropReason
}

// Flow counts frames and their bytes, without headers.
type Flow struct{ Frames, Bytes uint64 }

// Waits summarizes how long received frames waited before they were processed or dropped.
type Waits struct {
	Frames         uint64
	Total, Longest time.Duration
}

// Counts are the values of Counters.
type Counts struct {
	Received map[string]Flow
	Sent     map[string]Flow
	Dropped  map[DropKey]uint64
	// Waits covers received frames, by kind.
	Waits map[string]Waits
	// LongestWait is the longest wait of any frame, received or to be sent.
	LongestWait time.Duration
}

func newCounts() Counts {
	return Counts{
		Received: map[string]Flow{}, Sent: map[string]Flow{}, Dropped: map[DropKey]uint64{}, Waits: map[string]Waits{},
	}
}

// Counters count frames. They are safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	current Counts
	// earlier is the sum of all counts returned by TakeAndReset.
	earlier Counts
}

// NewCounters returns counters at zero.
func NewCounters() *Counters { return &Counters{current: newCounts(), earlier: newCounts()} }

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

// waitedToBeSent records how long an outgoing frame waited.
func (c *Counters) waitedToBeSent(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.LongestWait = max(c.current.LongestWait, wait)
}

// waited records how long a received frame waited.
func (c *Counters) waited(kind string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.LongestWait = max(c.current.LongestWait, wait)
	c.current.Waits[kind] = c.current.Waits[kind].plus(Waits{1, wait, wait})
}

// TakeAndReset returns the counts since its last call and sets them to zero.
func (c *Counters) TakeAndReset() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.current
	c.earlier.add(taken)
	c.current = newCounts()
	return taken
}

// Totals returns the counts since the start.
func (c *Counters) Totals() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := newCounts()
	totals.add(c.earlier)
	totals.add(c.current)
	return totals
}

// add adds the values of other to c.
func (c *Counts) add(other Counts) {
	for kind, flow := range other.Received {
		c.Received[kind] = Flow{c.Received[kind].Frames + flow.Frames, c.Received[kind].Bytes + flow.Bytes}
	}
	for kind, flow := range other.Sent {
		c.Sent[kind] = Flow{c.Sent[kind].Frames + flow.Frames, c.Sent[kind].Bytes + flow.Bytes}
	}
	for drop, frames := range other.Dropped {
		c.Dropped[drop] += frames
	}
	for kind, waits := range other.Waits {
		c.Waits[kind] = c.Waits[kind].plus(waits)
	}
	c.LongestWait = max(c.LongestWait, other.LongestWait)
}

func (w Waits) plus(other Waits) Waits {
	return Waits{w.Frames + other.Frames, w.Total + other.Total, max(w.Longest, other.Longest)}
}

func (f Flow) plus(bytes int) Flow { return Flow{f.Frames + 1, f.Bytes + uint64(bytes)} }

// Fields returns the counts as the keys and values of a log line.
func (c Counts) Fields() []any {
	return []any{
		"dropped", c.formatDrops(), "received", formatFlows(c.Received), "sent", formatFlows(c.Sent),
		"longestWaitMs", c.LongestWait.Milliseconds(), "waitsMs", formatWaits(c.Waits),
	}
}

// formatDrops lists the dropped frames as kind/direction/reason:frames.
func (c Counts) formatDrops() string {
	order := func(a, b DropKey) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Direction(), b.Direction()),
		)
	}
	var parts []string
	for _, drop := range slices.SortedFunc(maps.Keys(c.Dropped), order) {
		parts = append(parts, fmt.Sprintf("%s/%s/%s:%d", drop.Kind, drop.Direction(), drop.Reason, c.Dropped[drop]))
	}
	return strings.Join(parts, ",")
}

// Direction is "in" or "out".
func (d DropKey) Direction() string {
	if d.Outgoing {
		return "out"
	}
	return "in"
}

// formatWaits lists the waits of received frames as kind:mean/longest, in milliseconds. Kinds
// whose longest wait is below a millisecond are left out.
func formatWaits(byKind map[string]Waits) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		waits := byKind[kind]
		if waits.Longest >= time.Millisecond {
			mean := waits.Total / time.Duration(waits.Frames)
			parts = append(parts, fmt.Sprintf("%s:%d/%d", kind, mean.Milliseconds(), waits.Longest.Milliseconds()))
		}
	}
	return strings.Join(parts, ",")
}

// formatFlows lists flows as kind:frames/bytes.
func formatFlows(byKind map[string]Flow) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", kind, byKind[kind].Frames, byKind[kind].Bytes))
	}
	return strings.Join(parts, ",")
}
