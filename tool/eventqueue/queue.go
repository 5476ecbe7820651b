// Package eventqueue runs scheduled functions in the order of a simulated clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue of scheduled events with a simulated clock. Its zero value is empty, at time 0.
type Queue struct {
	// Now is the simulated time: that of the running event, or the end of the last RunUntil.
	Now    time.Duration
	events eventHeap
	lastID uint64
}

// At schedules a function for the given time, or for Now if that time has passed.
func (q *Queue) At(at time.Duration, do func()) {
	q.lastID++
	heap.Push(&q.events, event{max(at, q.Now), q.lastID, do})
}

// After schedules a function for the given delay after Now.
func (q *Queue) After(delay time.Duration, do func()) { q.At(q.Now+delay, do) }

// RunUntil runs all events up to and including the given time, and then sets Now to it.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.events) > 0 && q.events[0].time <= until {
		next := heap.Pop(&q.events).(event)
		q.Now = next.time
		next.run()
	}
	q.Now = until
}

// event is a function scheduled for a simulated time.
type event struct {
	time time.Duration
	id   uint64 // orders simultaneous events by when they were scheduled
	run  func()
}

// eventHeap is a min-heap of events by time. It implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i runs before event j.
func (h eventHeap) Less(i, j int) bool {
	return h[i].time < h[j].time || h[i].time == h[j].time && h[i].id < h[j].id
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
