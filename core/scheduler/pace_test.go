package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/follow"
)

const ms = time.Millisecond

// primary is an authority that says it is the primary's own ledger.
type primary struct{ *follow.Copy }

func (primary) Own() bool { return true }

func newPrimary() *Scheduler { return NewWith(Env{Site: "a"}, primary{follow.New("here:1", "a", 1)}) }

func TestPaceFollowsTheDelayOfCommands(t *testing.T) {
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
			s := newPrimary()
			now := time.Second
			s.sent(now, 1)
			now += row.took
			s.ended(now, 1)
			if row.open > 0 {
				s.sent(now, 2)
				s.sent(now+row.open/2, 3)
				now += row.open
			}
			if got := s.pace(now); got != row.want {
				t.Errorf("got %s, want %s", got, row.want)
			}
		})
	}
}

// TestAdmissionGivesEachAPlace asks 100 times in one tick, and again when told to.
func TestAdmissionGivesEachAPlace(t *testing.T) {
	var a admission
	now := time.Second
	later := map[time.Duration]int{}
	for i := range 100 {
		after, taken := a.admit(now)
		if taken != (i < admitMost) || !taken && after <= 0 {
			t.Errorf("number %d: %s, %v", i, after, taken)
		}
		if !taken {
			later[now+after]++
		}
	}
	if len(later) != 3 {
		t.Errorf("they are to come at %v", later)
	}
	for tick := now + admitEach; tick < now+4*admitEach; tick += admitEach {
		if later[tick] > admitMost {
			t.Errorf("%d are to come at %s", later[tick], tick)
		}
		for range later[tick] {
			if _, taken := a.admit(tick); !taken {
				t.Errorf("one that was asked to come at %s is put off again", tick)
			}
		}
	}
}

func TestRenewalsComeWellWithinTheLease(t *testing.T) {
	for _, row := range []struct{ lease, silent, want time.Duration }{
		{6 * time.Second, 30 * time.Second, time.Second},
		{6 * time.Second, 1500 * ms, 250 * ms},
		{3 * time.Second, 30 * time.Second, 500 * ms},
		{2 * time.Second, 1500 * ms, 250 * ms},
		{100 * ms, 1500 * ms, 50 * ms},
	} {
		if got := renewEach(row.lease, row.silent); got != row.want {
			t.Errorf("lease %s, silent %s: %s, not %s", row.lease, row.silent, got, row.want)
		}
	}
}
