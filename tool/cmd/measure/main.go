// Program measure prints the paired measurements of docs/measurements.md that
// are made in virtual time.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"

	"sorrelloom/tool/deploy"
	"sorrelloom/tool/sim"
)

func main() { os.Exit(run()) }

func run() int {
	names := make([]string, 0, len(sim.Measures))
	for name := range sim.Measures {
		names = append(names, name)
	}
	sort.Strings(names)
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	deployment := fs.String("deployment", "reseller", "reseller or podcast")
	what := fs.String("what", "", "one of: "+strings.Join(names, " "))
	seeds := fs.Int("seeds", 5, "paired runs")
	if err := fs.Parse(os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	d, err := deploy.Get(*deployment)
	measure, ok := sim.Measures[*what]
	if err != nil || !ok || *seeds < 1 || *seeds > 1000 || fs.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "measure: name a measurement with -what, seeds from 1 to 1000;", err)
		fs.Usage()
		return 2
	}
	measure(os.Stdout, d, *seeds)
	return 0
}
