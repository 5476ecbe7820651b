package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/client"
)

const (
	nodesPath  = "/v1/nodes"
	statusPath = "/status"
	// statusTimeout bounds the request for one member's status page.
	statusTimeout = time.Second
)

// statusPage is the report of the replica at an address.
type statusPage struct {
	address string
	status  replica.Report
}

// members prints the leader, its epoch, and the lag of each member. addresses are those of
// status pages; if empty, a gateway provides the addresses of the replicas.
func members(gateways, addresses []string, timeout time.Duration, out, errs io.Writer) int {
	if len(addresses) == 0 {
		var err error
		if addresses, err = replicaStatusAddresses(gateways, timeout); err != nil {
			fmt.Fprintln(errs, "sorrelctl: no gateway answered:", err)
			return exitUnreachable
		}
	}
	var pages []statusPage
	for _, address := range addresses {
		report, err := readReport(address, min(timeout, statusTimeout))
		if err != nil {
			fmt.Fprintf(errs, "sorrelctl: no status from %s: %v\n", address, err)
			continue
		}
		pages = append(pages, statusPage{address, report})
	}
	if len(pages) == 0 {
		return exitUnreachable
	}
	best := mostRecentReport(pages)
	printMembers(out, best.status)
	printNonMembers(out, best.status, pages)
	if !best.status.LeadershipConfirmed {
		fmt.Fprintln(errs, "sorrelctl: of the members that answered none leads and is confirmed by its backups")
		return exitRejected
	}
	return exitOK
}

// replicaStatusAddresses returns the HTTP addresses of the replicas that a gateway knows.
func replicaStatusAddresses(gateways []string, timeout time.Duration) ([]string, error) {
	response, err := client.MustNew(gateways).Call(http.MethodGet, nodesPath, nil, nil, timeout)
	if err != nil {
		return nil, err
	}
	var known wire.Gossip
	if err := response.Decode(&known); err != nil {
		return nil, err
	}
	var addresses []string
	for _, node := range known.Nodes {
		if node.Role == wire.RoleReplica && node.HTTPAddress != "" {
			addresses = append(addresses, node.HTTPAddress)
		}
	}
	slices.Sort(addresses)
	return addresses, nil
}

func readReport(address string, timeout time.Duration) (replica.Report, error) {
	var report replica.Report
	response, err := client.MustNew([]string{address}).CallAddress(address, http.MethodGet, statusPath, nil, nil, timeout)
	if err != nil {
		return report, err
	}
	return report, response.Decode(&report)
}

// mostRecentReport returns the report with the newest view, preferring that of its primary. A
// primary that was replaced and has not noticed yet still reports that it leads an older
// epoch.
func mostRecentReport(pages []statusPage) statusPage {
	return slices.MaxFunc(pages, func(a, b statusPage) int {
		if byEpoch := cmp.Compare(a.status.View.Epoch, b.status.View.Epoch); byEpoch != 0 {
			return byEpoch
		}
		return cmp.Compare(leadership(a.status), leadership(b.status))
	})
}

// leadership ranks reports of the same epoch: a primary with confirmed leadership ranks
// highest, then an unconfirmed one.
func leadership(r replica.Report) int {
	switch {
	case r.LeadershipConfirmed:
		return 2
	case r.Serving:
		return 1
	}
	return 0
}

// printMembers prints the members of a replica's view.
func printMembers(out io.Writer, report replica.Report) {
	leads := "leads in"
	switch {
	case !report.Serving:
		leads = "is named to lead and did not confirm it in"
	case !report.LeadershipConfirmed:
		leads = "leads and is not confirmed by its backups in"
	}
	fmt.Fprintf(out, "%s %s epoch %d; sequence %d, as %s reports\n",
		report.View.Primary.Address, leads, report.View.Epoch, report.Position.Index, report.ID)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "ADDRESS\tSITE\tROLE\tSEQUENCE\tLAG\tHEARD\tID")
	for _, m := range report.Members {
		sequence, lag := "-", "-"
		if m.Lag != replica.Unknown || m.ID == report.ID {
			sequence = fmt.Sprint(m.Index)
		}
		if m.Lag != replica.Unknown {
			lag = fmt.Sprint(m.Lag)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Address, m.Zone, m.Role, sequence, lag, formatLastHeard(m), m.ID)
	}
}

func formatLastHeard(m replica.MemberStatus) string {
	if m.HeardMsAgo == replica.Unknown {
		return "never"
	}
	return (time.Duration(m.HeardMsAgo) * time.Millisecond).String() + " ago"
}

// printNonMembers prints the replicas that respond but are not members of the view. These
// have an empty disk and wait to be added, or have been replaced.
func printNonMembers(out io.Writer, report replica.Report, pages []statusPage) {
	var nonMembers []string
	for _, page := range pages {
		isThisPage := func(m replica.MemberStatus) bool { return m.ID == page.status.ID }
		if !slices.ContainsFunc(report.Members, isThisPage) {
			nonMembers = append(nonMembers, fmt.Sprintf("%s (%s)", page.address, page.status.ID))
		}
	}
	if len(nonMembers) > 0 {
		fmt.Fprintln(out, "not in this view:", strings.Join(nonMembers, ", "))
	}
}
