package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

const (
	checkpointInterval = 200 * time.Millisecond
	// gangWait is how long a started member waits for the rest of its gang to start.
	gangWait = 4 * time.Second
	// gangBreakDelay is how long the remaining members take to detect that one has ended.
	gangBreakDelay = 200 * time.Millisecond
	// Runs on a failing worker fail with a probability of 1/failOneIn.
	failOneIn = 3
)

// Outcomes of runs in addition to those of fakeworker. Workers also send them to their
// agents as reasons.
const (
	outcomeNone           = "" // the worker process ended first
	outcomeLeaseExpired   = "lapsed"
	outcomeGangBroken     = "broken"
	outcomeGangIncomplete = "alone"
	reasonRefused         = "refused"
)

// agentOutcomes maps outcomes of runs to those of the core/agent protocol.
var agentOutcomes = map[string]agent.Outcome{
	fakeworker.OutcomeSucceeded: agent.OutcomeSucceeded,
	fakeworker.OutcomeFailed:    agent.OutcomeFailed,
	fakeworker.OutcomeStopped:   agent.OutcomeStopped,
	outcomeLeaseExpired:         agent.OutcomeLost,
	outcomeGangBroken:           agent.OutcomeLost,
	outcomeGangIncomplete:       agent.OutcomeLost,
}

// activeRun is a run that has not ended.
type activeRun struct {
	run      run
	duration time.Duration
	percent  int          // the progress in the last checkpoint
	fails    bool         // whether it fails once its duration has elapsed
	gang     *gangAttempt // nil if the task belongs to no gang
}

// gangAttempt is one attempt of a gang. Its members make progress only once all of them
// have started, and end together.
type gangAttempt struct {
	size     int
	members  []*simAgentWorker
	attempts []state.Attempt // attempts[i] runs on members[i]
	broken   bool            // a member has ended, so that all others end too
}

// checkpointPrefix returns the prefix of a run's checkpoint: the job with the task, or with
// the gang if the task belongs to one.
func checkpointPrefix(attempt state.Attempt, gang string) string {
	name := attempt.Task
	if gang != "" {
		name = gang
	}
	return attempt.Job + "/" + name + ":"
}

// checkpoint returns the last checkpoint of the run, empty if there is none.
func (r *activeRun) checkpoint() string {
	if r.percent == 0 {
		return ""
	}
	return fmt.Sprintf("%s%d", checkpointPrefix(r.run.Attempt, r.run.Gang), r.percent)
}

// report returns the entry for the run in a call to the agent.
func (r *activeRun) report() agent.Run {
	return agent.Run{Attempt: r.run.Attempt, Checkpoint: r.checkpoint(), Percent: r.percent}
}

// startRun executes a start order. If the lease has expired, it reports the run as lost
// instead.
func (w *simAgentWorker) startRun(order agent.StartOrder) {
	s := w.scenario
	if w.localTime(s.world.Now) >= w.leaseExpiry && !w.ignoresLeaseExpiry {
		w.reportEnd(agent.Run{Attempt: order.Attempt}, agent.OutcomeLost, reasonRefused)
		return
	}
	var payload jobPayload
	task, step, due := s.findTask(order.Attempt)
	if json.Unmarshal(order.Payload, &payload) != nil || task == nil || step >= len(payload.RunMillis) {
		s.violate(checkWrongWorker, "%s starts on %s and nobody asked for it", order.Attempt, w.name())
		return
	}
	s.countCheck(checkBeforeDue)
	if !due.IsZero() && s.world.wallTime().Add(s.clockSlack).Before(due) {
		s.violate(checkBeforeDue, "%s starts on %s at %s, %s before it is due",
			order.Attempt, w.name(), seconds(s.world.Now), due.Sub(s.world.wallTime()))
	}
	r := &activeRun{
		duration: time.Duration(payload.RunMillis[step]) * time.Millisecond,
		fails:    w.failing && s.world.rng.IntN(failOneIn) == 0,
	}
	r.run = run{startedAt: s.world.Now, Run: fakeworker.Run{
		Attempt: order.Attempt, Worker: w.name(), Class: s.jobsByID[order.Job].spec.Class,
		Service: w.machine.service, Resources: task.Resources, Gang: task.Gang,
	}}
	percent := w.parseCheckpoint(order, task.Gang)
	if task.Checkpointed {
		r.percent = percent
	}
	w.active[order.Attempt] = r
	if task.Gang == "" {
		w.executeRun(r, task.Checkpointed, task.LongRunning)
		return
	}
	w.joinGang(r, task.Checkpointed)
}

// parseCheckpoint returns the progress in the checkpoint of a start order, and checks that
// the checkpoint belongs to the task or its gang.
func (w *simAgentWorker) parseCheckpoint(order agent.StartOrder, gang string) (percent int) {
	if order.Checkpoint == "" {
		return 0
	}
	w.scenario.countCheck(checkForeignCheckpoint)
	text := strings.TrimPrefix(order.Checkpoint, checkpointPrefix(order.Attempt, gang))
	if _, err := fmt.Sscanf(text, "%d", &percent); err != nil {
		w.scenario.violate(checkForeignCheckpoint, "%s on %s is handed %q",
			order.Attempt, w.name(), order.Checkpoint)
	}
	return percent
}

