package sim

import (
	"slices"
	"time"
)

// span is an interval of simulated time. In an open span, which has not ended yet,
// to is zero.
type span struct{ from, to time.Duration }

// isOpen reports whether the span has not ended yet.
func (s span) isOpen() bool { return s.to == 0 }

// overlaps reports whether the span and the interval between two times have more than a
// single point in common.
func (s span) overlaps(from, to time.Duration) bool {
	return s.from < to && (s.isOpen() || s.to > from)
}

// touches reports whether the span and the interval between two times, both closed, have at
// least one point in common.
func (s span) touches(from, to time.Duration) bool {
	return s.from <= to && (s.isOpen() || s.to >= from)
}

// covers reports whether a time lies in the span or less than aftermath after its end.
func (s span) covers(at, aftermath time.Duration) bool {
	return s.from <= at && (s.isOpen() || s.to+aftermath > at)
}

// spans is a list of spans, ordered by their starts.
type spans []span

// last returns the newest span, or nil if there is none.
func (s spans) last() *span {
	if len(s) == 0 {
		return nil
	}
	return &s[len(s)-1]
}

// begin opens a span at a time unless the newest one is still open.
func (s *spans) begin(at time.Duration) {
	if last := s.last(); last == nil || !last.isOpen() {
		*s = append(*s, span{from: at})
	}
}

// end closes the newest span at a time if it is open.
func (s spans) end(at time.Duration) {
	if last := s.last(); last != nil && last.isOpen() {
		last.to = at
	}
}

// anyOverlaps reports whether one of the spans overlaps the interval between two times.
func (s spans) anyOverlaps(from, to time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.overlaps(from, to) })
}

// anyTouches reports whether one of the spans touches the interval between two times.
func (s spans) anyTouches(from, to time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.touches(from, to) })
}

// anyCovers reports whether one of the spans covers a time, as in span.covers.
func (s spans) anyCovers(at, aftermath time.Duration) bool {
	return slices.ContainsFunc(s, func(one span) bool { return one.covers(at, aftermath) })
}
