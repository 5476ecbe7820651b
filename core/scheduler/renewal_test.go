package scheduler

import (
	"testing"
	"time"
)

func TestRenewalIntervalIsWellWithinTheLease(t *testing.T) {
	for _, row := range []struct{ lease, heartbeatTimeout, want time.Duration }{
		{6 * time.Second, 30 * time.Second, time.Second},
		{6 * time.Second, 1500 * ms, 250 * ms},
		{3 * time.Second, 30 * time.Second, 500 * ms},
		{2 * time.Second, 1500 * ms, 250 * ms},
		{100 * ms, 1500 * ms, 50 * ms},
	} {
		if got := renewalInterval(row.lease, row.heartbeatTimeout); got != row.want {
			t.Errorf("lease %s, heartbeat timeout %s: got %s, want %s", row.lease, row.heartbeatTimeout, got, row.want)
		}
	}
}
