package audit

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestTheReportIsEncodedAsRecorded holds the report of a verification to its encoding by
// commit 40d3d2c.
func TestTheReportIsEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/report.json", Report{})
}
