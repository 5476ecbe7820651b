package state

import "sorrelloom/core/status"

// Read carries out a read-only command (IsReadOnly): it returns a job, the number of waiting
// jobs of a route, the configuration, or the result of an earlier operator's write.
func (s *Store) Read(cmd Command) Result {
	if cmd.Host != "" {
		if _, result := s.resolveRoute(cmd.Host, cmd.Path, cmd.KeyDigest); !result.Code.IsSuccess() {
			return result
		}
	}
	switch cmd.Kind {
	case KindReadJob:
		job, ok := s.Job(cmd.Name)
		if !ok {
			job, ok = s.PastJob(cmd.Name)
		}
		if !ok {
			return s.RejectUnknownJob(cmd.Name)
		}
		if result := s.CheckAccess(job, cmd.KeyDigest); !result.Code.IsSuccess() {
			return result
		}
		return s.jobResult(cmd, status.OK, *job)
	case KindReadWaitingCount:
		route, _ := s.config.FindRoute(cmd.Host, cmd.Path)
		return Result{Code: status.OK, WaitingCount: s.waitingJobs(route)}
	case KindReadConfig:
		if s.config.Version == 0 {
			return Result{Code: status.OK}
		}
		current := s.config
		return Result{Code: status.OK, Config: &current, ConfigVersion: current.Version}
	case KindReadRequest:
		if known, ok := s.rememberedRequest(cmd.Name); ok {
			return known.Result
		}
		return reject(status.UnknownName, "no write with the key %s", cmd.Name)
	}
	return Result{Code: status.OK, ConfigVersion: s.config.Version}
}
