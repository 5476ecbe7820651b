package state

import (
	"time"

	"sorrelloom/core/status"
)

// PastJob is what is kept of an ended job once its record is dropped, so that the job is not
// started again when it is submitted again.
type PastJob struct {
	Digest  string        `json:"digest"`
	Service string        `json:"service"`
	Class   string        `json:"class"`
	Tenant  string        `json:"tenant,omitempty"`
	State   string        `json:"state"`
	EndedAt time.Duration `json:"endedAt"`
}

// PastJob returns what is kept of a job whose record has been dropped, and false if nothing is
// kept.
func (s *Store) PastJob(id string) (*Job, bool) {
	past, ok := s.pastJobs.byKey[id]
	spec := JobSpec{ID: id, Service: past.Service, Class: past.Class}
	return &Job{Spec: spec, Tenant: past.Tenant, State: past.State, EndedAt: past.EndedAt}, ok
}

// KnowsJob reports whether a job was accepted before. Jobs whose PastJob has been dropped
// are not known.
func (s *Store) KnowsJob(id string) bool {
	_, exists := s.jobs[id]
	_, remembered := s.pastJobs.byKey[id]
	return exists || remembered
}

// RejectUnknownJob returns the result for a job that is not known. If records of past jobs
// have been dropped, the reason says how far back jobs are known.
func (s *Store) RejectUnknownJob(id string) Result {
	if s.forgottenUntil > 0 {
		return reject(status.UnknownJob, "job %s is not known; of jobs that ended over %s ago nothing is",
			id, (s.now - s.forgottenUntil).Round(time.Second))
	}
	return reject(status.UnknownJob, "job %s is not known; it was never accepted", id)
}
