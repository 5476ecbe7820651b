package state

import (
	"strings"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// labelSeparator joins the labels of a demand into one string, since a demand is a map key.
const labelSeparator = ","

// demand is what a ready task without a lease requires: a worker of its service with its
// labels and resources, and quota of its class and tenant. Tasks with equal demands are counted
// together.
type demand struct {
	service, class, labels, tenant string
	resources                      Resources
	// gangSlots is the number of slots that all members of the task's gang need together; 0
	// without a gang.
	gangSlots int
}

// demandOf returns the demand of the task with index i.
func demandOf(job *Job, i int) demand {
	spec := &job.Spec.Tasks[i]
	wanted := demand{
		service:   job.Spec.Service,
		class:     job.Spec.Class,
		labels:    strings.Join(spec.Labels, labelSeparator),
		tenant:    job.Tenant,
		resources: spec.Resources,
	}
	if spec.Gang != "" && len(job.Spec.Steps) > 0 {
		wanted.gangSlots = job.Spec.Steps[spec.Step].Count * spec.Resources.Slots
	} else if spec.Gang != "" {
		for _, other := range job.Spec.Tasks {
			if other.Gang == spec.Gang {
				wanted.gangSlots += other.Resources.Slots
			}
		}
	}
	return wanted
}

// unmetDemand counts the tasks because of which a class must not borrow resources: waiting
// tasks of the service's other classes that are within their class's share and their tenant's
// limit, and that fit some live worker. A gang that needs more slots than the service has is
// left out.
func (s *Store) unmetDemand(service, class string) int {
	unmet, load := 0, s.ServiceLoad(service)
	for wanted, count := range s.waiting {
		if wanted.service != service || wanted.class == class || wanted.gangSlots > load.Slots {
			continue
		}
		share := s.shareSlots(service, wanted.class, load.Slots)
		if load.Used[wanted.class]+wanted.resources.Slots > share {
			continue
		}
		if s.TenantAllows(wanted.tenant, wanted.resources) && s.isSatisfiable(wanted) {
			unmet += count
		}
	}
	return unmet
}

// waitingJobs counts the active jobs of a route with no task started (see anyTaskStarted).
func (s *Store) waitingJobs(route config.Route) int {
	count := 0
	for id := range s.activeJobs {
		job := s.jobs[id]
		if job.EndingState == "" && s.matchesRoute(&job.Spec, route) && !anyTaskStarted(job.Tasks) {
			count++
		}
	}
	return count
}

// matchesRoute reports whether a job belongs to a route: it has the route's service and class.
// If its class is no longer configured, the job belongs to the route that its host and path
// match now.
func (s *Store) matchesRoute(spec *JobSpec, route config.Route) bool {
	if _, configured := s.config.Services[spec.Service].Classes[spec.Class]; configured || spec.Host == "" {
		return spec.Service == route.Service && spec.Class == route.Class
	}
	now, found := s.config.FindRoute(spec.Host, spec.Path)
	return found && now == route
}

// anyTaskStarted reports whether one of the tasks has started, is done, or had an earlier
// attempt that failed or was lost. Earlier attempts that were stopped do not count.
func anyTaskStarted(tasks []*Task) bool {
	for i := range tasks {
		task := tasks[i]
		if task.Lease.StartedAt > 0 || task.State == Done || task.Failures+task.Losses > 0 {
			return true
		}
	}
	return false
}

// queryCache holds results that several queries at the same log position share.
type queryCache struct {
	position    LogPosition
	satisfiable map[demand]bool
}

// currentCache returns the cache for the current position.
func (s *Store) currentCache() queryCache {
	if s.cache.position != s.position || s.cache.satisfiable == nil {
		s.cache = queryCache{s.position, map[demand]bool{}}
	}
	return s.cache
}

// isSatisfiable reports whether some live worker is allowed to run a task with the given
// demand and has the capacity for it when idle.
func (s *Store) isSatisfiable(wanted demand) bool {
	cache := s.currentCache().satisfiable
	if known, ok := cache[wanted]; ok {
		return known
	}
	cache[wanted] = s.anyWorkerSatisfies(wanted)
	return cache[wanted]
}

// anyWorkerSatisfies is isSatisfiable without the cache.
func (s *Store) anyWorkerSatisfies(wanted demand) bool {
	for _, worker := range s.workers {
		probe := Job{Spec: JobSpec{Service: wanted.service, Tasks: []TaskSpec{{Resources: wanted.resources}}}}
		if wanted.labels != "" {
			probe.Spec.Tasks[0].Labels = strings.Split(wanted.labels, labelSeparator)
		}
		if s.Fits(&probe, 0, worker) == status.OK && worker.Capacity.Covers(wanted.resources) {
			return true
		}
	}
	return false
}
