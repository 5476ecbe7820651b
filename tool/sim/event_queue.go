package sim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the simulation.
type event struct {
	time time.Duration
	id   uint64 // orders events of the same time
	run  func()
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i happens before event j.
func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].id < q[j].id
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// At schedules a function for a time, or for now if the time has passed.
func (w *World) At(at time.Duration, do func()) {
	w.lastEventID++
	heap.Push(&w.queue, event{max(at, w.Now), w.lastEventID, do})
}

// After schedules a function for a delay from now.
func (w *World) After(delay time.Duration, do func()) { w.At(w.Now+delay, do) }

// RunUntil runs all events up to a time, and ends at it.
func (w *World) RunUntil(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].time <= until {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.time
		next.run()
	}
	w.Now = until
}
