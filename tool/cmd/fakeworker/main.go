// Program standin plays one worker against the fronts, by the contract in
// docs/workers.md. Its faults are set over its own HTTP port, which also gives
// out its record of what it ran.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/peterbourgon/ff/v3"

	"sorrelloom/core/gateway"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/settings"
	"sorrelloom/tool/fakeworker"
)

type standin struct {
	mu      sync.Mutex
	worker  *fakeworker.Worker
	client  *client.Client
	started time.Time
	timer   *time.Timer
	cut     bool
}

func main() {
	fs := flag.NewFlagSet("standin", flag.ContinueOnError)
	id := fs.String("id", "", "worker id (needed)")
	site := fs.String("site", "", "site (needed)")
	rack := fs.String("rack", "", "rack")
	service := fs.String("service", "", "service (needed)")
	labels := fs.String("labels", "", "comma-separated labels")
	slots := fs.Int("slots", 8, "slots in all")
	cores := fs.Int("cores", 16, "cores in all")
	fronts := fs.String("fronts", "", "comma-separated IP:port of fronts (needed)")
	control := fs.String("http", "", "IP:port for control and the record of runs (needed)")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("STANDIN")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		os.Exit(2)
	}
	if *id == "" || *site == "" || *service == "" || *fronts == "" || *control == "" || *slots < 1 || *cores < 0 {
		fmt.Fprintln(os.Stderr, "standin: -id, -site, -service, -fronts and -http are needed, -slots must be over 0")
		os.Exit(2)
	}
	logging.Init("standin@" + *id)
	e := fakeworker.Env{ID: *id, Site: *site, Rack: *rack, Service: *service, Total: state.Resources{Slots: *slots, Cores: *cores}, Incarnation: time.Now().UnixMilli()}
	if *labels != "" {
		e.Labels = strings.Split(*labels, ",")
	}
	s := &standin{worker: fakeworker.New(e), client: client.MustNew(strings.Split(*fronts, ",")), started: time.Now()}
	s.serve(*control)
	s.mu.Lock()
	s.timer = time.AfterFunc(time.Millisecond, func() { pool.Go(s.tick) })
	s.mu.Unlock()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func (s *standin) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	if beat, due := s.worker.Tick(now); due {
		pool.Go(func() { s.send(beat) })
	}
	s.timer.Reset(max(time.Millisecond, s.worker.NextTimer()-now))
}

func (s *standin) send(beat state.Heartbeat) {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	var view gateway.HeartbeatView
	good := false
	if !cut {
		body, err := json.Marshal(beat)
		if err != nil {
			panic(err)
		}
		r, err := s.client.CallOnce("POST", "/v1/beats?hold="+fakeworker.HoldFor.String(), body, nil, fakeworker.DropLate+time.Second)
		if err == nil && r.Decode(&view) == nil {
			good = r.Status == 200
		}
		if !good && view.Code != status.StaleHeartbeat {
			logging.Info("beat_bounced", "number", beat.Number, "status", r.Status, "why", view.Reason)
		}
	}
	s.mu.Lock()
	s.worker.Reply(time.Since(s.started), beat.Number, good, view.Reply)
	s.mu.Unlock()
	s.tick()
}

func (s *standin) serve(address string) {
	h := server.New(server.WithListener(settings.MustListen(address)), server.WithDisablePrintRoute(true))
	reply := func(c *app.RequestContext, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		c.Data(200, "application/json", data)
	}
	h.GET("/runs", func(_ context.Context, c *app.RequestContext) {
		s.mu.Lock()
		runs := append(append([]fakeworker.Run{}, s.worker.Runs...), s.worker.Open()...)
		s.mu.Unlock()
		for i := range runs {
			runs[i].From += time.Duration(s.started.UnixNano())
			if runs[i].To > 0 {
				runs[i].To += time.Duration(s.started.UnixNano())
			}
		}
		reply(c, runs)
	})
	h.POST("/faults", func(_ context.Context, c *app.RequestContext) {
		var order struct {
			fakeworker.Faults
			Leave bool `json:"leave"`
			Cut   bool `json:"cut"`
		}
		if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
			c.Data(400, "text/plain", []byte(err.Error()))
			return
		}
		s.mu.Lock()
		s.worker.Set(order.Faults)
		s.cut = order.Cut
		if order.Leave {
			s.worker.Leave()
		}
		s.mu.Unlock()
		pool.Go(s.tick)
		reply(c, order)
	})
	pool.Go(func() {
		if err := h.Run(); err != nil {
			logging.Info("http_ended", "why", err.Error())
		}
	})
}
