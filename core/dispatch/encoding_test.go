package dispatch

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestCountersEncoding checks the encoding of the counters on the scheduler's status page
// against that of commit 40d3d2c. The JSON names predate the names of the fields.
func TestCountersEncoding(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/counters.json", Counters{})
}
