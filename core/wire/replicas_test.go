package wire

import (
	"slices"
	"testing"
)

// TestReplicaListIgnoresEarlierEpoch checks that a list of an earlier view changes nothing, and that
// one without an epoch is always accepted.
func TestReplicaListIgnoresEarlierEpoch(t *testing.T) {
	list := ReplicaList{}
	for i, row := range []struct {
		epoch     uint64
		addresses []string
		changed   bool
		want      string
	}{
		{3, []string{"a", "b"}, true, "a"},
		{2, []string{"old"}, false, "a"},
		{3, []string{"a", "b"}, false, "a"},
		{4, nil, false, "a"},
		{4, []string{"c", "b"}, true, "c"},
		{0, []string{"d"}, true, "d"},
		{1, []string{"e"}, true, "e"},
	} {
		changed := list.Update(ReplicaList{row.epoch, row.addresses})
		if changed != row.changed || !slices.Contains(list.Addresses, row.want) {
			t.Errorf("row %d: changed %v, the list is %+v", i, changed, list)
		}
	}
}
