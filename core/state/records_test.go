package state

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"sorrelloom/core/config"
	"sorrelloom/core/goldentest"
	"sorrelloom/core/machine"
)

// recordings are the records as commit 40d3d2c encoded them. They stand on disks and
// travel in snapshots and in whole copies, so that the files must not change.
const recordings = "testdata/40d3d2c"

// recordTypes are the values of the records of each bucket, and the audit's entries.
var recordTypes = map[string]any{
	"job": Job{}, "task": Task{}, "worker": Worker{}, "site": true, "duty": Leadership{}, "daemon": Scheduler{},
	"request": Request{}, "past": PastJob{}, "meta": metadata{}, "meta-plan": config.Config{},
	"audit-entry": AuditEntry{},
}

func TestRecordsAreEncodedAsRecorded(t *testing.T) {
	names := map[string]bool{"buckets.json": true}
	for name, example := range recordTypes {
		names[name+".json"] = true
		t.Run(name, func(t *testing.T) {
			goldentest.JSON(t, filepath.Join(recordings, name+".json"), example)
		})
	}
	goldentest.Unclaimed(t, recordings, names)
}

// TestBucketsAreNamedAsRecorded holds the buckets and keys of all records to their names
// by commit 40d3d2c, and loads a store from records that have these names.
func TestBucketsAreNamedAsRecorded(t *testing.T) {
	snapshot := Snapshot{
		jobs:    map[string]*Job{"j": {Spec: JobSpec{ID: "j", Tasks: []TaskSpec{{ID: "t"}}}, Tasks: []*Task{{Number: 7}}}},
		workers: map[string]*Worker{"w": {}}, drainedZones: map[string]bool{"s": true},
		leaderships: map[string]Leadership{"d": {}}, schedulers: map[string]Scheduler{"f": {}},
		requests: map[string]Request{"r": {}}, pastJobs: map[string]PastJob{"p": {}},
	}
	var named, recorded []machine.Record
	for r := range snapshot.Records() {
		named = append(named, machine.Record{Bucket: r.Bucket, Key: r.Key})
	}
	names := goldentest.File(t, filepath.Join(recordings, "buckets.json"), goldentest.Indented(t, named))
	if err := json.Unmarshal(names, &recorded); err != nil {
		t.Fatal(err)
	}
	for i, r := range recorded {
		recorded[i] = snapshot.Record(RecordKey{r.Bucket, r.Key})
	}
	loaded, err := Load(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if got := slices.Collect(loaded.Snapshot().Records()); !reflect.DeepEqual(got, recorded) {
		t.Errorf("loaded and snapshotd again:\n%s\nnot\n%s", got, recorded)
	}
}
