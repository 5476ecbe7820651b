package agent

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// probeInterval is the time between two probes of an agent that sends no reports. Replicas may be
// replaced one by one while the agent has no worker, so it must learn of each view in time.
const probeInterval = 2 * time.Second

// replicaProbe is the last probe: a request to the current target for the replicas of its view.
type replicaProbe struct {
	id     uint64
	sentAt time.Duration
	target string
	// open says that the probe has not been answered yet.
	open bool
}

// ReachesReplicas reports whether a replica answered a report or a probe recently.
func (a *Agent) ReachesReplicas(now time.Duration) bool {
	return now-max(a.lastReplyAt, a.probeAnsweredAt) <= replyTimeout+probeInterval
}

// probeReplicas sends the next probe if neither a probe was sent nor a report was in flight for
// probeInterval.
func (a *Agent) probeReplicas(now time.Duration, out *machine.Output) {
	if a.reporting() {
		a.probe = replicaProbe{sentAt: now}
		return
	}
	if dueAt := a.probe.sentAt + probeInterval; now < dueAt {
		a.scheduleTimer(now, dueAt)
		return
	}
	if a.probe.open && a.probe.target == a.replicas.target {
		a.replicas.selectNext()
	}
	a.scheduleTimer(now, now+probeInterval)
	if a.replicas.target == "" {
		return
	}
	a.lastReportID++
	a.probe = replicaProbe{id: a.lastReportID, sentAt: now, target: a.replicas.target, open: true}
	out.Send(a.replicas.target, wire.KindCommand, wire.CommandRequest{
		ID: a.probe.id, Query: true, Command: state.Command{Kind: state.KindConfirmLeadership},
	})
}

// reporting reports whether a report is in flight. Its reply will name the replicas, so no probe is
// needed.
func (a *Agent) reporting() bool {
	for _, w := range a.workers() {
		if w.reports.inFlight != nil {
			return true
		}
	}
	return false
}

// handleProbeReply updates the known replicas from the reply to the last probe, and switches to the
// primary that the reply names, if any.
func (a *Agent) handleProbeReply(now time.Duration, reply *wire.CommandReply) {
	if reply.ID != a.probe.id {
		return
	}
	a.probe.open, a.probeAnsweredAt = false, now
	isStale := a.replicas.known.IsNewerThan(reply.ReplicasEpoch)
	a.replicas.known.Update(reply.ReplicaList())
	if reply.Primary != "" && !isStale && a.probe.target == a.replicas.target {
		a.replicas.target = reply.Primary
	}
}
