package state

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// schedulerTimeout is how long after its last heartbeat a scheduler counts as live when
// the majority for a vote is determined.
const schedulerTimeout = 4 * time.Second

// Leadership is a role, such as the dispatch of a zone, that one scheduler holds at a
// time. Its Epoch increases whenever the leader is set, so that requests of an earlier
// leader are rejected.
type Leadership struct {
	Name       string        `json:"name"`
	Leader     string        `json:"holder"`
	Epoch      uint64        `json:"epoch"`
	LastSeenAt time.Duration `json:"seenAt"`
	// Votes maps each scheduler that has voted on the next epoch to its candidate.
	Votes map[string]string `json:"votes,omitempty"`
}

// Scheduler is a scheduler process that has sent a heartbeat.
type Scheduler struct {
	ID         string        `json:"id"`
	Zone       string        `json:"site"`
	LastSeenAt time.Duration `json:"seenAt"`
}

// SchedulerHeartbeat renews a scheduler's registration and its leaderships. If Leadership
// is set, it also votes for the Candidate as the next leader of that leadership, which
// counts only while the current leader is silent. If Transfer is set and the sender is the
// current leader, the Candidate succeeds it without a vote.
type SchedulerHeartbeat struct {
	Scheduler  string `json:"daemon"`
	Zone       string `json:"site"`
	Leadership string `json:"want,omitempty"`
	Candidate  string `json:"for,omitempty"`
	// Epoch is the epoch of the leadership that the vote is to end.
	Epoch    uint64 `json:"epoch,omitempty"`
	Transfer bool   `json:"pass,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// Leadership returns a leadership by its name; the zero value if it never had a leader.
func (s *Store) Leadership(name string) Leadership { return s.leaderships[name] }

// Leaderships returns all leaderships, sorted by name.
func (s *Store) Leaderships() []Leadership {
	leaderships := make([]Leadership, 0, len(s.leaderships))
	for _, name := range slices.Sorted(maps.Keys(s.leaderships)) {
		leaderships = append(leaderships, s.leaderships[name])
	}
	return leaderships
}

// Schedulers returns the schedulers whose last heartbeat is no older than the given
// duration, sorted by ID.
func (s *Store) Schedulers(within time.Duration) []Scheduler {
	var schedulers []Scheduler
	for _, id := range slices.Sorted(maps.Keys(s.schedulers)) {
		if scheduler := s.schedulers[id]; s.now-scheduler.LastSeenAt <= within {
			schedulers = append(schedulers, scheduler)
		}
	}
	return schedulers
}

// schedulerHeartbeat renews a scheduler's registration and takes its vote. A leadership
// moves when its leader names a successor or, if the leader is silent, when a majority of
// the live schedulers vote for the same candidate.
func (s *Store) schedulerHeartbeat(hb SchedulerHeartbeat) Result {
	s.registerScheduler(&hb)
	if hb.Leadership == "" {
		return Result{Code: status.OK}
	}
	leadership := s.leaderships[hb.Leadership]
	silent := leadership.Leader == "" ||
		s.now-leadership.LastSeenAt > s.config.Limits.HeartbeatTimeout.Duration/2
	transferred := hb.Transfer && leadership.Leader == hb.Scheduler
	if hb.Epoch != leadership.Epoch || !silent && !transferred {
		return reject(status.StaleEpoch, "duty %s is held by %s at epoch %d",
			hb.Leadership, leadership.Leader, leadership.Epoch)
	}
	if _, ok := s.schedulers[hb.Candidate]; !ok {
		return reject(status.UnknownName, "no scheduler %s has said hello", hb.Candidate)
	}
	votes := map[string]string{hb.Scheduler: hb.Candidate}
	for voter, candidate := range leadership.Votes {
		if voter != hb.Scheduler {
			votes[voter] = candidate
		}
	}
	leadership.Name, leadership.Votes = hb.Leadership, votes
	if transferred || hasMajority(votes, hb.Candidate, s.Schedulers(schedulerTimeout)) {
		s.setLeader(hb.Leadership, hb.Candidate)
		s.changes = append(s.changes, Change{All: true})
	} else {
		s.leaderships[hb.Leadership] = leadership
	}
	return Result{Code: status.OK}
}

// registerScheduler renews a scheduler's registration and its leaderships, or removes a
// scheduler that leaves.
func (s *Store) registerScheduler(hb *SchedulerHeartbeat) {
	if hb.Leaving {
		delete(s.schedulers, hb.Scheduler)
		return
	}
	s.schedulers[hb.Scheduler] = Scheduler{ID: hb.Scheduler, Zone: hb.Zone, LastSeenAt: s.now}
	for name, leadership := range s.leaderships {
		if leadership.Leader == hb.Scheduler {
			leadership.LastSeenAt = s.now
			s.leaderships[name] = leadership
		}
	}
}

// transferLeadership moves a leadership to another scheduler on an operator's request.
func (s *Store) transferLeadership(name, candidate string) Result {
	leadership, known := s.leaderships[name]
	if !known {
		return rejectUnknownName("duty", name, slices.Sorted(maps.Keys(s.leaderships)))
	}
	if _, ok := s.schedulers[candidate]; !ok {
		return rejectUnknownName("scheduler", candidate, slices.Sorted(maps.Keys(s.schedulers)))
	}
	if leadership.Leader == candidate {
		return Result{Code: status.AlreadyDone}
	}
	s.setLeader(name, candidate)
	s.changes = append(s.changes, Change{All: true})
	return Result{Code: status.OK}
}

// takeLeadership makes the primary's own scheduler the leader. No vote is needed: the
// epoch of the replicated log already fences off earlier primaries.
func (s *Store) takeLeadership(name string, hb SchedulerHeartbeat) Result {
	s.schedulers[hb.Scheduler] = Scheduler{ID: hb.Scheduler, Zone: hb.Zone, LastSeenAt: s.now}
	s.setLeader(name, hb.Scheduler)
	return Result{Code: status.OK}
}

// setLeader starts the next epoch of a leadership with the given leader.
func (s *Store) setLeader(name, leader string) {
	s.audit.record(Decision{Kind: decisionSetLeader, Name: name, Worker: leader})
	s.leaderships[name] = Leadership{
		Name: name, Leader: leader, Epoch: s.leaderships[name].Epoch + 1, LastSeenAt: s.now,
	}
}

// hasMajority reports whether more than half of the live schedulers vote for a candidate.
func hasMajority(votes map[string]string, candidate string, live []Scheduler) bool {
	count := 0
	for _, scheduler := range live {
		if votes[scheduler.ID] == candidate {
			count++
		}
	}
	return count > len(live)/2
}
