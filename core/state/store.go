// Package state is the replicated state machine of the cluster: jobs, tasks,
// leases, workers, drained zones, leaderships and the configuration.
//
// It is pure and deterministic. A Store changes by Apply alone, which takes one
// Command of the replicated log at a time, never reads a clock, draws no random
// number and does no input or output. The same commands therefore give the same
// state, the same results and the same encoded records on every replica, also
// where replicas of neighbouring versions run side by side.
//
// Every promise of the scheduler is checked here, in the one conditional write
// that makes a change; whoever asks for a change may be slow, stale or wrong, and
// is then rejected. The rules kept are:
//
//   - A task has at most one lease at a time, and a lease is returned only when
//     its worker says that it does not run the attempt, or when the attempt must
//     have ended: nothing runs twice (lease.go).
//   - A task is leased only once all that it depends on is done and its due time
//     has come (grant.go).
//   - The leases on a worker never exceed the resources that it reported
//     (resources.go), nor a class its share unless it may borrow (share.go).
//   - A tenant never has more leased than its limit, unless the limit was lowered or an
//     attempt was adopted (tenant.go).
//   - A gang is leased whole or not at all, and is stopped as a whole (gang.go).
//   - A task that succeeded never runs again; a failure is counted once (attempt.go).
//   - Only the current leader of a role grants leases: its epoch fences out all
//     earlier ones (leadership.go).
//   - An operator's write that is repeated is answered as before and changes
//     nothing (idempotency.go).
package state

import (
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// Store is the state. It is not safe for concurrent use; Snapshot gives a view that
// another goroutine may read. The records that its methods return are shared and must not
// be changed; they stay as they are when the state changes later.
type Store struct {
	position LogPosition
	// now is state time: the latest time that a command was stamped with.
	now            time.Duration
	nextTaskNumber uint64
	config         config.Config
	policies       config.CompiledPolicies
	// tenantsByKey gives the tenant of each key's digest.
	tenantsByKey map[string]string
	// formerLimits are the limits of tenants that a configuration has left out while jobs
	// of theirs had not ended.
	formerLimits map[string]Resources
	// formerClasses are the classes, by service and name, that a configuration has left out
	// while jobs of theirs had not ended.
	formerClasses map[string]map[string]config.Class
	jobs          map[string]*Job
	workers       map[string]*Worker
	drainedZones  map[string]bool
	// zoneOrders gives the log index of the last order to drain or refill each zone.
	zoneOrders  map[string]uint64
	leaderships map[string]Leadership
	schedulers  map[string]Scheduler
	// requests and configRequests are the operators' writes by idempotency key.
	requests       boundedMap[Request]
	configRequests boundedMap[Request]
	pastJobs       boundedMap[PastJob]
	// forgottenUntil is when the last of the jobs ended of which nothing is known any more.
	forgottenUntil time.Duration

	indexes
	cache queryCache
	// entries follow the records of the workers and their usage.
	entries workerEntries
	// serviceLoads are counted when they are asked for; a missing one is counted anew.
	serviceLoads map[string]*cachedServiceLoad

	// clonedJobs are the jobs whose task slice the current command has copied.
	clonedJobs map[string]bool
	changes    []Change
	audit      auditTrail
}

// Change names a task or a worker that the last commands touched. Task is -1 if
// it is the job as a whole.
type Change struct {
	Job    string
	Task   int
	Worker string
	// All says that anything may have changed.
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

// Position is that of the last command applied.
func (s *Store) Position() LogPosition { return s.position }

// Now is state time: monotonic, counted from the bootstrap of the cluster and
// carried on by each primary.
func (s *Store) Now() time.Duration { return s.now }

// Config is the configuration in force.
func (s *Store) Config() config.Config { return s.config }

// setConfig puts a configuration in force, with what is derived from it.
func (s *Store) setConfig(c config.Config) {
	s.config, s.policies, s.tenantsByKey = c, c.Compile(), c.TenantsByKey()
}

// Policies are the compiled policies of the configuration in force.
func (s *Store) Policies() config.CompiledPolicies { return s.policies }

// TakeChanges hands over what changed since it was last called.
func (s *Store) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Apply makes the one change that a command asks for, or rejects it with the state left
// as it was but for its position and time. Two rejections leave more behind, always on
// the safe side: preempt and heartbeat say what. Apply never looks at a clock: cmd.Time is
// state time, which never runs backwards.
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
