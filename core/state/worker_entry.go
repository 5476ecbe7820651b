package state

import (
	"cmp"
	"maps"
	"slices"
)

// WorkerEntry gives read access to a worker's record and the sums of its leases without
// copying them. It is shared and must not be changed. It stays up to date: after later
// commands it shows the new values, as long as the worker is known.
type WorkerEntry struct {
	record *Worker
	usage  *workerUsage
}

// Record returns the worker's record.
func (e *WorkerEntry) Record() *Worker { return e.record }

// ID returns the worker's name.
func (e *WorkerEntry) ID() string { return e.record.Heartbeat.Worker }

// FreeResources returns the resources that the worker has left; see Store.FreeResources.
func (e *WorkerEntry) FreeResources() Resources {
	return e.record.freeResources(e.usage, e.record.Free)
}

// StoppingResources returns the resources of its leases that are being stopped.
func (e *WorkerEntry) StoppingResources() Resources { return e.usage.stopping }

// LongRunningResources returns the resources of its leases of long-running tasks that are not
// being stopped.
func (e *WorkerEntry) LongRunningResources() Resources { return e.usage.longRunning }

// LeaseCount returns the number of leases that it holds.
func (e *WorkerEntry) LeaseCount() int { return len(e.usage.leases) }

// workerEntries holds the entries of all workers, sorted by name. The list is nil until it
// is first requested.
type workerEntries struct {
	list []*WorkerEntry
	// version changes whenever a worker is added to the list or removed from it.
	version uint64
}

// index returns the position of a worker in the list, or the position at which to insert it,
// and whether it is in the list.
func (w *workerEntries) index(id string) (int, bool) {
	return slices.BinarySearchFunc(w.list, id, func(entry *WorkerEntry, id string) int {
		return cmp.Compare(entry.ID(), id)
	})
}

// reset drops the list.
func (w *workerEntries) reset() {
	w.list = nil
	w.version++
}

// set updates the record of a worker, or adds the worker, if the list exists.
func (w *workerEntries) set(worker *Worker, usage *workerUsage) {
	if w.list == nil {
		return
	}
	i, known := w.index(worker.ID())
	if known {
		w.list[i].record = worker
		return
	}
	w.list = slices.Insert(w.list, i, &WorkerEntry{worker, usage})
	w.version++
}

// remove removes a worker from the list.
func (w *workerEntries) remove(id string) {
	if i, known := w.index(id); known {
		w.list = slices.Delete(w.list, i, i+1)
		w.version++
	}
}

// WorkerEntries returns all workers, sorted by name. The list is shared: it must not be
// changed, and is valid until WorkerListVersion changes.
func (s *Store) WorkerEntries() []*WorkerEntry {
	if s.entries.list == nil {
		s.entries.list = make([]*WorkerEntry, 0, len(s.workers))
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			s.entries.list = append(s.entries.list, &WorkerEntry{s.workers[id], s.changeableUsage(id)})
		}
		s.entries.version++
	}
	return s.entries.list
}

// WorkerListVersion returns a number that changes whenever a worker becomes known or is
// forgotten.
func (s *Store) WorkerListVersion() uint64 { return s.entries.version }
