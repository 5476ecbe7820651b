package sim

import (
	"fmt"
	"slices"
	"strings"
)

// Requirement is one guarantee of the scheduler, with the checks that verify it and the
// faults under which it is tested.
type Requirement struct {
	Name   string
	Text   string // the failure that must never happen
	Checks []string
	Faults string // as ParseFleetFaults takes them
}

// Requirements lists all requirements.
var Requirements = []Requirement{
	{
		"forgotten", "a job we accepted is forgotten, or called unknown after a few seconds",
		[]string{checkJobForgotten},
		"kill-primary,wipe,wipe-after-yes,replace,freeze,split,site-lost,site-lost-disk,crowd",
	},
	{
		"twice", "a task runs twice at once, or starts again after it finished well",
		[]string{checkConcurrentRuns, checkRunAfterSuccess},
		"worker-run-on,worker-cut,worker-crash,worker-slow,kill-primary,freeze,wipe,split",
	},
	{
		"dependency", "a task starts before everything it depends on is done",
		[]string{checkBeforeDependency},
		"worker-crash,worker-fail,worker-run-on,large,kill,kill-primary,freeze",
	},
	{
		"wrong-worker", "a task runs on the wrong service's worker, or without its label",
		[]string{checkWrongWorker},
		"impossible,worker-crash,worker-leave,withdrawal,kill,plan-storm,site-lost",
	},
	{
		"room", "a worker is given more than its free room",
		[]string{checkOverCapacity},
		"crowd,large,worker-crash,worker-cut,worker-run-on,kill,freeze",
	},
	{
		"defects", "a task is retried after it has used up its allowed failures",
		[]string{checkFailuresSpent},
		"worker-fail,worker-fail-class,worker-hang,kill-primary,freeze",
	},
	{
		"gang", "members of a gang wait alone because the others never came",
		[]string{checkGangAlone},
		"worker-crash,worker-cut,worker-hang,withdrawal,kill,freeze,large",
	},
	{
		"draining", "work starts on a draining worker over 2 s after it said so",
		[]string{checkStartWhileDraining},
		"worker-leave,withdrawal,kill,kill-primary,freeze,cut-one-way",
	},
	{
		"emptied", "work starts in an emptied site over 5 s after we asked",
		[]string{checkStartInDrainedZone},
		"empty-site,kill,kill-primary,freeze,split",
	},
	{
		"cancelled", "a cancelled job keeps starting work for over 3 s",
		[]string{checkStartAfterCancel},
		"kill,kill-primary,freeze,split,crowd,large",
	},
	{
		"finished", "a job shows as finished while a task is still open",
		[]string{checkEndedWithOpenTask},
		"worker-run-on,worker-cut,worker-crash,worker-fail,kill-primary,wipe",
	},
	{
		"plan", "a new configuration is ignored after 2 s, or an older one comes back",
		[]string{checkConfigIgnored, checkConfigWentBack},
		"plan-storm,plan-race,plan-large,kill,kill-primary,freeze,wipe,replace,site-lost",
	},
	{
		"quick", "quick work queues behind batches",
		[]string{checkQuickBehindBatch, checkQuickOvertaken},
		"crowd,large,impossible,site-lost-crowd,withdrawal,worker-slow,kill",
	},
	{
		"long", "long work never finishes",
		[]string{checkLongUnfinished},
		"crowd,large,worker-crash,worker-run-on,worker-hang,withdrawal,site-lost",
	},
	{
		"again", "not served again about 12 s after the last fault",
		[]string{checkNotServedAgain},
		"all",
	},
	{
		"come-back", "a request that is given up on is not told when to come back",
		[]string{checkRejectedWithoutTime},
		"stop,kill-primary,wipe,wipe-after-yes,split",
	},
}

// Runs returns the options of the runs that test a requirement, one for each seed.
func (r Requirement) Runs(options Options, seeds []uint64) ([]Options, error) {
	faults, err := ParseFleetFaults(r.Faults)
	var runs []Options
	for _, seed := range seeds {
		options.Seed, options.Faults = seed, faults
		runs = append(runs, options)
	}
	return runs, err
}

// Verdict reports whether a requirement holds in the results of its runs, with a line for
// each violation and a summary. It does not hold if one of its checks judged nothing, or if
// any check at all, also one of another requirement, found a violation.
func (r Requirement) Verdict(results []Result) (holds bool, lines []string) {
	judged, excused, broken := map[string]int{}, map[string]int{}, 0
	for _, result := range results {
		for _, check := range r.Checks {
			judged[check] += result.Judged[check]
		}
		for reason, count := range result.Excused {
			if slices.Contains(r.Checks, strings.Fields(reason)[0]) {
				excused[reason] += count
			}
		}
		for _, violation := range result.Violations {
			broken++
			lines = append(lines, fmt.Sprintf("seed=%d %s: %s", result.Seed, violation.Check, violation.Reason))
		}
	}
	holds = broken == 0
	for _, check := range r.Checks {
		holds = holds && judged[check] > 0
	}
	return holds, append(lines, fmt.Sprintf("line=%s holds=%v days=%d judged=%v excused=%v broken=%d",
		r.Name, holds, len(results), judged, excused, broken))
}

// RequirementByName returns the requirement with a name.
func RequirementByName(name string) (Requirement, error) {
	var names []string
	for _, r := range Requirements {
		if r.Name == name {
			return r, nil
		}
		names = append(names, r.Name)
	}
	return Requirement{}, fmt.Errorf("no requirement %q; known requirements: %s", name, strings.Join(names, " "))
}
