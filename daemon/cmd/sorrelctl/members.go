package main

import (
	"cmp"
	"fmt"
	"io"
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
	// statusWait is how long one member's status page may take.
	statusWait  = time.Second
	replicaRole = "keeper"
)

// Exit codes, as the package comment names them.
const (
	exitOK = iota
	exitRejected
	exitUsage
	exitUnreachable
)

// memberPage is one member's own report.
type statusPage struct {
	address string
	status  replica.Report
}

// members prints who leads, in which epoch, and how far each member is behind. The
// addresses are those of status pages; without any, a front names the keepers.
func members(fronts, pages []string, wait time.Duration, out, errs io.Writer) int {
	if len(pages) == 0 {
		var err error
		if pages, err = replicaStatusAddresses(fronts, wait); err != nil {
			fmt.Fprintln(errs, "sorrelctl: no front answered:", err)
			return exitUnreachable
		}
	}
	var answered []statusPage
	for _, address := range pages {
		report, err := readReport(address, min(wait, statusWait))
		if err != nil {
			fmt.Fprintf(errs, "sorrelctl: no status from %s: %v\n", address, err)
			continue
		}
		answered = append(answered, statusPage{address, report})
	}
	if len(answered) == 0 {
		return exitUnreachable
	}
	best := mostRecentReport(answered)
	printMembers(out, best.status)
	printNonMembers(out, best.status, answered)
	if !best.status.LeadershipConfirmed {
		fmt.Fprintln(errs, "sorrelctl: of the members that answered none leads and is confirmed by its backups")
		return exitRejected
	}
	return exitOK
}

// pagesOfKeepers asks a front for the HTTP addresses of the keepers.
func replicaStatusAddresses(fronts []string, wait time.Duration) ([]string, error) {
	response, err := client.MustNew(fronts).Call("GET", nodesPath, nil, nil, wait)
	if err != nil {
		return nil, err
	}
	var known wire.Gossip
	if err := response.Decode(&known); err != nil {
		return nil, err
	}
	var pages []string
	for _, node := range known.Nodes {
		if node.Role == replicaRole && node.HTTPAddress != "" {
			pages = append(pages, node.HTTPAddress)
		}
	}
	slices.Sort(pages)
	return pages, nil
}

func readReport(address string, wait time.Duration) (replica.Report, error) {
	var report replica.Report
	response, err := client.MustNew([]string{address}).CallAddress(address, "GET", statusPath, nil, nil, wait)
	if err != nil {
		return report, err
	}
	return report, response.Decode(&report)
}

// bestReport is that of the newest view, and in it of the one that leads: a leader
// that was replaced without hearing of it still says that it leads an older epoch.
func mostRecentReport(answered []statusPage) statusPage {
	return slices.MaxFunc(answered, func(a, b statusPage) int {
		if byEpoch := cmp.Compare(a.status.View.Epoch, b.status.View.Epoch); byEpoch != 0 {
			return byEpoch
		}
		return cmp.Compare(leadership(a.status), leadership(b.status))
	})
}

// leadership ranks reports of one epoch: that of a proven leader tells most.
func leadership(r replica.Report) int {
	switch {
	case r.LeadershipConfirmed:
		return 2
	case r.Serving:
		return 1
	}
	return 0
}

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

// printOutsiders names the keepers that answer and are no members: one with an empty
// disk that waits for its place, or one whose place was given to another.
func printNonMembers(out io.Writer, report replica.Report, answered []statusPage) {
	var outsiders []string
	for _, page := range answered {
		isMember := slices.ContainsFunc(report.Members, func(m replica.MemberStatus) bool { return m.ID == page.status.ID })
		if !isMember {
			outsiders = append(outsiders, fmt.Sprintf("%s (%s)", page.address, page.status.ID))
		}
	}
	if len(outsiders) > 0 {
		fmt.Fprintln(out, "not in this view:", strings.Join(outsiders, ", "))
	}
}
