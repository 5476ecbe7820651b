package experiment

import (
	"math"
	"runtime"
	"sync"
)

// Trial is one day to be played under one policy.
type Trial struct {
	Deployment Deployment
	Kind       string
	Day        Day
	Policy     Policy
}

// PlayAll plays trials side by side, as many at once as there are processors.
func PlayAll(trials []Trial) []Report {
	reports := make([]Report, len(trials))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var open sync.WaitGroup
	for i := range trials {
		slots <- struct{}{}
		open.Go(func() {
			reports[i] = Play(trials[i].Deployment, trials[i].Day, trials[i].Policy)
			<-slots
		})
	}
	open.Wait()
	return reports
}

// normalQuantile is that of the normal distribution for a confidence of 95 %.
const normalQuantile = 1.96

// Difference is that of one figure between two policies over paired days.
type Difference struct {
	Mean float64
	// HalfWidth is half of the confidence interval of 95 % of the mean.
	HalfWidth     float64
	Better, Worse int
}

// Compare takes the figures of a policy and of the one that it is compared with, day by day.
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

// Mean is the mean of figures, 0 of none.
func Mean(figures []float64) float64 {
	sum := 0.0
	for _, figure := range figures {
		sum += figure
	}
	return sum / math.Max(1, float64(len(figures)))
}
