package replica

import (
	"testing"
	"time"
)

// TestLaggingMemberIsLogged isolates the third voter while many commands are committed, and
// reconnects it. It must be logged once that the voter lags and once that it has caught up.
func TestLaggingMemberIsLogged(t *testing.T) {
	c := newCluster(t)
	c.writerPaused = true
	voter := c.hostByRole("voter")
	voter.isolated = true
	c.submitTicks(lagLimit + 100)
	if c.events["member_lagging"] != 1 || c.events["member_caught_up"] != 0 {
		t.Errorf("while the voter is isolated: %v", c.events)
	}
	voter.isolated = false
	c.advance(3 * time.Second)
	if c.events["member_lagging"] != 1 || c.events["member_caught_up"] != 1 {
		t.Errorf("after the voter is back: %v", c.events)
	}
}

// TestSlowDiskHandoverIsLogged slows down the primary's disk. The primary must hand over the
// leadership and log this once for the slow write.
func TestSlowDiskHandoverIsLogged(t *testing.T) {
	c := newCluster(t)
	first := c.hostByRole("primary")
	first.diskDelay = 3 * time.Second
	c.advance(2 * time.Second)
	if handovers := c.events["leadership_handed_over"]; handovers != 1 || c.hostByRole("primary") == first {
		t.Errorf("the handover was logged %d times, want once by a primary that is replaced", handovers)
	}
}

// TestCommitsThatWaitForBackupAreLogged slows down the backup's disk. It must be logged once per
// wait that commits wait for it.
func TestCommitsThatWaitForBackupAreLogged(t *testing.T) {
	c := newCluster(t)
	c.hostByRole("backup").diskDelay = 2 * slowDiskTimeout
	c.advance(3 * time.Second)
	if waits := c.events["commits_wait_for_backup"]; waits == 0 || waits > 8 {
		t.Errorf("waits were logged %d times, want 1 to 8", waits)
	}
}
