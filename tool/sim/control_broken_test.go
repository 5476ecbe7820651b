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

// rewriteBody changes the messages with a body of one type.
func rewriteBody[T any](s *ControlScenario, change func(body *T)) {
	s.world.rewrite = func(_ *node, message machine.OutgoingMessage) machine.OutgoingMessage {
		if body, ok := message.Body.(T); ok {
			change(&body)
			message.Body = body
		}
		return message
	}
}

// rewriteCommands changes the commands of a kind on their way from a gateway.
func rewriteCommands(s *ControlScenario, kind state.CommandKind, change func(*state.Command)) {
	rewriteBody(s, func(request *wire.CommandRequest) {
		if request.Command.Kind == kind {
			change(&request.Command)
		}
	})
}

// rewriteSteps changes every step of every job on its way from a gateway.
func rewriteSteps(s *ControlScenario, change func(*state.StepSpec)) {
	rewriteCommands(s, state.KindAcceptJob, func(command *state.Command) {
		command.Job.Steps = slices.Clone(command.Job.Steps)
		for i := range command.Job.Steps {
			change(&command.Job.Steps[i])
		}
	})
}

// rewriteResults changes the results of commands on their way to a gateway.
func rewriteResults(s *ControlScenario, change func(*state.Result)) {
	rewriteBody(s, func(reply *wire.CommandReply) { change(&reply.Result) })
}

// rejectOneInFive has results that are a success be rejections, one in five.
func rejectOneInFive(s *ControlScenario, rejection state.Result) {
	rewriteResults(s, func(result *state.Result) {
		if result.Code == status.OK && s.world.rng.IntN(5) == 0 {
			*result = rejection
		}
	})
}

// rewriteStarts changes the start orders on their way to an agent, and keeps some of them.
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

// rewriteEnds changes the ends that an agent reports.
func rewriteEnds(s *ControlScenario, change func(*state.AttemptResult)) {
	rewriteBody(s, func(request *wire.HeartbeatRequest) {
		request.Heartbeat.Ended = slices.Clone(request.Heartbeat.Ended)
		for i := range request.Heartbeat.Ended {
			change(&request.Heartbeat.Ended[i])
		}
	})
}

// eachWorkerAt calls a function for every worker at a time.
func eachWorkerAt(s *ControlScenario, at time.Duration, do func(*simAgentWorker)) {
	s.world.At(at, func() {
		for _, machine := range s.machines {
			do(machine.worker)
		}
	})
}

// loseWritesAndPower has all disks begin to drop writes, and takes the power.
func loseWritesAndPower(s *ControlScenario) {
	s.world.At(10*time.Second, func() {
		for _, n := range s.replicas {
			n.diskLosesWrites = true
		}
	})
	s.world.At(14*time.Second, s.powerOff)
}

