package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/feed"
)

const ms = time.Millisecond

// localFeed is a read replica that pretends to be the primary's own state.
type localFeed struct{ *feed.ReadReplica }

func (localFeed) IsLocal() bool { return true }

func newPrimaryScheduler() *Scheduler {
	return NewWithState(Config{Zone: "a"}, localFeed{feed.NewReadReplica("here:1", "a", 1)})
}

func TestReportIntervalFollowsCommandLatency(t *testing.T) {
	for _, row := range []struct {
		name string
		took time.Duration // latency of the last completed command
		open time.Duration // age of a pending command; 0 is none
		want time.Duration
	}{
		{"no latency", 0, 0, 0},
		{"usual latency of disks", 10 * ms, 10 * ms, 0},
		{"last command slow", 70 * ms, 0, 70 * ms},
		{"pending command slow", 10 * ms, 90 * ms, 90 * ms},
		{"limited to the maximum", 900 * ms, 900 * ms, 200 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newPrimaryScheduler()
			now := time.Second
			s.latency.recordSent(now, 1)
			now += row.took
			s.latency.recordResult(now, 1)
			if row.open > 0 {
				s.latency.recordSent(now, 2)
				s.latency.recordSent(now+row.open/2, 3)
				now += row.open
			}
			if got := s.reportInterval(now); got != row.want {
				t.Errorf("got %s, want %s", got, row.want)
			}
		})
	}
}

// TestDeferredHeartbeatsAreAdmittedWhenTheyReturn sends 100 heartbeats in one tick. The deferred
// ones are spread over later ticks, and each is admitted when it returns at the requested time.
func TestDeferredHeartbeatsAreAdmittedWhenTheyReturn(t *testing.T) {
	var a admission
	now := time.Second
	later := map[time.Duration]int{}
	for i := range 100 {
		retryAfter, admitted := a.admit(now)
		if admitted != (i < admissionsPerTick) || !admitted && retryAfter <= 0 {
			t.Errorf("heartbeat %d: retry after %s, admitted %v", i, retryAfter, admitted)
		}
		if !admitted {
			later[now+retryAfter]++
		}
	}
	if len(later) != 3 {
		t.Errorf("deferred heartbeats by time of return: %v, want 3 ticks", later)
	}
	for tick := now + admissionTick; tick < now+4*admissionTick; tick += admissionTick {
		if later[tick] > admissionsPerTick {
			t.Errorf("%d heartbeats are deferred to the tick at %s", later[tick], tick)
		}
		for range later[tick] {
			if _, admitted := a.admit(tick); !admitted {
				t.Errorf("a heartbeat that was deferred to the tick at %s is deferred again", tick)
			}
		}
	}
}
