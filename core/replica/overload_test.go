package replica

import (
	"testing"
	"time"
)

// TestRetryAfterFollowsAdmissionRate sets how many new jobs were admitted and rejected within a
// second. A rejected job must be told to retry after the time that it takes to admit as many as
// were rejected.
func TestRetryAfterFollowsAdmissionRate(t *testing.T) {
	for _, row := range []struct {
		admitted, rejected int
		want               time.Duration
	}{
		{100, 1, minRetryAfter}, {100, 100, time.Second}, {50, 100, 2 * time.Second},
		{10, 35, 3500 * time.Millisecond}, {1, 100, maxRetryAfter}, {0, 3, 3 * time.Second},
	} {
		d := overloadDetector{countedSince: time.Second, admitted: row.admitted, rejected: row.rejected - 1}
		d.observe(time.Second, acceptableWait+1)
		retryAfter, admitted := d.admit(time.Second + overloadDelay)
		if admitted || retryAfter != row.want {
			t.Errorf("%d admitted, %d rejected: next job admitted %v, retry after %s, want %s",
				row.admitted, row.rejected, admitted, retryAfter, row.want)
		}
	}
}

// TestOneFastRequestEndsOverload checks that all requests must wait too long for overloadDelay
// before jobs are rejected, and that one request within acceptableWait ends the overload.
func TestOneFastRequestEndsOverload(t *testing.T) {
	var d overloadDetector
	for _, row := range []struct {
		at, waited time.Duration
		admitted   bool
	}{
		{1000, 0, true}, {1100, 400, true}, {1650, 400, true}, {1700, 400, false}, {2500, 101, false},
		{2600, 100, true}, {2700, 300, true}, {3299, 300, true}, {3300, 300, false},
	} {
		d.observe(row.at*time.Millisecond, row.waited*time.Millisecond)
		if _, admitted := d.admit(row.at * time.Millisecond); admitted != row.admitted {
			t.Errorf("at %d ms a new job is admitted: %v", row.at, admitted)
		}
	}
}
