package storage

import (
	"cmp"
	"slices"

	"sorrelloom/core/machine"
)

// recordKey identifies a record.
type recordKey struct{ bucket, key string }

// replicaRecords are the current records of the replica itself. Every snapshot contains
// all of them.
type replicaRecords map[recordKey]machine.Record

func (r replicaRecords) put(records []machine.Record) {
	for _, record := range records {
		r[recordKey{record.Bucket, record.Key}] = record
	}
}

// sorted returns the records ordered by bucket and key.
func (r replicaRecords) sorted() []machine.Record {
	records := make([]machine.Record, 0, len(r))
	for _, record := range r {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b machine.Record) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
	})
	return records
}

func (r replicaRecords) items() []item {
	items := make([]item, 0, len(r))
	for _, record := range r.sorted() {
		items = append(items, recordItem(itemReplicaRecord, record))
	}
	return items
}
