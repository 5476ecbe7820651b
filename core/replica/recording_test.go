package replica

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestReportEncodingMatchesGolden holds the status page to its encoding by commit 40d3d2c.
func TestReportEncodingMatchesGolden(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/report.json", Report{})
}

// TestRecordKeysMatchGolden holds the keys of a replica's own records to their names by
// commit 40d3d2c, since it must find them again on its disk.
func TestRecordKeysMatchGolden(t *testing.T) {
	names := map[string][]string{bucketReplica: {keyIdentity, keyAcceptor, keyCandidateEpoch, keyFounders}}
	goldentest.File(t, "testdata/40d3d2c/keys.json", goldentest.Indented(t, names))
}
