package control

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
)

// Figures holds the operating figures of a control process, for monitoring.
type Figures struct {
	Replica replica.Report
	// The following fields are set on the primary only.

	Counters        dispatch.Counters
	QueuedTasks     int
	CommitLatency   time.Duration
	StalledTasks    int
	RequeuedTasks   uint64
	ImpairedWorkers int
	// LongWaits counts the tasks that have waited long by reason.
	LongWaits map[dispatch.WaitReason]int
	Classes   []state.ClassBacklog
	Tenants   []state.TenantLoad
}

// Figures returns the current figures. Each call computes them anew.
func (c *Control) Figures(now time.Duration) Figures {
	figures := Figures{Replica: c.replica.Report(now)}
	if c.term == 0 || !c.replica.Serving() {
		return figures
	}
	for _, length := range c.scheduler.QueueLengths() {
		figures.QueuedTasks += length
	}
	figures.Counters = c.scheduler.Counters()
	figures.CommitLatency = c.scheduler.CommitLatency(now)
	figures.StalledTasks, figures.RequeuedTasks = c.scheduler.StalledTasks()
	figures.LongWaits = c.scheduler.LongWaitsByReason()
	figures.ImpairedWorkers = c.scheduler.ImpairedWorkers()
	figures.Classes = c.replica.Store().Backlog()
	figures.Tenants = c.replica.Store().TenantLoads()
	return figures
}
