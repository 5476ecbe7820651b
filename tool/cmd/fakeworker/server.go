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

// workerServer drives one worker in real time and serves its control API over HTTP.
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

// start schedules the first tick of the worker.
func (s *workerServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(time.Millisecond, func() { pool.Go(s.tick) })
}

// tick advances the worker to the current time, sends a heartbeat if one is due, and schedules
// the next tick.
func (s *workerServer) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	if heartbeat, due := s.worker.Tick(now); due {
		pool.Go(func() { s.send(heartbeat) })
	}
	s.timer.Reset(max(time.Millisecond, s.worker.NextTimer()-now))
}

// send sends a heartbeat and passes the reply to the worker. Heartbeats of an isolated worker
// are not sent and count as failed.
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

// callGateway sends a heartbeat to a gateway and reports whether it was accepted.
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

// serve serves the control API.
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

// getRuns replies with the worker's record of its runs. Times are in nanoseconds since the Unix
// epoch.
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

// faultRequest sets the faults that the worker injects from now on.
type faultRequest struct {
	fakeworker.Faults
	Leave    bool `json:"leave"`
	Isolated bool `json:"cut"`
}

// postFaults replaces the faults that the worker injects.
func (s *workerServer) postFaults(_ context.Context, c *app.RequestContext) {
	var request faultRequest
	if err := json.Unmarshal(c.Request.Body(), &request); err != nil {
		c.Data(http.StatusBadRequest, "text/plain", []byte(err.Error()))
		return
	}
	s.mu.Lock()
	s.worker.SetFaults(request.Faults)
	s.isolated = request.Isolated
	if request.Leave {
		s.worker.Leave()
	}
	s.mu.Unlock()
	pool.Go(s.tick)
	respond(c, request)
}

func respond(c *app.RequestContext, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Data(http.StatusOK, "application/json", data)
}
