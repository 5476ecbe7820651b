// Questions that change nothing: a job, how much of a class waits, the plan, and
// how an operator's write was answered.

package state

import "sorrelloom/core/status"

// Read answers a command of a kind that Reads.
func (l *Store) Read(cmd Command) Result {
	if cmd.Host != "" {
		if _, a := l.resolveRoute(cmd.Host, cmd.Path); !a.Code.IsSuccess() {
			return a
		}
	}
	switch cmd.Kind {
	case KindReadJob:
		job, ok := l.jobs[cmd.Name]
		if !ok {
			job, ok = l.PastJob(cmd.Name)
		}
		if !ok {
			return l.RejectUnknownJob(cmd.Name)
		}
		return l.jobResult(cmd, status.OK, job)
	case KindReadWaitingCount:
		e, _ := l.config.FindRoute(cmd.Host, cmd.Path)
		return Result{Code: status.OK, WaitingCount: l.waitingCount(e.Service, e.Class)}
	case KindReadConfig:
		if l.config.Version == 0 {
			return Result{Code: status.OK}
		}
		p := l.config
		return Result{Code: status.OK, Config: &p, ConfigVersion: p.Version}
	case KindReadRequest:
		if known, ok := l.rememberedRequest(cmd.Name); ok {
			return known.Result
		}
		return reject(status.UnknownName, "no write with the key %s", cmd.Name)
	}
	return Result{Code: status.OK, ConfigVersion: l.config.Version}
}

// waitingOf counts the tasks of a class that wait for a turn.
func (l *Store) waitingCount(service, class string) int {
	count := 0
	for n, c := range l.waiting {
		if n.service == service && n.class == class {
			count += c
		}
	}
	return count
}
