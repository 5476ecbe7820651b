package main

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestTheStatusIsEncodedAsRecorded holds the status page to its encoding by commit 40d3d2c.
func TestTheStatusIsEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/status.json", status{})
}
