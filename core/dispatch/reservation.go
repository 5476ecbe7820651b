package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// A gang needs resources for all its members at one moment, which steady smaller
// work would never leave free. A gang that has waited for long therefore reserves
// the workers that could run its members: until it has started, they get no younger
// task that is not quick, and tasks of other classes are held back only while the
// gang could start within its class's share. In each service one gang at a time has
// a reservation, the oldest that the present workers could run.

const (
	// reserveAfter is how long a gang waits before it gets a reservation.
	reserveAfter = 3 * time.Second
	// reservationTTL is how long the reservations found are taken to stand.
	reservationTTL = 50 * time.Millisecond
)

// reservation is that of the gang whose first member is the task.
type reservation struct {
	number uint64
	job    *state.Job
	task   int
}

// reservationCache holds the reservations of all services, and the oldest gang of each
// tenant that waits for the tenant's limit; nil is unknown.
type reservationCache struct {
	computedAt time.Duration
	byService  map[string]reservation
	byTenant   map[string]waitingGang
	// groups and free are memory that is used again.
	groups []*taskGroup
	free   []state.Resources
}

// reservation returns a service's reservation, if there is one.
func (d *Dispatcher) reservation(store *state.Store, service string) (reservation, bool) {
	d.refreshReservations(store)
	found, ok := d.reservations.byService[service]
	return found, ok
}

// refreshReservations finds the reservations anew if they are old. The groups with the oldest
// gangs come first, so that mostly one gang of a service is compared with the workers.
func (d *Dispatcher) refreshReservations(store *state.Store) {
	cache := &d.reservations
	if cache.byService != nil && store.Now() < cache.computedAt+reservationTTL {
		return
	}
	if cache.byService == nil {
		cache.byService, cache.byTenant = map[string]reservation{}, map[string]waitingGang{}
	}
	cache.computedAt = store.Now()
	clear(cache.byService)
	clear(cache.byTenant)
	groups := cache.groups[:0]
	for _, queue := range d.queues.withGangs {
		for _, group := range queue.groups {
			if group.key.isGang() {
				groups = append(groups, group)
			}
		}
	}
	slices.SortFunc(groups, func(a, b *taskGroup) int { return cmp.Compare(a.tasks[0].number, b.tasks[0].number) })
	for _, group := range groups {
		cache.addGroup(store, group)
	}
	clear(groups)
	cache.groups = groups
}

// addGroup takes the gangs of a group that have waited long enough: those that wait for the
// limit of their tenant, and of the others the oldest that could run.
func (c *reservationCache) addGroup(store *state.Store, group *taskGroup) {
	for _, task := range group.tasks {
		job, ok := store.Job(task.ref.Job)
		if !ok || store.Now()-job.Tasks[task.ref.Index].ReadyAt < reserveAfter {
			continue
		}
		if job.Tenant != "" && c.noteWaitingGang(store, job, task) {
			continue
		}
		if oldest, known := c.byService[group.key.service]; known && oldest.number <= task.number {
			return
		}
		_, share := store.ClassUse(group.key.service, group.key.class)
		if share > 0 && c.fitsIdleWorkers(store, job, task.ref.Index) {
			c.byService[group.key.service] = reservation{task.number, job, task.ref.Index}
			return
		}
	}
}

// fitsIdleWorkers reports whether the present workers could run the whole gang if they had
// nothing else to do.
func (c *reservationCache) fitsIdleWorkers(store *state.Store, job *state.Job, i int) bool {
	members, startable := openMembersOf(job, i)
	if !startable {
		return false
	}
	if len(job.Spec.Steps) > 0 {
		return len(members) == 0 || idlePlaces(store, job, members[0], len(members)) == len(members)
	}
	c.free = c.free[:0]
	for _, entry := range store.WorkerEntries() {
		c.free = append(c.free, entry.Record().Capacity)
	}
	for _, member := range members {
		if !placeFirstFit(store, job, member, c.free) {
			return false
		}
	}
	return true
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

// idlePlaces counts how many tasks like this one the present workers could run if they had
// nothing else to do, up to a limit.
func idlePlaces(store *state.Store, job *state.Job, i, limit int) int {
	places := 0
	for _, entry := range store.WorkerEntries() {
		if worker := entry.Record(); store.Fits(job, i, worker) == status.OK {
			places += timesCovered(worker.Capacity, job.Spec.Tasks[i].Resources, limit-places)
		}
		if places == limit {
			break
		}
	}
	return places
}

// placeFirstFit takes a task's resources from the first worker that fits.
func placeFirstFit(store *state.Store, job *state.Job, i int, free []state.Resources) bool {
	need := job.Spec.Tasks[i].Resources
	for n, entry := range store.WorkerEntries() {
		if free[n].Covers(need) && store.Fits(job, i, entry.Record()) == status.OK {
			free[n] = free[n].Sub(need)
			return true
		}
	}
	return false
}

// reservedForGang reports whether a gang's reservation keeps a worker from the task
// with this key and number.
func (d *Dispatcher) reservedForGang(store *state.Store, worker *state.Worker, key *groupKey, number uint64) bool {
	if d.options.WithoutReservation {
		return false
	}
	reserved, ok := d.reservation(store, key.service)
	if !ok || number <= reserved.number || key.quick {
		return false
	}
	if key.isGang() || store.Fits(reserved.job, reserved.task, worker) != status.OK {
		return false
	}
	if key.class == reserved.job.Spec.Class {
		return true
	}
	slots := gangSlots(reserved.job, reserved.task)
	allowed, _ := store.CheckShare(state.ClassKey{Service: key.service, Class: reserved.job.Spec.Class}, slots, nil)
	return allowed
}
