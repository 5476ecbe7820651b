package state

import (
	"cmp"
	"time"

	"sorrelloom/core/config"
)

// A job keeps the name of the class that it was accepted in. The configuration may leave that
// class out while the job has not ended, as it does when its route gets another name or leads
// to another service. What the class said last then holds on for the job: whether its tasks
// start again after the loss of a worker, how long they may run, their priority and share.
// New jobs, and who may ask for a job, are judged by the configuration in force alone.

// Class is a class as the configuration in force has it, or as it was when the configuration
// left it out while jobs of it had not ended; the zero value if there is neither.
func (s *Store) Class(service, class string) config.Class {
	if configured, ok := s.config.Services[service].Classes[class]; ok {
		return configured
	}
	return s.formerClasses[service][class]
}

// classOf is the class of a job.
func (s *Store) classOf(spec *JobSpec) config.Class { return s.Class(spec.Service, spec.Class) }

// runLimit is how long an attempt of a task may run: its own limit, or its class's, or that of
// all classes.
func (s *Store) runLimit(ref taskRef) time.Duration {
	spec := &s.jobs[ref.job].Spec
	own, ofClass := spec.Tasks[ref.index].RunLimit, s.classOf(spec).RunLimit
	return cmp.Or(max(0, own.Duration), max(0, ofClass.Duration), s.config.Limits.RunLimit.Duration)
}

// keepFormerClasses keeps the classes that the next configuration leaves out, as long as jobs
// of theirs have not ended.
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
