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
	// gangWait is how long a member waits for others of its gang.
	gangWait = 4 * time.Second
	// gangBreakDelay is how long the others take to notice that a member is gone.
	gangBreakDelay = 200 * time.Millisecond
	// failOneIn is which part of the runs of a failing worker fail.
	failOneIn = 3
)

// Outcomes of runs beside those of fakeworker. They are also the reasons that workers
// give to their agents.
const (
	outcomeNone           = "" // the worker died
	outcomeLeaseExpired   = "lapsed"
	outcomeGangBroken     = "broken"
	outcomeGangIncomplete = "alone"
	reasonRefused         = "refused"
)

// agentOutcomes are the outcomes in the contract of core/agent.
var agentOutcomes = map[string]agent.Outcome{
	fakeworker.OutcomeSucceeded: agent.OutcomeSucceeded,
	fakeworker.OutcomeFailed:    agent.OutcomeFailed,
	fakeworker.OutcomeStopped:   agent.OutcomeStopped,
	outcomeLeaseExpired:         agent.OutcomeLost,
	outcomeGangBroken:           agent.OutcomeLost,
	outcomeGangIncomplete:       agent.OutcomeLost,
}

// activeRun is one run that goes on.
type activeRun struct {
	run      run
	duration time.Duration
	percent  int // of it that is done, as checkpointed
	fails    bool
	gang     *gangAttempt // nil if it is in none
}

// gangAttempt is one attempt of a gang: its members run only while all are there, and end
// as one.
type gangAttempt struct {
	size     int
	members  []*simAgentWorker
	attempts []state.Attempt // of the members
	broken   bool
}

// checkpointPrefix begins the checkpoint of a run: the name of its task or of its gang.
func checkpointPrefix(attempt state.Attempt, gang string) string {
	name := attempt.Task
	if gang != "" {
		name = gang
	}
	return attempt.Job + "/" + name + ":"
}

// checkpoint is what the run has saved, empty if nothing.
func (r *activeRun) checkpoint() string {
	if r.percent == 0 {
		return ""
	}
	return fmt.Sprintf("%s%d", checkpointPrefix(r.run.Attempt, r.run.Gang), r.percent)
}

// report is what a worker says of the run.
func (r *activeRun) report() agent.Run {
	return agent.Run{Attempt: r.run.Attempt, Checkpoint: r.checkpoint(), Percent: r.percent}
}

// startRun starts a run, unless the lease has expired.
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
	percent := w.resumeFrom(order, task.Gang)
	if task.Checkpointed {
		r.percent = percent
	}
	w.active[order.Attempt] = r
	if task.Gang == "" {
		w.proceed(r, task.Checkpointed, task.LongRunning)
		return
	}
	w.joinGang(r, task.Checkpointed)
}

// resumeFrom reads the checkpoint of a start order, which must be the task's own.
func (w *simAgentWorker) resumeFrom(order agent.StartOrder, gang string) (percent int) {
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

// reportEnd has an end reported from the next call on.
func (w *simAgentWorker) reportEnd(ended agent.Run, outcome agent.Outcome, reason string) {
	w.lastEndNumber++
	w.unackedEnds = append(w.unackedEnds, agent.EndedRun{
		Number: w.lastEndNumber, Run: ended, Outcome: outcome, Reason: reason,
	})
}

// endRun ends one run, if it goes on, and breaks up its gang.
func (w *simAgentWorker) endRun(attempt state.Attempt, outcome string) {
	if r := w.endMember(attempt, outcome); r != nil && r.gang != nil {
		r.gang.breakUp(w.scenario.world)
	}
}

// endMember ends one run, if it goes on, and leaves its gang as it is.
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

// proceed lets a run go on to its end.
func (w *simAgentWorker) proceed(r *activeRun, checkpointed, longRunning bool) {
	if checkpointed {
		w.saveCheckpoints(r)
	}
	if longRunning {
		return
	}
	remaining := r.duration * time.Duration(100-r.percent) / 100
	w.scenario.world.After(remaining, func() { w.completeRun(r) })
}

// saveCheckpoints has a run note its progress at intervals.
func (w *simAgentWorker) saveCheckpoints(r *activeRun) {
	world := w.scenario.world
	before, since := r.percent, world.Now
	var save func()
	save = func() {
		if w.active[r.run.Attempt] != r {
			return
		}
		r.percent = min(99, before+int(100*(world.Now-since)/max(1, r.duration)))
		world.After(checkpointInterval, save)
	}
	world.After(checkpointInterval, save)
}

// completeRun ends a run whose time is over, with its gang.
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

// joinGang has a run wait for the other members of its gang, for so long only.
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
			member.proceed(member.active[gang.attempts[i]], checkpointed, false)
		}
	default:
		s.world.After(gangWait, func() {
			if w.active[attempt] == r && len(gang.members) < gang.size {
				w.endRun(attempt, outcomeGangIncomplete)
			}
		})
	}
}

// breakUp ends the other members after a moment, since one is gone.
func (g *gangAttempt) breakUp(world *World) {
	if g.broken {
		return
	}
	g.broken = true
	world.After(gangBreakDelay, func() { g.endAll(outcomeGangBroken) })
}

// complete ends all members once the time of one is over: with success, unless one fails.
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
