// Program simulate plays scenarios by seed and judges them. A failing seed prints the
// command that plays it again. It ends with 0 if nothing was violated, 1 if something was,
// 2 for wrong usage.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

const (
	exitOK = iota
	exitViolated
	exitUsage
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("simulate", flag.ContinueOnError)
	s, err := parseSettings(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if errors.Is(err, errUnreadable) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulate:", err)
		fs.Usage()
		return exitUsage
	}
	held := false
	switch {
	case s.largeSiteFaults != nil:
		held = playLargeSite(s)
	case s.requirements != nil:
		held = playRequirements(s)
	default:
		held = playScenarios(s)
	}
	if !held {
		return exitViolated
	}
	return exitOK
}

// logFunc is where the log of a run goes, nowhere unless it is asked for.
func (s settings) logFunc() func(string) {
	if !s.verbose {
		return nil
	}
	return func(text string) { fmt.Println(text) }
}
