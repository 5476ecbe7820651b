package gateway

import (
	"fmt"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// The HTTP status codes that the gateway itself uses.
const (
	httpOK              = 200
	httpTooManyRequests = 429
	httpUnavailable     = 503
)

const (
	// shutdownRetryAfter is when to retry at another gateway.
	shutdownRetryAfter = 50 * time.Millisecond
	// minRetryAfter is when to retry at the earliest what can't be served now, and
	// retrySpread the time over which retries are spread.
	minRetryAfter = time.Second
	retrySpread   = time.Second
	// hashMultiplier spreads consecutive request IDs (Knuth's multiplicative hash).
	hashMultiplier = 2654435761
)

// rejection returns the result of a request that is rejected.
func rejection(code status.Code, format string, args ...any) state.Result {
	return state.Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// respondResult answers a request with the outcome of a command, or of a rejection. If
// the request may be retried, the answer says when.
func (g *Gateway) respondResult(requestID uint64, result state.Result, out *machine.Output) {
	statusCode := result.Code.HTTPStatus()
	if result.Code == status.ShuttingDown {
		result.RetryAfter = shutdownRetryAfter
	} else if statusCode == httpUnavailable || statusCode == httpTooManyRequests {
		result.RetryAfter = spreadRetry(requestID, max(result.RetryAfter, minRetryAfter))
	}
	reply := Reply{StatusCode: statusCode, RetryAfter: result.RetryAfter, Body: outcomeOf(result)}
	g.respond(requestID, reply, out)
}

// spreadRetry adds to a time by the request's ID, so that many who are rejected at
// once don't retry at once.
func spreadRetry(requestID uint64, retryAfter time.Duration) time.Duration {
	const steps = uint64(retrySpread / time.Millisecond)
	return retryAfter + time.Duration(requestID*hashMultiplier%steps)*time.Millisecond
}
