// What the ledger remembers after the fact, bounded in time and number: the
// operators' writes by their tokens, so that one that comes again is answered
// as before and changes nothing, and jobs whose records are gone, so that one
// handed in again is not started again.

package state

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

const (
	// RequestsFor is how long a token is remembered; an operator's write that
	// was asked for longer ago is bounced.
	RequestRetention = 10 * time.Minute
	// AskedUnknown marks a write that came through a process that follows no
	// ledger; it must be safe by its own condition once it is forgotten.
	RequestTimeUnknown time.Duration = -1
	// RequestsMax is how many are remembered; past it, new ones must wait.
	MaxRequests = 20000
	// PlansMax is how many plans that were taken are remembered by their tokens,
	// however long ago that was, where a repeat is not bounced for its age.
	MaxConfigRequests = 4096
)

// Request is an operator's write as it was answered. Plan marks those that are
// remembered by number, not by age.
type Request struct {
	AnsweredAt   time.Duration `json:"at"`
	Digest       string        `json:"digest"`
	ConfigChange bool          `json:"plan,omitempty"`
	Result       Result        `json:"answer"`
}

// Past is what is left of a job once its record is gone.
type PastJob struct {
	Digest  string        `json:"digest"`
	Service string        `json:"service"`
	Class   string        `json:"class"`
	State   string        `json:"state"`
	EndedAt time.Duration `json:"endedAt"`
}

// memory is a bounded map with its keys by age.
type boundedMap[V any] struct {
	byKey map[string]V
	order []string
}

func (m *boundedMap[V]) put(key string, v V) {
	m.byKey[key] = v
	m.order = append(m.order, key)
}

// sort rebuilds the order after a load.
func (m *boundedMap[V]) sortByAge(at func(V) time.Duration) {
	m.order = slices.SortedFunc(maps.Keys(m.byKey), func(a, b string) int {
		return cmp.Or(cmp.Compare(at(m.byKey[a]), at(m.byKey[b])), cmp.Compare(a, b))
	})
}

// old gives the keys to forget: those past their time, and the oldest over max.
func (m *boundedMap[V]) expired(most int, past func(V) bool) []string {
	n := max(0, len(m.order)-most)
	for n < len(m.order) && past(m.byKey[m.order[n]]) {
		n++
	}
	return m.order[:n]
}

func (m *boundedMap[V]) dropOldest(n int) {
	for _, key := range m.order[:n] {
		delete(m.byKey, key)
	}
	m.order = m.order[n:]
}

// once carries out an operator's write unless its token is known.
func (l *Store) applyOnce(cmd Command, do func() Result) Result {
	if cmd.IdempotencyKey == "" {
		return do()
	}
	sum := cmd.Digest
	if sum == "" {
		sum = digest([]any{cmd.Kind, cmd.Name, cmd.Drain, cmd.ConfigChange, cmd.SchedulerHeartbeat})
	}
	if known, ok := l.rememberedRequest(cmd.IdempotencyKey); ok {
		switch {
		case known.Digest != sum:
			return reject(status.IdempotencyKeyReused, "the key %s was used for another request", cmd.IdempotencyKey)
		case known.Result.Code.IsSuccess():
			known.Result.Code = status.AlreadyDone
		}
		return known.Result
	}
	if cmd.RequestedAt != RequestTimeUnknown && l.now-cmd.RequestedAt > RequestRetention {
		return reject(status.RequestExpired, "asked %s ago; what was asked over %s ago is not carried out", l.now-cmd.RequestedAt, RequestRetention)
	}
	if len(l.requests.order) >= MaxRequests {
		a := reject(status.QueueFull, "%d writes of operators within %s", MaxRequests, RequestRetention)
		a.RetryAfter = l.requests.byKey[l.requests.order[0]].AnsweredAt + RequestRetention - l.now
		return a
	}
	a := do()
	l.rememberRequest(cmd, sum, a)
	return a
}

// remember keeps how a write was answered. A refusal that holds for a moment only
// is not kept: asked again, the write is looked at anew.
func (l *Store) rememberRequest(cmd Command, sum string, a Result) {
	if isTemporary(a.Code) {
		return
	}
	r := Request{AnsweredAt: l.now, Digest: sum, Result: a}
	if r.ConfigChange = cmd.Kind == KindChangeConfig && cmd.RequestedAt == RequestTimeUnknown && a.Code.IsSuccess(); r.ConfigChange {
		l.configRequests.put(cmd.IdempotencyKey, r)
	} else {
		l.requests.put(cmd.IdempotencyKey, r)
	}
}

// passing says whether a refusal holds for a moment only.
func isTemporary(c status.Code) bool {
	status := c.HTTPStatus()
	return status == statusTooManyRequests || status >= statusServerError
}

const (
	statusTooManyRequests = 429
	statusServerError     = 500
)

// request gives a remembered write.
func (l *Store) rememberedRequest(token string) (Request, bool) {
	if r, ok := l.requests.byKey[token]; ok {
		return r, true
	}
	r, ok := l.configRequests.byKey[token]
	return r, ok
}

// remembered gives a copy of all remembered writes by their tokens.
func (l *Store) rememberedRequests() map[string]Request {
	all := maps.Clone(l.requests.byKey)
	maps.Copy(all, l.configRequests.byKey)
	return all
}

// loadRequest takes a remembered write from its record.
func (l *Store) loadRequest(record machine.Record) error {
	var r Request
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return err
	}
	l.addRequest(record.Key, r)
	return nil
}

func (l *Store) addRequest(token string, r Request) {
	if r.ConfigChange {
		l.configRequests.byKey[token] = r
	} else {
		l.requests.byKey[token] = r
	}
}

// Past gives what is left of a job whose record is gone.
func (l *Store) PastJob(id string) (Job, bool) {
	p, ok := l.pastJobs.byKey[id]
	return Job{Spec: JobSpec{ID: id, Service: p.Service, Class: p.Class}, State: p.State, EndedAt: p.EndedAt}, ok
}

// Unknown is the answer about a job of which nothing is known. It says how far
// back the ledger can tell.
func (l *Store) RejectUnknownJob(id string) Result {
	if l.forgottenUntil > 0 {
		return reject(status.UnknownJob, "job %s is not known; of jobs that ended over %s ago nothing is", id, (l.now - l.forgottenUntil).Round(time.Second))
	}
	return reject(status.UnknownJob, "job %s is not known; it was never accepted", id)
}

// forgotten says which keys of the memories are due.
func (l *Store) expiredKeys(now time.Duration) (requests, plans, past []string) {
	limits := l.config.Limits
	plans = l.configRequests.expired(MaxConfigRequests, func(Request) bool { return false })
	requests = l.requests.expired(MaxRequests, func(r Request) bool { return now > r.AnsweredAt+RequestRetention })
	past = l.pastJobs.expired(limits.PastJobsMax, func(p PastJob) bool { return now > p.EndedAt+limits.PastJobRetention.Duration })
	return requests, plans, past
}

func (l *Store) forgetExpired(now time.Duration) {
	requests, plans, past := l.expiredKeys(now)
	for _, id := range past {
		l.forgottenUntil = max(l.forgottenUntil, l.pastJobs.byKey[id].EndedAt)
	}
	l.requests.dropOldest(len(requests))
	l.configRequests.dropOldest(len(plans))
	l.pastJobs.dropOldest(len(past))
}
