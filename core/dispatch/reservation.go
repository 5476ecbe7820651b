package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/quota"
	"sorrelloom/core/state"
)

// A gang needs resources for all its members at the same time, which steady smaller work would
// never leave free. A gang that has waited for long therefore reserves what its members need on
// the workers that are expected to become free first. Until the gang has started, younger tasks
// that are not quick get only what remains on these workers, and the other workers. Tasks of
// other classes are held back only while the gang could start within its class's share. In each
// service one gang at a time has a reservation: the oldest one that the present workers could
// run beside long-running tasks. A gang that can't start holds nothing back. How long a
// reservation holds back work is bounded (holdWindow).

const (
	// reserveAfter is how long a gang waits before it gets a reservation.
	reserveAfter = 3 * time.Second
	// reservationTTL is how long the reservations are cached.
	reservationTTL = 50 * time.Millisecond
)

// reservation is the reservation of the gang whose first member is the task.
type reservation struct {
	number uint64
	job    *state.Job
	task   int
	// resources is what the gang keeps free on each worker.
	resources map[string]state.Resources
	// holds is set if the reservation holds back younger work now; conditions are those under
	// which that was decided.
	holds      bool
	conditions holdConditions
}

// reservationCache holds the reservations of all services, and the oldest gang of each tenant
// that waits for the tenant's limit. Both maps are nil until they are first computed.
type reservationCache struct {
	computedAt time.Duration
	byService  map[string]reservation
	byTenant   map[string]waitingGang
	// released holds the work that no gang holds back now, since two gangs together have held
	// it back for too long (overlapWindow).
	released map[heldWork]bool
	// longRunning is what each tenant's long-running tasks use; nil until it is computed.
	longRunning *quota.Usage
	// groups and search are buffers that are reused.
	groups []*taskGroup
	search reservationSearch
}

// reservation returns a service's reservation, if there is one.
func (d *Dispatcher) reservation(store *state.Store, service string) (reservation, bool) {
	d.refreshReservations(store)
	found, ok := d.reservations.byService[service]
	return found, ok
}

// refreshReservations computes the reservations if they have expired. It visits the groups with
// the oldest gangs first, so that usually only one gang of a service is compared with the
// workers.
func (d *Dispatcher) refreshReservations(store *state.Store) {
	cache := &d.reservations
	if cache.byService != nil && store.Now() < cache.computedAt+reservationTTL {
		return
	}
	if cache.byService == nil {
		cache.byService, cache.byTenant = map[string]reservation{}, map[string]waitingGang{}
		cache.released = map[heldWork]bool{}
	}
	cache.computedAt, cache.longRunning, cache.search.health = store.Now(), nil, &d.health
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
	d.updateServiceHolds(store)
	d.updateTenantHolds(store)
	d.updateOverlaps(store)
}

// updateServiceHolds decides which reservations hold back younger work now.
func (d *Dispatcher) updateServiceHolds(store *state.Store) {
	dropWindows(d.serviceWindows, d.reservations.byService)
	for service, found := range d.reservations.byService {
		found.conditions = holdConditions{
			idle:      d.atMostHalfUsed(store, service),
			streaming: d.serviceArrivals.areStreaming(store.Now(), service),
		}
		found.holds = windowOf(d.serviceWindows, service).holds(store.Now(), found.conditions)
		d.reservations.byService[service] = found
	}
}

// dropWindows drops the windows of services or tenants for which no gang waits, unless the
// window is in its pause.
func dropWindows[V any](windows map[string]*holdWindow, waiting map[string]V) {
	for name, window := range windows {
		if _, waits := waiting[name]; !waits && window.began {
			delete(windows, name)
		}
	}
}

// windowOf returns the window with the name, and creates it if there is none.
func windowOf(windows map[string]*holdWindow, name string) *holdWindow {
	if windows[name] == nil {
		windows[name] = &holdWindow{}
	}
	return windows[name]
}

// addGroup records the gangs of a group that have waited for long enough: those that wait for
// the limit of their tenant, and of the others the oldest that the workers could run.
func (c *reservationCache) addGroup(store *state.Store, group *taskGroup) {
	for _, task := range group.tasks {
		job, ok := store.Job(task.ref.Job)
		if !ok || store.Now()-job.Tasks[task.ref.Index].ReadyAt < reserveAfter {
			continue
		}
		if job.Tenant != "" && c.recordWaitingGang(store, job, task) {
			continue
		}
		if oldest, known := c.byService[group.key.service]; known && oldest.number <= task.number {
			return
		}
		if _, share := store.ClassUse(group.key.service, group.key.class); share == 0 {
			return
		}
		if resources, fits := c.search.find(store, job, task.ref.Index); fits {
			c.byService[group.key.service] = reservation{
				number: task.number, job: job, task: task.ref.Index, resources: resources,
			}
			return
		}
	}
}

// reservedForGang reports whether a gang's reservation keeps the pulling worker from a task
// with the given key and number.
func (d *Dispatcher) reservedForGang(pull *pullRequest, key *groupKey, number uint64) bool {
	reserved, ok := d.reservation(pull.store, key.service)
	if !ok || !reserved.holds || number <= reserved.number || key.isGang() {
		return false
	}
	class := reserved.job.Spec.Class
	slots := gangSlots(reserved.job, reserved.task)
	if allowed, _ := pull.store.CheckShare(state.ClassKey{Service: key.service, Class: class}, slots, nil); !allowed {
		// The gang waits for its class's share, and younger tasks of the class would use more
		// of it.
		return key.class == class
	}
	kept, reservedHere := reserved.resources[pull.id]
	return reservedHere && !pull.free.Sub(key.resources).Covers(kept)
}
