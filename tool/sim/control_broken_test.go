package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// rewriteBody modifies the bodies of one type in all messages that are sent.
func rewriteBody[T any](s *ControlScenario, change func(body *T)) {
	s.world.rewrite = func(_ *node, message machine.OutgoingMessage) machine.OutgoingMessage {
		if body, ok := message.Body.(T); ok {
			change(&body)
			message.Body = body
		}
		return message
	}
}

// rewriteCommands modifies the commands of one kind that gateways send.
func rewriteCommands(s *ControlScenario, kind state.CommandKind, change func(*state.Command)) {
	rewriteBody(s, func(request *wire.CommandRequest) {
		if request.Command.Kind == kind {
			change(&request.Command)
		}
	})
}

// rewriteSteps modifies every step of the jobs that gateways submit.
func rewriteSteps(s *ControlScenario, change func(*state.StepSpec)) {
	rewriteCommands(s, state.KindAcceptJob, func(command *state.Command) {
		command.Job.Steps = slices.Clone(command.Job.Steps)
		for i := range command.Job.Steps {
			change(&command.Job.Steps[i])
		}
	})
}

// rewriteResults modifies the results of commands that are sent to gateways.
func rewriteResults(s *ControlScenario, change func(*state.Result)) {
	rewriteBody(s, func(reply *wire.CommandReply) { change(&reply.Result) })
}

// rejectOneInFive replaces a success by a rejection with a probability of 1/5.
func rejectOneInFive(s *ControlScenario, rejection state.Result) {
	rewriteResults(s, func(result *state.Result) {
		if result.Code == status.OK && s.world.rng.IntN(5) == 0 {
			*result = rejection
		}
	})
}

// rewriteStarts modifies the start orders that are sent to agents, and drops those for which
// change returns false.
func rewriteStarts(s *ControlScenario, change func(*state.StartOrder) (keep bool)) {
	rewriteBody(s, func(reply *wire.HeartbeatReply) {
		var starts []state.StartOrder
		for _, start := range reply.Result.Heartbeat.Starts {
			if change(&start) {
				starts = append(starts, start)
			}
		}
		reply.Result.Heartbeat.Starts = starts
	})
}

// rewriteEnds modifies the ended attempts that agents report.
func rewriteEnds(s *ControlScenario, change func(*state.AttemptResult)) {
	rewriteBody(s, func(request *wire.HeartbeatRequest) {
		request.Heartbeat.Ended = slices.Clone(request.Heartbeat.Ended)
		for i := range request.Heartbeat.Ended {
			change(&request.Heartbeat.Ended[i])
		}
	})
}

// eachWorkerAt schedules a call of a function for every worker.
func eachWorkerAt(s *ControlScenario, at time.Duration, visit func(*simAgentWorker)) {
	s.world.At(at, func() {
		for _, machine := range s.machines {
			visit(machine.worker)
		}
	})
}

// loseWritesAndPower makes the disks of all control processes drop writes from second 10 on,
// and cuts the power of all hosts 4 s later.
func loseWritesAndPower(s *ControlScenario) {
	s.world.At(10*time.Second, func() {
		for _, n := range s.replicas {
			n.diskLosesWrites = true
		}
	})
	s.world.At(14*time.Second, s.powerOff)
}

// ignoreExpiredLeases makes all workers keep running after their leases have expired, and
// partitions half of them from their agents.
func ignoreExpiredLeases(s *ControlScenario) {
	s.world.At(8*time.Second, func() {
		s.submit(s.newJob("long", "longest", []state.StepSpec{{Count: 20}}, []int64{15000}, state.Repeat{}))
	})
	eachWorkerAt(s, 8*time.Second, func(worker *simAgentWorker) {
		worker.ignoresLeaseExpiry = true
		if machine := worker.machine; machine.number%2 == 0 {
			s.world.After(3*time.Second, func() {
				s.blockLinkFor(machine.address, machine.agent.address, false, 20*time.Second)
			})
		}
	})
}

// overstateCapacity makes workers report more free resources than they have.
func overstateCapacity(s *ControlScenario) {
	for _, machine := range s.machines {
		machine.overstated = state.Resources{Slots: 100, MemoryMB: 100}
	}
	s.world.At(10*time.Second, func() { ControlFaults["crowd"](s) })
}

