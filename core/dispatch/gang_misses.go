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

// add takes a need in, in place of those that are as large or no longer hold, unless there are
// too many others.
func (m *gangMisses) add(need gangNeed, now time.Duration) {
	misses := slices.DeleteFunc(*m, func(miss gangMiss) bool {
		return now >= miss.at+gangRetryInterval || miss.need.atLeast(&need)
	})
	if len(misses) < maxGangMisses {
		misses = append(misses, gangMiss{need, now})
	}
	*m = misses
}

// coverUntil returns until when a need is taken to be too large, since the workers had too little
// for it, or for a smaller one, a moment ago; 0 if they had not.
func (m gangMisses) coverUntil(need *gangNeed, now time.Duration) (until time.Duration) {
	for i := range m {
		if expiresAt := m[i].at + gangRetryInterval; now < expiresAt && need.atLeast(&m[i].need) {
			until = max(until, expiresAt)
		}
	}
	return until
}
