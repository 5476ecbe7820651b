package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/statetest"
)

// scansAt steps a scheduler with a requested scan and reports whether the step has scanned.
func scansAt(s *Scheduler, now time.Duration, backlog int) bool {
	s.scans.requestScan(now)
	s.Step(now, machine.Input{Backlog: backlog})
	return s.scans.lastStart == now
}

func newLocalScheduler(t *testing.T) *Scheduler {
	return NewWithState(Config{Address: "s1", Zone: "a"}, &storeAccess{fixture: statetest.New(t)})
}

// TestInputsGetHalfOfTheTimeDuringLongScans keeps inputs waiting for a scheduler whose scans
// are long, as with thousands of queued tasks. For every duration of a scan, the inputs get
// about half of the time, and the scans at least a quarter.
func TestInputsGetHalfOfTheTimeDuringLongScans(t *testing.T) {
	const (
		inputTakes = ms / 10
		span       = 20 * time.Second
	)
	for _, scanTakes := range []time.Duration{5 * ms, 20 * ms, 200 * ms} {
		s := newLocalScheduler(t)
		inputs, scanning := 0, time.Duration(0)
		for now := time.Second; now < time.Second+span; inputs++ {
			took := inputTakes
			if scansAt(s, now, 1) {
				took += scanTakes
				scanning += scanTakes
			}
			now += took
		}
		if half := int(span / inputTakes / 2); inputs < half*9/10 {
			t.Errorf("scans of %s: %d inputs in %s, want at least %d", scanTakes, inputs, span, half*9/10)
		}
		if scanning < span/4 {
			t.Errorf("scans of %s: scanned for %s of %s, want at least a quarter", scanTakes, scanning, span)
		}
	}
}

// TestIdleSchedulerScansAtOnce has no waiting inputs: no scan is delayed on account of the
// previous one.
func TestIdleSchedulerScansAtOnce(t *testing.T) {
	s := newLocalScheduler(t)
	for _, now := range []time.Duration{time.Second, time.Second + 20*ms, time.Second + 30*ms} {
		if !scansAt(s, now, 0) {
			t.Errorf("the scan at %s was delayed although no input is waiting", now)
		}
	}
}

// TestScansResumeWhileInputsWait keeps an input waiting for a scheduler that becomes the leader
// long after its start, and then for one that was suspended during a scan. The first must scan
// at once, the second within maxYield.
func TestScansResumeWhileInputsWait(t *testing.T) {
	const uptime, suspended = time.Hour, 10 * time.Second
	s := newLocalScheduler(t)
	if !scansAt(s, uptime, 1) {
		t.Error("a new leader delays its first scan")
	}
	for now := uptime + suspended; !scansAt(s, now, 1); now += ms {
		if now > uptime+suspended+maxYield {
			t.Fatalf("no scan within %s after a suspension", maxYield)
		}
	}
}
