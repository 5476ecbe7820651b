package paxos

import (
	"testing"

	"sorrelloom/core/goldentest"
)

// TestAcceptorEncodingMatchesGolden compares the encoding of an acceptor's state with that of
// commit 40d3d2c: replicas have it on their disks.
func TestAcceptorEncodingMatchesGolden(t *testing.T) {
	goldentest.JSON(t, "testdata/40d3d2c/state.json", Acceptor{})
}
