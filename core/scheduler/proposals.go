package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// rejectedBackoff is how long the tasks of a rejected proposal are not proposed again.
const rejectedBackoff = 150 * time.Millisecond

// pendingProposal is a grant or a preemption that the state may not contain yet, or one that
// was rejected recently.
type pendingProposal struct {
	assignments []state.Assignment
	// tasks and resources correspond to the assignments of a grant.
	tasks      []dispatch.TaskRef
	resources  []state.Resources
	class      state.ClassKey
	tenant     string
	preemption bool
	rejected   bool
	expiresAt  time.Duration
	// committedAt is the log index at which the proposal was applied; 0 until it is committed.
	committedAt uint64
}

// propose submits a proposal for a zone as a command of the given kind, which is KindGrantLeases
// or KindPreempt.
func (s *Scheduler) propose(
	now time.Duration, zone string, kind state.CommandKind, proposal dispatch.Proposal, out *machine.Output,
) {
	store, leadership := s.access.State(), LeadershipName(zone)
	pending := pendingProposal{
		assignments: proposal.Assignments,
		tasks:       proposal.Tasks,
		expiresAt:   now + commandTimeout,
		preemption:  kind == state.KindPreempt,
	}
	for i := range proposal.Assignments {
		assignment := &proposal.Assignments[i]
		assignment.HeartbeatNumber = s.leases.workers[assignment.Worker].number
		job, _ := store.Job(assignment.Job)
		pending.class = state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
		pending.tenant = job.Tenant
		if i < len(proposal.Tasks) {
			pending.resources = append(pending.resources, job.Spec.Tasks[proposal.Tasks[i].Index].Resources)
		}
	}
	grant := state.Grant{
		Leadership:  leadership,
		Epoch:       store.Leadership(leadership).Epoch,
		Assignments: proposal.Assignments,
		PreemptFor:  proposal.PreemptFor,
	}
	id := s.access.Submit(now, state.Command{Kind: kind, Grant: grant}, commandTimeout, out)
	s.proposals[id] = pending
}

// handleResult handles the result of a command of any kind.
func (s *Scheduler) handleResult(now time.Duration, result *feed.CommandResult, out *machine.Output) {
	if pending, ok := s.proposals[result.ID]; ok {
		s.handleProposalResult(now, pending, result, out)
		return
	}
	s.latency.recordResult(now, result.ID)
	s.handleLeaseResult(now, result.ID, result.Result.Code.IsSuccess())
	s.handleHeartbeatResult(now, result.ID, &result.Result, out)
}

func (s *Scheduler) handleProposalResult(
	now time.Duration, pending pendingProposal, result *feed.CommandResult, out *machine.Output,
) {
	for _, assignment := range pending.assignments {
		s.scans.changedWorkers[assignment.Worker] = true
	}
	if result.Result.Code.IsSuccess() {
		pending.committedAt = result.AppliedIndex
	} else {
		s.reject(now, &pending, result, out)
	}
	s.proposals[result.ID] = pending
}

// reject records that a proposal was rejected. Its tasks are not proposed again for
// rejectedBackoff, unless the cause was the limit of the class or the tenant: then the whole
// class or tenant is blocked, until the state has reached the log index of the rejection.
func (s *Scheduler) reject(
	now time.Duration, pending *pendingProposal, result *feed.CommandResult, out *machine.Output,
) {
	pending.rejected, pending.committedAt, pending.resources = true, 0, nil
	pending.expiresAt = now + rejectedBackoff
	code, first := result.Result.Code, pending.assignments[0]
	switch {
	case pending.preemption:
	case code == status.TaskNotPending:
		s.dispatcher.Counters.LostRaces++
	case code == status.QuotaExceeded:
		s.overShareUntil[pending.class] = max(s.overShareUntil[pending.class], result.AppliedIndex)
		pending.expiresAt = now
	case code == status.TenantLimitReached:
		s.atLimitUntil[pending.tenant] = max(s.atLimitUntil[pending.tenant], result.AppliedIndex)
		pending.expiresAt = now
	}
	out.Log("grant_rejected", "code", code.String(), "job", first.Job, "task", first.Task, "worker", first.Worker)
}

// inFlight returns what the dispatcher can't see in the state: the tasks and resources of
// proposals that the state doesn't contain yet, the tasks of proposals rejected recently, and
// the classes and tenants that were at their limits at a log index that the state has not
// reached yet.
func (s *Scheduler) inFlight(now time.Duration) dispatch.InFlight {
	inFlight := dispatch.InFlight{
		Tasks:     map[dispatch.TaskRef]bool{},
		Resources: map[string]state.Resources{},
		Slots:     map[state.ClassKey]int{},
		OverShare: map[state.ClassKey]bool{},
		AtLimit:   map[string]bool{},
		ByTenant:  map[string]state.Resources{},
	}
	local, index := s.access.IsLocal(), s.access.State().Position().Index
	for class, until := range s.overShareUntil {
		if index >= until {
			delete(s.overShareUntil, class)
		} else {
			inFlight.OverShare[class] = true
		}
	}
	for tenant, until := range s.atLimitUntil {
		if index >= until {
			delete(s.atLimitUntil, tenant)
		} else {
			inFlight.AtLimit[tenant] = true
		}
	}
	for id, pending := range s.proposals {
		if pending.committedAt > 0 && index >= pending.committedAt || now > pending.expiresAt {
			delete(s.proposals, id)
			continue
		}
		// The primary's own state contains a proposal as soon as it is submitted.
		if local && !pending.rejected {
			continue
		}
		for _, ref := range pending.tasks {
			inFlight.Tasks[ref] = true
		}
		if local {
			continue
		}
		for i, resources := range pending.resources {
			worker := pending.assignments[i].Worker
			inFlight.Resources[worker] = inFlight.Resources[worker].Add(resources)
			inFlight.Slots[pending.class] += resources.Slots
			inFlight.ByTenant[pending.tenant] = inFlight.ByTenant[pending.tenant].Add(resources)
		}
	}
	return inFlight
}
