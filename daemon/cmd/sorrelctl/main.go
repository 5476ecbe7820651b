// Program sorrelctl is the command line of callers and operators. It prints the
// front's JSON, and ends with 0 for a yes, 1 for a bounce, 2 for wrong usage and
// 3 when no front could be reached.
package main

import (
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/settings"
)

const usage = `sorrelctl [flags] COMMAND

  submit FILE                 hand a job in (- for standard input)
  status JOB                  show a job; -wait 5s waits for a change
  cancel JOB                  cancel a job
  jobs                        list the jobs that are not over
  why JOB                     say in a sentence why a job waits
  plan get                    show the plan in force
  plan check FILE             check a plan; changes nothing
  plan put FILE               set a whole plan; needs -base or -force
  plan patch FILE             merge a change into the plan; needs -base or -force
  site empty|refill SITE      empty or refill a site
  worker drain|undrain ID     drain a worker or take it back
  worker gone ID              say that a silent worker will not come back
  workers | nodes | duties    show what the cluster knows
  members                     show who leads, in which epoch, and how far each keeper is behind
  duty pass SITE ADDRESS      hand a site's dispatch duty to that scheduler
  audit verify FOLDER...      check audit logs and their checkpoints
  version                     show the version

Flags:
`

type apiCall struct {
	method, path string
	file         string
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("sorrelctl", flag.ContinueOnError)
	fs.SetOutput(errs)
	fronts := fs.String("fronts", "127.0.0.1:8080", "comma-separated IP:port of fronts; also SORRELCTL_FRONTS")
	wait := fs.Duration("wait", 0, "status: wait so long for a change")
	timeout := fs.Duration("timeout", 10*time.Second, "how long one front may take")
	base := fs.Uint64("base", 0, "plan put, patch: the sequence the change is made on")
	force := fs.Bool("force", false, "plan put, patch: whatever the sequence is")
	key := fs.String("key", "",
		"operators' writes: the request's key, to repeat a call that had no answer; else a new one")
	status := fs.String("status", "", "members: comma-separated IP:port of status pages; else a front names the keepers")
	keys := fs.String("keys", "", "audit verify: comma-separated public keys; else those in the folders")
	fs.Usage = func() {
		fmt.Fprint(errs, usage)
		fs.PrintDefaults()
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SORRELCTL")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	words := fs.Args()
	if len(words) == 1 && words[0] == "version" {
		fmt.Fprintln(out, settings.Version("sorrelctl"))
		return 0
	}
	if len(words) == 1 && words[0] == "members" {
		return members(strings.Split(*fronts, ","), splitAddresses(*status), *timeout, out, errs)
	}
	if len(words) > 2 && words[0] == "audit" && words[1] == "verify" {
		return verifyAuditLogs(words[2:], *keys, out, errs)
	}
	baseGiven := false
	fs.Visit(func(f *flag.Flag) { baseGiven = baseGiven || f.Name == "base" })
	change := ""
	switch {
	case *force:
		change = "?force=true"
	case baseGiven:
		change = fmt.Sprintf("?base=%d", *base)
	}
	c, ok := parseCommand(words, *wait, change)
	if !ok {
		fs.Usage()
		return 2
	}
	if strings.HasPrefix(c.path, "/v1/plan") && (c.method == "PUT" || c.method == "PATCH") && change == "" {
		fmt.Fprintln(errs, "sorrelctl: say -base SEQUENCE, as plan get shows it, or -force")
		return 2
	}
	var body []byte
	if c.file != "" {
		var err error
		if body, err = readFile(c.file); err != nil {
			fmt.Fprintln(errs, "sorrelctl:", err)
			return 2
		}
	}
	if *key == "" {
		*key = rand.Text()
	}
	headers := map[string]string{"Idempotency-Key": *key}
	r, err := client.MustNew(strings.Split(*fronts, ",")).Call(c.method, c.path, body, headers, *timeout+*wait)
	if err != nil {
		fmt.Fprintln(errs, "sorrelctl: no front answered:", err)
		return 3
	}
	if len(words) == 2 && words[0] == "why" && r.Status == 200 {
		var view gateway.JobView
		if err := r.Decode(&view); err == nil {
			fmt.Fprintln(out, view.WaitReason)
			return 0
		}
	}
	out.Write(r.Body)
	if r.Status != 200 {
		if r.RetryAfter != "" {
			fmt.Fprintf(errs, "sorrelctl: come back in %s s\n", r.RetryAfter)
		}
		return 1
	}
	return 0
}

// verify prints a report and ends with 1 if anything is wrong.
func verifyAuditLogs(folders []string, keys string, out, errs io.Writer) int {
	var known []string
	if keys != "" {
		known = strings.Split(keys, ",")
	}
	report, err := audit.Verify(folders, known)
	if err != nil {
		fmt.Fprintln(errs, "sorrelctl:", err)
		return 2
	}
	fmt.Fprintln(out, string(machine.MustJSON(report)))
	if len(report.Findings) > 0 {
		return 1
	}
	return 0
}

// addresses splits a list at its commas; an empty text lists none.
func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func parseCommand(words []string, wait time.Duration, change string) (apiCall, bool) {
	name := ""
	if len(words) > 0 {
		name = url.PathEscape(words[len(words)-1])
	}
	switch len(words) {
	case 1:
		switch words[0] {
		case "jobs", "workers", "nodes", "duties":
			return apiCall{"GET", "/v1/" + words[0], ""}, true
		}
	case 2:
		switch words[0] {
		case "submit":
			return apiCall{"POST", "/v1/jobs", words[1]}, true
		case "status", "why":
			return apiCall{"GET", "/v1/jobs/" + name + "?wait=" + wait.String(), ""}, true
		case "cancel":
			return apiCall{"DELETE", "/v1/jobs/" + name, ""}, true
		}
		if words[0] == "plan" && words[1] == "get" {
			return apiCall{"GET", "/v1/plan", ""}, true
		}
	case 4:
		if words[0] == "duty" && words[1] == "pass" {
			return apiCall{"POST", "/v1/duties/" + url.PathEscape(words[2]) + "/pass?to=" + url.QueryEscape(words[3]), ""}, true
		}
	case 3:
		switch words[0] + " " + words[1] {
		case "plan check":
			return apiCall{"POST", "/v1/plan/check", words[2]}, true
		case "plan put":
			return apiCall{"PUT", "/v1/plan" + change, words[2]}, true
		case "plan patch":
			return apiCall{"PATCH", "/v1/plan" + change, words[2]}, true
		case "site empty", "site refill":
			return apiCall{"POST", "/v1/sites/" + name + "/" + words[1], ""}, true
		case "worker drain", "worker undrain", "worker gone":
			return apiCall{"POST", "/v1/workers/" + name + "/" + words[1], ""}, true
		}
	}
	return apiCall{}, false
}
