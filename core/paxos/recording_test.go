package paxos

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestTheStateIsEncodedAsRecorded holds an acceptor's state to its encoding by commit
// 40d3d2c, since it is on the disks of replicas.
func TestTheStateIsEncodedAsRecorded(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/state.json", Acceptor{})
}
