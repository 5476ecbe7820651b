package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// boundedMap is a map that keeps its keys in order of age, so that the oldest entries can
// be removed.
type boundedMap[V any] struct {
	byKey map[string]V
	// order holds the keys, the oldest first.
	order []string
}

func newBoundedMap[V any]() boundedMap[V] { return boundedMap[V]{byKey: map[string]V{}} }

// put adds a key as the newest one. The key must not exist yet.
func (m *boundedMap[V]) put(key string, value V) {
	m.byKey[key] = value
	m.order = append(m.order, key)
}

// sortByAge rebuilds the order of the keys from the times of their values, after a load.
func (m *boundedMap[V]) sortByAge(timeOf func(V) time.Duration) {
	m.order = slices.SortedFunc(maps.Keys(m.byKey), func(a, b string) int {
		return cmp.Or(cmp.Compare(timeOf(m.byKey[a]), timeOf(m.byKey[b])), cmp.Compare(a, b))
	})
}

// expired returns the keys to remove, the oldest first: those in excess of maxEntries, and
// the following ones as long as isExpired holds for their values.
func (m *boundedMap[V]) expired(maxEntries int, isExpired func(V) bool) []string {
	n := max(0, len(m.order)-maxEntries)
	for n < len(m.order) && isExpired(m.byKey[m.order[n]]) {
		n++
	}
	return m.order[:n]
}

// dropOldest removes the n oldest entries.
func (m *boundedMap[V]) dropOldest(n int) {
	for _, key := range m.order[:n] {
		delete(m.byKey, key)
	}
	m.order = m.order[n:]
}
