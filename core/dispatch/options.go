package dispatch

// Options switch mechanisms of the dispatcher off, for measurements. What is deployed is the
// zero value, which has all of them.
type Options struct {
	// SingleQueue makes all workers pull from one queue, in the same order otherwise.
	SingleQueue bool
	// WithoutLocality ranks no task or worker by the outputs that the worker holds.
	WithoutLocality bool
	// WithoutStepPeers places the tasks of a step without regard to each other.
	WithoutStepPeers bool
	// WithoutNearData places tasks without regard to the rack of their data.
	WithoutNearData bool
	// WithoutNearPatience steals a task away from the rack of its data at once, and queues it
	// there only while the rack is about as busy as others.
	WithoutNearPatience bool
	// WithoutRackPreemption stops leases for a task in any rack, whatever rack it wants.
	WithoutRackPreemption bool
	// WithoutVictimCost stops the newest lease, whatever work is lost with it.
	WithoutVictimCost bool
	// WithoutHelperOrder steals from any straggler alike.
	WithoutHelperOrder bool
	// WithoutStealDelay steals at once from workers that could run the task themselves.
	WithoutStealDelay bool
	// WithoutPreemption stops no lease for another task.
	WithoutPreemption bool
	// WithoutReservation keeps nothing free for a gang that has waited for long.
	WithoutReservation bool
	// WithoutFailureHealth and WithoutSlownessHealth hold no failures and no long run times
	// against a worker.
	WithoutFailureHealth  bool
	WithoutSlownessHealth bool
	// WithoutOverdueRuns learns that a worker is slow only by the ends of its runs.
	WithoutOverdueRuns bool
	// WithoutTrust gives quick tasks and last attempts to any worker that may pull.
	WithoutTrust bool
	// WithoutFailedOn gives a task again to a worker on which it has failed.
	WithoutFailedOn bool
}
