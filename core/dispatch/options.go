package dispatch

// Options disables mechanisms of the dispatcher, for measurements. Deployments use the zero
// value, which enables all of them.
type Options struct {
	// SingleQueue makes all workers pull from one queue, in the same order otherwise.
	SingleQueue bool
	// WithoutLocality ignores which worker holds the outputs that a task depends on.
	WithoutLocality bool
	// WithoutStepPeers ignores the other tasks of a step when placing a task.
	WithoutStepPeers bool
	// WithoutNearData ignores the rack of a task's data when placing the task.
	WithoutNearData bool
	// WithoutRackWait allows a task to be stolen away from the rack of its data at once,
	// and queues it in that rack only while the rack's load is about that of others.
	WithoutRackWait bool
	// WithoutRackPreemption preempts leases for a task in any rack, whichever rack it prefers.
	WithoutRackPreemption bool
	// WithoutVictimCost preempts the newest lease, however much work is lost with it.
	WithoutVictimCost bool
	// WithoutHelperOrder ignores helpers and progress when choosing the straggler to steal
	// from.
	WithoutHelperOrder bool
	// WithoutStealDelay steals at once from workers that could run the task themselves.
	WithoutStealDelay bool
	// WithoutPreemption disables preemption.
	WithoutPreemption bool
	// WithoutReservation disables reservations for gangs that have waited for long.
	WithoutReservation bool
	// WithoutFailureHealth and WithoutSlownessHealth ignore the failures and the long run times
	// of a worker.
	WithoutFailureHealth  bool
	WithoutSlownessHealth bool
	// WithoutOverdueRuns detects slow workers by ended runs only.
	WithoutOverdueRuns bool
	// WithoutTrust gives quick tasks and last attempts to any worker that may pull.
	WithoutTrust bool
	// WithoutFailedOn allows a task to run again on a worker on which it has failed.
	WithoutFailedOn bool
}
