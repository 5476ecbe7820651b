package run

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/membership"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/storage"
	"sorrelloom/daemon/web"
)

const (
	// handoverTimeout bounds the time that a stopping daemon takes to hand over its
	// leadership.
	handoverTimeout = 5 * time.Second
	// httpCloseTimeout bounds the time for HTTP requests in progress when the daemon stops.
	httpCloseTimeout = time.Second
	// auditDirName is the directory of the audit log, within the data directory.
	auditDirName = "audit"
)

// process is a running daemon.
type process struct {
	settings settings.Settings
	daemon   Daemon
	host     *host.Host
	runner   *host.Runner
	server   *web.Server
	// writeFailed receives the error of the first write that failed.
	writeFailed chan error
}

func newProcess(role string, s settings.Settings, daemon Daemon, store *storage.Store) *process {
	p := &process{settings: s, daemon: daemon, writeFailed: make(chan error, 1)}
	p.host = host.New(s.Address, s.ListenAddress, store, p.reportWriteError)
	p.runner = p.host.Add(daemon.Machine)
	if s.AuditEnabled {
		p.startAudit()
	}
	p.host.Add(membership.New(membership.Config{
		Self: wire.Node{
			ID: daemon.ID, Role: role, Zone: s.Zone, Address: s.Address, HTTPAddress: s.HTTPAddress,
			Incarnation: time.Now().UnixMilli(),
		},
		Seeds: s.Seeds, RandomSeed: RandomID(),
	}), wire.KindShuffle, wire.KindShuffleReply)
	return p
}

func (p *process) reportWriteError(err error) {
	select {
	case p.writeFailed <- err:
	default:
	}
}

// startAudit opens the audit log. If that fails, the daemon runs without it, since the audit
// log must never stop scheduling.
func (p *process) startAudit() {
	log, err := audit.Open(filepath.Join(p.settings.DataDir, auditDirName), p.daemon.ID)
	if err != nil {
		logging.Error("audit_failed", "error", err.Error())
		return
	}
	p.host.OnAuditEntry = func(entry machine.AuditEntry) {
		if !log.TryAppend(entry) {
			logging.Warn("audit_dropped", "index", entry.Index)
		}
	}
	log.Run()
}

// start listens on both addresses and runs the machines.
func (p *process) start() error {
	listener, err := net.Listen("tcp", p.settings.HTTPAddress)
	if err != nil {
		return fmt.Errorf("http: %w", err)
	}
	p.server = web.New(listener, p.daemon.Diagnostics(p.host, p.runner))
	if p.daemon.API {
		p.server.ServeAPI(p.runner)
	}
	if err := p.host.Run(); err != nil {
		return err
	}
	p.server.Run()
	logging.Info("started", "version", settings.Release, "zone", p.settings.Zone,
		"http", p.settings.HTTPAddress, "id", p.daemon.ID)
	return nil
}

// serve waits for a signal or a failed write, stops the daemon after a signal, and returns
// the exit code.
func (p *process) serve() int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-p.writeFailed:
		logging.Error("storage_failed", "error", err.Error())
		return exitWriteFailed
	case <-signals:
	}
	p.stop()
	return exitOK
}

// stop hands over leadership and then closes everything.
func (p *process) stop() {
	logging.Info("stopping")
	p.runner.Step(machine.Input{Stop: true})
	select {
	case <-p.host.Stopped():
	case <-time.After(handoverTimeout):
		logging.Warn("handover_timed_out", "timeout", handoverTimeout)
	case err := <-p.writeFailed:
		logging.Error("storage_failed", "error", err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), httpCloseTimeout)
	defer cancel()
	p.server.Close(ctx)
	p.host.Close()
	logging.Info("stopped")
}