// hideGangMember drops the start order of one member of each gang, and reports that member as
// running.
func hideGangMember(s *ControlScenario) {
	hidden := map[string][]state.Attempt{} // by the agent's address
	s.world.rewrite = func(n *node, message machine.OutgoingMessage) machine.OutgoingMessage {
		switch body := message.Body.(type) {
		case wire.HeartbeatReply:
			var starts []state.StartOrder
			for _, start := range body.Result.Heartbeat.Starts {
				if start.Gang != "" && strings.HasSuffix(start.Task, ".1") {
					hidden[message.To] = append(hidden[message.To], start.Attempt)
				} else {
					starts = append(starts, start)
				}
			}
			body.Result.Heartbeat.Starts = starts
			message.Body = body
		case wire.HeartbeatRequest:
			body.Heartbeat.Running = append(slices.Clone(body.Heartbeat.Running), hidden[n.address]...)
			message.Body = body
		}
		return message
	}
}

// concealLeaving makes workers shut down without announcing it.
func concealLeaving(s *ControlScenario) {
	eachWorkerAt(s, 9*time.Second, func(worker *simAgentWorker) {
		worker.concealsLeaving = true
		if worker.machine.number < 6 {
			worker.leave(6*time.Second, time.Second)
		}
	})
}

// refillInsteadOfDrain turns requests to drain a zone into requests to refill it.
func refillInsteadOfDrain(s *ControlScenario) {
	rewriteCommands(s, state.KindSetZoneDrained, func(command *state.Command) { command.Drain = false })
	s.world.At(9*time.Second, func() {
		ControlFaults["empty-site"](s)
		// There are enough tasks that some start in the zone after zoneDrainBound, whichever
		// zone was drawn.
		repeat := state.Repeat{Count: 40, FirstAt: s.world.wallTime(), Every: millis(250)}
		s.submit(s.newJob("batch", "everywhere", []state.StepSpec{{Count: 11}}, []int64{100}, repeat))
	})
}

// readInsteadOfCancel turns requests to cancel a job into requests to read it.
func readInsteadOfCancel(s *ControlScenario) {
	rewriteCommands(s, state.KindCancelJob, func(command *state.Command) { command.Kind = state.KindReadJob })
	s.world.At(8*time.Second, func() {
		repeat := state.Repeat{Count: 5, FirstAt: s.world.wallTime(), Every: millis(2000)}
		job := s.newJob("batch", "cancelled", []state.StepSpec{{Count: 1}}, []int64{100}, repeat)
		s.submit(job)
		s.world.After(time.Second, func() { s.cancel(job) })
	})
}

// readOlderConfig makes reads of the configuration return version 1.
func readOlderConfig(s *ControlScenario) {
	s.world.At(9*time.Second, s.changeConfig)
	rewriteResults(s, func(result *state.Result) {
		if result.Config != nil {
			result.Config = &config.Config{Version: 1}
		}
	})
}

// mutation is a change that breaks one part of the control composition, and the check that
// must detect it. If check is empty, no violation may be found.
type mutation struct {
	check, description string
	apply              func(s *ControlScenario)
}

