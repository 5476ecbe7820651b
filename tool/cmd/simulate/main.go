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
	line := fs.String("line", "", "play one line of the brief, by name, or all, and say what was judged; -faults is not used")
	composition := fs.String("composition", "fleet", "fleet: keepers, schedulers and fronts; center: centers, doors and sides, with faults: "+strings.Join(sim.CenterKindNames(), " ")+
		"; or "+sim.ControlDay+": "+strings.Join(sim.ControlKindNames(), " "))
	site := fs.String("site", "small", "size of the composition center: small, which bears the loss of one core machine, "+
		"or middle or grown, of two")
	bounded := fs.Bool("bounded", false, "processors, connections and disks have bounds; always so with -faults "+
		sim.ControlDay)
	share := fs.Float64("share", sim.CoreShare, "part of a core that each process has, with -bounded or -faults "+
		sim.ControlDay)
	rate := fs.Int("rate", sim.GrownHardware().Links.Rate, "bytes a second that each process can send, as -share")
	grownFault := fs.String("grown", "", "play grown days of 43 s with this fault, all or none; "+
		"only -from, -to, -scale, -share and -rate count then")
	scale := fs.Float64("scale", 0.9, "part of a grown day's traffic")
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
	if *share <= 0 || *share > 1 || *rate <= 0 {
		return bad("-share %g -rate %d: a part of a core, and bytes a second", *share, *rate)
	}
	machines := sim.GrownHardware()
	machines.Share, machines.Links.Rate = *share, *rate
	if *grownFault != "" {
		return grown(*grownFault, *scale, machines, *from, *to, *verbose, bad)
	}
	play, parse, checks := sim.Play, sim.ParseFaults, sim.Checks
	switch *composition {
	case "fleet":
	case "center":
		play, parse, checks = sim.PlayCenters, sim.ParseCenterFaults, sim.CenterChecks
	default:
		return bad("-composition %q is neither fleet nor center", *composition)
	}
	kinds, err := parse(*faults)
	if err != nil {
		return bad("%v", err)
	}
	size, ok := sim.Sizes[*site]
	if !ok || size != sim.SmallSize && *composition != "center" {
		return bad("-site %q: small, or middle or grown with -composition center", *site)
	}
	var hardware *sim.Hardware
	if *bounded || *faults == sim.ControlDay {
		hardware = machines
	}
	if fs.NArg() > 0 {
		return bad("unexpected words: %v", fs.Args())
	}
	if *line != "" && *composition != "fleet" {
		return bad("-line is for the fleet alone")
	}
	if *line != "" {
		return lines(*line, sim.Env{Deployment: d, For: *day}, *from, int(*to-*from)+1, bad)
	}
	failed := 0
	judged, excused, played := map[string]int{}, map[string]int{}, map[string]int{}
	for seed := *from; seed <= *to; seed++ {
		e := sim.Env{Seed: seed, Deployment: d, Faults: kinds, For: *day, Size: size, Hardware: hardware}
		if *verbose {
			e.Verbose = func(text string) { fmt.Println(text) }
		}
		r := play(e)
		fmt.Printf("seed=%d trace=%016x jobs=%d accepted=%d done=%d runs=%d views=%d races=%d quickMs_p50=%.1f quickMs_p99=%.1f broken=%d\n",
			seed, r.Trace, r.Jobs, r.Accepted, r.Done, r.Runs, r.Views, r.Races, load.Percentile(r.QuickMs, 50), load.Percentile(r.QuickMs, 99), len(r.Broken))
		for check, count := range r.Judged {
			judged[check] += count
		}
		for why, count := range r.Excused {
			excused[why] += count
		}
		for kind, count := range r.Played {
			played[kind] += count
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
			fmt.Printf("  again: simulate -composition %s -site %s -bounded=%v -share %g -rate %d -deployment %s",
				*composition, *site, hardware != nil, *share, *rate, d.Name)
			fmt.Printf(" -faults %s -for %s -from %d -to %d\n", *faults, *day, seed, seed)
		}
	}
	for _, check := range checks {
		fmt.Printf("judged check=%s times=%d\n", check, judged[check])
	}
	for _, why := range slices.Sorted(maps.Keys(excused)) {
		fmt.Printf("excused %s times=%d\n", why, excused[why])
	}
	for _, kind := range slices.Sorted(maps.Keys(played)) {
		fmt.Printf("played fault=%s times=%d\n", kind, played[kind])
	}
	fmt.Printf("seeds=%d failed=%d\n", *to-*from+1, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// lines plays lines of the brief and ends with 1 if one does not hold.
func lines(name string, e sim.Env, from uint64, count int, bad func(string, ...any) int) int {
	chosen := sim.Lines
	if name != "all" {
		one, err := sim.LineByName(name)
		if err != nil {
			return bad("%v", err)
		}
		chosen = []sim.Line{one}
	}
	status := 0
	for _, l := range chosen {
		days, err := l.Days(e, from, count)
		if err != nil {
			return bad("%v", err)
		}
		holds, text := l.Verdict(sim.PlayAll(days))
		fmt.Printf("must never happen: %s\n", l.Text)
		for _, t := range text {
			fmt.Println("  " + t)
		}
		if !holds {
			status = 1
		}
	}
	return status
}
