// The keeper's own records, which every snapshot has in full.

package storage

import (
	"cmp"
	"slices"

	"sorrelloom/core/machine"
)

// recordKey names a record.
type recordKey struct{ bucket, key string }

// ownRecords are the keeper's own records as they stand, for the next snapshot.
type replicaRecords map[recordKey]machine.Record

func (o replicaRecords) put(records []machine.Record) {
	for _, r := range records {
		o[recordKey{r.Bucket, r.Key}] = r
	}
}

// sorted gives them in the order of buckets and keys.
func (o replicaRecords) sorted() []machine.Record {
	out := make([]machine.Record, 0, len(o))
	for _, r := range o {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b machine.Record) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
	})
	return out
}

func (o replicaRecords) items() []item {
	out := make([]item, 0, len(o))
	for _, r := range o.sorted() {
		out = append(out, recordItem(itemReplicaRecord, r))
	}
	return out
}
