package main

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestStatusIsEncodedAsRecorded compares the encoding of the status page with the one
// recorded by commit 40d3d2c.
func TestStatusIsEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/status.json", status{})
}
