package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"sorrelloom/tool/sim"
)

// playRequirements plays the runs of requirements, and reports whether all hold.
func playRequirements(s settings) bool {
	seeds := s.seeds()
	allHold := true
	for _, requirement := range s.requirements {
		if s.freshSeeds > 0 {
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
		if err := s.keepFailed(requirement, results); err != nil {
			fmt.Fprintln(os.Stderr, "simulate:", err)
			holds = false
		}
		allHold = allHold && holds
	}
	return allHold
}

// seeds are those of the range, or as many as were asked for, drawn now.
func (s *settings) seeds() []uint64 {
	var seeds []uint64
	if s.freshSeeds > 0 {
		for range s.freshSeeds {
			seeds = append(seeds, uint64(rand.Uint32()))
		}
		return seeds
	}
	for seed := s.fromSeed; seed <= s.toSeed; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// requirementOptions are the options of runs of requirements. Events are printed for a
// single run only: several are played at once.
func (s *settings) requirementOptions(runs int) sim.Options {
	options := sim.Options{Deployment: s.options.Deployment, Duration: s.duration}
	if runs == 1 && len(s.requirements) == 1 {
		options.Log = s.options.Log
	}
	return options
}

// keepFailed appends the commands that play the failed runs again to the file for them.
func (s *settings) keepFailed(requirement sim.Requirement, results []sim.Result) error {
	if s.keepFile == "" {
		return nil
	}
	file, err := os.OpenFile(s.keepFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
