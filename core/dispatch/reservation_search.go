package dispatch

import (
	"cmp"
	"slices"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// reservationPlace is a worker that may run members of a waiting gang.
type reservationPlace struct {
	worker *state.Worker
	// available is the worker's capacity without the resources of long-running tasks, and free
	// is what is free on it now.
	available, free state.Resources
	// deprioritized is set if the worker is unhealthy or slow, and fitsNow if a member fits
	// into its free resources now.
	deprioritized, fitsNow bool
	placed                 int
}

// reservationSearch finds the workers that a waiting gang could use once all tasks that are not
// long-running have ended. Its buffers are reused.
type reservationSearch struct {
	health *healthTracker
	places []reservationPlace
}

// find returns what a gang would use of each worker, if the present workers could run all its
// members. It prefers workers that are not deprioritized, then those with the most free
// resources now, since the gang is expected to wait the least for these.
func (r *reservationSearch) find(
	store *state.Store, job *state.Job, i int,
) (taken map[string]state.Resources, fits bool) {
	members, startable := startableMembers(job, i)
	if !startable || len(members) == 0 {
		return nil, false
	}
	r.begin(store, job, members[0])
	if len(job.Spec.Steps) > 0 {
		return r.placeUniform(store, job, members)
	}
	return r.placeEach(store, job, members)
}

// begin lists the workers, best first. The members of a step's gang are equal, so for such a
// gang it lists only workers that fit the first member.
func (r *reservationSearch) begin(store *state.Store, job *state.Job, first int) {
	need, uniform := job.Spec.Tasks[first].Resources, len(job.Spec.Steps) > 0
	r.places = r.places[:0]
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		available := worker.Capacity.Sub(entry.LongRunningResources())
		if uniform && (!available.Covers(need) || store.Fits(job, first, worker) != status.OK) {
			continue
		}
		free := entry.FreeResources()
		r.places = append(r.places, reservationPlace{
			worker: worker, available: available, free: free, fitsNow: free.Covers(need),
			deprioritized: r.health.deprioritized(store, worker),
		})
	}
	slices.SortStableFunc(r.places, reservationPlace.compare)
}

// compare orders places: workers that are not deprioritized come first, then those where a
// member fits now, then those with the most free slots.
func (p reservationPlace) compare(other reservationPlace) int {
	if p.deprioritized != other.deprioritized {
		if other.deprioritized {
			return -1
		}
		return 1
	}
	if p.fitsNow != other.fitsNow {
		if p.fitsNow {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.free.Slots, p.free.Slots)
}

// placeUniform places members that are all equal.
func (r *reservationSearch) placeUniform(
	store *state.Store, job *state.Job, members []int,
) (taken map[string]state.Resources, fits bool) {
	need, limit, left := job.Spec.Tasks[members[0]].Resources, newMemberLimit(job, members[0]), len(members)
	taken = map[string]state.Resources{}
	for n := range r.places {
		place := &r.places[n]
		id := place.worker.ID()
		placed := min(timesCovered(place.available, need, left), limit.left(store, id))
		if placed > 0 {
			taken[id] = need.Times(placed)
			left -= placed
		}
		if left == 0 {
			return taken, true
		}
	}
	return nil, false
}

// placeEach places the members in order, each on the first worker that fits.
func (r *reservationSearch) placeEach(
	store *state.Store, job *state.Job, members []int,
) (taken map[string]state.Resources, fits bool) {
	taken = map[string]state.Resources{}
	for _, member := range members {
		need := job.Spec.Tasks[member].Resources
		n := slices.IndexFunc(r.places, func(place reservationPlace) bool {
			return place.available.Covers(need) && store.Fits(job, member, place.worker) == status.OK &&
				!store.AtWorkerLimit(job, member, place.worker.ID(), place.placed)
		})
		if n < 0 {
			return nil, false
		}
		place := &r.places[n]
		place.available = place.available.Sub(need)
		place.placed++
		taken[place.worker.ID()] = taken[place.worker.ID()].Add(need)
	}
	return taken, true
}

// startableMembers returns the members of a task's gang that are not complete, and whether all
// of them can start.
func startableMembers(job *state.Job, i int) (members []int, startable bool) {
	members = openMembers(job, job.Spec.Tasks[i].Gang)
	for _, member := range members {
		if task := job.Tasks[member]; task.State != state.Ready || task.Lease.Held() {
			return nil, false
		}
	}
	return members, true
}
