package main

import (
	"fmt"
	"io"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/audit"
)

// verifyAuditLogs prints a report, and ends with exitRejected if anything is wrong.
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
