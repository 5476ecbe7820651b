// Program experiment plays the same simulated days under several dispatch policies, and
// prints by how much they differ, with a confidence interval.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"sorrelloom/tool/experiment"
)

const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	settings, err := parseSettings(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		return exitUsage
	}
	trials := settings.trials()
	reports := experiment.PlayAll(trials)
	printComparison(settings, trials, reports)
	if err := writeFiles(settings, trials, reports); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		return exitFailed
	}
	return exitOK
}

// settings are what the command line asks for.
type settings struct {
	policies    []experiment.Policy
	kinds       []string
	deployments []experiment.Deployment
	from        uint64
	seeds       int
	csvFile     string
	plotFile    string
	causes      bool
}

func parseSettings(args []string) (settings, error) {
	var s settings
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	policies := fs.String("policies", experiment.BasePolicy,
		"policies, by commas; the first is what the others are compared with: "+
			strings.Join(experiment.PolicyNames(), " "))
	kinds := fs.String("days", experiment.DayTrouble, "kinds of days, by commas: "+strings.Join(experiment.DayKinds, " "))
	file := fs.String("deployment", "", "a file with a deployment; none is that of the print shops")
	drawn := fs.Int("drawn", 0, "how many deployments to draw from it, in place of it")
	fs.Uint64Var(&s.from, "from", 1, "the first seed")
	fs.IntVar(&s.seeds, "seeds", 8, "how many days of each kind on each deployment")
	fs.StringVar(&s.csvFile, "csv", "", "a file for the figures of each day")
	fs.StringVar(&s.plotFile, "plot", "", "a PNG file for the windows over time")
	fs.BoolVar(&s.causes, "causes", false, "print the worth lost by class and cause")
	if err := fs.Parse(args); err != nil {
		return s, err
	}
	for _, name := range strings.Split(*policies, ",") {
		policy, found := experiment.FindPolicy(name)
		if !found {
			return s, fmt.Errorf("no policy %q; known are %s", name, strings.Join(experiment.PolicyNames(), ", "))
		}
		s.policies = append(s.policies, policy)
	}
	s.kinds = strings.Split(*kinds, ",")
	base, err := readDeployment(*file)
	if err != nil {
		return s, err
	}
	s.deployments = []experiment.Deployment{base}
	if *drawn > 0 {
		s.deployments = nil
	}
	for i := range *drawn {
		s.deployments = append(s.deployments, experiment.Draw(base, s.from+uint64(i)))
	}
	return s, nil
}

func readDeployment(file string) (experiment.Deployment, error) {
	if file == "" {
		return experiment.PrintShops()
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return experiment.Deployment{}, err
	}
	return experiment.ParseDeployment(data)
}

// trials lists all days under all policies: those of one policy are together, in the same
// order for each.
func (s *settings) trials() []experiment.Trial {
	var trials []experiment.Trial
	for _, policy := range s.policies {
		for _, deployment := range s.deployments {
			for _, kind := range s.kinds {
				for i := range s.seeds {
					day := experiment.DrawDay(kind, &deployment, s.from+uint64(i))
					trials = append(trials, experiment.Trial{Deployment: deployment, Kind: kind, Day: day, Policy: policy})
				}
			}
		}
	}
	return trials
}
