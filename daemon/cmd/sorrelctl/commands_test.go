package main

import (
	"io"
	"strings"
	"testing"
)

func TestCommandsCallTheAPI(t *testing.T) {
	for _, row := range []struct {
		args string
		want apiCall
	}{
		{"submit job.json", apiCall{method: "POST", path: "/v1/jobs", file: "job.json"}},
		{"-wait 5s status a/b", apiCall{method: "GET", path: "/v1/jobs/a%2Fb?wait=5s"}},
		{"status j", apiCall{method: "GET", path: "/v1/jobs/j?wait=0s"}},
		{"why j", apiCall{method: "GET", path: "/v1/jobs/j?wait=0s", explain: true}},
		{"cancel j", apiCall{method: "DELETE", path: "/v1/jobs/j"}},
		{"jobs", apiCall{method: "GET", path: "/v1/jobs"}},
		{"workers", apiCall{method: "GET", path: "/v1/workers"}},
		{"nodes", apiCall{method: "GET", path: "/v1/nodes"}},
		{"duties", apiCall{method: "GET", path: "/v1/duties"}},
		{"leaderships", apiCall{method: "GET", path: "/v1/duties"}},
		{"config get", apiCall{method: "GET", path: "/v1/plan"}},
		{"-base 7 config patch p", apiCall{method: "PATCH", path: "/v1/plan?base=7", file: "p", needsBase: true}},
		{"zone drain s", apiCall{method: "POST", path: "/v1/sites/s/empty"}},
		{"zone undrain s", apiCall{method: "POST", path: "/v1/sites/s/refill"}},
		{"worker confirm-dead w/1", apiCall{method: "POST", path: "/v1/workers/w%2F1/gone"}},
		{"leadership move s 1.1.1.1:1", apiCall{method: "POST", path: "/v1/duties/s/pass?to=1.1.1.1%3A1"}},
		{"plan get", apiCall{method: "GET", path: "/v1/plan"}},
		{"plan check -", apiCall{method: "POST", path: "/v1/plan/check", file: "-"}},
		{"plan put p", apiCall{method: "PUT", path: "/v1/plan", file: "p", needsBase: true}},
		{"-base 0 plan put p", apiCall{method: "PUT", path: "/v1/plan?base=0", file: "p", needsBase: true}},
		{"-base 7 plan patch p", apiCall{method: "PATCH", path: "/v1/plan?base=7", file: "p", needsBase: true}},
		{"-base 7 -force plan put p", apiCall{method: "PUT", path: "/v1/plan?force=true", file: "p", needsBase: true}},
		{"site empty s", apiCall{method: "POST", path: "/v1/sites/s/empty"}},
		{"site refill s", apiCall{method: "POST", path: "/v1/sites/s/refill"}},
		{"worker drain w", apiCall{method: "POST", path: "/v1/workers/w/drain"}},
		{"worker undrain w", apiCall{method: "POST", path: "/v1/workers/w/undrain"}},
		{"worker gone w/1", apiCall{method: "POST", path: "/v1/workers/w%2F1/gone"}},
		{"duty pass s 1.1.1.1:1", apiCall{method: "POST", path: "/v1/duties/s/pass?to=1.1.1.1%3A1"}},
	} {
		o, words, err := parseOptions(strings.Fields(row.args), io.Discard)
		if err != nil {
			t.Errorf("%s: %v", row.args, err)
			continue
		}
		if got, ok := parseCommand(words, o); !ok || got != row.want {
			t.Errorf("%s: got %+v, want %+v", row.args, got, row.want)
		}
	}
}

// TestEarlierNamesMeanTheSame compares the request for each earlier name of a command with
// that for its current name.
func TestEarlierNamesMeanTheSame(t *testing.T) {
	for earlier, name := range earlierNames {
		for argumentCount := range 3 {
			arguments := []string{"first", "second"}[:argumentCount]
			want, wantFound := parseCommand(append(strings.Fields(name), arguments...), options{})
			got, found := parseCommand(append(strings.Fields(earlier), arguments...), options{})
			if got != want || found != wantFound {
				t.Errorf("%s %v: got %+v, want that of %s: %+v", earlier, arguments, got, name, want)
			}
		}
	}
}

func TestWrongUsage(t *testing.T) {
	for _, args := range []string{
		"", "submit", "jobs now", "plan", "plan put", "plan drop p", "site empty", "duty pass s", "audit verify",
		"plan put p", "plan patch p", "-moon jobs", "submit /nowhere/job.json",
	} {
		if exit := run(strings.Fields(args), io.Discard, io.Discard); exit != exitUsage {
			t.Errorf("%q: exit code %d, want exitUsage", args, exit)
		}
	}
}
