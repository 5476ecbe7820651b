package state

import (
	"encoding/json"
	"maps"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

const (
	// RequestRetention is how long an operator's write is remembered by its idempotency key.
	// A write that was requested longer ago is rejected.
	RequestRetention = 10 * time.Minute
	// RequestTimeUnknown as a command's RequestedAt marks a write from a process that does
	// not follow the state. Its age cannot be checked: after the key is forgotten, the
	// write's own condition must make a repeat safe.
	RequestTimeUnknown time.Duration = -1
	// MaxRequests is the maximum number of remembered writes. While it is reached, new
	// writes are rejected and may be retried later.
	MaxRequests = 20000
	// MaxConfigRequests is the maximum number of accepted configuration changes with an
	// unknown request time that are remembered by their idempotency keys, whatever their age:
	// repeats of these are not rejected for their age.
	MaxConfigRequests = 4096
)

// The HTTP statuses of temporary rejections: statusTooManyRequests, and all from
// statusInternalServerError on.
const (
	statusTooManyRequests     = 429
	statusInternalServerError = 500
)

// Request is a remembered write of an operator with its result. ConfigChange marks an accepted
// configuration change with an unknown request time. Those are limited by number
// (MaxConfigRequests), the others also by age (RequestRetention).
type Request struct {
	AnsweredAt   time.Duration `json:"at"`
	Digest       string        `json:"digest"`
	ConfigChange bool          `json:"plan,omitempty"`
	Result       Result        `json:"answer"`
}

// applyOnce applies an operator's write unless its idempotency key is known. A repeated write
// gets the result of the first one and changes nothing.
func (s *Store) applyOnce(cmd Command, apply func() Result) Result {
	if cmd.IdempotencyKey == "" {
		return apply()
	}
	requestDigest := cmd.Digest
	if requestDigest == "" {
		requestDigest = digest([]any{cmd.Kind, cmd.Name, cmd.Drain, cmd.ConfigChange, cmd.SchedulerHeartbeat})
	}
	if known, ok := s.rememberedRequest(cmd.IdempotencyKey); ok {
		return repeatedResult(cmd, requestDigest, known)
	}
	if age := s.now - cmd.RequestedAt; cmd.RequestedAt != RequestTimeUnknown && age > RequestRetention {
		return reject(status.RequestExpired, "asked %s ago; what was asked over %s ago is not carried out",
			age, RequestRetention)
	}
	if len(s.requests.order) >= MaxRequests {
		oldest := s.requests.byKey[s.requests.order[0]]
		return rejectForNow(oldest.AnsweredAt+RequestRetention-s.now, status.QueueFull,
			"%d writes of operators within %s", MaxRequests, RequestRetention)
	}
	result := apply()
	s.rememberRequest(cmd, requestDigest, result)
	return result
}

// repeatedResult returns the result of a write whose idempotency key is known. A key that was
// used for a request with another digest is rejected.
func repeatedResult(cmd Command, requestDigest string, known Request) Result {
	if known.Digest != requestDigest {
		return reject(status.IdempotencyKeyReused, "the key %s was used for another request", cmd.IdempotencyKey)
	}
	if known.Result.Code.IsSuccess() {
		known.Result.Code = status.AlreadyDone
	}
	return known.Result
}

// rememberRequest stores the result of a write under its idempotency key. A temporary rejection
// is not stored, so that a repeat is evaluated again.
func (s *Store) rememberRequest(cmd Command, requestDigest string, result Result) {
	if isTemporary(result.Code) {
		return
	}
	request := Request{AnsweredAt: s.now, Digest: requestDigest, Result: result}
	request.ConfigChange = cmd.Kind == KindChangeConfig && cmd.RequestedAt == RequestTimeUnknown &&
		result.Code.IsSuccess()
	if request.ConfigChange {
		s.configRequests.put(cmd.IdempotencyKey, request)
	} else {
		s.requests.put(cmd.IdempotencyKey, request)
	}
}

// isTemporary reports whether a result is a rejection that may no longer apply on a retry.
func isTemporary(code status.Code) bool {
	httpStatus := code.HTTPStatus()
	return httpStatus == statusTooManyRequests || httpStatus >= statusInternalServerError
}

// rememberedRequest returns the remembered write with the given idempotency key.
func (s *Store) rememberedRequest(key string) (Request, bool) {
	if request, ok := s.requests.byKey[key]; ok {
		return request, true
	}
	request, ok := s.configRequests.byKey[key]
	return request, ok
}

// rememberedRequests returns a copy of all remembered writes by their idempotency keys.
func (s *Store) rememberedRequests() map[string]Request {
	all := maps.Clone(s.requests.byKey)
	maps.Copy(all, s.configRequests.byKey)
	return all
}

// loadRequest adds a remembered write from its record.
func (s *Store) loadRequest(record machine.Record) error {
	var request Request
	if err := json.Unmarshal(record.Value, &request); err != nil {
		return err
	}
	s.addRequest(record.Key, request)
	return nil
}

// addRequest adds a remembered write without its place in the order of age, which
// rebuildIndexes restores.
func (s *Store) addRequest(key string, request Request) {
	if request.ConfigChange {
		s.configRequests.byKey[key] = request
	} else {
		s.requests.byKey[key] = request
	}
}

// expiredKeys returns the keys of the remembered writes and of the past jobs that are to be
// forgotten at the given time.
func (s *Store) expiredKeys(now time.Duration) (requests, configRequests, pastJobs []string) {
	limits := &s.config.Limits
	configRequests = s.configRequests.expired(MaxConfigRequests, func(Request) bool { return false })
	requests = s.requests.expired(MaxRequests, func(r Request) bool { return now > r.AnsweredAt+RequestRetention })
	pastJobs = s.pastJobs.expired(limits.PastJobsMax, func(p PastJob) bool {
		return now > p.EndedAt+limits.PastJobRetention.Duration
	})
	return requests, configRequests, pastJobs
}

// forgetExpired removes the entries with the keys that expiredKeys returns.
func (s *Store) forgetExpired(now time.Duration) {
	requests, configRequests, pastJobs := s.expiredKeys(now)
	for _, id := range pastJobs {
		s.forgottenUntil = max(s.forgottenUntil, s.pastJobs.byKey[id].EndedAt)
	}
	s.requests.dropOldest(len(requests))
	s.configRequests.dropOldest(len(configRequests))
	s.pastJobs.dropOldest(len(pastJobs))
}
