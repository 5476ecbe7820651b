// Program simulate runs simulated scenarios by seed and checks their invariants. For a failing
// seed it prints the command that reproduces it. It exits with 0 if all checks passed, 1 if a
// check was violated, and 2 for invalid flags.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

const (
	exitOK = iota
	exitViolation
	exitUsage
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("simulate", flag.ContinueOnError)
	s, err := parseSettings(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if errors.Is(err, errInvalidFlags) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulate:", err)
		fs.Usage()
		return exitUsage
	}
	passed := false
	switch {
	case s.largeSiteFaults != nil:
		passed = runLargeSite(s)
	case s.requirements != nil:
		passed = checkRequirements(s)
	default:
		passed = runScenarios(s)
	}
	if !passed {
		return exitViolation
	}
	return exitOK
}

// logFunc returns the function that prints the log of a run, nil unless -verbose is set.
func (s settings) logFunc() func(string) {
	if !s.verbose {
		return nil
	}
	return func(text string) { fmt.Println(text) }
}
