// Command sorrelctl is the command-line client for users and operators. It prints the
// gateway's JSON. Its exit code is 0 if the request succeeded, 1 if it was rejected, 2 for
// wrong usage, and 3 if no gateway could be reached.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"sorrelloom/core/gateway"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/settings"
)

// Exit codes; see the package comment.
const (
	exitOK = iota
	exitRejected
	exitUsage
	exitUnreachable
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	standardInput        = "-"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	o, words, err := parseOptions(args, errs)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitUsage
	}
	switch {
	case len(words) == 1 && words[0] == "version":
		fmt.Fprintln(out, settings.Version("sorrelctl"))
		return exitOK
	case len(words) == 1 && words[0] == "members":
		return members(o.gateways, o.statusAddresses, o.timeout, out, errs)
	case len(words) > 2 && words[0] == "audit" && words[1] == "verify":
		return verifyAuditLogs(words[2:], o.publicKeys, out, errs)
	}
	call, ok := parseCommand(words, o)
	if !ok {
		o.printUsage()
		return exitUsage
	}
	if call.needsBase && o.baseQuery() == "" {
		fmt.Fprintln(errs, "sorrelctl: say -base SEQUENCE, as plan get shows it, or -force")
		return exitUsage
	}
	body, err := readFile(call.file)
	if err != nil {
		fmt.Fprintln(errs, "sorrelctl:", err)
		return exitUsage
	}
	headers := map[string]string{idempotencyKeyHeader: o.idempotencyKey}
	if o.tenantKey != "" {
		headers["Authorization"] = "Bearer " + o.tenantKey
	}
	response, err := client.MustNew(o.gateways).Call(call.method, call.path, body, headers, o.timeout+o.wait)
	if err != nil {
		fmt.Fprintln(errs, "sorrelctl: no gateway answered:", err)
		return exitUnreachable
	}
	return printResponse(response, call.explain, out, errs)
}

// printResponse prints the JSON body of a response or, if explain is set, only the reason for
// which a job waits. It returns the exit code.
func printResponse(response client.Response, explain bool, out, errs io.Writer) int {
	if explain && response.Status == http.StatusOK {
		var view gateway.JobView
		if err := response.Decode(&view); err == nil {
			fmt.Fprintln(out, view.WaitReason)
			return exitOK
		}
	}
	// Errors are ignored: if standard output fails, there is no place to report it.
	_, _ = out.Write(response.Body)
	if response.Status == http.StatusOK {
		return exitOK
	}
	if response.RetryAfter != "" {
		fmt.Fprintf(errs, "sorrelctl: retry in %s s\n", response.RetryAfter)
	}
	return exitRejected
}

// readFile reads a file, or standard input if the name is "-". It returns nil for an empty
// name.
func readFile(name string) ([]byte, error) {
	switch name {
	case "":
		return nil, nil
	case standardInput:
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
