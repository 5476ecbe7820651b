package scale

import (
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/daemon/host"
)

// minCallInterval is the minimum interval between a worker's calls.
const minCallInterval = 20 * time.Millisecond

// workerCapacity is the capacity of each hollow worker. A slot is a thousandth of a CPU core.
var workerCapacity = state.Resources{Slots: 64000, MemoryMB: 262144}

// hollowWorker is a worker that calls its node agent but executes nothing: each run only lasts
// for the configured duration.
type hollowWorker struct {
	cluster       *hollowCluster
	name, address string
	zone, rack    string
	agent         *host.Runner
	bootedAt      time.Time
	callNumber    uint64
	lastEndNumber uint64
	running       map[state.Attempt]time.Time // end times of the running attempts
	unackedEnds   []agent.EndedRun
}

// run calls the agent repeatedly until the cluster is shut down.
func (w *hollowWorker) run() {
	for w.cluster.ctx.Err() == nil {
		w.endDueRuns(time.Now())
		w.callNumber++
		request := machine.Request{Kind: agent.RequestCall, Decoded: w.report()}
		v, err := w.agent.Do(w.cluster.ctx, request)
		if err != nil {
			return
		}
		reply, _ := v.(agent.CallReply)
		w.handleReply(reply)
		time.Sleep(max(reply.NextCallIn, minCallInterval))
	}
}

// endDueRuns ends the runs whose end time has passed.
func (w *hollowWorker) endDueRuns(now time.Time) {
	for attempt, endsAt := range w.running {
		if now.After(endsAt) {
			w.endRun(attempt, agent.OutcomeSucceeded)
		}
	}
}

func (w *hollowWorker) endRun(attempt state.Attempt, outcome agent.Outcome) {
	delete(w.running, attempt)
	w.lastEndNumber++
	w.unackedEnds = append(w.unackedEnds, agent.EndedRun{
		Number: w.lastEndNumber, Run: agent.Run{Attempt: attempt}, Outcome: outcome,
	})
}

// report returns the body of the worker's next call.
func (w *hollowWorker) report() agent.Call {
	report := agent.Call{
		Worker: w.name, Number: w.callNumber, SentAt: time.Since(w.bootedAt), Address: w.address,
		Service: serviceName, Zone: w.zone, Rack: w.rack, Labels: []string{"a", w.rack},
		Free: workerCapacity, Ended: w.unackedEnds,
	}
	for attempt := range w.running {
		report.Running = append(report.Running, agent.Run{Attempt: attempt})
	}
	return report
}

// handleReply processes the reply to a call.
func (w *hollowWorker) handleReply(reply agent.CallReply) {
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Number <= reply.AcknowledgedUpTo {
		w.unackedEnds = w.unackedEnds[1:]
	}
	for _, order := range reply.Starts {
		if _, runs := w.running[order.Attempt]; !runs {
			w.running[order.Attempt] = time.Now().Add(w.cluster.config.TaskDuration)
			w.cluster.recordStart(order.Job)
		}
	}
	for _, attempt := range reply.Stops {
		if _, runs := w.running[attempt]; runs {
			w.endRun(attempt, agent.OutcomeStopped)
		}
	}
}
