// This file contains the commands from which the fixtures are generated.

package compatibility

import (
	"encoding/json"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
)

// fullConfig sets every field of the configuration.
const fullConfig = `{"services":{
 "tickets":{"largestWorker":{"slots":8,"cores":64,"memoryMB":4096,"accelerators":8},"labels":["ssd","gpu"],
  "anyLabel":true,"classes":{
  "quick":{"priority":100,"share":50,"quick":true,"runLimit":"5s","silence":"restart","inboxMax":900,
   "allowedDefects":4,"aim":"2s","stretch":1.5},
  "batch":{"priority":10,"share":50,"silence":"hold"},
  "keyed":{"priority":10,"share":0,"requiresKey":true}}}},
 "tenants":{"one":{"keys":["6b86b273ff34fce19d6b804eff5a3f5747ada4eaa22f1d49c01e52ddb7875b4b"],
  "limit":{"slots":9,"cores":90,"memoryMB":900,"accelerators":9}}},
 "entries":[{"name":"front","host":"tickets.example","prefix":"/quick","service":"tickets","class":"quick"}],
 "sites":["a","b"],"document":{"text":"as written"},
 "policies":{"order":"priority","borrow":"idle >= asked"},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"3s","keep":"5s","remember":"8s",
  "rememberMax":100,"maxLosses":2,"runLimit":"1m","maxTasks":500}}`

// tenantKey is the digest of the API key of the tenant in fullConfig.
const tenantKey = "6b86b273ff34fce19d6b804eff5a3f5747ada4eaa22f1d49c01e52ddb7875b4b"

// script sends a cluster commands of every kind.
type script struct {
	*cluster
	heartbeats map[string]state.Heartbeat
}

// forgetJob cancels a job, and advances the clock until its past-job record has expired too.
func (s *script) forgetJob() {
	s.mustSucceed(state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: "first", Digest: "of the call", RequestedAt: state.RequestTimeUnknown,
		ConfigChange: state.ConfigChange{Version: 7, Body: json.RawMessage(fullConfig)},
	})
	s.accept(state.JobSpec{ID: "forgotten", Service: "tickets", Class: "batch", Tasks: []state.TaskSpec{{ID: "t"}}})
	s.mustSucceed(state.Command{Kind: state.KindCancelJob, Name: "forgotten"})
	for range 3 {
		s.advance(6 * time.Second)
		s.mustSucceed(state.Command{Kind: state.KindTick})
	}
	s.changeLimits(`{"remember":"1h"}`)
}

// changeLimits changes some limits of the configuration.
func (s *script) changeLimits(change string) {
	s.mustSucceed(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{
		Forced: true, Patch: true, Body: json.RawMessage(`{"limits":` + change + `}`),
	}})
}

// round sends all kinds of commands, for jobs, workers and leaderships whose names begin with
// prefix.
func (s *script) round(prefix string) {
	s.createPastJobs(prefix)
	s.changeLeaderships(prefix)
	s.registerWorkers(prefix)
	s.acceptJobs(prefix)
	s.runTasks(prefix)
	s.operatorCommands(prefix)
	s.loseWorkers(prefix)
}

// createPastJobs cancels jobs, and advances the clock until only their past-job records are
// left.
func (s *script) createPastJobs(p string) {
	s.accept(state.JobSpec{ID: p + "past", Service: "tickets", Class: "batch", Tasks: []state.TaskSpec{{ID: "t"}}})
	s.mustSucceed(state.Command{
		Kind: state.KindCancelJob, Name: p + "past", Host: "tickets.example", Path: "/quick/1", Summary: true,
	})
	s.acceptTenantJob(p + "past-keyed")
	s.mustSucceed(state.Command{Kind: state.KindCancelJob, Name: p + "past-keyed", KeyDigest: tenantKey})
	s.advance(6 * time.Second)
	s.mustSucceed(state.Command{Kind: state.KindTick})
}

func (s *script) schedulerHeartbeat(h state.SchedulerHeartbeat) {
	s.mustSucceed(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: h})
}

