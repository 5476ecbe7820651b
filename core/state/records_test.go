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

// recordings is the folder of golden files: the records as commit 40d3d2c encoded them.
// Records in this encoding are on disks and are sent in snapshots and in full copies, so the
// files must not change.
const recordings = "testdata/40d3d2c"

// recordTypes maps the name of each golden file to the type that it encodes: the values of
// the records of each bucket, and the audit's entries.
var recordTypes = map[string]any{
	"job": Job{}, "task": Task{}, "worker": Worker{}, "site": true, "duty": Leadership{}, "daemon": Scheduler{},
	"request": Request{}, "past": PastJob{}, "meta": metadata{}, "meta-plan": config.Config{},
	"audit-entry": AuditEntry{},
}

func TestRecordEncodingMatchesGoldenFiles(t *testing.T) {
	names := map[string]bool{"buckets.json": true}
	for name, example := range recordTypes {
		names[name+".json"] = true
		t.Run(name, func(t *testing.T) {
			goldentest.JSON(t, filepath.Join(recordings, name+".json"), example)
		})
	}
	goldentest.CheckNoExtraFiles(t, recordings, names)
}

// TestBucketNamesMatchGoldenFile compares the buckets and keys of all records with those that
// commit 40d3d2c wrote, and loads a store from records that have these names.
func TestBucketNamesMatchGoldenFile(t *testing.T) {
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
		t.Errorf("records after loading:\n%s\nwant\n%s", got, recorded)
	}
}
