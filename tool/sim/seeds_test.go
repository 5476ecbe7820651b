package sim

import "testing"

// checkSeeds plays runs in parallel. No check may fail, and each of the given checks must
// have judged something in at least one run. command is the start of the command line, shown
// with a violation, that reproduces a run.
func checkSeeds(t *testing.T, runs []Options, checks []string, command string) {
	t.Helper()
	judged := map[string]int{}
	for i, r := range playParallel(runs, PlayControl) {
		for check, count := range r.Judged {
			judged[check] += count
		}
		for _, violation := range r.Violations {
			t.Errorf("%s: %s\n  reproduce: %s -for %s -from %d -to %d",
				violation.Check, violation.Reason, command, runs[i].Duration, runs[i].Seed, runs[i].Seed)
		}
	}
	for _, check := range checks {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing in any run", check)
		}
	}
	t.Logf("judged: %v", judged)
}