// changeLeaderships creates three leaderships: one is won, moved and transferred, one has an
// open vote, and one is taken by the primary's own dispatcher.
func (s *script) changeLeaderships(p string) {
	zoneLeadership, own := "dispatch/"+p, "own/"+p
	s.schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: "s1", Zone: "a", Leadership: zoneLeadership, Candidate: "s1"})
	for _, name := range []string{"s2", "s3", "s4"} {
		s.schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: name, Zone: "b"})
	}
	s.schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: "s4", Zone: "b", Leaving: true})
	s.mustSucceed(state.Command{Kind: state.KindTransferLeadership, Name: zoneLeadership, IdempotencyKey: p + "move",
		SchedulerHeartbeat: state.SchedulerHeartbeat{Candidate: "s2"},
	})
	s.schedulerHeartbeat(state.SchedulerHeartbeat{
		Scheduler: "s2", Zone: "b", Leadership: zoneLeadership, Candidate: "s1", Epoch: 2, Transfer: true,
	})
	s.schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: "s3", Zone: "b", Leadership: "open/" + p, Candidate: "s1"})
	s.mustSucceed(state.Command{Kind: state.KindTakeLeadership, Name: own,
		SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "k1", Zone: "a"},
	})
}

func (s *script) registerWorkers(p string) {
	s.heartbeats = map[string]state.Heartbeat{}
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		s.heartbeat(p+name, func(b *state.Heartbeat) {
			b.Incarnation, b.Zone, b.Rack, b.Service, b.Labels = 5, "a", "r1", "tickets", []string{"ssd"}
			b.Free = state.Resources{Slots: 8, Cores: 64, MemoryMB: 4096, Accelerators: 8}
			b.Total, b.Address = b.Free, "10.0.0.1:"+p+name
		})
	}
	s.heartbeat(p+"w4", func(b *state.Heartbeat) { b.Leaving, b.LeavesIn = true, time.Minute })
}

// heartbeat sends the next heartbeat of a worker.
func (s *script) heartbeat(id string, change func(*state.Heartbeat)) {
	b := s.heartbeats[id]
	b.Worker, b.Number = id, b.Number+1
	change(&b)
	s.mustSucceed(state.Command{Kind: state.KindHeartbeat, Heartbeat: b})
	b.Ended, b.Progress, b.NotRunning, b.Delta = nil, nil, nil, false
	s.heartbeats[id] = b
}

func (s *script) accept(spec state.JobSpec) {
	s.mustSucceed(state.Command{Kind: state.KindAcceptJob, Job: spec})
}

// acceptTenantJob submits a job of the tenant in fullConfig.
func (s *script) acceptTenantJob(id string) {
	s.mustSucceed(state.Command{Kind: state.KindAcceptJob, KeyDigest: tenantKey, Job: state.JobSpec{
		ID: id, Service: "tickets", Class: "keyed", Tasks: []state.TaskSpec{{
			ID: "t", Resources: state.Resources{Slots: 1, Cores: 2, MemoryMB: 3, Accelerators: 1},
		}},
	}})
}

