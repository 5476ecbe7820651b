package state

import (
	"time"

	"sorrelloom/core/status"
)

// PastJob is what is left of a job once its record is gone, so that one that is
// submitted again is not started again.
type PastJob struct {
	Digest  string        `json:"digest"`
	Service string        `json:"service"`
	Class   string        `json:"class"`
	Tenant  string        `json:"tenant,omitempty"`
	State   string        `json:"state"`
	EndedAt time.Duration `json:"endedAt"`
}

// PastJob gives what is left of a job whose record is gone.
func (s *Store) PastJob(id string) (*Job, bool) {
	past, ok := s.pastJobs.byKey[id]
	spec := JobSpec{ID: id, Service: past.Service, Class: past.Class}
	return &Job{Spec: spec, Tenant: past.Tenant, State: past.State, EndedAt: past.EndedAt}, ok
}

// KnowsJob says whether a job was accepted before, as far back as the state can tell.
func (s *Store) KnowsJob(id string) bool {
	_, exists := s.jobs[id]
	_, remembered := s.pastJobs.byKey[id]
	return exists || remembered
}

// RejectUnknownJob is the result for a job of which nothing is known. It says how far
// back the state can tell.
func (s *Store) RejectUnknownJob(id string) Result {
	if s.forgottenUntil > 0 {
		return reject(status.UnknownJob, "job %s is not known; of jobs that ended over %s ago nothing is",
			id, (s.now - s.forgottenUntil).Round(time.Second))
	}
	return reject(status.UnknownJob, "job %s is not known; it was never accepted", id)
}
