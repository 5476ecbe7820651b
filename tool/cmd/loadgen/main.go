// Program loadgen plays a deployment's traffic against its fronts and reports
// counts, bounces by code and percentiles by class. It ends with 1 if a job was
// forgotten or not finished.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/tool/deploy"
	"sorrelloom/tool/load"
)

func main() { os.Exit(run()) }

func run() int {
	var e load.Config
	fs := flag.NewFlagSet("loadgen", flag.ContinueOnError)
	name := fs.String("deployment", "reseller", "reseller or podcast")
	fronts := fs.String("fronts", "", "comma-separated IP:port of fronts (needed); loopback only")
	fs.Uint64Var(&e.Seed, "seed", 1, "seed of the arrivals")
	fs.DurationVar(&e.Duration, "for", 30*time.Second, "how long jobs arrive")
	fs.DurationVar(&e.JobTimeout, "patience", 60*time.Second, "how long a job may take in all")
	fs.Float64Var(&e.RateFactor, "scale", 1, "factor on the brief's rates")
	fs.DurationVar(&e.BurstAt, "crowd-at", 0, "when a crowd comes at once")
	fs.IntVar(&e.BurstJobs, "crowd", 0, "jobs in the crowd")
	fs.StringVar(&e.IDPrefix, "prefix", fmt.Sprintf("load%d", time.Now().Unix()), "beginning of all job ids")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("LOADGEN")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	d, err := deploy.Get(*name)
	if err == nil {
		err = check(e, *fronts, fs.Args())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		return 2
	}
	e.Deployment, e.Gateways = d, strings.Split(*fronts, ",")
	report := load.Run(e)
	for _, line := range report.Lines() {
		fmt.Println(line)
	}
	if !report.Complete() {
		return 1
	}
	return 0
}

func check(e load.Config, fronts string, rest []string) error {
	for _, f := range strings.Split(fronts, ",") {
		at, err := netip.ParseAddrPort(f)
		if err != nil {
			return fmt.Errorf("-fronts: %w", err)
		}
		if !at.Addr().IsLoopback() {
			return fmt.Errorf("-fronts: %s is not a loopback address", f)
		}
	}
	switch {
	case e.Duration <= 0 || e.Duration > time.Hour:
		return errors.New("-for: over 0, at most 1h")
	case e.JobTimeout <= 0:
		return errors.New("-patience: over 0")
	case e.RateFactor <= 0 || e.RateFactor > 100:
		return errors.New("-scale: over 0, at most 100")
	case e.BurstJobs < 0 || e.BurstJobs > 100000 || e.BurstAt < 0:
		return errors.New("-crowd: from 0 to 100000, at 0 or later")
	case len(rest) > 0:
		return fmt.Errorf("unexpected words: %s", strings.Join(rest, " "))
	}
	return nil
}