func (s *script) acceptJobs(p string) {
	s.acceptTenantJob(p + "keyed")
	s.acceptTenantJob(p + "stray")
	s.mustSucceed(state.Command{Kind: state.KindCancelJob, Name: p + "stray", KeyDigest: tenantKey})
	placing := state.Placement{
		ExpectedRunTime: config.Duration{Duration: time.Second},
		PreferredRack:   "r1", SameRack: true, MaxPerWorker: 3, Checkpointed: true,
		AllowsDuplicates: true,
	}
	room := state.Resources{Slots: 1, Cores: 2, MemoryMB: 3, Accelerators: 1}
	all := state.TaskSpec{
		ID: "whole", DependsOn: []string{"first"}, Resources: room, Labels: []string{"ssd"}, Gang: "g",
		RunLimit: config.Duration{Duration: 9 * time.Second}, MaxFailures: 5, LostWorkerPolicy: "hold",
		Payload: json.RawMessage(`{"task":1}`), Placement: placing,
	}
	lasting := state.TaskSpec{ID: "lasting", Resources: room, Placement: state.Placement{LongRunning: true}}
	s.accept(state.JobSpec{
		ID: p + "tasks", Service: "tickets", Class: "batch", Deadline: config.Duration{Duration: time.Hour},
		Payload: json.RawMessage(`{"job":[1,"two"]}`),
		Tasks:   []state.TaskSpec{{ID: "first", Resources: room}, all, lasting},
	})
	s.accept(state.JobSpec{
		ID: p + "steps", Host: "tickets.example", Path: "/quick/2",
		Steps: []state.StepSpec{
			{Count: 2, Resources: room, Labels: []string{"ssd"}, Gang: true, MaxFailures: 2, Placement: placing},
			{Count: 1, DependsOn: []int{0}, Resources: room, Placement: state.Placement{LongRunning: true}},
		},
		Repeat: state.Repeat{
			Count: 2, FirstAt: startTime.Add(time.Second), Every: config.Duration{Duration: time.Hour},
		},
	})
	var many []state.TaskSpec
	for _, id := range []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"} {
		many = append(many, state.TaskSpec{ID: id, Resources: room, Placement: state.Placement{Checkpointed: true}})
	}
	s.accept(state.JobSpec{ID: p + "many", Service: "tickets", Class: "batch", Tasks: many})
	s.accept(state.JobSpec{
		ID: p + "cancelled", Service: "tickets", Class: "batch", Tasks: []state.TaskSpec{{ID: "t"}, {ID: "u"}},
	})
	s.accept(state.JobSpec{
		ID: p + "large", Service: "tickets", Class: "batch", Tasks: []state.TaskSpec{
			{ID: "a", Resources: state.Resources{Slots: 8}}, {ID: "b", Resources: state.Resources{Slots: 8}},
			{ID: "c", Resources: state.Resources{Slots: 8}},
		},
	})
	s.mustSucceed(state.Command{Kind: state.KindTick})
}

// grant grants a worker the lease on a task, or on several tasks of one gang.
func (s *script) grant(p, job, worker string, tasks ...string) {
	s.mustSucceed(state.Command{Kind: state.KindGrantLeases, Grant: s.grantOf(p, job, worker, tasks...)})
}

func (s *script) grantOf(p, job, worker string, tasks ...string) state.Grant {
	g := state.Grant{Leadership: "dispatch/" + p, Epoch: 3}
	for _, task := range tasks {
		heartbeatNumber := s.heartbeats[p+worker].Number
		g.Assignments = append(g.Assignments, state.Assignment{
			Job: p + job, Task: task, Worker: p + worker, HeartbeatNumber: heartbeatNumber,
		})
	}
	return g
}

// runTasks runs tasks that end in every possible way, save checkpoints and are asked to stop.
func (s *script) runTasks(p string) {
	w1 := p + "w1"
	attempt := func(task string) state.Attempt { return state.Attempt{Job: p + "many", Task: task, Number: 1} }
	var running []state.Attempt
	for _, task := range []string{"t0", "t1", "t2", "t3", "t4"} {
		s.grant(p, "many", "w1", task)
		running = append(running, attempt(task))
	}
	s.heartbeat(w1, func(b *state.Heartbeat) { b.Running, b.Free.Slots = running, 3 })
	s.heartbeat(w1, func(b *state.Heartbeat) {
		b.Progress = []state.Progress{{Attempt: attempt("t4"), Checkpoint: "part 1", Percent: 40}}
		b.Ended = []state.AttemptResult{
			{Attempt: attempt("t0"), Succeeded: true},
			{Attempt: attempt("t1"), Reason: "exit 1", Checkpoint: "part 2", Percent: 60},
			{Attempt: attempt("t2"), Lost: true}, {Attempt: attempt("t3"), Stopped: true},
		}
		b.Running, b.Free.Slots = running[4:], 7
	})
	s.grant(p, "many", "w1", "t5")
	s.heartbeat(w1, func(b *state.Heartbeat) { b.Running = append(b.Running, attempt("t5")) })
	s.heartbeat(w1, func(b *state.Heartbeat) {
		b.Delta, b.Running, b.NotRunning = true, nil, []state.Attempt{attempt("t5")}
		b.Zone, b.Rack, b.Service, b.Labels, b.Address = "", "", "", nil, ""
	})
	s.mustSucceed(state.Command{Kind: state.KindRenewWorkers, Renewals: []state.Renewal{
		{Worker: w1, Incarnation: 5, Number: 9, Age: 20 * time.Millisecond},
		{Worker: p + "w2", Incarnation: 5, Number: 2, Age: 30 * time.Millisecond},
	}})
	s.grant(p, "steps", "w5", "0.0.0", "0.0.1")
	s.heartbeat(p+"w5", func(b *state.Heartbeat) {
		for _, task := range []string{"0.0.0", "0.0.1"} {
			b.Running = append(b.Running, state.Attempt{Job: p + "steps", Task: task, Number: 1})
		}
		b.Free.Slots = 6
	})
	s.preempt(p)
}

