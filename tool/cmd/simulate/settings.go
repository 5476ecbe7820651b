package main

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/tool/deploy"
	"sorrelloom/tool/sim"
)

// Names of the compositions, which determine the processes of a simulated cluster.
const (
	compositionFleet   = "fleet"
	compositionControl = "center"
)

// errInvalidFlags means that the flags could not be parsed; the flag set has printed the reason.
var errInvalidFlags = errors.New("invalid flags")

// maxSeeds bounds the difference between the last and the first seed.
const maxSeeds = 1_000_000

// maxRandomSeeds is the maximum number of random seeds.
const maxRandomSeeds = 10_000

// flags are the values of the command-line flags.
type flags struct {
	deployment, faults, requirement, composition, site, largeSiteFault string
	failedRunsFile                                                     string
	fromSeed, toSeed                                                   uint64
	randomSeeds                                                        int
	duration                                                           time.Duration
	bounded, tenants, verbose                                          bool
	share, scale                                                       float64
	rate                                                               int
}

// settings are the flags with the options derived from them.
type settings struct {
	flags
	options         sim.Options // Seed is not set
	requirements    []sim.Requirement
	largeSiteFaults []string
}

// register registers the flags in a flag set.
func (f *flags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.deployment, "deployment", "reseller", "deployment to simulate: reseller or podcast")
	fs.Uint64Var(&f.fromSeed, "from", 1, "first seed")
	fs.Uint64Var(&f.toSeed, "to", 1, "last seed")
	fs.StringVar(&f.faults, "faults", "all",
		"comma-separated faults, or all or none: "+strings.Join(sim.FleetFaultNames(), " "))
	fs.DurationVar(&f.duration, "for", 60*time.Second, "simulated time span in which jobs arrive and faults occur")
	fs.StringVar(&f.requirement, "line", "",
		"check the requirement with this name, or every requirement if all; -faults is ignored")
	fs.IntVar(&f.randomSeeds, "fresh", 0, "with -line: use and print this number of random seeds; -from and -to "+
		"are ignored")
	fs.StringVar(&f.failedRunsFile, "keep", "", "with -line: append the commands that reproduce failed runs to this file")
	fs.StringVar(&f.composition, "composition", compositionFleet,
		"fleet: replicas, schedulers and gateways; center: control processes, gateways and agents, with faults: "+
			strings.Join(sim.ControlFaultNames(), " ")+
			"; or "+sim.CoreFaultSet+": "+strings.Join(sim.CoreFaultNames(), " "))
	fs.StringVar(&f.site, "site", "small", "size of the composition center: small, which tolerates the loss of "+
		"one control process, or middle or grown, which tolerate the loss of two")
	fs.BoolVar(&f.tenants, "tenants", false, "with -composition center: all jobs belong to tenants, whose limits and "+
		"keys operators change")
	fs.BoolVar(&f.bounded, "bounded", false, "limit the capacity of processors, connections and disks; always set with "+
		"-faults "+sim.CoreFaultSet)
	fs.Float64Var(&f.share, "share", sim.CoreShare, "share of a core that each process has, with -bounded or "+
		"-faults "+sim.CoreFaultSet)
	fs.IntVar(&f.rate, "rate", sim.LargeSiteHardware().Links.BytesPerSecond,
		"bytes per second that each process can send; applies as -share does")
	fs.StringVar(&f.largeSiteFault, "grown", "", "run 43 s of the large site with this fault, or all or "+
		"none; of the other flags, only -from, -to, -scale, -share, -rate and -verbose apply")
	fs.Float64Var(&f.scale, "scale", 0.9, "factor on the large site's traffic")
	fs.BoolVar(&f.verbose, "verbose", false, "print every event")
}

