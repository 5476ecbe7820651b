package dispatch

import (
	"slices"
	"strings"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// gangPlace is a worker that may run members of a gang.
type gangPlace struct {
	worker *state.Worker
	// deprioritized is set if the worker is unhealthy or slow, near if it is near the gang's
	// data, and isPuller if it is the pulling worker.
	deprioritized, near, isPuller bool
	// free is what remains free on the worker, and placed the number of members placed on it.
	free   state.Resources
	placed int
	// capacity is the number of members of a uniform gang that still fit.
	capacity int
}

// rackTotals sums up the places in one rack.
type rackTotals struct {
	name     string
	capacity int
	free     state.Resources
}

// gangSearch searches for workers for the members of a gang. Its buffers are reused.
type gangSearch struct {
	store   *state.Store
	job     *state.Job
	members []int
	// pullingRack is the rack of the pulling worker, and proposed what is proposed for each
	// worker and not yet in the state.
	pullingRack string
	proposed    map[string]state.Resources
	// uniform is set if all members have the same needs, as those of a step have; smallest is
	// the least of each resource that any member needs, and total is the sum of all members'
	// needs.
	uniform         bool
	smallest, total state.Resources

	// places are sorted by the names of the workers, racks by those of their first workers, and
	// all sums up all places. racks is empty for a gang that doesn't ask for a single rack.
	places []gangPlace
	racks  []rackTotals
	all    rackTotals

	// byPreference is a heap of the indexes of places, used for uniform gangs.
	byPreference []int
	rackNames    []string
	chosen       []string
}

// begin lists the workers that may run members of a gang. An unhealthy worker may if its
// circuit breaker admits the gang.
func (s *gangSearch) begin(d *Dispatcher, pull *pullRequest, job *state.Job, members []int) {
	s.store, s.job, s.members, s.uniform = pull.store, job, members, len(job.Spec.Steps) > 0
	s.pullingRack, s.proposed = pull.worker.Rack, pull.inFlight.Resources
	sameRack := job.Spec.Tasks[members[0]].SameRack
	s.smallest, s.total = job.Spec.Tasks[members[0]].Resources, state.Resources{}
	for _, i := range members {
		need := job.Spec.Tasks[i].Resources
		s.smallest, s.total = s.smallest.Min(need), s.total.Add(need)
	}
	s.places, s.racks, s.all = s.places[:0], s.racks[:0], rackTotals{}
	limit := newMemberLimit(job, members[0])
	for _, entry := range s.store.WorkerEntries() {
		worker := entry.Record()
		var rack *rackTotals
		if sameRack {
			rack = s.rack(worker.Rack)
		}
		proposed := s.proposed[worker.ID()]
		free := entry.FreeResources().Sub(proposed)
		if !free.Covers(s.smallest) || s.uniform && s.store.Fits(job, members[0], worker) != status.OK ||
			d.breakerOf(s.store, worker, proposed.Slots) == breakerOpen && !d.bypassesTrial(s.store, job) {
			continue
		}
		place := gangPlace{
			worker: worker, free: free, isPuller: worker.ID() == pull.id,
			deprioritized: d.health.deprioritized(s.store, worker),
		}
		if s.uniform {
			place.near = isNearData(job, members[0], worker)
			place.capacity = min(timesCovered(free, s.smallest, len(members)), limit.left(s.store, worker.ID()))
		}
		s.places = append(s.places, place)
		s.all.add(&place)
		if sameRack {
			rack.add(&place)
		}
	}
}

// rack returns the totals of a rack, which it adds if they are missing.
func (s *gangSearch) rack(name string) *rackTotals {
	last := len(s.racks) - 1
	if last >= 0 && s.racks[last].name == name {
		return &s.racks[last]
	}
	i := s.rackIndex(name)
	if i < 0 {
		i = len(s.racks)
		s.racks = append(s.racks, rackTotals{name: name})
	}
	return &s.racks[i]
}

func (s *gangSearch) rackIndex(name string) int {
	return slices.IndexFunc(s.racks, func(rack rackTotals) bool { return rack.name == name })
}

func (r *rackTotals) add(place *gangPlace) {
	r.capacity += place.capacity
	r.free = r.free.Add(place.free.Max(state.Resources{}))
}

// mayFit reports whether all members may fit into the places of a rack.
func (s *gangSearch) mayFit(rack *rackTotals) bool {
	if s.uniform {
		return rack.capacity >= len(s.members)
	}
	return rack.free.Covers(s.total)
}

// racksToTry returns the racks that may fit the gang, in the order to try them. For a gang that
// asks for a single rack these are the rack of its data, the pulling worker's rack, then all
// others. The empty name at the end represents all racks together.
func (s *gangSearch) racksToTry() []string {
	s.rackNames = s.rackNames[:0]
	if !s.mayFit(&s.all) {
		return nil
	}
	if task := &s.job.Spec.Tasks[s.members[0]]; task.SameRack {
		s.addRack(task.PreferredRack)
		s.addRack(s.pullingRack)
		for i := range s.racks {
			s.addRack(s.racks[i].name)
		}
	}
	s.rackNames = append(s.rackNames, "")
	return s.rackNames
}

func (s *gangSearch) addRack(name string) {
	i := s.rackIndex(name)
	if name != "" && i >= 0 && s.mayFit(&s.racks[i]) && !slices.Contains(s.rackNames, name) {
		s.rackNames = append(s.rackNames, name)
	}
}

// unmetNeed returns the need of the gang, and whether it is unmet: the free resources of all
// workers together are not enough for it. It is never reported as unmet for a gang that is not
// uniform or limits its members per worker.
func (s *gangSearch) unmetNeed() (gangNeed, bool) {
	task := &s.job.Spec.Tasks[s.members[0]]
	need := gangNeed{
		service: s.job.Spec.Service, labels: strings.Join(task.Labels, ","),
		perMember: task.Resources, members: len(s.members),
	}
	return need, s.uniform && task.MaxPerWorker == 0 && !s.mayFit(&s.all)
}

// place chooses a worker for every member of the gang, in the given rack unless its name is
// empty. It prefers workers that are not deprioritized, then those near the gang's data, then
// the pulling worker, then the one with the most free slots.
func (s *gangSearch) place(rack string) bool {
	s.chosen = s.chosen[:0]
	if s.uniform {
		return s.placeUniform(rack)
	}
	for n := range s.places {
		place := &s.places[n]
		place.placed = 0
		place.free = s.freeOf(place.worker)
	}
	for _, member := range s.members {
		best := s.choosePlace(member, rack)
		if best < 0 {
			return false
		}
		place := &s.places[best]
		place.free = place.free.Sub(s.job.Spec.Tasks[member].Resources)
		place.placed++
		s.chosen = append(s.chosen, place.worker.ID())
	}
	return true
}

// freeOf returns what is free on a worker, minus what is proposed for it.
func (s *gangSearch) freeOf(worker *state.Worker) state.Resources {
	return s.store.FreeResources(worker.ID()).Sub(s.proposed[worker.ID()])
}

// choosePlace returns the index of the best place for a member of a gang that is not uniform,
// or -1.
func (s *gangSearch) choosePlace(member int, rack string) int {
	store, spec := s.store, &s.job.Spec.Tasks[member]
	limited := s.job.Spec.Tasks[s.members[0]].MaxPerWorker > 0
	chosen := -1
	for n := range s.places {
		place := &s.places[n]
		if rack != "" && place.worker.Rack != rack || !place.free.Covers(spec.Resources) ||
			store.Fits(s.job, member, place.worker) != status.OK {
			continue
		}
		if limited && store.AtWorkerLimit(s.job, member, place.worker.ID(), place.placed) {
			continue
		}
		place.near = isNearData(s.job, member, place.worker)
		if chosen < 0 || place.precedes(&s.places[chosen]) {
			chosen = n
		}
	}
	return chosen
}

// precedes reports whether a place is better than another one that comes before it in the order
// of worker names.
func (p *gangPlace) precedes(other *gangPlace) bool {
	switch {
	case p.deprioritized != other.deprioritized:
		return !p.deprioritized
	case p.near != other.near:
		return p.near
	case p.isPuller != other.isPuller:
		return p.isPuller
	}
	return p.free.Slots > other.free.Slots
}

// timesCovered returns how many times resources cover a need, up to a limit.
func timesCovered(free, need state.Resources, limit int) int {
	if !free.Covers(need) {
		return 0
	}
	times := limit
	for _, pair := range [...][2]int{
		{free.Slots, need.Slots}, {free.Cores, need.Cores},
		{free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators},
	} {
		if pair[1] > 0 {
			times = min(times, pair[0]/pair[1])
		}
	}
	return times
}

// memberLimit limits how many members of a gang one worker may run.
type memberLimit struct {
	job   *state.Job
	first int
	// leased is set if a worker may already hold leases of the gang's step.
	leased bool
}

func newMemberLimit(job *state.Job, first int) memberLimit {
	limit := memberLimit{job: job, first: first}
	if job.Spec.Tasks[first].MaxPerWorker > 0 {
		limit.leased = slices.ContainsFunc(job.Tasks, func(task *state.Task) bool { return task.Lease.Held() })
	}
	return limit
}

// left returns how many more members a worker may run.
func (l memberLimit) left(store *state.Store, worker string) int {
	limit := l.job.Spec.Tasks[l.first].MaxPerWorker
	switch {
	case limit <= 0:
		return len(l.job.Tasks)
	case !l.leased:
		return limit
	}
	left := 0
	for left < limit && !store.AtWorkerLimit(l.job, l.first, worker, left) {
		left++
	}
	return left
}
