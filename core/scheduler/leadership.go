package scheduler

import (
	"sort"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// registrationInterval is the time between two registrations of a scheduler.
const registrationInterval = 500 * time.Millisecond

// LeadershipName returns the name of the leadership for dispatch in a zone.
func LeadershipName(zone string) string { return "dispatch/" + zone }

// LedZones returns the zones whose dispatch this scheduler leads, sorted by name.
func (s *Scheduler) LedZones() []string {
	var led []string
	for _, zone := range s.zones() {
		if s.leads(zone) {
			led = append(led, zone)
		}
	}
	return led
}

func (s *Scheduler) leads(zone string) bool {
	return s.access.State().Leadership(LeadershipName(zone)).Leader == s.config.Address
}

// zones returns all known zones, sorted by name: those of this scheduler, of the workers, and
// of heartbeats from zones without a leader.
func (s *Scheduler) zones() []string {
	set := map[string]bool{s.config.Zone: true}
	for _, entry := range s.access.State().WorkerEntries() {
		set[entry.Record().Zone] = true
	}
	for zone := range s.leaderlessZones {
		set[zone] = true
	}
	zones := make([]string, 0, len(set))
	for zone := range set {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// register renews the scheduler's registration, votes on leaderships whose leader is silent,
// and transfers leaderships to schedulers in the zones themselves. The primary's own scheduler
// takes the leadership of every zone instead.
func (s *Scheduler) register(now time.Duration, out *machine.Output) {
	s.nextRegistration = now + registrationInterval
	s.dispatcher.RequeueFromLostWorkers(s.access.State())
	if s.stopping || !s.access.Loaded() {
		return
	}
	if s.access.IsLocal() {
		for _, zone := range s.zones() {
			s.takeLeadership(now, zone, out)
		}
		return
	}
	registered := false
	for _, zone := range s.zones() {
		if vote, ok := s.voteFor(zone); ok {
			s.submitRegistration(now, vote, registrationInterval, out)
			registered = true
		}
	}
	s.leaderlessZones = map[string]bool{}
	if !registered {
		s.submitRegistration(now, s.registration(), registrationInterval, out)
	}
}

func (s *Scheduler) registration() state.SchedulerHeartbeat {
	return state.SchedulerHeartbeat{Scheduler: s.config.Address, Zone: s.config.Zone}
}

func (s *Scheduler) submitRegistration(
	now time.Duration, registration state.SchedulerHeartbeat, timeout time.Duration, out *machine.Output,
) {
	command := state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: registration}
	s.access.Submit(now, command, timeout, out)
}

// voteFor returns a registration that includes a vote on the leadership of a zone. A vote is
// due if another scheduler leads and is silent, if nobody leads, or if this scheduler leads
// from another zone although a scheduler of the zone itself is available.
func (s *Scheduler) voteFor(zone string) (state.SchedulerHeartbeat, bool) {
	store := s.access.State()
	leadership, candidate := store.Leadership(LeadershipName(zone)), s.preferredLeader(zone)
	leads := leadership.Leader == s.config.Address
	silent := leadership.Leader == "" || store.Now()-leadership.LastSeenAt > s.leaderTimeout()
	transfer := leads && s.config.Zone != zone && candidate.Zone == zone
	vote := s.registration()
	vote.Leadership = LeadershipName(zone)
	vote.Candidate = candidate.ID
	vote.Epoch = leadership.Epoch
	vote.Transfer = transfer
	return vote, candidate.ID != "" && (silent && !leads || transfer)
}

// leaderTimeout returns how long a leader may be silent before it can be replaced.
func (s *Scheduler) leaderTimeout() time.Duration {
	return s.access.State().Config().Limits.HeartbeatTimeout.Duration / 2
}

// takeLeadership makes the primary's own scheduler the leader of a zone's dispatch.
func (s *Scheduler) takeLeadership(now time.Duration, zone string, out *machine.Output) {
	if !s.access.Fresh(now) || s.leads(zone) {
		return
	}
	command := state.Command{
		Kind: state.KindTakeLeadership, Name: LeadershipName(zone), SchedulerHeartbeat: s.registration(),
	}
	s.access.Submit(now, command, commandTimeout, out)
}

// preferredLeader returns the scheduler that should lead a zone's dispatch: among the live
// ones, those in the zone itself come first, then those that lead the fewest zones. The result
// is empty if there is none.
func (s *Scheduler) preferredLeader(zone string) state.Scheduler {
	store := s.access.State()
	led := map[string]int{}
	for _, leadership := range store.Leaderships() {
		led[leadership.Leader]++
	}
	var best state.Scheduler
	for _, candidate := range store.Schedulers(s.leaderTimeout()) {
		if candidate.ID == s.config.Address && s.stopping {
			continue
		}
		local, bestLocal := candidate.Zone == zone, best.Zone == zone
		if best.ID == "" || local && !bestLocal || local == bestLocal && led[candidate.ID] < led[best.ID] {
			best = candidate
		}
	}
	return best
}

// handOver transfers the leaderships of this scheduler to others when it stops.
func (s *Scheduler) handOver(now time.Duration, out *machine.Output) {
	if s.access.IsLocal() {
		return
	}
	for _, zone := range s.LedZones() {
		successor := s.preferredLeader(zone)
		if successor.ID == "" {
			continue
		}
		leadership := s.access.State().Leadership(LeadershipName(zone))
		transfer := s.registration()
		transfer.Leadership = leadership.Name
		transfer.Candidate = successor.ID
		transfer.Epoch = leadership.Epoch
		transfer.Transfer = true
		transfer.Leaving = true
		s.submitRegistration(now, transfer, commandTimeout, out)
	}
}
