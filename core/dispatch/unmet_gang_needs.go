package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

// maxUnmetGangNeeds bounds the number of unmet needs that are remembered.
const maxUnmetGangNeeds = 16

// gangNeed is what a gang of equal members needs.
type gangNeed struct {
	service   string
	labels    string // joined by commas
	perMember state.Resources
	members   int
}

// atLeast reports whether workers whose free resources are not enough for the other gang can't
// have enough for this one either.
func (n *gangNeed) atLeast(other *gangNeed) bool {
	return n.service == other.service && (other.labels == "" || n.labels == other.labels) &&
		n.members >= other.members && n.perMember.Covers(other.perMember)
}

// unmetGangNeed is a need for which the workers' free resources were not enough.
type unmetGangNeed struct {
	need gangNeed
	at   time.Duration
}

// unmetGangNeeds holds the needs for which the free resources of all workers together were
// recently not enough. A gang that needs as much or more need not be tried.
type unmetGangNeeds []unmetGangNeed

// add records an unmet need, and drops the expired ones and those that are at least as large,
// since the new one implies them. It drops the new one if maxUnmetGangNeeds others remain.
func (m *unmetGangNeeds) add(need gangNeed, now time.Duration) {
	unmet := slices.DeleteFunc(*m, func(other unmetGangNeed) bool {
		return now >= other.at+gangRetryInterval || other.need.atLeast(&need)
	})
	if len(unmet) < maxUnmetGangNeeds {
		unmet = append(unmet, unmetGangNeed{need, now})
	}
	*m = unmet
}

// unmetUntil returns the time until which a need is assumed to be unmet, because it or a
// smaller one recently was; 0 if none was.
func (m unmetGangNeeds) unmetUntil(need *gangNeed, now time.Duration) (until time.Duration) {
	for i := range m {
		if expiresAt := m[i].at + gangRetryInterval; now < expiresAt && need.atLeast(&m[i].need) {
			until = max(until, expiresAt)
		}
	}
	return until
}
