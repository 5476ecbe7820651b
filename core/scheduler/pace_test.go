package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/feed"
)

const ms = time.Millisecond

// primary is an authority that says it is the primary's own ledger.
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
		{"never over the most", 900 * ms, 900 * ms, 200 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newPrimaryScheduler()
			now := time.Second
			s.commandSent(now, 1)
			now += row.took
			s.commandEnded(now, 1)
			if row.open > 0 {
				s.commandSent(now, 2)
				s.commandSent(now+row.open/2, 3)
				now += row.open
			}
			if got := s.reportInterval(now); got != row.want {
				t.Errorf("got %s, want %s", got, row.want)
			}
		})
	}
}

// TestAdmissionGivesEachAPlace asks 100 times in one tick, and again when told to.
func TestAdmissionGivesEachHeartbeatATick(t *testing.T) {
	var a admission
	now := time.Second
	later := map[time.Duration]int{}
	for i := range 100 {
		after, taken := a.admit(now)
		if taken != (i < admissionsPerTick) || !taken && after <= 0 {
			t.Errorf("number %d: %s, %v", i, after, taken)
		}
		if !taken {
			later[now+after]++
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
			if _, taken := a.admit(tick); !taken {
				t.Errorf("one that was asked to come at %s is put off again", tick)
			}
		}
	}
}

func TestRenewalIntervalIsWellWithinTheLease(t *testing.T) {
	for _, row := range []struct{ lease, silent, want time.Duration }{
		{6 * time.Second, 30 * time.Second, time.Second},
		{6 * time.Second, 1500 * ms, 250 * ms},
		{3 * time.Second, 30 * time.Second, 500 * ms},
		{2 * time.Second, 1500 * ms, 250 * ms},
		{100 * ms, 1500 * ms, 50 * ms},
	} {
		if got := renewalInterval(row.lease, row.silent); got != row.want {
			t.Errorf("lease %s, silent %s: %s, not %s", row.lease, row.silent, got, row.want)
		}
	}
}
