package sim

import "testing"

// checkSeeds plays runs in parallel, wants nothing of them broken, and wants each of the
// checks to have judged something in one of them. The command plays one of the runs again.
func checkSeeds(t *testing.T, runs []Options, checks []string, command string) {
	t.Helper()
	judged := map[string]int{}
	for i, r := range playParallel(runs, PlayControl) {
		for check, count := range r.Judged {
			judged[check] += count
		}
		for _, violation := range r.Violations {
			t.Errorf("%s: %s\n  again: %s -for %s -from %d -to %d",
				violation.Check, violation.Reason, command, runs[i].Duration, runs[i].Seed, runs[i].Seed)
		}
	}
	for _, check := range checks {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing in all these runs", check)
		}
	}
	t.Logf("judged: %v", judged)
}
