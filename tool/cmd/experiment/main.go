// Program experiment simulates the same days under several dispatch policies, and prints the
// metrics of each policy and its difference from the first one, with a confidence interval.
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
	reports := experiment.RunTrials(trials)
	printComparison(settings, trials, reports)
	if err := writeFiles(settings, trials, reports); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		return exitFailed
	}
	return exitOK
}

// settings are the parsed command-line flags.
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
		"comma-separated policies; the others are compared with the first: "+
			strings.Join(experiment.PolicyNames(), " "))
	kinds := fs.String("days", experiment.DayTrouble,
		"comma-separated kinds of days: "+strings.Join(experiment.DayKinds, " "))
	file := fs.String("deployment", "", "file with a deployment; the embedded print shops if empty")
	drawn := fs.Int("drawn", 0, "number of random deployments to derive from it and use instead")
	fs.Uint64Var(&s.from, "from", 1, "first seed")
	fs.IntVar(&s.seeds, "seeds", 8, "number of days of each kind on each deployment")
	fs.StringVar(&s.csvFile, "csv", "", "CSV file to write the metrics of each day to")
	fs.StringVar(&s.plotFile, "plot", "", "PNG file to plot the earned worth over time to")
	fs.BoolVar(&s.causes, "causes", false, "print the lost worth by class and cause")
	if err := fs.Parse(args); err != nil {
		return s, err
	}
	for _, name := range strings.Split(*policies, ",") {
		policy, found := experiment.FindPolicy(name)
		if !found {
			return s, fmt.Errorf("unknown policy %q; known policies: %s", name, strings.Join(experiment.PolicyNames(), ", "))
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
		s.deployments = append(s.deployments, experiment.DrawDeployment(base, s.from+uint64(i)))
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

// trials lists all days under all policies, grouped by policy and with the days in the same
// order for each policy.
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
