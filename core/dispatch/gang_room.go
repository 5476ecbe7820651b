package dispatch

import (
	"cmp"
	"slices"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// roomPlace is a worker that may run members of a waiting gang.
type roomPlace struct {
	worker *state.Worker
	// left is what it has beside what lasts until a job is cancelled, and free what it has now.
	left, free state.Resources
	// avoided says that the worker is unhealthy or slow, and fitsNow that a member would fit now.
	avoided, fitsNow bool
	placed           int
}

// gangRoom finds the workers that a waiting gang could take once all that ends has ended. Its
// memory is used again.
type gangRoom struct {
	health *healthTracker
	places []roomPlace
}

// find returns what a gang would take of each worker, if the present workers could run it
// whole. It prefers sound ones, then those that have most left now, which the gang waits for
// least.
func (r *gangRoom) find(store *state.Store, job *state.Job, i int) (taken map[string]state.Resources, fits bool) {
	members, startable := openMembersOf(job, i)
	if !startable || len(members) == 0 {
		return nil, false
	}
	r.begin(store, job, members[0])
	if len(job.Spec.Steps) > 0 {
		return r.placeAlike(store, job, members)
	}
	return r.placeEach(store, job, members)
}

// begin lists the workers, best first. A gang of a step has members that are alike, so only the
// workers that fit the first one are listed for it.
func (r *gangRoom) begin(store *state.Store, job *state.Job, first int) {
	need, alike := job.Spec.Tasks[first].Resources, len(job.Spec.Steps) > 0
	r.places = r.places[:0]
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		left := worker.Capacity.Sub(entry.LastingResources())
		if alike && (!left.Covers(need) || store.Fits(job, first, worker) != status.OK) {
			continue
		}
		free := entry.FreeResources()
		r.places = append(r.places, roomPlace{
			worker: worker, left: left, free: free, fitsNow: free.Covers(need),
			avoided: r.health.deprioritized(store, worker),
		})
	}
	slices.SortStableFunc(r.places, roomPlace.compare)
}

// compare orders places: sound workers come first, then those where a member fits now, then those
// with most slots free.
func (p roomPlace) compare(other roomPlace) int {
	if p.avoided != other.avoided {
		if other.avoided {
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

// placeAlike places members that are all alike.
func (r *gangRoom) placeAlike(
	store *state.Store, job *state.Job, members []int,
) (taken map[string]state.Resources, fits bool) {
	need, limit, left := job.Spec.Tasks[members[0]].Resources, newMemberLimit(job, members[0]), len(members)
	taken = map[string]state.Resources{}
	for n := range r.places {
		place := &r.places[n]
		id := place.worker.ID()
		placed := min(timesCovered(place.left, need, left), limit.left(store, id))
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

// placeEach places members one after the other, each on the first worker that fits.
func (r *gangRoom) placeEach(
	store *state.Store, job *state.Job, members []int,
) (taken map[string]state.Resources, fits bool) {
	taken = map[string]state.Resources{}
	for _, member := range members {
		need := job.Spec.Tasks[member].Resources
		n := slices.IndexFunc(r.places, func(place roomPlace) bool {
			return place.left.Covers(need) && store.Fits(job, member, place.worker) == status.OK &&
				!store.AtWorkerLimit(job, member, place.worker.ID(), place.placed)
		})
		if n < 0 {
			return nil, false
		}
		place := &r.places[n]
		place.left = place.left.Sub(need)
		place.placed++
		taken[place.worker.ID()] = taken[place.worker.ID()].Add(need)
	}
	return taken, true
}

// openMembersOf returns the members of a task's gang that are not complete, and whether all of
// them can start.
func openMembersOf(job *state.Job, i int) (members []int, startable bool) {
	members = openMembers(job, job.Spec.Tasks[i].Gang)
	for _, member := range members {
		if task := job.Tasks[member]; task.State != state.Ready || task.Lease.Held() {
			return nil, false
		}
	}
	return members, true
}
