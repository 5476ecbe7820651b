// Package web serves HTTP with hertz: health, metrics and status on every daemon, and the API
// for clients, operators and workers on gateways.
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sorrelloom/core/gateway"
	"sorrelloom/core/status"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

const (
	// maxBodyBytes is the maximum size of an accepted body. A larger body gets an error
	// response.
	maxBodyBytes = 4 << 20
	// maxReadBytes is the maximum size of a body that is read. For a larger one, hertz closes
	// the connection.
	maxReadBytes = 16 << 20

	connectionTimeout = time.Minute
	shutdownTimeout   = time.Second
	metricsNamespace  = "sorrelloom"
)

// Gauge is a metric. Read is called whenever the metrics are requested.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// Diagnostics defines the health, status and metrics of a daemon.
type Diagnostics struct {
	Ready  func() bool
	Status func() any
	Gauges []Gauge
}

// Server is an HTTP server.
type Server struct{ engine *server.Hertz }

// New creates a server for the diagnostics. It serves requests once Run is called.
func New(listener net.Listener, diagnostics Diagnostics) *Server {
	hlog.SetLevel(hlog.LevelFatal)
	engine := server.New(
		server.WithListener(listener),
		server.WithHostPorts(listener.Addr().String()),
		server.WithMaxRequestBodySize(maxReadBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithHandleMethodNotAllowed(true),
		server.WithIdleTimeout(connectionTimeout),
		server.WithReadTimeout(connectionTimeout),
	)
	s := &Server{engine}
	s.serveDiagnostics(diagnostics)
	engine.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeError(c, status.UnknownName, "no such path")
	})
	engine.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeError(c, status.UnknownName, "no such method on this path")
	})
	return s
}

func (s *Server) serveDiagnostics(diagnostics Diagnostics) {
	s.engine.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, map[string]string{"state": "alive"})
	})
	s.engine.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if diagnostics.Ready() {
			writeJSON(c, http.StatusOK, map[string]string{"state": "ready"})
		} else {
			writeJSON(c, http.StatusServiceUnavailable, map[string]string{"state": "not ready"})
		}
	})
	s.engine.GET("/status", func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, diagnostics.Status())
	})
	s.engine.GET("/metrics", adaptor.HertzHandler(
		promhttp.HandlerFor(registryOf(diagnostics.Gauges), promhttp.HandlerOpts{})))
}

func registryOf(gauges []Gauge) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	for _, gauge := range gauges {
		options := prometheus.GaugeOpts{Namespace: metricsNamespace, Name: gauge.Name, Help: gauge.Help}
		registry.MustRegister(prometheus.NewGaugeFunc(options, gauge.Read))
	}
	return registry
}

// Run serves in the background until the server is closed.
func (s *Server) Run() {
	pool.Go(func() {
		if err := s.engine.Run(); err != nil {
			logging.Error("http_server_failed", "error", err.Error())
		}
	})
}

// Close stops the server. Requests in progress may finish until the context is done.
func (s *Server) Close(ctx context.Context) {
	// Requests still in progress then fail, and their clients retry them elsewhere.
	_ = s.engine.Shutdown(ctx)
}

func writeJSON(c *app.RequestContext, statusCode int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		statusCode, data = http.StatusInternalServerError, []byte(`{"code":900}`)
	}
	c.Data(statusCode, "application/json", append(data, '\n'))
}

func writeError(c *app.RequestContext, code status.Code, reason string) {
	writeJSON(c, code.HTTPStatus(), gateway.Outcome{Code: code, Name: code.String(), Reason: reason})
}