// parseSettings parses and validates the flags.
func parseSettings(fs *flag.FlagSet, args []string) (settings, error) {
	var s settings
	s.register(fs)
	if err := ff.Parse(fs, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return s, err
		}
		return s, errInvalidFlags
	}
	deployment, err := deploy.Get(s.deployment)
	if err != nil {
		return s, err
	}
	if err := s.checkRanges(); err != nil {
		return s, err
	}
	s.options = sim.Options{Deployment: deployment, Duration: s.duration, Log: s.logFunc()}
	if s.largeSiteFault != "" {
		return s, s.chooseLargeSite()
	}
	if err := s.chooseScenario(); err != nil {
		return s, err
	}
	if fs.NArg() > 0 {
		return s, fmt.Errorf("unexpected arguments: %v", fs.Args())
	}
	return s, s.chooseRequirements()
}

func (f flags) checkRanges() error {
	switch {
	case f.toSeed < f.fromSeed || f.toSeed-f.fromSeed > maxSeeds:
		return fmt.Errorf("-from %d -to %d: descending or too long a range of seeds", f.fromSeed, f.toSeed)
	case f.randomSeeds < 0 || f.randomSeeds > maxRandomSeeds:
		return fmt.Errorf("-fresh %d: must be from 0 to %d", f.randomSeeds, maxRandomSeeds)
	case (f.randomSeeds > 0 || f.failedRunsFile != "") && f.requirement == "":
		return errors.New("-fresh and -keep require -line")
	case f.duration < 20*time.Second || f.duration > time.Hour:
		return fmt.Errorf("-for %s: must be from 20s to 1h", f.duration)
	case f.share <= 0 || f.share > 1 || f.rate <= 0:
		return fmt.Errorf("-share %g -rate %d: -share must be over 0 and at most 1, -rate positive", f.share, f.rate)
	}
	return nil
}

// hardware returns the hardware limits of the simulated hosts.
func (f flags) hardware() *sim.Hardware {
	hardware := sim.LargeSiteHardware()
	hardware.Share, hardware.Links.BytesPerSecond = f.share, f.rate
	return hardware
}

// chooseScenario sets the faults, the size and the hardware limits of the scenario.
func (s *settings) chooseScenario() error {
	var parse func(string) ([]string, error)
	switch s.composition {
	case compositionFleet:
		parse = sim.ParseFleetFaults
	case compositionControl:
		parse = sim.ParseControlFaults
	default:
		return fmt.Errorf("-composition %q: must be fleet or center", s.composition)
	}
	faults, err := parse(s.faults)
	if err != nil {
		return err
	}
	size, ok := sim.Sizes[s.site]
	if !ok || size != sim.SmallSize && s.composition != compositionControl {
		return fmt.Errorf("-site %q: must be small, or with -composition center also middle or grown", s.site)
	}
	if s.tenants && s.composition != compositionControl {
		return errors.New("-tenants requires -composition center")
	}
	s.options.Faults, s.options.Size, s.options.Tenants = faults, size, s.tenants
	if s.bounded || s.faults == sim.CoreFaultSet {
		s.options.Hardware = s.hardware()
	}
	return nil
}

// chooseRequirements sets the requirements to check, if -line is given.
func (s *settings) chooseRequirements() error {
	switch {
	case s.requirement == "":
		return nil
	case s.composition != compositionFleet:
		return errors.New("-line requires -composition fleet")
	case s.requirement == "all":
		s.requirements = sim.Requirements
		return nil
	}
	one, err := sim.RequirementByName(s.requirement)
	s.requirements = []sim.Requirement{one}
	return err
}

// chooseLargeSite sets the hardware limits and the faults of the large site.
func (s *settings) chooseLargeSite() error {
	s.options.Hardware = s.hardware()
	names := sim.LargeSiteFaultNames()
	switch {
	case s.largeSiteFault == "all":
		s.largeSiteFaults = names
	case s.largeSiteFault == "none" || slices.Contains(names, s.largeSiteFault):
		s.largeSiteFaults = []string{s.largeSiteFault}
	default:
		return fmt.Errorf("unknown fault %q of the large site; known are none, all and %v", s.largeSiteFault, names)
	}
	return nil
}
