// What the ledger remembers after the fact, bounded in time and number: the
// operators' writes by their tokens, so that one that comes again is answered
// as before and changes nothing, and jobs whose records are gone, so that one
// handed in again is not started again.
package ledger

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/machine"
)

const (
	// RequestsFor is how long a token is remembered; an operator's write that
	// was asked for longer ago is bounced.
	RequestsFor = 10 * time.Minute
	// AskedUnknown marks a write that came through a process that follows no
	// ledger; it must be safe by its own condition once it is forgotten.
	AskedUnknown time.Duration = -1
	// RequestsMax is how many are remembered; past it, new ones must wait.
	RequestsMax = 20000
	// PlansMax is how many plans that were taken are remembered by their tokens,
	// however long ago that was, where a repeat is not bounced for its age.
	PlansMax = 4096
)

// Request is an operator's write as it was answered. Plan marks those that are
// remembered by number, not by age.
type Request struct {
	At     time.Duration `json:"at"`
	Digest string        `json:"digest"`
	Plan   bool          `json:"plan,omitempty"`
	Answer Answer        `json:"answer"`
}

// Past is what is left of a job once its record is gone.
type Past struct {
	Digest  string        `json:"digest"`
	Service string        `json:"service"`
	Class   string        `json:"class"`
	State   string        `json:"state"`
	EndedAt time.Duration `json:"endedAt"`
}

// memory is a bounded map with its keys by age.
type memory[V any] struct {
	byKey map[string]V
	order []string
}

func (m *memory[V]) put(key string, v V) {
	m.byKey[key] = v
	m.order = append(m.order, key)
}

// sort rebuilds the order after a load.
func (m *memory[V]) sort(at func(V) time.Duration) {
	m.order = slices.SortedFunc(maps.Keys(m.byKey), func(a, b string) int {
		return cmp.Or(cmp.Compare(at(m.byKey[a]), at(m.byKey[b])), cmp.Compare(a, b))
	})
}

// old gives the keys to forget: those past their time, and the oldest over max.
func (m *memory[V]) old(most int, past func(V) bool) []string {
	n := max(0, len(m.order)-most)
	for n < len(m.order) && past(m.byKey[m.order[n]]) {
		n++
	}
	return m.order[:n]
}

func (m *memory[V]) drop(n int) {
	for _, key := range m.order[:n] {
		delete(m.byKey, key)
	}
	m.order = m.order[n:]
}

// once carries out an operator's write unless its token is known.
func (l *Ledger) once(cmd Command, do func() Answer) Answer {
	if cmd.Token == "" {
		return do()
	}
	sum := cmd.Digest
	if sum == "" {
		sum = digest([]any{cmd.Kind, cmd.Name, cmd.On, cmd.Plan, cmd.Hello})
	}
	if known, ok := l.request(cmd.Token); ok {
		switch {
		case known.Digest != sum:
			return bounce(code.OtherRequest, "the key %s was used for another request", cmd.Token)
		case known.Answer.Code.Good():
			known.Answer.Code = code.Same
		}
		return known.Answer
	}
	if cmd.Asked != AskedUnknown && l.at-cmd.Asked > RequestsFor {
		return bounce(code.TooLate, "asked %s ago; what was asked over %s ago is not carried out", l.at-cmd.Asked, RequestsFor)
	}
	if len(l.requests.order) >= RequestsMax {
		a := bounce(code.InboxFull, "%d writes of operators within %s", RequestsMax, RequestsFor)
		a.RetryAfter = l.requests.byKey[l.requests.order[0]].At + RequestsFor - l.at
		return a
	}
	a := do()
	l.remember(cmd, sum, a)
	return a
}

// remember keeps how a write was answered. A refusal that holds for a moment only
// is not kept: asked again, the write is looked at anew.
func (l *Ledger) remember(cmd Command, sum string, a Answer) {
	if passing(a.Code) {
		return
	}
	r := Request{At: l.at, Digest: sum, Answer: a}
	if r.Plan = cmd.Kind == KindPlan && cmd.Asked == AskedUnknown && a.Code.Good(); r.Plan {
		l.plans.put(cmd.Token, r)
	} else {
		l.requests.put(cmd.Token, r)
	}
}

// passing says whether a refusal holds for a moment only.
func passing(c code.Code) bool {
	status := c.Status()
	return status == tooManyRequests || status >= serverError
}

const (
	tooManyRequests = 429
	serverError     = 500
)

// request gives a remembered write.
func (l *Ledger) request(token string) (Request, bool) {
	if r, ok := l.requests.byKey[token]; ok {
		return r, true
	}
	r, ok := l.plans.byKey[token]
	return r, ok
}

// remembered gives a copy of all remembered writes by their tokens.
func (l *Ledger) remembered() map[string]Request {
	all := maps.Clone(l.requests.byKey)
	maps.Copy(all, l.plans.byKey)
	return all
}

// loadRequest takes a remembered write from its record.
func (l *Ledger) loadRequest(record machine.Record) error {
	var r Request
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return err
	}
	if r.Plan {
		l.plans.byKey[record.Key] = r
	} else {
		l.requests.byKey[record.Key] = r
	}
	return nil
}

// Past gives what is left of a job whose record is gone.
func (l *Ledger) Past(id string) (Job, bool) {
	p, ok := l.past.byKey[id]
	return Job{Spec: JobSpec{ID: id, Service: p.Service, Class: p.Class}, State: p.State, EndedAt: p.EndedAt}, ok
}

// Unknown is the answer about a job of which nothing is known. It says how far
// back the ledger can tell.
func (l *Ledger) Unknown(id string) Answer {
	if l.horizon > 0 {
		return bounce(code.UnknownJob, "job %s is not known; of jobs that ended over %s ago nothing is", id, (l.at - l.horizon).Round(time.Second))
	}
	return bounce(code.UnknownJob, "job %s is not known; it was never accepted", id)
}

// forgotten says which keys of the memories are due.
func (l *Ledger) forgotten(now time.Duration) (requests, plans, past []string) {
	limits := l.plan.Limits
	plans = l.plans.old(PlansMax, func(Request) bool { return false })
	requests = l.requests.old(RequestsMax, func(r Request) bool { return now > r.At+RequestsFor })
	past = l.past.old(limits.RememberMax, func(p Past) bool { return now > p.EndedAt+limits.Remember.Duration })
	return requests, plans, past
}

func (l *Ledger) forgetOld(now time.Duration) {
	requests, plans, past := l.forgotten(now)
	for _, id := range past {
		l.horizon = max(l.horizon, l.past.byKey[id].EndedAt)
	}
	l.requests.drop(len(requests))
	l.plans.drop(len(plans))
	l.past.drop(len(past))
}
