package experiment

import (
	"math"
	"runtime"
	"sync"
)

// Trial is one day to simulate under one policy.
type Trial struct {
	Deployment Deployment
	Kind       string
	Day        Day
	Policy     Policy
}

// RunTrials simulates all trials, GOMAXPROCS of them in parallel, and returns their reports in
// the order of the trials.
func RunTrials(trials []Trial) []Report {
	reports := make([]Report, len(trials))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var pending sync.WaitGroup
	for i := range trials {
		slots <- struct{}{}
		pending.Go(func() {
			reports[i] = Simulate(trials[i].Deployment, trials[i].Day, trials[i].Policy)
			<-slots
		})
	}
	pending.Wait()
	return reports
}

// normalQuantile is the quantile of the standard normal distribution for a two-sided confidence
// interval of 95 %.
const normalQuantile = 1.96

// Difference is how far one metric differs between two policies over paired days.
type Difference struct {
	Mean float64
	// HalfWidth is half the width of the mean's 95 % confidence interval.
	HalfWidth float64
	// Better and Worse count the days on which the metric is above and below that of the base.
	Better, Worse int
}

// Compare compares the daily values of a metric under a policy with those under a base policy.
// Both slices list the same days in the same order.
func Compare(policy, base []float64) Difference {
	var difference Difference
	n := float64(len(policy))
	for i := range policy {
		change := policy[i] - base[i]
		difference.Mean += change / n
		switch {
		case change > 0:
			difference.Better++
		case change < 0:
			difference.Worse++
		}
	}
	variance := 0.0
	for i := range policy {
		deviation := policy[i] - base[i] - difference.Mean
		variance += deviation * deviation / math.Max(1, n-1)
	}
	difference.HalfWidth = normalQuantile * math.Sqrt(variance/math.Max(1, n))
	return difference
}

// Mean returns the arithmetic mean, or 0 for an empty slice.
func Mean(figures []float64) float64 {
	sum := 0.0
	for _, figure := range figures {
		sum += figure
	}
	return sum / math.Max(1, float64(len(figures)))
}
