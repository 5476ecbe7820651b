package dispatch

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestTheCountersAreEncodedAsRecorded holds the scheduler's status page to its encoding
// by commit 40d3d2c. The counters have no tags: their names in Go are the encoded ones.
func TestTheCountersAreEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/counters.json", Counters{})
}
