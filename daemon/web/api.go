package web

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"sorrelloom/core/config"
	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/status"
	"sorrelloom/daemon/host"
)

const (
	idempotencyKeyHeader    = "Idempotency-Key"
	authorizationHeader     = "Authorization"
	maxIdempotencyKeyLength = 128
)

// Route is one endpoint of the API. Kind and Enable are copied into the request to the
// gateway.
type Route struct {
	Method, Path, Kind string
	Enable             bool
}

// Routes are all endpoints of the API. A test compares them with the table in docs/api.md.
var Routes = []Route{
	{http.MethodPost, "/v1/jobs", gateway.RequestSubmit, false},
	{http.MethodGet, "/v1/jobs", gateway.RequestJobs, false},
	{http.MethodGet, "/v1/jobs/:name", gateway.RequestStatus, false},
	{http.MethodDelete, "/v1/jobs/:name", gateway.RequestCancel, false},
	{http.MethodPost, "/v1/beats", gateway.RequestHeartbeat, false},
	{http.MethodGet, "/v1/plan", gateway.RequestConfigGet, false},
	{http.MethodPut, "/v1/plan", gateway.RequestConfigPut, false},
	{http.MethodPatch, "/v1/plan", gateway.RequestConfigPatch, false},
	{http.MethodPost, "/v1/plan/check", gateway.RequestConfigCheck, false},
	{http.MethodPost, "/v1/sites/:name/empty", gateway.RequestSetZoneDrained, true},
	{http.MethodPost, "/v1/sites/:name/refill", gateway.RequestSetZoneDrained, false},
	{http.MethodGet, "/v1/workers", gateway.RequestWorkers, false},
	{http.MethodPost, "/v1/workers/:name/drain", gateway.RequestDrainWorker, true},
	{http.MethodPost, "/v1/workers/:name/undrain", gateway.RequestDrainWorker, false},
	{http.MethodPost, "/v1/workers/:name/gone", gateway.RequestConfirmDead, true},
	{http.MethodGet, "/v1/nodes", gateway.RequestNodes, false},
	{http.MethodGet, "/v1/duties", gateway.RequestLeaderships, false},
	{http.MethodPost, "/v1/duties/:name/pass", gateway.RequestMoveLeadership, false},
}

// ServeAPI serves the routes by passing their requests to a gateway.
func (s *Server) ServeAPI(gatewayRunner *host.Runner) {
	for _, route := range Routes {
		s.engine.Handle(route.Method, route.Path, func(ctx context.Context, c *app.RequestContext) {
			serveRoute(ctx, c, route, gatewayRunner)
		})
	}
}

func serveRoute(ctx context.Context, c *app.RequestContext, route Route, gatewayRunner *host.Runner) {
	if size := len(c.Request.Body()); size > maxBodyBytes {
		writeError(c, status.TooLarge, fmt.Sprintf("the body has %d bytes, at most %d are accepted", size, maxBodyBytes))
		return
	}
	request, err := parseRequest(c, route)
	if err != nil {
		writeError(c, status.Malformed, err.Error())
		return
	}
	body, err := gatewayRunner.Do(ctx, request)
	reply, isReply := body.(gateway.Reply)
	if err != nil || !isReply {
		writeError(c, status.Internal, "the gateway gave no response")
		return
	}
	if reply.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
	}
	writeJSON(c, reply.StatusCode, reply.Body)
}

// validUTF8 replaces invalid UTF-8, since all text in messages must be valid.
func validUTF8(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }

// parseRequest returns the request to the gateway. The body is copied, since hertz reuses it.
func parseRequest(c *app.RequestContext, route Route) (machine.Request, error) {
	request := machine.Request{
		Kind: route.Kind, Enable: route.Enable, Name: validUTF8(c.Param("name")), Target: validUTF8(c.Query("to")),
		IdempotencyKey: validUTF8(string(c.GetHeader(idempotencyKeyHeader))),
		KeyDigest:      config.DigestOfAuthorization(string(c.GetHeader(authorizationHeader))),
		Body:           append(json.RawMessage(nil), c.Request.Body()...),
	}
	if length := len(request.IdempotencyKey); length > maxIdempotencyKeyLength {
		return request, fmt.Errorf("%s: %d characters, at most %d are accepted",
			idempotencyKeyHeader, length, maxIdempotencyKeyLength)
	}
	if err := parseWait(c, &request); err != nil {
		return request, err
	}
	return request, parseBaseVersion(c, &request)
}

// parseWait parses the maximum delay of the response: the parameter wait of clients, or hold
// of workers.
func parseWait(c *app.RequestContext, request *machine.Request) error {
	for _, name := range []string{"wait", "hold"} {
		text := c.Query(name)
		if text == "" {
			continue
		}
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return fmt.Errorf("?%s: %q is not a duration such as 500ms", name, text)
		}
		request.Wait = wait
	}
	return nil
}

// parseBaseVersion parses the configuration version that a change is based on. A change
// requires it, or force=true.
func parseBaseVersion(c *app.RequestContext, request *machine.Request) error {
	if text := c.Query("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("?base: %q is not a plan sequence", text)
		}
		request.BaseVersion = base
		return nil
	}
	if request.Kind != gateway.RequestConfigPut && request.Kind != gateway.RequestConfigPatch {
		return nil
	}
	if request.Force = c.Query("force") == "true"; !request.Force {
		return errors.New("?base: say which plan sequence this change is made on, or force=true")
	}
	return nil
}
