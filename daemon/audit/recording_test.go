package audit

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestReportIsEncodedAsRecorded compares the encoding of a verification report with the one
// recorded by commit 40d3d2c.
func TestReportIsEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/report.json", Report{})
}