// reportEnd queues the end of a run. Each call to the agent reports it until a reply
// acknowledges it.
func (w *simAgentWorker) reportEnd(ended agent.Run, outcome agent.Outcome, reason string) {
	w.lastEndNumber++
	w.unackedEnds = append(w.unackedEnds, agent.EndedRun{
		Number: w.lastEndNumber, Run: ended, Outcome: outcome, Reason: reason,
	})
}

// endRun ends a run, if it is active, and then the other members of its gang.
func (w *simAgentWorker) endRun(attempt state.Attempt, outcome string) {
	if r := w.endMember(attempt, outcome); r != nil && r.gang != nil {
		r.gang.breakUp(w.scenario.world)
	}
}

// endMember ends a run, if it is active, without affecting other members of its gang. It
// returns nil if the run was not active.
func (w *simAgentWorker) endMember(attempt state.Attempt, outcome string) *activeRun {
	r, ok := w.active[attempt]
	if !ok {
		return nil
	}
	delete(w.active, attempt)
	r.run.endedAt, r.run.Outcome = w.scenario.world.Now, outcome
	r.run.gangIncomplete = r.gang != nil && len(r.gang.members) < r.gang.size
	w.record.runs = append(w.record.runs, r.run)
	if outcome != outcomeNone {
		w.reportEnd(r.report(), agentOutcomes[outcome], outcome)
	}
	return r
}

// executeRun schedules the checkpoints of a run and, unless it is long-running, its end.
func (w *simAgentWorker) executeRun(r *activeRun, checkpointed, longRunning bool) {
	if checkpointed {
		w.saveCheckpoints(r)
	}
	if longRunning {
		return
	}
	remaining := r.duration * time.Duration(100-r.percent) / 100
	w.scenario.world.After(remaining, func() { w.completeRun(r) })
}

// saveCheckpoints updates the checkpointed progress of a run at fixed intervals.
func (w *simAgentWorker) saveCheckpoints(r *activeRun) {
	world := w.scenario.world
	initialPercent, startedAt := r.percent, world.Now
	var save func()
	save = func() {
		if w.active[r.run.Attempt] != r {
			return
		}
		r.percent = min(99, initialPercent+int(100*(world.Now-startedAt)/max(1, r.duration)))
		world.After(checkpointInterval, save)
	}
	world.After(checkpointInterval, save)
}

// completeRun ends a run whose duration has elapsed, together with its gang.
func (w *simAgentWorker) completeRun(r *activeRun) {
	if w.active[r.run.Attempt] != r {
		return
	}
	switch {
	case r.gang != nil:
		r.gang.complete()
	case r.fails:
		w.endRun(r.run.Attempt, fakeworker.OutcomeFailed)
	default:
		w.endRun(r.run.Attempt, fakeworker.OutcomeSucceeded)
	}
}

// joinGang adds a run to its gang attempt and starts all members once the gang is complete.
// A run whose gang is still incomplete after gangWait ends.
func (w *simAgentWorker) joinGang(r *activeRun, checkpointed bool) {
	s, attempt := w.scenario, r.run.Attempt
	key := fmt.Sprintf("%s/%s/%d", attempt.Job, r.run.Gang, attempt.Number)
	gang := s.gangs[key]
	if gang == nil {
		gang = &gangAttempt{size: s.gangSize(attempt.Job, r.run.Gang)}
		s.gangs[key] = gang
	}
	r.gang = gang
	gang.members, gang.attempts = append(gang.members, w), append(gang.attempts, attempt)
	switch {
	case gang.broken:
		s.world.After(gangBreakDelay, func() { w.endMember(attempt, outcomeGangBroken) })
	case len(gang.members) == gang.size:
		for i, member := range gang.members {
			member.executeRun(member.active[gang.attempts[i]], checkpointed, false)
		}
	default:
		s.world.After(gangWait, func() {
			if w.active[attempt] == r && len(gang.members) < gang.size {
				w.endRun(attempt, outcomeGangIncomplete)
			}
		})
	}
}

// breakUp ends the remaining members gangBreakDelay after one member has ended.
func (g *gangAttempt) breakUp(world *World) {
	if g.broken {
		return
	}
	g.broken = true
	world.After(gangBreakDelay, func() { g.endAll(outcomeGangBroken) })
}

// complete ends all members when the duration of the first one has elapsed. They succeed,
// unless one is to fail: that one fails, and the others end with outcomeGangBroken.
func (g *gangAttempt) complete() {
	if g.broken {
		return
	}
	for i, member := range g.members {
		if r := member.active[g.attempts[i]]; r != nil && r.fails {
			member.endRun(g.attempts[i], fakeworker.OutcomeFailed)
			return
		}
	}
	g.broken = true
	g.endAll(fakeworker.OutcomeSucceeded)
}

func (g *gangAttempt) endAll(outcome string) {
	for i, member := range g.members {
		member.endMember(g.attempts[i], outcome)
	}
}
