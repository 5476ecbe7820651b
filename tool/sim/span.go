package sim

import (
	"slices"
	"time"
)

// span is a time of the simulation from one moment to another. One that still lasts
// has no end: to is zero.
type span struct{ from, to time.Duration }

// isOpen reports whether the span still lasts.
func (s span) isOpen() bool { return s.to == 0 }

// overlaps reports whether the span and the time between two moments have more than
// a moment in common.
func (s span) overlaps(from, to time.Duration) bool {
	return s.from < to && (s.isOpen() || s.to > from)
}

// touches reports whether the span and the time between two moments have at least a
// moment in common.
func (s span) touches(from, to time.Duration) bool {
	return s.from <= to && (s.isOpen() || s.to >= from)
}

// covers reports whether the span has begun at a moment and was over for less than the
// given time.
func (s span) covers(at, aftermath time.Duration) bool {
	return s.from <= at && (s.isOpen() || s.to+aftermath > at)
}

// spans are spans in the order in which they began.
type spans []span

// last returns the newest span, or nil.
func (s spans) last() *span {
	if len(s) == 0 {
		return nil
	}
	return &s[len(s)-1]
}

// begin opens a span at a moment unless the newest one is still open.
func (s *spans) begin(at time.Duration) {
	if last := s.last(); last == nil || !last.isOpen() {
		*s = append(*s, span{from: at})
	}
}

// end closes the newest span if it is open.
func (s spans) end(at time.Duration) {
	if last := s.last(); last != nil && last.isOpen() {
		last.to = at
	}
}

// anyOverlaps reports whether one of the spans overlaps the time between two moments.
func (s spans) anyOverlaps(from, to time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.overlaps(from, to) })
}

// anyTouches reports whether one of the spans touches the time between two moments.
func (s spans) anyTouches(from, to time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.touches(from, to) })
}

// anyCovers reports whether one of the spans covers a moment.
func (s spans) anyCovers(at, aftermath time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.covers(at, aftermath) })
}
