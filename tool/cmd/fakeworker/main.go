// Program fakeworker runs one fake worker that connects to the gateways and follows the contract
// in docs/workers.md. Its HTTP port accepts the faults to inject, and serves the record of its
// runs.
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

// workerSettings are the parsed command-line flags.
type workerSettings struct {
	config         fakeworker.Config
	gateways       []string
	controlAddress string
}

// errInvalidFlags means that a flag is missing or out of range.
var errInvalidFlags = errors.New(
	"-id, -site, -service, -fronts and -http are required; -slots must be positive and -cores not negative")

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

// parseFlags parses and validates the flags. The incarnation is the start time, so that it
// increases with each process.
func parseFlags(args []string) (workerSettings, error) {
	var s workerSettings
	fs := flag.NewFlagSet("fakeworker", flag.ContinueOnError)
	fs.StringVar(&s.config.ID, "id", "", "worker ID (required)")
	fs.StringVar(&s.config.Zone, "site", "", "zone (required)")
	fs.StringVar(&s.config.Rack, "rack", "", "rack")
	fs.StringVar(&s.config.Service, "service", "", "service (required)")
	labels := fs.String("labels", "", "comma-separated labels")
	slots := fs.Int("slots", 8, "total number of slots")
	cores := fs.Int("cores", 16, "total number of cores")
	gateways := fs.String("fronts", "", "comma-separated IP:port of gateways (required)")
	fs.StringVar(&s.controlAddress, "http", "", "IP:port to serve the control API and the record of runs on (required)")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return s, err
	}
	if s.config.ID == "" || s.config.Zone == "" || s.config.Service == "" || *gateways == "" ||
		s.controlAddress == "" || *slots < 1 || *cores < 0 {
		return s, errInvalidFlags
	}
	s.gateways = strings.Split(*gateways, ",")
	s.config.Capacity = state.Resources{Slots: *slots, Cores: *cores}
	s.config.Incarnation = time.Now().UnixMilli()
	if *labels != "" {
		s.config.Labels = strings.Split(*labels, ",")
	}
	return s, nil
}
