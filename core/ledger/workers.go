// The workers of a ledger, by name and in order.
package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// setWorker is the only way a worker changes; it keeps the ordered list right.
func (l *Ledger) setWorker(w Worker) {
	l.forgetBusyness(l.workers[w.ID()], w)
	l.workers[w.ID()] = w
	if l.byName == nil {
		return
	}
	i, known := l.workerPlace(w.ID())
	if !known {
		l.byName = slices.Insert(l.byName, i, w)
		return
	}
	l.byName[i] = w
}

func (l *Ledger) forgetWorker(id string) {
	delete(l.busy, l.workers[id].Service)
	delete(l.workers, id)
	if i, known := l.workerPlace(id); known {
		l.byName = slices.Delete(l.byName, i, i+1)
	}
}

func (l *Ledger) workerPlace(id string) (int, bool) {
	return slices.BinarySearchFunc(l.byName, id, func(w Worker, id string) int { return cmp.Compare(w.ID(), id) })
}

// Workers gives all workers by name. The list is shared: it is not to be changed,
// and good until the next command.
func (l *Ledger) Workers() []Worker {
	if l.byName == nil {
		l.byName = make([]Worker, 0, len(l.workers))
		for _, id := range slices.Sorted(maps.Keys(l.workers)) {
			l.byName = append(l.byName, l.workers[id])
		}
	}
	return l.byName
}
