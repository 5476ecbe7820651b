// Package web serves HTTP by hertz: health, metrics and status on every daemon,
// and the API of callers, operators and workers on a front.
package web

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/status"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

// A body over bodyMax is bounced with its code; over hardMax hertz closes the
// connection before it is read whole.
const (
	maxBodyBytes = 4 << 20
	maxReadBytes = 16 << 20
)

// Gauge is one number on the metrics page, read when it is asked for.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// Page is what a daemon shows of itself.
type Diagnostics struct {
	Ready  func() bool
	Status func() any
	Gauges []Gauge
}

// Server is an HTTP server that is not yet running.
type Server struct{ engine *server.Hertz }

func New(listener net.Listener, page Diagnostics) *Server {
	hlog.SetLevel(hlog.LevelFatal)
	h := server.New(server.WithListener(listener), server.WithHostPorts(listener.Addr().String()), server.WithMaxRequestBodySize(maxReadBytes),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second), server.WithHandleMethodNotAllowed(true),
		server.WithIdleTimeout(time.Minute), server.WithReadTimeout(time.Minute))
	registry := prometheus.NewRegistry()
	for _, g := range page.Gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "sorrelloom", Name: g.Name, Help: g.Help}, g.Read))
	}
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { writeJSON(c, 200, map[string]string{"state": "alive"}) })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if page.Ready() {
			writeJSON(c, 200, map[string]string{"state": "ready"})
		} else {
			writeJSON(c, 503, map[string]string{"state": "not ready"})
		}
	})
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { writeJSON(c, 200, page.Status()) })
	h.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) { writeError(c, status.UnknownName, "no such path") })
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeError(c, status.UnknownName, "no such method on this path")
	})
	return &Server{h}
}

func (s *Server) Run() {
	pool.Go(func() {
		if err := s.engine.Run(); err != nil {
			logging.Info("http_ended", "why", err.Error())
		}
	})
}

func (s *Server) Close(ctx context.Context) { s.engine.Shutdown(ctx) }

func writeJSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"code":900}`)
	}
	c.Data(status, "application/json", append(data, '\n'))
}

func writeError(c *app.RequestContext, reason status.Code, why string) {
	writeJSON(c, reason.HTTPStatus(), gateway.Outcome{Code: reason, Name: reason.String(), Reason: why})
}

// Route is one call of the API; the table is what docs/api.md is checked with.
type Route struct {
	Method, Path, Kind string
	Enable             bool
}

var Routes = []Route{
	{"POST", "/v1/jobs", gateway.RequestSubmit, false},
	{"GET", "/v1/jobs", gateway.RequestJobs, false},
	{"GET", "/v1/jobs/:name", gateway.RequestStatus, false},
	{"DELETE", "/v1/jobs/:name", gateway.RequestCancel, false},
	{"POST", "/v1/beats", gateway.RequestHeartbeat, false},
	{"GET", "/v1/plan", gateway.RequestConfigGet, false},
	{"PUT", "/v1/plan", gateway.RequestConfigPut, false},
	{"PATCH", "/v1/plan", gateway.RequestConfigPatch, false},
	{"POST", "/v1/plan/check", gateway.RequestConfigCheck, false},
	{"POST", "/v1/sites/:name/empty", gateway.RequestDrainZone, true},
	{"POST", "/v1/sites/:name/refill", gateway.RequestDrainZone, false},
	{"GET", "/v1/workers", gateway.RequestWorkers, false},
	{"POST", "/v1/workers/:name/drain", gateway.RequestDrainWorker, true},
	{"POST", "/v1/workers/:name/undrain", gateway.RequestDrainWorker, false},
	{"POST", "/v1/workers/:name/gone", gateway.RequestConfirmDead, true},
	{"GET", "/v1/nodes", gateway.RequestNodes, false},
	{"GET", "/v1/duties", gateway.RequestLeaderships, false},
	{"POST", "/v1/duties/:name/pass", gateway.RequestMoveLeadership, false},
}

// API serves the routes from a front's shard.
func (s *Server) ServeAPI(shard *host.Runner) {
	for _, route := range Routes {
		s.engine.Handle(route.Method, route.Path, func(ctx context.Context, c *app.RequestContext) {
			if len(c.Request.Body()) > maxBodyBytes {
				writeError(c, status.TooLarge, fmt.Sprintf("the body has %d bytes, %d are taken", len(c.Request.Body()), maxBodyBytes))
				return
			}
			ask, err := parseRequest(c, route)
			if err != nil {
				writeError(c, status.Malformed, err.Error())
				return
			}
			v, ok := shard.Do(ctx, ask)
			reply, good := v.(gateway.Reply)
			if !ok || !good {
				writeError(c, status.Internal, "the front gave no answer")
				return
			}
			if reply.RetryAfter > 0 {
				c.Header("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
			}
			writeJSON(c, reply.StatusCode, reply.Body)
		})
	}
}

// valid is a caller's text as UTF-8, which all text between processes must be.
func validUTF8(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }

func parseRequest(c *app.RequestContext, route Route) (machine.Request, error) {
	ask := machine.Request{Kind: route.Kind, Enable: route.Enable, Name: validUTF8(c.Param("name")), Target: validUTF8(c.Query("to"))}
	ask.IdempotencyKey = validUTF8(string(c.GetHeader("Idempotency-Key")))
	if len(ask.IdempotencyKey) > 128 {
		return ask, fmt.Errorf("Idempotency-Key: %d characters, 128 are taken", len(ask.IdempotencyKey))
	}
	ask.Body = append(json.RawMessage(nil), c.Request.Body()...)
	for _, name := range []string{"wait", "hold"} {
		if text := c.Query(name); text != "" {
			d, err := time.ParseDuration(text)
			if err != nil || d < 0 {
				return ask, fmt.Errorf("?%s: %q is not a duration such as 500ms", name, text)
			}
			ask.Wait = d
		}
	}
	if text := c.Query("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return ask, fmt.Errorf("?base: %q is not a plan sequence", text)
		}
		ask.BaseVersion = base
	} else if route.Kind == gateway.RequestConfigPut || route.Kind == gateway.RequestConfigPatch {
		if ask.Force = c.Query("force") == "true"; !ask.Force {
			return ask, fmt.Errorf("?base: say which plan sequence this change is made on, or force=true")
		}
	}
	return ask, nil
}
