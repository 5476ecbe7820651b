package state

import (
	"cmp"
	"time"

	"sorrelloom/core/config"
)

// A job keeps the name of the class in which it was accepted. A configuration change may
// remove that class before the job has ended, for example when its route is renamed or points
// to another service. The last settings of the class then stay in force for the job: whether
// its tasks restart after the loss of a worker, their run limit, priority and share. The
// admission of new jobs and the access to existing ones depend on the current configuration
// alone.

// Class returns the settings of a class in the current configuration. For a class that was
// removed while jobs of it were active it returns the last settings, and the zero value for
// any other.
func (s *Store) Class(service, class string) config.Class {
	if configured, ok := s.config.Services[service].Classes[class]; ok {
		return configured
	}
	return s.formerClasses[service][class]
}

// classOf returns the settings of a job's class.
func (s *Store) classOf(spec *JobSpec) config.Class { return s.Class(spec.Service, spec.Class) }

// runLimit returns how long an attempt of a task may run: the first limit that is set of the
// task's own, its class's and the global one.
func (s *Store) runLimit(ref taskRef) time.Duration {
	spec := &s.jobs[ref.job].Spec
	own, ofClass := spec.Tasks[ref.index].RunLimit, s.classOf(spec).RunLimit
	return cmp.Or(max(0, own.Duration), max(0, ofClass.Duration), s.config.Limits.RunLimit.Duration)
}

// keepFormerClasses saves the settings of the classes that have active jobs and are missing
// in the next configuration.
func (s *Store) keepFormerClasses(next config.Config) {
	former := map[string]map[string]config.Class{}
	for id := range s.activeJobs {
		spec := &s.jobs[id].Spec
		if _, stays := next.Services[spec.Service].Classes[spec.Class]; stays {
			continue
		}
		if former[spec.Service] == nil {
			former[spec.Service] = map[string]config.Class{}
		}
		former[spec.Service][spec.Class] = s.classOf(spec)
	}
	s.formerClasses = former
}
