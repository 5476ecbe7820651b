package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/statetest"
)

// scansAt steps a scheduler whose dispatcher has something to do, and reports whether it has
// scanned.
func scansAt(s *Scheduler, now time.Duration, backlog int) bool {
	s.scans.requestSoon(now)
	s.Step(now, machine.Input{Backlog: backlog})
	return s.scans.last == now
}

func newLocalScheduler(t *testing.T) *Scheduler {
	return NewWith(Config{Address: "s1", Zone: "a"}, &storeAccess{fixture: statetest.New(t)})
}

// TestEveryInputPaysForAScan has inputs wait for a scheduler whose scans are long, as with
// thousands of queued tasks. Whatever a scan takes, the inputs get half of the time; and the
// scans get theirs.
func TestEveryInputPaysForAScan(t *testing.T) {
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
			t.Errorf("scans of %s: %d inputs in %s, want %d at least", scanTakes, inputs, span, half*9/10)
		}
		if scanning < span/4 {
			t.Errorf("scans of %s: %s of %s, want a quarter at least", scanTakes, scanning, span)
		}
	}
}

// TestIdleSchedulerScansAtOnce has no input wait: no scan is put off for the last one.
func TestIdleSchedulerScansAtOnce(t *testing.T) {
	s := newLocalScheduler(t)
	for _, now := range []time.Duration{time.Second, time.Second + 20*ms, time.Second + 30*ms} {
		if !scansAt(s, now, 0) {
			t.Errorf("at %s a scan was put off though nothing waits", now)
		}
	}
}

// TestScansResumeWhileInputsWait has inputs wait all the time for a scheduler that has just
// begun to lead, after a long time without, and then for one that was suspended in a scan.
func TestScansResumeWhileInputsWait(t *testing.T) {
	const uptime, suspended = time.Hour, 10 * time.Second
	s := newLocalScheduler(t)
	if !scansAt(s, uptime, 1) {
		t.Error("a new leader puts its first scan off")
	}
	for now := uptime + suspended; !scansAt(s, now, 1); now += ms {
		if now > uptime+suspended+maxYield {
			t.Fatalf("no scan within %s of a suspension", maxYield)
		}
	}
}

// TestIdleWorkersAreAskedInEveryScan has scans take longer than idle workers are left alone at
// least: they are left alone for longer then, up to a bound, and for no longer where no input
// shows how long a scan took.
func TestIdleWorkersAreAskedInEveryScan(t *testing.T) {
	for _, row := range []struct {
		name      string
		scanTakes time.Duration
		backlog   int
		idled     time.Duration
	}{
		{"short scans", 2 * ms, 1, fullScanInterval},
		{"long scans", 60 * ms, 1, idleFactor * 60 * ms},
		{"very long scans", 600 * ms, 1, maxIdle},
		{"nothing waits", 40 * ms, 0, fullScanInterval},
	} {
		s := newLocalScheduler(t)
		scansAt(s, time.Second, row.backlog)
		now := time.Second + row.scanTakes
		s.Step(now, machine.Input{Backlog: 1})
		s.markIdle(now, []string{"w1"})
		if until := now + row.idled; !s.isIdle(until-1, "w1") || s.isIdle(until, "w1") {
			t.Errorf("%s: left alone for %s, want %s", row.name, s.idle["w1"].until-now, row.idled)
		}
	}
}
