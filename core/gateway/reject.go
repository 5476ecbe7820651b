package gateway

import (
	"fmt"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// The HTTP status codes that the gateway uses or checks directly.
const (
	httpOK              = 200
	httpTooManyRequests = 429
	httpUnavailable     = 503
)

const (
	// shutdownRetryAfter is the retry delay while the gateway shuts down; another gateway can
	// serve the retry.
	shutdownRetryAfter = 50 * time.Millisecond
	// minRetryAfter is the minimum retry delay for requests that can't be served now, and
	// retrySpread the time over which their retries are spread.
	minRetryAfter = time.Second
	retrySpread   = time.Second
	// hashMultiplier spreads consecutive request IDs (Knuth's multiplicative hash).
	hashMultiplier = 2654435761
)

// rejection returns the result of a rejected request.
func rejection(code status.Code, format string, args ...any) state.Result {
	return state.Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// respondResult answers a request with the result of a command or with a rejection. If the
// request may be retried, the reply says when.
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

// spreadRetry lengthens a retry delay by an amount derived from the request's ID, so that
// callers rejected at the same time don't all retry at the same time.
func spreadRetry(requestID uint64, retryAfter time.Duration) time.Duration {
	const steps = uint64(retrySpread / time.Millisecond)
	return retryAfter + time.Duration(requestID*hashMultiplier%steps)*time.Millisecond
}
