// Program fakeworker plays one worker against the gateways, by the contract in
// docs/workers.md. Its faults are set over its own HTTP port, which also serves its record of
// what it ran.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/core/state"
	"sorrelloom/daemon/logging"
	"sorrelloom/tool/fakeworker"
)

const (
	exitOK    = 0
	exitUsage = 2
)

// workerSettings are what the flags ask for.
type workerSettings struct {
	config         fakeworker.Config
	gateways       []string
	controlAddress string
}

// errIncomplete says that a flag is missing or out of range.
var errIncomplete = errors.New("-id, -site, -service, -fronts and -http are needed, -slots must be over 0")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := parseFlags(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fakeworker:", err)
		return exitUsage
	}
	logging.Init("fakeworker@" + s.config.ID)
	server := newWorkerServer(s)
	server.serve(s.controlAddress)
	server.start()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return exitOK
}

// parseFlags reads and checks the flags. The incarnation is the time of the start, so that it
// is larger for each process.
func parseFlags(args []string) (workerSettings, error) {
	var s workerSettings
	fs := flag.NewFlagSet("fakeworker", flag.ContinueOnError)
	fs.StringVar(&s.config.ID, "id", "", "worker ID (needed)")
	fs.StringVar(&s.config.Zone, "site", "", "zone (needed)")
	fs.StringVar(&s.config.Rack, "rack", "", "rack")
	fs.StringVar(&s.config.Service, "service", "", "service (needed)")
	labels := fs.String("labels", "", "comma-separated labels")
	slots := fs.Int("slots", 8, "slots in all")
	cores := fs.Int("cores", 16, "cores in all")
	gateways := fs.String("fronts", "", "comma-separated IP:port of gateways (needed)")
	fs.StringVar(&s.controlAddress, "http", "", "IP:port for control and the record of runs (needed)")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return s, err
	}
	if s.config.ID == "" || s.config.Zone == "" || s.config.Service == "" || *gateways == "" ||
		s.controlAddress == "" || *slots < 1 || *cores < 0 {
		return s, errIncomplete
	}
	s.gateways = strings.Split(*gateways, ",")
	s.config.Capacity = state.Resources{Slots: *slots, Cores: *cores}
	s.config.Incarnation = time.Now().UnixMilli()
	if *labels != "" {
		s.config.Labels = strings.Split(*labels, ",")
	}
	return s, nil
}
