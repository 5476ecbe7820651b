package state

import "sorrelloom/core/status"

// Read answers a command of a kind that changes nothing (IsReadOnly): a job, how much of
// a class waits, the configuration, and how an operator's write was answered.
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
