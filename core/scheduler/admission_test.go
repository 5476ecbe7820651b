package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/feed"
)

const ms = time.Millisecond

// localFeed is a read replica that claims to be the primary's own state.
type localFeed struct{ *feed.ReadReplica }

func (localFeed) IsLocal() bool { return true }

func newPrimaryScheduler() *Scheduler {
	return NewWith(Config{Zone: "a"}, localFeed{feed.NewReadReplica("here:1", "a", 1)})
}

func TestReportIntervalFollowsCommandLatency(t *testing.T) {
	for _, row := range []struct {
		name string
		took time.Duration // by the last command
		open time.Duration // by one that is under way
		want time.Duration
	}{
		{"at once", 0, 0, 0},
		{"as disks usually take", 10 * ms, 10 * ms, 0},
		{"the last was late", 70 * ms, 0, 70 * ms},
		{"one is under way for long", 10 * ms, 90 * ms, 90 * ms},
		{"never over the maximum", 900 * ms, 900 * ms, 200 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newPrimaryScheduler()
			now := time.Second
			s.latency.sent(now, 1)
			now += row.took
			s.latency.ended(now, 1)
			if row.open > 0 {
				s.latency.sent(now, 2)
				s.latency.sent(now+row.open/2, 3)
				now += row.open
			}
			if got := s.reportInterval(now); got != row.want {
				t.Errorf("got %s, want %s", got, row.want)
			}
		})
	}
}

// TestAdmissionGivesEachHeartbeatATick has 100 heartbeats come in one tick, and again when they
// are asked to.
func TestAdmissionGivesEachHeartbeatATick(t *testing.T) {
	var a admission
	now := time.Second
	later := map[time.Duration]int{}
	for i := range 100 {
		retryAfter, admitted := a.admit(now)
		if admitted != (i < admissionsPerTick) || !admitted && retryAfter <= 0 {
			t.Errorf("number %d: %s, %v", i, retryAfter, admitted)
		}
		if !admitted {
			later[now+retryAfter]++
		}
	}
	if len(later) != 3 {
		t.Errorf("they are to come at %v", later)
	}
	for tick := now + admissionTick; tick < now+4*admissionTick; tick += admissionTick {
		if later[tick] > admissionsPerTick {
			t.Errorf("%d are to come at %s", later[tick], tick)
		}
		for range later[tick] {
			if _, admitted := a.admit(tick); !admitted {
				t.Errorf("one that was asked to come at %s is deferred again", tick)
			}
		}
	}
}
