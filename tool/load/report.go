package load

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
)

// ClassReport holds the results of one class. Times are in milliseconds since the scheduled
// arrival.
type ClassReport struct {
	Submitted, Accepted, Retried, Done, Failed, Unfinished, StatusReads int
	// Rejections counts submissions that were not accepted, by the name of the status code, or
	// "silence" without a valid reply.
	Rejections                 map[string]int
	AcceptMillis, FinishMillis []float64
}

// Report holds the results of a run by class.
type Report struct {
	mu      sync.Mutex
	Classes map[string]*ClassReport
	// UnknownJobs counts the accepted jobs that a gateway later reported as unknown.
	UnknownJobs int
}

func newReport(config Config) *Report {
	report := &Report{Classes: map[string]*ClassReport{}}
	for _, traffic := range config.Deployment.Traffic {
		report.Classes[traffic.Class] = &ClassReport{Rejections: map[string]int{}}
	}
	return report
}

// update changes the report of a class under the lock.
func (r *Report) update(class string, change func(*ClassReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.Classes[class])
}

// countUnknown counts an accepted job that a gateway reported as unknown.
func (r *Report) countUnknown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UnknownJobs++
}

// Complete reports whether each class had jobs, all of them are done and none was reported as
// unknown.
func (r *Report) Complete() bool {
	for _, class := range r.Classes {
		if class.Submitted == 0 || class.Done != class.Submitted {
			return false
		}
	}
	return r.UnknownJobs == 0
}

// Percentile returns a percentile of unsorted values by the nearest rank, 0 if there are none.
func Percentile(values []float64, percent float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(percent/100*float64(len(sorted))))]
}

// Lines returns the report as text, with one line for each class and one for unknown jobs.
func (r *Report) Lines() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		lines = append(lines, r.Classes[name].line(name))
	}
	return append(lines, fmt.Sprintf("unknown=%d", r.UnknownJobs))
}

func (c *ClassReport) line(name string) string {
	millis := func(values []float64, percent float64) string {
		return strconv.FormatFloat(Percentile(values, percent), 'f', 1, 64)
	}
	counts := fmt.Sprintf("class=%s sent=%d accepted=%d done=%d failed=%d unfinished=%d resent=%d asked=%d",
		name, c.Submitted, c.Accepted, c.Done, c.Failed, c.Unfinished, c.Retried, c.StatusReads)
	accept := fmt.Sprintf("acceptMs_p50=%s acceptMs_p99=%s", millis(c.AcceptMillis, 50), millis(c.AcceptMillis, 99))
	finish := fmt.Sprintf("finishMs_p50=%s finishMs_p95=%s finishMs_p99=%s finishMs_max=%s",
		millis(c.FinishMillis, 50), millis(c.FinishMillis, 95),
		millis(c.FinishMillis, 99), millis(c.FinishMillis, 100))
	return fmt.Sprintf("%s %s %s bounces=%v", counts, accept, finish, c.Rejections)
}
