package wire

import "slices"

// ReplicaList names the replicas of a view, for clients that don't subscribe to the feed. Of two
// lists the one with the higher epoch is newer.
type ReplicaList struct {
	// Epoch is the epoch of the view; 0 means that it is unknown.
	Epoch uint64
	// Addresses are those of the view's voters. The slice must not be modified.
	Addresses []string
}

// Update replaces the list with another one, unless that is empty or of an earlier view. A list of
// unknown epoch counts as the newest, since it was sent last. Update reports whether the addresses
// changed.
func (l *ReplicaList) Update(other ReplicaList) (changed bool) {
	if len(other.Addresses) == 0 || l.IsNewerThan(other.Epoch) {
		return false
	}
	changed = !slices.Equal(l.Addresses, other.Addresses)
	*l = other
	return changed
}

// IsNewerThan reports whether the list is newer than the view of an epoch. It returns false if
// either epoch is unknown.
func (l *ReplicaList) IsNewerThan(epoch uint64) bool { return epoch > 0 && epoch < l.Epoch }
