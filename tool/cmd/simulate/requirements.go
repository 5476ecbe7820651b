package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"sorrelloom/tool/sim"
)

// checkRequirements performs the runs of the selected requirements and reports whether all of them
// hold.
func checkRequirements(s settings) bool {
	seeds := s.seeds()
	allHold := true
	for _, requirement := range s.requirements {
		if s.randomSeeds > 0 {
			fmt.Printf("seeds of line=%s deployment=%s: %v\n", requirement.Name, s.deployment, seeds)
		}
		runs, err := requirement.Runs(s.requirementOptions(len(seeds)), seeds)
		if err != nil {
			panic(err)
		}
		results := sim.PlayFleets(runs)
		holds, lines := requirement.Verdict(results)
		fmt.Printf("must never happen: %s\n", requirement.Text)
		for _, line := range lines {
			fmt.Println("  " + line)
		}
		if err := s.appendFailedRuns(requirement, results); err != nil {
			fmt.Fprintln(os.Stderr, "simulate:", err)
			holds = false
		}
		allHold = allHold && holds
	}
	return allHold
}

// seeds returns the seeds from -from to -to, or as many random seeds as -fresh requests.
func (s *settings) seeds() []uint64 {
	var seeds []uint64
	if s.randomSeeds > 0 {
		for range s.randomSeeds {
			seeds = append(seeds, uint64(rand.Uint32()))
		}
		return seeds
	}
	for seed := s.fromSeed; seed <= s.toSeed; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// requirementOptions returns the options of the runs of a requirement. Events are logged only if
// there is a single run, because several run in parallel.
func (s *settings) requirementOptions(runs int) sim.Options {
	options := sim.Options{Deployment: s.options.Deployment, Duration: s.duration}
	if runs == 1 && len(s.requirements) == 1 {
		options.Log = s.options.Log
	}
	return options
}

// appendFailedRuns appends the commands that reproduce the failed runs to the file of -keep.
func (s *settings) appendFailedRuns(requirement sim.Requirement, results []sim.Result) error {
	if s.failedRunsFile == "" {
		return nil
	}
	file, err := os.OpenFile(s.failedRunsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	for _, result := range results {
		if len(result.Violations) == 0 {
			continue
		}
		_, err = fmt.Fprintf(file, "simulate -line %s -deployment %s -for %s -from %d -to %d # %s\n", requirement.Name,
			s.deployment, s.duration, result.Seed, result.Seed, result.Violations[0].Check)
		if err != nil {
			break
		}
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
