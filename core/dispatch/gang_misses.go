package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

// maxGangMisses bounds the needs that are remembered as too large for the workers.
const maxGangMisses = 16

// gangNeed is what a gang of equal members needs.
type gangNeed struct {
	service string
	labels  string // joined by commas
	each    state.Resources
	members int
}

// atLeast reports whether workers that have too little for another gang have too little for
// this one as well.
func (n *gangNeed) atLeast(other *gangNeed) bool {
	return n.service == other.service && (other.labels == "" || n.labels == other.labels) &&
		n.members >= other.members && n.each.Covers(other.each)
}

// gangMiss is a need for which the workers had too little.
type gangMiss struct {
	need gangNeed
	at   time.Duration
}

// gangMisses are the needs for which all workers together had too little a moment ago. A gang
// that needs as much or more need not be tried.
type gangMisses []gangMiss

// add takes a need in, in place of those that are as large or no longer hold, or of the oldest.
func (m *gangMisses) add(need gangNeed, now time.Duration) {
	misses := slices.DeleteFunc(*m, func(miss gangMiss) bool {
		return now >= miss.at+gangRetryInterval || miss.need.atLeast(&need)
	})
	if len(misses) == maxGangMisses {
		misses = slices.Delete(misses, 0, 1)
	}
	*m = append(misses, gangMiss{need, now})
}

// covers reports whether the workers had too little for a need, or for a smaller one, a moment ago.
func (m gangMisses) covers(need *gangNeed, now time.Duration) bool {
	for i := range m {
		if now < m[i].at+gangRetryInterval && need.atLeast(&m[i].need) {
			return true
		}
	}
	return false
}
