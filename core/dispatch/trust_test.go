package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// register registers a worker process with an address.
func (s fixture) register(id, address string) {
	s.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: state.Heartbeat{
		Worker: id, Incarnation: 1, Number: 1, Zone: "a", Service: "tickets", Address: address,
		Free: state.Resources{Slots: 8, Cores: 64},
	}})
	s.update()
}

// TestFlappingWorkerGetsNoQuickTask registers a worker process that replaces one which lasted
// for 700 ms. It gets other work at once, and quick work once it has been up as long or the
// task has waited for maxTrustWait.
func TestFlappingWorkerGetsNoQuickTask(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 1, "w2": 1, "w3": 1}, "w1", "w2", "w3")
	s.register("f1", "10.0.0.9")
	s.Now += 700 * time.Millisecond
	s.register("f2", "10.0.0.9")
	s.AcceptJob("q", "quick", "x")
	s.moveTo("f2", "q/x")
	if got, _ := s.pull("f2", false); got != "" {
		t.Errorf("a quick task was given at once: %s", got)
	}
	s.AcceptJob("b", "batch", "y")
	s.moveTo("f2", "b/y")
	if got, _ := s.pull("f2", false); got != "b/y@f2" {
		t.Errorf("other work: got %q", got)
	}
	s.Now += maxTrustWait + 10*time.Millisecond
	if got, _ := s.pull("f2", false); got != "" {
		t.Logf("before a command advances the time of the state: %s", got)
	}
	s.Advance(0)
	if got, _ := s.pull("f2", false); got != "q/x@f2" {
		t.Errorf("after the task has waited for maxTrustWait: got %q", got)
	}
}

// TestLastAttemptGoesToProvenWorker checks that the last attempt of a task goes only to a
// worker that has succeeded with a run begun after the failed attempt, or to any worker after
// maxTrustWait.
func TestLastAttemptGoesToProvenWorker(t *testing.T) {
	s := newFixture(t, map[string]int{}, "w0")
	s.register("w1", "10.0.0.1")
	s.register("w2", "10.0.0.2")
	spec := statetest.JobSpec("q", "quick", "x")
	spec.Tasks[0].MaxFailures = 2
	s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
	s.AcceptJob("p", "quick", "y")
	s.update()
	tracker := &s.dispatcher.trust
	ref := TaskRef{"q", 0}
	record, _ := s.Store.Job("q")
	job := &state.Job{Spec: record.Spec}
	job.Tasks = []*state.Task{{State: state.Ready, Failures: 1, ReadyAt: s.Store.Now()}}
	tracker.observeEnd(job, ref, runningAttempt{worker: "w1", startedAt: time.Second})
	if s.dispatcher.waitsForProvenWorker(s.Store, job, ref, "w2") != true {
		t.Error("given to a worker without a success")
	}
	record, _ = s.Store.Job("p")
	done := &state.Job{Spec: record.Spec}
	done.Tasks = []*state.Task{{State: state.Done, CompletedOn: "w2"}}
	tracker.observeEnd(done, TaskRef{"p", 0}, runningAttempt{worker: "w2", startedAt: time.Second})
	if !s.dispatcher.waitsForProvenWorker(s.Store, job, ref, "w2") {
		t.Error("given to a worker whose successful run began no later than the failed one")
	}
	tracker.observeEnd(done, TaskRef{"p", 0}, runningAttempt{worker: "w2", startedAt: time.Second + 1})
	if s.dispatcher.waitsForProvenWorker(s.Store, job, ref, "w2") {
		t.Error("not given to a worker whose successful run began after the failed one")
	}
	job.Tasks[0].ReadyAt = s.Store.Now() - maxTrustWait - 1
	if s.dispatcher.waitsForProvenWorker(s.Store, job, ref, "w1") {
		t.Error("still waits after maxTrustWait")
	}
}

// TestOverdueRunsMarkWorkerSlow checks that a worker counts as slow when runs of two jobs have
// taken far longer than typical, before any of them has ended, but not for runs that an outage
// hid.
func TestOverdueRunsMarkWorkerSlow(t *testing.T) {
	for _, row := range []struct {
		name   string
		jobs   []string
		outage bool
		slow   bool
	}{
		{"two jobs", []string{"q1", "q2"}, false, true},
		{"one job", []string{"q1"}, false, false},
		{"observed only since an outage", []string{"q1", "q2"}, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, map[string]int{"w1": 4, "w2": 4}, "w1", "w2")
			s.dispatcher.runTimes.observe(state.ClassKey{Service: "tickets", Class: "quick"}, 0.5, false)
			for _, job := range row.jobs {
				s.AcceptJob(job, "quick", "x")
				s.StartTask(job + "/x@w1")
			}
			s.update()
			s.Advance(2 * time.Second)
			if row.outage {
				s.dispatcher.health.unobservedUntil[""] = s.Store.Now()
			}
			s.update()
			if slow := s.dispatcher.ImpairedWorkers() == 1; slow != row.slow {
				t.Errorf("slow: %v", slow)
			}
		})
	}
}
