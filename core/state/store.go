// Package state is the replicated state machine of the cluster: jobs, tasks,
// leases, workers, drained zones, leaderships and the configuration.
//
// It is pure and deterministic. A Store changes only through Apply, which takes one
// Command of the replicated log at a time, reads no clock, draws no random numbers
// and does no I/O. The same commands therefore produce the same state, the same
// results and the same encoded records on every replica, even while replicas of
// adjacent versions run side by side.
//
// Every guarantee of the scheduler is enforced here, in the one conditional write
// that makes a change. The sender of a command may be slow, stale or wrong; its
// command is then rejected. The invariants are:
//
//   - A task has at most one lease at a time, and a lease is returned only when
//     its worker reports that it does not run the attempt, or when the attempt must
//     have ended: nothing runs twice (lease.go).
//   - A task is leased only once all its dependencies are done and its due time has
//     come (grant.go).
//   - The leases on a worker never exceed the resources that it reported
//     (resources.go), and those of a class never exceed its share unless it may
//     borrow (share.go).
//   - The leases of a tenant never exceed its limit, unless the limit was lowered or an
//     attempt was adopted (tenant.go).
//   - A gang is leased as a whole or not at all, and is stopped as a whole (gang.go).
//   - A task that succeeded never runs again; a failure is counted once (attempt.go).
//   - Only the current leader of a role grants leases: its epoch fences off all
//     earlier leaders (leadership.go).
//   - A repeated operator's write gets the original response and changes nothing
//     (idempotency.go).
package state

import (
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// Store holds the state. It is not safe for concurrent use; Snapshot returns a view that
// another goroutine may read. The records that its methods return are shared and must not
// be changed; later changes of the state replace records and leave returned ones as they
// are.
type Store struct {
	position LogPosition
	// now is state time: the latest timestamp of any command applied.
	now            time.Duration
	nextTaskNumber uint64
	config         config.Config
	policies       config.CompiledPolicies
	// tenantsByKey maps the digest of an API key to its tenant.
	tenantsByKey map[string]string
	// formerLimits holds the limits of tenants that were removed from the configuration
	// before all their jobs had ended.
	formerLimits map[string]Resources
	// formerClasses holds, by service and name, the classes that were removed from the
	// configuration before all their jobs had ended.
	formerClasses map[string]map[string]config.Class
	jobs          map[string]*Job
	workers       map[string]*Worker
	drainedZones  map[string]bool
	// zoneOrders maps a zone to the log index of the last order to drain or refill it.
	zoneOrders  map[string]uint64
	leaderships map[string]Leadership
	schedulers  map[string]Scheduler
	// requests and configRequests hold operators' writes by idempotency key.
	requests       boundedMap[Request]
	configRequests boundedMap[Request]
	pastJobs       boundedMap[PastJob]
	// forgottenUntil is the latest end of a job whose PastJob has been dropped as well.
	forgottenUntil time.Duration

	indexes
	cache queryCache
	// entries mirrors the records of the workers and their usage.
	entries workerEntries
	// serviceLoads caches the load of each service; a missing entry is computed on demand.
	serviceLoads map[string]*cachedServiceLoad

	// clonedJobs holds the jobs whose task slice the current command has already copied.
	clonedJobs map[string]bool
	changes    []Change
	audit      auditTrail
}

// Change names a task or a worker that a command changed. Task is -1 if the change
// concerns the job as a whole.
type Change struct {
	Job    string
	Task   int
	Worker string
	// All means that anything may have changed; no other field is then set.
	All bool
}

// New returns an empty store with the default configuration.
func New() *Store {
	s := &Store{
		nextTaskNumber: 1,
		formerLimits:   map[string]Resources{},
		jobs:           map[string]*Job{},
		workers:        map[string]*Worker{},
		drainedZones:   map[string]bool{},
		zoneOrders:     map[string]uint64{},
		leaderships:    map[string]Leadership{},
		schedulers:     map[string]Scheduler{},
		requests:       newBoundedMap[Request](),
		configRequests: newBoundedMap[Request](),
		pastJobs:       newBoundedMap[PastJob](),
		clonedJobs:     map[string]bool{},
	}
	s.setConfig(config.Default())
	s.rebuildIndexes()
	return s
}

// Position returns the position of the last command applied.
func (s *Store) Position() LogPosition { return s.position }

// Now returns state time, which is monotonic, starts at the bootstrap of the cluster and
// is continued by each new primary.
func (s *Store) Now() time.Duration { return s.now }

// Config returns the configuration in force.
func (s *Store) Config() config.Config { return s.config }

// setConfig puts a configuration in force and recomputes the values derived from it.
func (s *Store) setConfig(c config.Config) {
	s.config, s.policies, s.tenantsByKey = c, c.Compile(), c.TenantsByKey()
}

// Policies returns the compiled policies of the configuration in force.
func (s *Store) Policies() config.CompiledPolicies { return s.policies }

// TakeChanges returns the changes since its last call and clears the list.
func (s *Store) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Apply carries out a command or rejects it. A rejected command advances only the
// position and the time of the state, with two exceptions, both safe: preempt and
// heartbeat document what else their rejections may change. Apply reads no clock: state
// time advances to cmd.Time and never goes back.
func (s *Store) Apply(cmd Command) Result {
	s.position = cmd.LogPosition
	s.clonedJobs = map[string]bool{}
	defer func() {
		s.cache = queryCache{}
		s.audit.closeEntry(s.position, s.now)
	}()
	s.now = max(s.now, cmd.Time)
	switch cmd.Kind {
	case KindAcceptJob:
		return s.acceptJob(cmd)
	case KindCancelJob:
		return s.cancelJob(cmd)
	case KindHeartbeat:
		return s.heartbeat(cmd.Heartbeat)
	case KindGrantLeases:
		return s.grantLeases(cmd.Grant)
	case KindPreempt:
		return s.preempt(cmd.Grant)
	case KindChangeConfig:
		return s.applyOnce(cmd, func() Result { return s.changeConfig(cmd.ConfigChange) })
	case KindSetZoneDrained:
		return s.applyOnce(cmd, func() Result { return s.drainZone(cmd) })
	case KindDrainWorker:
		return s.applyOnce(cmd, func() Result { return s.drainWorker(cmd.Name, cmd.Drain) })
	case KindConfirmWorkerDead:
		return s.applyOnce(cmd, func() Result { return s.confirmWorkerDead(cmd.Name) })
	case KindSchedulerHeartbeat:
		return s.schedulerHeartbeat(cmd.SchedulerHeartbeat)
	case KindTransferLeadership:
		return s.applyOnce(cmd, func() Result { return s.transferLeadership(cmd.Name, cmd.SchedulerHeartbeat.Candidate) })
	case KindTick:
		return s.tick(cmd.ServingSince)
	case KindTakeLeadership:
		return s.takeLeadership(cmd.Name, cmd.SchedulerHeartbeat)
	case KindRenewWorkers:
		return s.renewWorkers(cmd.Renewals)
	}
	return reject(status.Malformed, "unknown command %q", cmd.Kind)
}
