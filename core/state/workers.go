// The workers of a ledger, by name and in order.

package state

import (
	"cmp"
	"maps"
	"slices"
)

// setWorker is the only way a worker changes; it keeps the ordered list right.
func (l *Store) setWorker(w Worker) {
	l.invalidateServiceLoad(l.workers[w.ID()], w)
	l.workers[w.ID()] = w
	if l.workerList == nil {
		return
	}
	i, known := l.workerIndex(w.ID())
	if !known {
		l.workerList = slices.Insert(l.workerList, i, w)
		return
	}
	l.workerList[i] = w
}

func (l *Store) forgetWorker(id string) {
	delete(l.serviceLoads, l.workers[id].Service)
	delete(l.workers, id)
	if i, known := l.workerIndex(id); known {
		l.workerList = slices.Delete(l.workerList, i, i+1)
	}
}

func (l *Store) workerIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(l.workerList, id, func(w Worker, id string) int { return cmp.Compare(w.ID(), id) })
}

// Workers gives all workers by name. The list is shared: it is not to be changed,
// and good until the next command.
func (l *Store) Workers() []Worker {
	if l.workerList == nil {
		l.workerList = make([]Worker, 0, len(l.workers))
		for _, id := range slices.Sorted(maps.Keys(l.workers)) {
			l.workerList = append(l.workerList, l.workers[id])
		}
	}
	return l.workerList
}
