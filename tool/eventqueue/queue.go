// Package eventqueue runs functions at times of a simulated clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds what happens later. Its zero value is empty, at time 0.
type Queue struct {
	// Now is the time of the event that runs, or of the last one.
	Now    time.Duration
	events eventHeap
	lastID uint64
}

// At schedules a function for a time, or for now if the time has passed.
func (q *Queue) At(at time.Duration, do func()) {
	q.lastID++
	heap.Push(&q.events, event{max(at, q.Now), q.lastID, do})
}

// After schedules a function for a delay from now.
func (q *Queue) After(delay time.Duration, do func()) { q.At(q.Now+delay, do) }

// RunUntil runs all events up to a time, and ends at it.
func (q *Queue) RunUntil(until time.Duration) {
	for len(q.events) > 0 && q.events[0].time <= until {
		next := heap.Pop(&q.events).(event)
		q.Now = next.time
		next.run()
	}
	q.Now = until
}

// event is something that happens at a time of the simulation.
type event struct {
	time time.Duration
	id   uint64 // orders events of the same time
	run  func()
}

// eventHeap has the earliest event first. It implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i happens before event j.
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
