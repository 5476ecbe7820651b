package control

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
)

// Metrics holds the metrics of a control process.
type Metrics struct {
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

// Metrics returns the current metrics. Each call computes them anew.
func (c *Control) Metrics(now time.Duration) Metrics {
	metrics := Metrics{Replica: c.replica.Report(now)}
	if c.term == 0 || !c.replica.Serving() {
		return metrics
	}
	for _, length := range c.scheduler.QueueLengths() {
		metrics.QueuedTasks += length
	}
	metrics.Counters = c.scheduler.Counters()
	metrics.CommitLatency = c.scheduler.CommitLatency(now)
	metrics.StalledTasks, metrics.RequeuedTasks = c.scheduler.StalledTasks()
	metrics.LongWaits = c.scheduler.LongWaitsByReason()
	metrics.ImpairedWorkers = c.scheduler.ImpairedWorkers()
	metrics.Classes = c.replica.Store().Backlog()
	metrics.Tenants = c.replica.Store().TenantLoads()
	return metrics
}
