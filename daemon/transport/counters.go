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

// DropReason says why a frame was dropped.
type DropReason string

const (
	// DropExpired frames waited longer than their kind allows.
	DropExpired DropReason = "expired"
	// DropReplaced requests were replaced by a newer one with the same coalescing key.
	DropReplaced DropReason = "replaced"
	// DropOverflow frames were the oldest of a full queue.
	DropOverflow DropReason = "overflow"
	// DropUnsent frames were being written when their connection broke.
	DropUnsent DropReason = "unsent"
)

// DropKey identifies a count of dropped frames. Outgoing tells those that were to be sent
// from those that were received.
type DropKey struct {
	Kind     string
	Outgoing bool
	Reason   DropReason
}

// Flow counts frames, and their bytes without headers.
type Flow struct{ Frames, Bytes uint64 }

// StepTime is the time that a process spent on inputs of one kind.
type StepTime struct {
	Steps          uint64
	Total, Longest time.Duration
}

func (s StepTime) plus(took time.Duration) StepTime {
	return StepTime{Steps: s.Steps + 1, Total: s.Total + took, Longest: max(s.Longest, took)}
}

// Counts is what was counted since the last Counters.TakeAndReset.
type Counts struct {
	Received map[string]Flow
	Sent     map[string]Flow
	Dropped  map[DropKey]uint64
	// Steps holds the times of steps by the kind of their input.
	Steps map[string]StepTime
	// LongestWait is the longest time that a frame waited before it was processed or dropped.
	LongestWait time.Duration
}

func newCounts() Counts {
	return Counts{
		Received: map[string]Flow{}, Sent: map[string]Flow{}, Dropped: map[DropKey]uint64{},
		Steps: map[string]StepTime{},
	}
}

// Counters count frames. They are safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	current Counts
}

// NewCounters returns counters at zero.
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

// Stepped counts a step of a state machine on an input of a kind.
func (c *Counters) Stepped(kind string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Steps[kind] = c.current.Steps[kind].plus(took)
}

// TakeAndReset returns the counts and sets them to zero.
func (c *Counters) TakeAndReset() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.current
	c.current = newCounts()
	return taken
}

func (f Flow) plus(bytes int) Flow { return Flow{f.Frames + 1, f.Bytes + uint64(bytes)} }

// Fields returns the counts as the keys and values of a log line.
func (c Counts) Fields() []any {
	return []any{
		"dropped", c.formatDrops(), "received", formatFlows(c.Received), "sent", formatFlows(c.Sent),
		"longestWaitMs", c.LongestWait.Milliseconds(), "steps", formatSteps(c.Steps),
	}
}

// formatDrops lists kind/direction/reason:frames.
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

// formatFlows lists kind:frames/bytes.
func formatFlows(byKind map[string]Flow) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", kind, byKind[kind].Frames, byKind[kind].Bytes))
	}
	return strings.Join(parts, ",")
}

// formatSteps lists kind:steps/milliseconds/milliseconds of the longest.
func formatSteps(byKind map[string]StepTime) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		step := byKind[kind]
		parts = append(parts,
			fmt.Sprintf("%s:%d/%d/%d", kind, step.Steps, step.Total.Milliseconds(), step.Longest.Milliseconds()))
	}
	return strings.Join(parts, ",")
}
