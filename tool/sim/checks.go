package sim

import (
	"time"

	"sorrelloom/core/dispatch"
)

// Names of the checks. Each names a condition that must never occur.
const (
	checkJobForgotten        = "job-forgotten"
	checkConcurrentRuns      = "twice-at-once"
	checkRunAfterSuccess     = "again-after-good"
	checkBeforeDependency    = "before-dependency"
	checkBeforeDue           = "before-due"
	checkWrongWorker         = "wrong-worker"
	checkOverCapacity        = "over-room"
	checkOverPerWorkerLimit  = "crowded-worker"
	checkFailuresSpent       = "defects-spent"
	checkGangAlone           = "gang-alone"
	checkStartWhileDraining  = "start-while-draining"
	checkStartInDrainedZone  = "start-in-emptied-site"
	checkStartAfterCancel    = "start-after-cancel"
	checkEndedWithOpenTask   = "finished-with-open-task"
	checkConfigIgnored       = "plan-ignored"
	checkConfigWentBack      = "plan-went-back"
	checkQuickBehindBatch    = "quick-behind-batch"
	checkQuickOvertaken      = "quick-overtaken"
	checkLongUnfinished      = "long-unfinished"
	checkNotServedAgain      = "not-served-again"
	checkRejectedWithoutTime = "bounce-without-time"
	checkRejectedAndRun      = "refused-and-run"
	checkForeignCheckpoint   = "saved-of-another"
	checkLinearizable        = "not-linearizable"
	checkTenantLimit         = "tenant-over-limit"
	checkTenantKey           = "tenant-key"
	// checkFencing has no violations. It only counts replies that workers drop because of an
	// older fencing epoch.
	checkFencing = "fence"
)

// FleetChecks names every check of fleet scenarios, for the usage text and the tests.
var FleetChecks = []string{
	checkJobForgotten, checkConcurrentRuns, checkRunAfterSuccess, checkBeforeDependency, checkWrongWorker,
	checkOverCapacity, checkFailuresSpent, checkGangAlone, checkStartWhileDraining, checkStartInDrainedZone,
	checkStartAfterCancel, checkEndedWithOpenTask, checkConfigIgnored, checkConfigWentBack,
	checkQuickBehindBatch, checkQuickOvertaken, checkLongUnfinished, checkNotServedAgain,
	checkRejectedWithoutTime,
}

// ControlChecks names every check of the control composition.
var ControlChecks = []string{
	checkJobForgotten, checkConcurrentRuns, checkRunAfterSuccess, checkBeforeDependency, checkBeforeDue,
	checkWrongWorker, checkOverCapacity, checkOverPerWorkerLimit, checkFailuresSpent, checkGangAlone,
	checkStartWhileDraining, checkStartInDrainedZone, checkStartAfterCancel, checkEndedWithOpenTask,
	checkConfigWentBack, checkQuickBehindBatch, checkLongUnfinished, checkNotServedAgain,
	checkRejectedWithoutTime, checkRejectedAndRun, checkForeignCheckpoint, checkLinearizable,
}

// TenantChecks names the additional checks of a scenario with tenants.
var TenantChecks = []string{checkTenantLimit, checkTenantKey}

// speedChecks are the checks of waiting times. A scenario with tenants ignores their
// violations, since tasks may wait for the limit of their tenant.
var speedChecks = []string{checkQuickBehindBatch, checkQuickOvertaken, checkNotServedAgain}

// safetyChecks are the checks of safety properties, which hold whether or not work has
// finished in time.
var safetyChecks = []string{
	checkJobForgotten, checkConcurrentRuns, checkRunAfterSuccess, checkBeforeDependency, checkWrongWorker,
	checkOverCapacity, checkFailuresSpent, checkEndedWithOpenTask, checkConfigWentBack, checkRejectedAndRun,
	checkLinearizable,
}

// Bounds of the checks.
const (
	// drainBound is how long work may still start on a worker after it announced its shutdown.
	drainBound = 2 * time.Second
	// zoneDrainBound is how long work may still start in a zone after the request to drain it.
	zoneDrainBound = 5 * time.Second
	// cancelBound is how long tasks of a job may still start after the request to cancel it.
	cancelBound = 3 * time.Second
	// configBound is how long a daemon may take to apply a new configuration.
	configBound = 2 * time.Second
	// gangBound is how long a member of a gang may run while another member has not started.
	gangBound = 8 * time.Second
	// gangWaitBound is how long, without faults, a member may wait for the rest of its gang.
	gangWaitBound = 2 * time.Second
	// recoveryBound is how long after the last fault jobs of all classes must be served again.
	recoveryBound = 12 * time.Second
	// acceptBound is how long it may take until a probe is accepted.
	acceptBound = 3 * time.Second
	// probeBound is how long an accepted probe of a class that is not quick may wait to start.
	probeBound = 10 * time.Second
	// quickBound is how long an accepted job of a quick class may wait to start.
	quickBound = 2 * time.Second
	// pickupBound is how long a runnable task may wait while suitable workers ask for work.
	pickupBound = 700 * time.Millisecond
	// heldHeartbeatBound is how long a gateway delays its reply to a heartbeat for which there
	// are no orders.
	heldHeartbeatBound = time.Second
	// reservationBound is the interval within which the order of starts by different
	// schedulers is not checked: for that long a task is reserved for the worker in whose
	// queue it is.
	reservationBound = dispatch.StealDelay
	// feedBound is how long an update of the change feed may be delayed under faults.
	feedBound = 3 * time.Second
	// lostWorkerBound covers the lease duration plus the expiry margin of the configurations.
	lostWorkerBound = 7 * time.Second
	// unhealthyBound is how long after the end of its faults a worker may count as unhealthy.
	unhealthyBound = 30 * time.Second
	// defaultMaxFailures is the maximum number of failures of a task that specifies none.
	defaultMaxFailures = 3
)
