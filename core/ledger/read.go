// Questions that change nothing: a job, how much of a class waits, the plan, and
// how an operator's write was answered.
package ledger

import "sorrelloom/core/code"

// Read answers a command of a kind that Reads.
func (l *Ledger) Read(cmd Command) Answer {
	if cmd.Host != "" {
		if _, a := l.resolve(cmd.Host, cmd.Path); !a.Code.Good() {
			return a
		}
	}
	switch cmd.Kind {
	case KindRead:
		job, ok := l.jobs[cmd.Name]
		if !ok {
			job, ok = l.Past(cmd.Name)
		}
		if !ok {
			return l.Unknown(cmd.Name)
		}
		return l.brief(cmd, code.OK, job)
	case KindReadCount:
		e, _ := l.plan.Find(cmd.Host, cmd.Path)
		return Answer{Code: code.OK, Count: l.waitingOf(e.Service, e.Class)}
	case KindReadPlan:
		if l.plan.Sequence == 0 {
			return Answer{Code: code.OK}
		}
		p := l.plan
		return Answer{Code: code.OK, Plan: &p, Sequence: p.Sequence}
	case KindReadRequest:
		if known, ok := l.request(cmd.Name); ok {
			return known.Answer
		}
		return bounce(code.UnknownName, "no write with the key %s", cmd.Name)
	}
	return Answer{Code: code.OK, Sequence: l.plan.Sequence}
}

// waitingOf counts the tasks of a class that wait for a turn.
func (l *Ledger) waitingOf(service, class string) int {
	count := 0
	for n, c := range l.waiting {
		if n.service == service && n.class == class {
			count += c
		}
	}
	return count
}