// runOnBehindPartition has workers go on when their lease has expired, and partitions half
// of them.
func runOnBehindPartition(s *ControlScenario) {
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

// overstateCapacity has workers report more than they have.
func overstateCapacity(s *ControlScenario) {
	for _, machine := range s.machines {
		machine.overstated = state.Resources{Slots: 100, MemoryMB: 100}
	}
	s.world.At(10*time.Second, func() { ControlFaults["crowd"](s) })
}

// hideGangMember keeps the start order of one member of each gang from its worker, and
// reports it as running.
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

// concealLeaving has workers leave without saying so.
func concealLeaving(s *ControlScenario) {
	eachWorkerAt(s, 9*time.Second, func(worker *simAgentWorker) {
		worker.concealsLeaving = true
		if worker.machine.number < 6 {
			worker.leave(6*time.Second, time.Second)
		}
	})
}

// refillInsteadOfDrain turns the request to drain a zone into one to refill it.
func refillInsteadOfDrain(s *ControlScenario) {
	rewriteCommands(s, state.KindSetZoneDrained, func(command *state.Command) { command.Drain = false })
	s.world.At(9*time.Second, func() {
		ControlFaults["empty-site"](s)
		// Whichever zone it is, some of these start there after it is to be empty.
		repeat := state.Repeat{Count: 40, FirstAt: s.world.wallTime(), Every: millis(250)}
		s.submit(s.newJob("batch", "everywhere", []state.StepSpec{{Count: 11}}, []int64{100}, repeat))
	})
}

// readInsteadOfCancel turns the request to cancel a job into one to read it.
func readInsteadOfCancel(s *ControlScenario) {
	rewriteCommands(s, state.KindCancelJob, func(command *state.Command) { command.Kind = state.KindReadJob })
	s.world.At(8*time.Second, func() {
		repeat := state.Repeat{Count: 5, FirstAt: s.world.wallTime(), Every: millis(2000)}
		job := s.newJob("batch", "cancelled", []state.StepSpec{{Count: 1}}, []int64{100}, repeat)
		s.submit(job)
		s.world.After(time.Second, func() { s.cancel(job) })
	})
}

// readOlderConfig has an older configuration be read.
func readOlderConfig(s *ControlScenario) {
	s.world.At(9*time.Second, s.changeConfig)
	rewriteResults(s, func(result *state.Result) {
		if result.Config != nil {
			result.Config = &config.Config{Version: 1}
		}
	})
}

// brokenPart is one part of the control composition that is broken, and the check that
// must find it; without a check nothing may be found.
type brokenPart struct {
	check, name string
	spoil       func(s *ControlScenario)
}

// brokenParts are played with seeds by their order.
var brokenParts = []brokenPart{
	{"", "nothing is broken", func(*ControlScenario) {}},
	{"job-forgotten", "all disks begin to drop writes, and the power goes", loseWritesAndPower},
	{"twice-at-once", "workers run on behind a partition when their lease has expired", runOnBehindPartition},
	{"again-after-good", "a success is reported as lost", func(s *ControlScenario) {
		rewriteEnds(s, func(end *state.AttemptResult) {
			if strings.HasPrefix(end.Job, "batch-1") && end.Number == 1 {
				end.Succeeded, end.Lost = false, true
			}
		})
	}},
	{"before-dependency", "steps do not wait", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.DependsOn = nil })
	}},
	{"before-due", "a repeated job comes too early", func(s *ControlScenario) {
		rewriteCommands(s, state.KindAcceptJob, func(command *state.Command) {
			if repeat := &command.Job.Repeat; repeat.Count > 0 {
				repeat.FirstAt = repeat.FirstAt.Add(-2 * time.Second)
			}
		})
	}},
	{"wrong-worker", "labels are left out", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.Labels = nil })
	}},
	{"over-room", "workers report more than they have", overstateCapacity},
	{"crowded-worker", "the limit for each worker is left out", func(s *ControlScenario) {
		rewriteSteps(s, func(step *state.StepSpec) { step.MaxPerWorker = 0 })
	}},
	{"defects-spent", "failures are reported as lost", func(s *ControlScenario) {
		eachWorkerAt(s, 3*time.Second, func(worker *simAgentWorker) { worker.failing = true })
		rewriteEnds(s, func(end *state.AttemptResult) { end.Lost = end.Lost || !end.Succeeded && !end.Stopped })
	}},
	{"gang-alone", "one member of each gang is not started, and reported as running", hideGangMember},
	{"start-while-draining", "workers do not say that they leave", concealLeaving},
	{"start-in-emptied-site", "the request to drain a zone is turned round", refillInsteadOfDrain},
	{"start-after-cancel", "a request to cancel is turned into a read", readInsteadOfCancel},
	{"finished-with-open-task", "what runs shows as done", func(s *ControlScenario) {
		rewriteResults(s, func(result *state.Result) {
			if result.Job.State == state.Running {
				result.Job.State = state.Done
			}
		})
	}},
	{"plan-went-back", "an older configuration is read", readOlderConfig},
	{"not-linearizable", "an older configuration is read", readOlderConfig},
	{"not-linearizable", "a job that runs is unknown at times", func(s *ControlScenario) {
		reads := 0
		rewriteResults(s, func(result *state.Result) {
			if result.Job.State == state.Running {
				if reads++; reads%5 == 0 {
					*result = state.Result{Code: status.UnknownJob}
				}
			}
		})
	}},
	{"not-linearizable", "a change is acknowledged and made again", func(s *ControlScenario) {
		s.world.At(9*time.Second, s.changeConfig)
		rewriteCommands(s, state.KindChangeConfig, func(command *state.Command) { command.ConfigChange.Forced = true })
		s.world.At(10*time.Second, func() {
			command := s.operatorCommand(state.KindChangeConfig)
			command.ConfigChange = state.ConfigChange{BaseVersion: 1, Body: controlConfig(firstLongPriority, nil)}
			s.operate(command, func(time.Duration, state.Result) {})
		})
	}},
	{"quick-behind-batch", "the first starts of quick work are lost", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool {
			return start.Class != "lookup" || s.world.Now > 20*time.Second
		})
	}},
	{"long-unfinished", "the starts of one job are lost", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool { return start.Job != "long-1" })
	}},
	{"not-served-again", "nothing is started any more", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool { return !strings.HasPrefix(start.Job, "probe") })
	}},
	{"bounce-without-time", "a full queue names no time", func(s *ControlScenario) {
		rejectOneInFive(s, state.Result{Code: status.QueueFull})
	}},
	{"refused-and-run", "a job that is accepted is rejected", func(s *ControlScenario) {
		rejectOneInFive(s, state.Result{Code: status.QueueFull, RetryAfter: time.Second})
	}},
	{"saved-of-another", "another task's checkpoint is handed over", func(s *ControlScenario) {
		rewriteStarts(s, func(start *state.StartOrder) bool {
			start.Checkpoint = "other/0.0.0:40"
			return true
		})
	}},
}

// TestBrokenControlsAreDetected breaks one part in each row of a calm run.
func TestBrokenControlsAreDetected(t *testing.T) {
	var runs []Options
	for i, row := range brokenParts {
		options := controlOptions(t, 7000+uint64(i), "none")
		options.Duration, options.SettleTime, options.PrepareControl = 14*time.Second, 25*time.Second, row.spoil
		runs = append(runs, options)
	}
	covered := map[string]bool{}
	for i, r := range playParallel(runs, PlayControl) {
		row := brokenParts[i]
		covered[row.check] = true
		found := slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Check == row.check })
		if row.check == "" && len(r.Violations) > 0 {
			t.Errorf("%s, and found is %v", row.name, r.Violations)
		}
		if row.check != "" && !found {
			t.Errorf("%s: %s does not find it; found is %v", row.name, row.check, r.Violations)
		}
	}
	for _, check := range ControlChecks {
		if !covered[check] {
			t.Errorf("%s is not shown to fail", check)
		}
	}
}