// preempt lets one class borrow slots, and preempts one of its leases in favor of another
// class.
func (s *script) preempt(p string) {
	s.grant(p, "large", "w2", "a")
	s.grant(p, "large", "w3", "b")
	s.grant(p, "large", "w6", "c")
	g := s.grantOf(p, "large", "w6", "c")
	g.PreemptFor = state.Assignment{Job: p + "steps", Task: "0.1.0", Worker: p + "w6", HeartbeatNumber: 1}
	s.mustSucceed(state.Command{Kind: state.KindPreempt, Grant: g})
	s.heartbeat(p+"w2", func(b *state.Heartbeat) {
		b.Free.Slots = 0
		b.Running = []state.Attempt{{Job: p + "large", Task: "a", Number: 1}}
	})
	s.heartbeat(p+"w3", func(b *state.Heartbeat) {
		b.Running = []state.Attempt{
			{Job: p + "many", Task: "t4", Number: 1}, {Job: p + "stray", Task: "t", Number: 1},
		}
	})
}

// operatorCommands sends each kind of operator command, with and without an idempotency key.
func (s *script) operatorCommands(p string) {
	s.grant(p, "cancelled", "w1", "t")
	s.mustSucceed(state.Command{Kind: state.KindCancelJob, Name: p + "cancelled"})
	s.mustSucceed(state.Command{Kind: state.KindDrainWorker, Name: p + "w3", Drain: true, IdempotencyKey: p + "drain"})
	now := s.primary().replica.StateTime(s.time())
	s.mustSucceed(state.Command{
		Kind: state.KindSetZoneDrained, Name: "b", Drain: true, IdempotencyKey: p + "site",
		RequestedAt: now, MaxAge: time.Minute, ConfirmedIndex: 1 << 20,
	})
	s.mustReject(state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: p + "bad", RequestedAt: now, ConfigChange: state.ConfigChange{
			Forced: true, Patch: true, Body: json.RawMessage(`{"limits":{"lease":"1s"}}`),
		},
	})
	base := s.primary().replica.Store().Config().Version
	s.mustSucceed(state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: p + "good", RequestedAt: now, ConfigChange: state.ConfigChange{
			BaseVersion: base, Patch: true, Body: json.RawMessage(`{"limits":{"endsAtCutoff":true}}`),
		},
	})
}

// loseWorkers creates the states that take time: a worker that has become silent, and one
// whose process was replaced while the lease on its attempt is kept.
func (s *script) loseWorkers(p string) {
	s.heartbeat(p+"w2", func(b *state.Heartbeat) { b.Incarnation, b.Number, b.Running = 6, 1, nil })
	s.advance(3500 * time.Millisecond)
	s.mustSucceed(state.Command{Kind: state.KindConfirmWorkerDead, Name: p + "w4", IdempotencyKey: p + "gone"})
	for _, name := range []string{"s1", "s2", "s3"} {
		s.schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: name, Zone: "a"})
	}
	s.accept(state.JobSpec{ID: p + "ended", Service: "tickets", Class: "batch", Tasks: []state.TaskSpec{{ID: "t"}}})
	s.mustSucceed(state.Command{Kind: state.KindCancelJob, Name: p + "ended"})
	s.mustSucceed(state.Command{Kind: state.KindTick})
}

// suppressTimers changes the limits so that no timer expires for a while. A primary that is
// isolated then logs nothing that the others lack.
func (s *script) suppressTimers() { s.changeLimits(`{"keep":"1h","margin":"1h"}`) }
