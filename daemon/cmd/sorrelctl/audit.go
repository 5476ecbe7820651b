package main

import (
	"fmt"
	"io"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/audit"
)

// verifyAuditLogs prints a verification report, and returns exitRejected if it has findings.
func verifyAuditLogs(dirs, publicKeys []string, out, errs io.Writer) int {
	report, err := audit.Verify(dirs, publicKeys)
	if err != nil {
		fmt.Fprintln(errs, "sorrelctl:", err)
		return exitUsage
	}
	fmt.Fprintln(out, string(machine.MustJSON(report)))
	if len(report.Findings) > 0 {
		return exitRejected
	}
	return exitOK
}
