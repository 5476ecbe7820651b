package replica

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestReportEncodingMatchesGolden compares the encoding of the status page with that of commit
// 40d3d2c.
func TestReportEncodingMatchesGolden(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/report.json", Report{})
}

// TestRecordKeysMatchGolden compares the bucket and keys of a replica's own records with those
// of commit 40d3d2c: a replica must find its records on its disk.
func TestRecordKeysMatchGolden(t *testing.T) {
	names := map[string][]string{bucketReplica: {keyIdentity, keyAcceptor, keyCandidateEpoch, keyFounders}}
	goldentest.File(t, "testdata/40d3d2c/keys.json", goldentest.Indented(t, names))
}
