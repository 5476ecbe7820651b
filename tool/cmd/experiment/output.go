package main

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"

	"sorrelloom/tool/experiment"
)

// metric is a named value of a report.
type metric struct {
	name  string
	value func(experiment.Report) float64
}

// Causes with a smaller daily mean are not printed.
const (
	minWorth    = 0.5
	minUnserved = 0.1
)

var metrics = []metric{
	{"worth", func(r experiment.Report) float64 { return r.Worth }},
	{"whole", func(r experiment.Report) float64 { return r.EarnedShare }},
	{"unserved", func(r experiment.Report) float64 { return r.Unserved }},
	{"windows", func(r experiment.Report) float64 { return r.WorstWindows }},
	{"class", func(r experiment.Report) float64 { return r.WorstClass }},
	{"far", func(r experiment.Report) float64 { return float64(r.FarRuns) / float64(max(1, r.Runs)) }},
	{"wasted", func(r experiment.Report) float64 { return r.Wasted }},
	{"start50", func(r experiment.Report) float64 { return r.FirstStartP50.Seconds() }},
	{"start95", func(r experiment.Report) float64 { return r.FirstStartP95.Seconds() }},
	{"bound", func(r experiment.Report) float64 { return r.Bound }},
}

// printComparison prints the mean metrics of each policy, and the difference of its worth from
// that of the first.
func printComparison(s settings, trials []experiment.Trial, reports []experiment.Report) {
	perPolicy := len(trials) / len(s.policies)
	fmt.Printf("%-22s", "policy")
	for _, m := range metrics {
		fmt.Printf(" %8s", m.name)
	}
	fmt.Println("   worth less that of the first, 95 %, better and worse")
	base := values(reports[:perPolicy], metrics[0])
	for i, policy := range s.policies {
		own := reports[i*perPolicy : (i+1)*perPolicy]
		fmt.Printf("%-22s", policy.Name)
		for _, m := range metrics {
			fmt.Printf(" %8.4f", experiment.Mean(values(own, m)))
		}
		d := experiment.Compare(values(own, metrics[0]), base)
		fmt.Printf("   %+.4f ± %.4f  %d, %d of %d\n", d.Mean, d.HalfWidth, d.Better, d.Worse, perPolicy)
		if s.causes {
			printCauses(own)
		}
	}
}

func values(reports []experiment.Report, m metric) []float64 {
	var result []float64
	for _, report := range reports {
		result = append(result, m.value(report))
	}
	return result
}

// printCauses prints the worth lost by class and cause, and the outcomes of runs.
func printCauses(reports []experiment.Report) {
	lost, outcomes := map[string]float64{}, map[string]float64{}
	n := float64(len(reports))
	for _, report := range reports {
		for class, causes := range report.ClassCauses {
			for cause, worth := range causes {
				lost[class+": "+cause] += worth / n
			}
		}
		for outcome, count := range report.Outcomes {
			outcomes[outcome] += float64(count) / n
		}
	}
	printSorted("worth lost", lost, minWorth)
	unserved := map[string]float64{}
	for _, report := range reports {
		for cause, count := range report.UnservedCauses {
			unserved[cause] += count / n
		}
	}
	printSorted("unserved", unserved, minUnserved)
	printSorted("runs", outcomes, 0)
}

// printSorted prints the amounts above a bound, in descending order.
func printSorted(title string, amounts map[string]float64, above float64) {
	names := slices.SortedFunc(maps.Keys(amounts), func(a, b string) int { return cmp.Compare(amounts[b], amounts[a]) })
	fmt.Printf("    %s:", title)
	for _, name := range names {
		if amounts[name] > above {
			fmt.Printf(" %s %.1f;", name, amounts[name])
		}
	}
	fmt.Println()
}

// writeFiles writes the requested output files.
func writeFiles(s settings, trials []experiment.Trial, reports []experiment.Report) error {
	if s.csvFile != "" {
		if err := writeCSV(s.csvFile, trials, reports); err != nil {
			return err
		}
	}
	if s.plotFile != "" {
		return writePlot(s.plotFile, s, reports)
	}
	return nil
}

// writeCSV writes the metrics as CSV, one row for each trial.
func writeCSV(path string, trials []experiment.Trial, reports []experiment.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(file)
	header := []string{"policy", "deployment", "day", "seed"}
	for _, m := range metrics {
		header = append(header, m.name)
	}
	rows := [][]string{header}
	for i, trial := range trials {
		row := []string{trial.Policy.Name, trial.Deployment.Name, trial.Kind, strconv.FormatUint(trial.Day.Seed, 10)}
		for _, m := range metrics {
			row = append(row, strconv.FormatFloat(m.value(reports[i]), 'f', 4, 64))
		}
		rows = append(rows, row)
	}
	if err := writer.WriteAll(rows); err != nil {
		return err
	}
	return file.Close()
}
