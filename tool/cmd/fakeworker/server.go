package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"sorrelloom/core/gateway"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/settings"
	"sorrelloom/tool/fakeworker"
)

// workerServer drives one worker by the clock, and lets it be controlled over HTTP.
type workerServer struct {
	client  *client.Client
	started time.Time

	mu       sync.Mutex
	worker   *fakeworker.Worker
	timer    *time.Timer
	isolated bool // sends no heartbeats
}

func newWorkerServer(s workerSettings) *workerServer {
	return &workerServer{
		client: client.MustNew(s.gateways), started: time.Now(), worker: fakeworker.New(s.config),
	}
}

// start lets the worker act from now on.
func (s *workerServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(time.Millisecond, func() { pool.Go(s.tick) })
}

// tick lets the worker act, and again when its next timer is due.
func (s *workerServer) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	if heartbeat, due := s.worker.Tick(now); due {
		pool.Go(func() { s.send(heartbeat) })
	}
	s.timer.Reset(max(time.Millisecond, s.worker.NextTimer()-now))
}

// send sends a heartbeat, and gives the worker the reply.
func (s *workerServer) send(heartbeat state.Heartbeat) {
	s.mu.Lock()
	isolated := s.isolated
	s.mu.Unlock()
	var reply state.HeartbeatReply
	success := false
	if !isolated {
		reply, success = s.callGateway(heartbeat)
	}
	s.mu.Lock()
	s.worker.HandleReply(time.Since(s.started), heartbeat.Number, success, reply)
	s.mu.Unlock()
	s.tick()
}

// callGateway sends a heartbeat to a gateway, and reports whether it was taken.
func (s *workerServer) callGateway(heartbeat state.Heartbeat) (state.HeartbeatReply, bool) {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err)
	}
	path := "/v1/beats?hold=" + fakeworker.HeartbeatWait.String()
	timeout := fakeworker.ReplyTimeout + time.Second
	response, err := s.client.CallOnce("POST", path, body, nil, timeout)
	var view gateway.HeartbeatView
	success := err == nil && response.Decode(&view) == nil && response.Status == http.StatusOK
	if !success && view.Code != status.StaleHeartbeat {
		logging.Info("heartbeat_rejected",
			"number", heartbeat.Number, "status", response.Status, "reason", view.Reason)
	}
	return view.Reply, success
}

// serve serves the control port.
func (s *workerServer) serve(address string) {
	h := server.New(server.WithListener(settings.MustListen(address)), server.WithDisablePrintRoute(true))
	h.GET("/runs", s.getRuns)
	h.POST("/faults", s.postFaults)
	pool.Go(func() {
		if err := h.Run(); err != nil {
			logging.Info("http_ended", "why", err.Error())
		}
	})
}

// getRuns replies with the worker's record of its runs, by the time of day.
func (s *workerServer) getRuns(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	runs := append([]fakeworker.Run{}, s.worker.Finished...)
	runs = append(runs, s.worker.Active()...)
	s.mu.Unlock()
	started := time.Duration(s.started.UnixNano())
	for i := range runs {
		runs[i].Start += started
		if runs[i].End > 0 {
			runs[i].End += started
		}
	}
	respond(c, runs)
}

// faultOrder is what the worker is told to do wrong, from now on.
type faultOrder struct {
	fakeworker.Faults
	Leave    bool `json:"leave"`
	Isolated bool `json:"cut"`
}

// postFaults has the worker misbehave.
func (s *workerServer) postFaults(_ context.Context, c *app.RequestContext) {
	var order faultOrder
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.Data(http.StatusBadRequest, "text/plain", []byte(err.Error()))
		return
	}
	s.mu.Lock()
	s.worker.SetFaults(order.Faults)
	s.isolated = order.Isolated
	if order.Leave {
		s.worker.Leave()
	}
	s.mu.Unlock()
	pool.Go(s.tick)
	respond(c, order)
}

func respond(c *app.RequestContext, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(http.StatusOK, "application/json", data)
}
