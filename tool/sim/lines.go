// The brief's lines by name: what each promises, the checks that judge it, and
// the faults that bring its failure about. One command plays one line.

package sim

import (
	"fmt"
	"slices"
	"strings"
)

// Line is one promise of the brief.
type Line struct {
	Name   string
	Text   string
	Checks []string
	Faults string
}

var Lines = []Line{
	{"forgotten", "a job we accepted is forgotten, or called unknown after a few seconds", []string{"job-forgotten"}, "kill-primary,wipe,wipe-after-yes,replace,freeze,split,site-lost,site-lost-disk,crowd"},
	{"twice", "a task runs twice at once, or starts again after it finished well", []string{"twice-at-once", "again-after-good"}, "worker-run-on,worker-cut,worker-crash,worker-slow,kill-primary,freeze,wipe,split"},
	{"dependency", "a task starts before everything it depends on is done", []string{"before-dependency"}, "worker-crash,worker-fail,worker-run-on,large,kill,kill-primary,freeze"},
	{"wrong-worker", "a task runs on the wrong service's worker, or without its label", []string{"wrong-worker"}, "impossible,worker-crash,worker-leave,withdrawal,kill,plan-storm,site-lost"},
	{"room", "a worker is given more than its free room", []string{"over-room"}, "crowd,large,worker-crash,worker-cut,worker-run-on,kill,freeze"},
	{"defects", "a task is retried after it has used up its allowed failures", []string{"defects-spent"}, "worker-fail,worker-fail-class,worker-hang,kill-primary,freeze"},
	{"gang", "members of a gang wait alone because the others never came", []string{"gang-alone"}, "worker-crash,worker-cut,worker-hang,withdrawal,kill,freeze,large"},
	{"draining", "work starts on a draining worker over 2 s after it said so", []string{"start-while-draining"}, "worker-leave,withdrawal,kill,kill-primary,freeze,cut-one-way"},
	{"emptied", "work starts in an emptied site over 5 s after we asked", []string{"start-in-emptied-site"}, "empty-site,kill,kill-primary,freeze,split"},
	{"cancelled", "a cancelled job keeps starting work for over 3 s", []string{"start-after-cancel"}, "kill,kill-primary,freeze,split,crowd,large"},
	{"finished", "a job shows as finished while a task is still open", []string{"finished-with-open-task"}, "worker-run-on,worker-cut,worker-crash,worker-fail,kill-primary,wipe"},
	{"plan", "a new configuration is ignored after 2 s, or an older one comes back", []string{"plan-ignored", "plan-went-back"}, "plan-storm,plan-race,plan-large,kill,kill-primary,freeze,wipe,replace,site-lost"},
	{"quick", "quick work queues behind batches", []string{"quick-behind-batch", "quick-overtaken"}, "crowd,large,impossible,site-lost-crowd,withdrawal,worker-slow,kill"},
	{"long", "long work never finishes", []string{"long-unfinished"}, "crowd,large,worker-crash,worker-run-on,worker-hang,withdrawal,site-lost"},
	{"again", "not served again about 12 s after the last fault", []string{"not-served-again"}, "all"},
	{"come-back", "a request that is given up on is not told when to come back", []string{"bounce-without-time"}, "stop,kill-primary,wipe,wipe-after-yes,split"},
}

// Days are the days that play a line: one for each seed.
func (l Line) Days(e Env, from uint64, count int) ([]Env, error) {
	kinds, err := ParseFaults(l.Faults)
	var days []Env
	for i := range count {
		e.Seed, e.Faults = from+uint64(i), kinds
		days = append(days, e)
	}
	return days, err
}

// Verdict adds up the results of a line's days. A line that was not judged, or
// that any check at all found broken, does not hold.
func (l Line) Verdict(results []Result) (holds bool, lines []string) {
	judged, excused, broken := map[string]int{}, map[string]int{}, 0
	for _, r := range results {
		for _, check := range l.Checks {
			judged[check] += r.Judged[check]
		}
		for why, count := range r.Excused {
			if slices.Contains(l.Checks, strings.Fields(why)[0]) {
				excused[why] += count
			}
		}
		for _, b := range r.Broken {
			broken++
			lines = append(lines, fmt.Sprintf("seed=%d %s: %s", r.Seed, b.Check, b.Why))
		}
	}
	holds = broken == 0
	for _, check := range l.Checks {
		holds = holds && judged[check] > 0
	}
	return holds, append(lines, fmt.Sprintf("line=%s holds=%v days=%d judged=%v excused=%v broken=%d", l.Name, holds, len(results), judged, excused, broken))
}

// LineByName finds a line.
func LineByName(name string) (Line, error) {
	var names []string
	for _, l := range Lines {
		if l.Name == name {
			return l, nil
		}
		names = append(names, l.Name)
	}
	return Line{}, fmt.Errorf("no line %q; there are %s", name, strings.Join(names, " "))
}