// mutations run with the seed 7000 plus their index.
var mutations = []mutation{
	{"", "nothing is broken", func(*ControlScenario) {}},
	{"job-forgotten", "the disks drop writes, then the power fails", loseWritesAndPower},
	{"twice-at-once", "partitioned workers keep running after their leases have expired", ignoreExpiredLeases},
	{"again-after-good", "a success is reported as lost", func(s *ControlScenario) {
		rewriteEnds(s, func(end *state.AttemptResult) {
			if strings.HasPrefix(end.Job, "batch-1") && end.Number == 1 {
				end.Succeeded, end.Lost = false, true
			}
		})
	}},
	{"before-dependency", "steps do not wait for their dependencies", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.DependsOn = nil })
	}},
	{"before-due", "a repeated job starts too early", func(s *ControlScenario) {
		rewriteCommands(s, state.KindAcceptJob, func(command *state.Command) {
			if repeat := &command.Job.Repeat; repeat.Count > 0 {
				repeat.FirstAt = repeat.FirstAt.Add(-2 * time.Second)
			}
		})
	}},
	{"wrong-worker", "required labels are dropped", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.Labels = nil })
	}},
	{"over-room", "workers report more free resources than they have", overstateCapacity},
	{"crowded-worker", "the limit of tasks per worker is dropped", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.MaxPerWorker = 0 })
	}},
	{"defects-spent", "failures are reported as lost", func(s *ControlScenario) {
		eachWorkerAt(s, 3*time.Second, func(worker *simAgentWorker) { worker.failing = true })
		rewriteEnds(s, func(end *state.AttemptResult) { end.Lost = end.Lost || !end.Succeeded && !end.Stopped })
	}},
	{"gang-alone", "one member of each gang is reported as running but not started", hideGangMember},
	{"start-while-draining", "workers do not announce that they shut down", concealLeaving},
	{"start-in-emptied-site", "a request to drain a zone becomes a request to refill it", refillInsteadOfDrain},
	{"start-after-cancel", "a request to cancel becomes a read", readInsteadOfCancel},
	{"finished-with-open-task", "running jobs show as done", func(s *ControlScenario) {
		rewriteResults(s, func(result *state.Result) {
			if result.Job.State == state.Running {
				result.Job.State = state.Done
			}
		})
	}},
	{"plan-went-back", "an older configuration is read", readOlderConfig},
	{"not-linearizable", "an older configuration is read", readOlderConfig},
	{"not-linearizable", "some status replies say that a running job is unknown", func(s *ControlScenario) {
		reads := 0
		rewriteResults(s, func(result *state.Result) {
			if result.Job.State == state.Running {
				if reads++; reads%5 == 0 {
					*result = state.Result{Code: status.UnknownJob}
				}
			}
		})
	}},
	{"not-linearizable", "a configuration change on a stale base version is forced", func(s *ControlScenario) {
		s.world.At(9*time.Second, s.changeConfig)
		rewriteCommands(s, state.KindChangeConfig, func(command *state.Command) { command.ConfigChange.Forced = true })
		s.world.At(10*time.Second, func() {
			command := s.operatorCommand(state.KindChangeConfig)
			command.ConfigChange = state.ConfigChange{BaseVersion: 1, Body: controlConfig(firstLongPriority, nil)}
			s.sendOperatorCommand(command, func(time.Duration, state.Result) {})
		})
	}},
	{"quick-behind-batch", "start orders of the quick class are lost for the first 20 s", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool {
			return start.Class != "lookup" || s.world.Now > 20*time.Second
		})
	}},
	{"long-unfinished", "the start orders of one job are lost", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool { return start.Job != "long-1" })
	}},
	{"not-served-again", "the start orders of all probes are lost", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool { return !strings.HasPrefix(start.Job, "probe") })
	}},
	{"bounce-without-time", "rejections because of a full queue have no retry delay", func(s *ControlScenario) {
		rejectOneInFive(s, state.Result{Code: status.QueueFull})
	}},
	{"refused-and-run", "accepted jobs are reported as rejected", func(s *ControlScenario) {
		rejectOneInFive(s, state.Result{Code: status.QueueFull, RetryAfter: time.Second})
	}},
	{"saved-of-another", "start orders carry the checkpoint of another task", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool {
			start.Checkpoint = "other/0.0.0:40"
			return true
		})
	}},
}

// TestBrokenControlsAreDetected applies each mutation to a scenario without faults, and checks
// that the check named with it detects it, and that every check has a mutation.
func TestBrokenControlsAreDetected(t *testing.T) {
	var runs []Options
	for i, row := range mutations {
		options := controlOptions(t, 7000+uint64(i), "none")
		options.Duration, options.SettleTime, options.PrepareControl = 14*time.Second, 25*time.Second, row.apply
		runs = append(runs, options)
	}
	covered := map[string]bool{}
	for i, r := range playParallel(runs, PlayControl) {
		row := mutations[i]
		covered[row.check] = true
		found := slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Check == row.check })
		if row.check == "" && len(r.Violations) > 0 {
			t.Errorf("%s: unexpected violations %v", row.description, r.Violations)
		}
		if row.check != "" && !found {
			t.Errorf("%s: %s does not detect it; violations: %v", row.description, row.check, r.Violations)
		}
	}
	for _, check := range ControlChecks {
		if !covered[check] {
			t.Errorf("no mutation covers %s", check)
		}
	}
}
