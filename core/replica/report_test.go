package replica

import (
	"testing"
	"time"
)

// memberOf returns the status that a replica reports for the member at an address.
func memberOf(t *testing.T, c *cluster, reporter *host, address string) MemberStatus {
	t.Helper()
	for _, m := range reporter.replica.Report(c.now - reporter.startedAt + time.Microsecond).Members {
		if m.Address == address {
			return m
		}
	}
	t.Fatalf("%s reports no member at %s", reporter.address, address)
	return MemberStatus{}
}

// TestLeaderReportsLag isolates the voter that is not a backup, and checks what the leader and
// the backup report for each member.
func TestLeaderReportsLag(t *testing.T) {
	const away = 500 * time.Millisecond
	c := newCluster(t)
	leader := c.primary()
	view := leader.replica.View()
	backup := c.host(view.Backups[0].Address)
	var voter *host
	for _, h := range c.hosts {
		if h != leader && h != backup {
			voter = h
		}
	}
	roles := map[string]Role{leader.address: Leader, backup.address: Backup, voter.address: Voter}
	for address, role := range roles {
		m := memberOf(t, c, leader, address)
		if m.Role != role || m.HeardMsAgo < 0 || m.HeardMsAgo >= away.Milliseconds() {
			t.Errorf("report for %s: %+v, want role %s and heard recently", address, m, role)
		}
	}
	voter.isolated = true
	before := leader.replica.Status().Position.Index
	c.advance(away)
	behind := int64(leader.replica.Status().Position.Index - before)
	m := memberOf(t, c, leader, voter.address)
	if behind == 0 || m.Lag < behind || m.Lag > behind+1 || m.HeardMsAgo < away.Milliseconds() {
		t.Errorf("the voter missed %d commands in %s: %+v", behind, away, m)
	}
	if m := memberOf(t, c, leader, backup.address); m.Lag > 1 || m.HeardMsAgo >= away.Milliseconds() {
		t.Errorf("the backup must have every answered write: %+v", m)
	}
	if m := memberOf(t, c, backup, voter.address); m.Lag != Unknown {
		t.Errorf("a backup cannot know another member's lag: %+v", m)
	}
	if m := memberOf(t, c, backup, leader.address); m.Role != Leader || m.HeardMsAgo < 0 {
		t.Errorf("the backup must have heard the leader: %+v", m)
	}
	backup.isolated = true
	c.advance(2 * suspectTimeout)
	report := leader.replica.Report(c.now - leader.startedAt + time.Microsecond)
	if report.LeadershipConfirmed || !report.Serving {
		t.Errorf("a leader that reaches no other member: serving=%v confirmed=%v", report.Serving, report.LeadershipConfirmed)
	}
	// Once all members are reachable again, any leader must be confirmed and no member may lag.
	voter.isolated, backup.isolated = false, false
	c.advance(2 * time.Second)
	leader = c.primary()
	if leader == nil {
		t.Fatalf("no replica leads although all members are reachable:\n%s", c.recentLog(20))
	}
	if report = leader.replica.Report(c.now - leader.startedAt + time.Microsecond); !report.LeadershipConfirmed {
		t.Errorf("a leader that reaches all members is not confirmed: %+v", report)
	}
	for _, h := range c.hosts {
		if m := memberOf(t, c, leader, h.address); m.Lag < 0 || m.Lag > 1 || m.HeardMsAgo >= away.Milliseconds() {
			t.Errorf("%s must have caught up: %+v", h.address, m)
		}
	}
}
