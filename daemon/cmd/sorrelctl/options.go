package main

import (
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

const (
	environmentPrefix = "SORRELCTL"
	defaultTimeout    = 10 * time.Second
)

const usage = `sorrelctl [flags] COMMAND

  submit FILE                 submit a job (- for standard input)
  status JOB                  show a job; -wait 5s waits for a change
  cancel JOB                  cancel a job
  jobs                        list the jobs that are not finished
  why JOB                     say in a sentence why a job waits
  config get                  show the configuration in force
  config check FILE           check a configuration; changes nothing
  config put FILE             replace the configuration; needs -base or -force
  config patch FILE           merge a change into the configuration; needs -base or -force
  zone drain|undrain ZONE     drain a zone, or take it back into use
  worker drain|undrain ID     drain a worker, or take it back into use
  worker confirm-dead ID      confirm that an unresponsive worker will not come back
  workers | nodes             show what the cluster knows
  leaderships                 show which scheduler leads which zone's dispatch
  members                     show who leads, in which epoch, and how far each replica is behind
  leadership move ZONE ADDRESS  move the dispatch leadership of a zone to that scheduler
  audit verify FOLDER...      verify audit logs and their checkpoints
  version                     show the version

Names of earlier releases (plan, site empty, worker gone, duties, duty pass) are accepted too.

Flags:
`

// options are the values of the flags.
type options struct {
	gateways        []string
	statusAddresses []string
	publicKeys      []string
	wait            time.Duration
	timeout         time.Duration
	base            uint64
	baseGiven       bool
	force           bool
	idempotencyKey  string
	tenantKey       string
	printUsage      func()
}

// parseOptions parses the flags and returns them together with the words of the command.
func parseOptions(args []string, errs io.Writer) (o options, words []string, err error) {
	flags := flag.NewFlagSet("sorrelctl", flag.ContinueOnError)
	flags.SetOutput(errs)
	var gateways, statusAddresses, publicKeys string
	flags.StringVar(&gateways, "fronts", "127.0.0.1:8080",
		"comma-separated IP:port of gateways; also SORRELCTL_FRONTS")
	flags.DurationVar(&o.wait, "wait", 0, "status: maximum wait for a change")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "timeout of a request to one gateway")
	flags.Uint64Var(&o.base, "base", 0, "config put, patch: the version that the change is based on")
	flags.BoolVar(&o.force, "force", false, "config put, patch: apply the change to any version")
	flags.StringVar(&o.idempotencyKey, "key", "",
		"operators' commands: idempotency key, to retry a request without a response (default random)")
	flags.StringVar(&o.tenantKey, "tenant-key", "",
		"submit, status, cancel, why: key of the tenant; also SORRELCTL_TENANT_KEY")
	flags.StringVar(&statusAddresses, "status", "",
		"members: comma-separated IP:port of status pages (default: the replicas that a gateway knows)")
	flags.StringVar(&publicKeys, "keys", "",
		"audit verify: comma-separated public keys (default: those in the folders)")
	flags.Usage = func() {
		fmt.Fprint(errs, usage)
		flags.PrintDefaults()
	}
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		return options{}, nil, err
	}
	flags.Visit(func(f *flag.Flag) { o.baseGiven = o.baseGiven || f.Name == "base" })
	o.gateways = strings.Split(gateways, ",")
	o.statusAddresses, o.publicKeys = splitList(statusAddresses), splitList(publicKeys)
	if o.idempotencyKey == "" {
		o.idempotencyKey = rand.Text()
	}
	o.printUsage = flags.Usage
	return o, flags.Args(), nil
}

// baseQuery returns the query of a configuration change: the version that it is based on, or
// that it applies to any version. It is empty if neither flag was given.
func (o options) baseQuery() string {
	switch {
	case o.force:
		return "?force=true"
	case o.baseGiven:
		return fmt.Sprintf("?base=%d", o.base)
	}
	return ""
}

// splitList splits a comma-separated list. It returns nil for an empty string.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
