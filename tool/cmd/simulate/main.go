// Program simulate plays scenarios by seed and judges them. A failing seed
// prints the command that plays it again.
package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/tool/deploy"
	"sorrelloom/tool/load"
	"sorrelloom/tool/sim"
)

func main() { os.Exit(run()) }

func run() int {
	fs := flag.NewFlagSet("simulate", flag.ContinueOnError)
	name := fs.String("deployment", "reseller", "reseller or podcast")
	from := fs.Uint64("from", 1, "first seed")
	to := fs.Uint64("to", 1, "last seed")
	faults := fs.String("faults", "all", "comma-separated kinds, all, or none: "+strings.Join(sim.KindNames(), " "))
	day := fs.Duration("for", 60*time.Second, "how long jobs and faults come, in virtual time")
	verbose := fs.Bool("verbose", false, "print every event")
	if err := ff.Parse(fs, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	bad := func(format string, args ...any) int {
		fmt.Fprintf(os.Stderr, "simulate: "+format+"\n", args...)
		fs.Usage()
		return 2
	}
	d, err := deploy.Get(*name)
	if err != nil {
		return bad("%v", err)
	}
	if *to < *from || *to-*from > 1_000_000 {
		return bad("-from %d -to %d is no range of seeds", *from, *to)
	}
	if *day < 20*time.Second || *day > time.Hour {
		return bad("-for %s: from 20s to 1h", *day)
	}
	kinds, err := sim.ParseFaults(*faults)
	if err != nil {
		return bad("%v", err)
	}
	if fs.NArg() > 0 {
		return bad("unexpected words: %v", fs.Args())
	}
	failed := 0
	judged, excused := map[string]int{}, map[string]int{}
	for seed := *from; seed <= *to; seed++ {
		e := sim.Env{Seed: seed, Deployment: d, Faults: kinds, For: *day}
		if *verbose {
			e.Verbose = func(text string) { fmt.Println(text) }
		}
		r := sim.Play(e)
		fmt.Printf("seed=%d trace=%016x jobs=%d accepted=%d done=%d runs=%d views=%d races=%d quickMs_p50=%.1f quickMs_p99=%.1f broken=%d\n",
			seed, r.Trace, r.Jobs, r.Accepted, r.Done, r.Runs, r.Views, r.Races, load.Percentile(r.QuickMs, 50), load.Percentile(r.QuickMs, 99), len(r.Broken))
		for check, count := range r.Judged {
			judged[check] += count
		}
		for why, count := range r.Excused {
			excused[why] += count
		}
		for i, b := range r.Broken {
			if i == 12 {
				fmt.Printf("  and %d more\n", len(r.Broken)-i)
				break
			}
			fmt.Printf("  %s: %s\n", b.Check, b.Why)
		}
		if len(r.Broken) > 0 {
			failed++
			fmt.Printf("  again: simulate -deployment %s -faults %s -for %s -from %d -to %d\n", d.Name, *faults, *day, seed, seed)
		}
	}
	for _, check := range sim.Checks {
		fmt.Printf("judged check=%s times=%d\n", check, judged[check])
	}
	for _, why := range slices.Sorted(maps.Keys(excused)) {
		fmt.Printf("excused %s times=%d\n", why, excused[why])
	}
	fmt.Printf("seeds=%d failed=%d\n", *to-*from+1, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
