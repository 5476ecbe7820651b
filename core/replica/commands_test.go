package replica

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// isolatedLeader is a primary whose disk and backups do not reply. Tests send it commands as a
// client and check its immediate replies.
type isolatedLeader struct {
	*testing.T
	leader *Replica
	start  time.Duration
}

func newIsolatedLeader(t *testing.T) *isolatedLeader {
	c := newCluster(t)
	p := c.primary()
	return &isolatedLeader{t, p.replica, c.now - p.startedAt + time.Microsecond}
}

// send sends a command to the leader and returns its immediate replies.
func (d *isolatedLeader) send(at time.Duration, b wire.CommandRequest) []wire.CommandReply {
	d.Helper()
	var out machine.Output
	d.leader.handleMessage(d.start+at, newMessage(wire.KindCommand, "client", b), &out)
	var replies []wire.CommandReply
	for _, message := range out.Messages {
		if message.To == "client" {
			replies = append(replies, message.Body.(wire.CommandReply))
		}
	}
	return replies
}

// configCommand returns a request that changes the configuration.
func configCommand(id uint64) wire.CommandRequest {
	change := state.ConfigChange{Forced: true, Patch: true, Body: []byte(`{"limits":{"keep":"12m"}}`)}
	return wire.CommandRequest{ID: id, Command: state.Command{Kind: state.KindChangeConfig, ConfigChange: change}}
}

// TestAdmission sends a command after another one that has waited for its commit for 300 ms.
func TestAdmission(t *testing.T) {
	const age = 300 * time.Millisecond
	read := wire.CommandRequest{ID: 2, Command: state.Command{Kind: state.KindReadConfig}}
	type changeRequest func(*isolatedLeader, *wire.CommandRequest)
	with := func(b wire.CommandRequest, change changeRequest) func(*isolatedLeader) wire.CommandRequest {
		return func(d *isolatedLeader) wire.CommandRequest {
			change(d, &b)
			return b
		}
	}
	deadline := func(in time.Duration) changeRequest {
		return func(d *isolatedLeader, b *wire.CommandRequest) {
			b.Timeout, b.Deadline = time.Second, d.leader.StateTime(d.start+age)+in
		}
	}
	timeout := func(timeout time.Duration) changeRequest {
		return func(_ *isolatedLeader, b *wire.CommandRequest) { b.Timeout = timeout }
	}
	retry := func(_ *isolatedLeader, b *wire.CommandRequest) { b.Retry = true }
	table := []struct {
		name     string
		body     func(*isolatedLeader) wire.CommandRequest
		admitted bool
		rejected bool
	}{
		{"no time limit", with(configCommand(2), func(*isolatedLeader, *wire.CommandRequest) {}), true, false},
		{"more time than the oldest has waited", with(configCommand(2), timeout(age+time.Millisecond)), true, false},
		{"less time than the oldest has waited", with(configCommand(2), timeout(age)), false, true},
		{"a read with less time", with(read, timeout(age)), false, true},
		{"a deadline after the commit", with(configCommand(2), deadline(age+time.Millisecond)), true, false},
		{"a deadline before the commit", with(configCommand(2), deadline(age)), false, true},
		{"a deadline that has passed", with(configCommand(2), deadline(0)), false, false},
		{"a retry of a pending command", with(configCommand(1), retry), false, false},
		{"a retry of an unknown command", with(configCommand(2), retry), true, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d := newIsolatedLeader(t)
			d.send(0, configCommand(1))
			before, waiting := d.leader.log.position(), len(d.leader.commands.pending)
			body := row.body(d)
			replies := d.send(age, body)
			if admitted := len(d.leader.commands.pending) > waiting; admitted != row.admitted {
				t.Errorf("admitted: %v", admitted)
			}
			writes := row.admitted && !state.IsReadOnly(body.Command.Kind)
			if changed := d.leader.log.position() != before; changed != writes {
				t.Errorf("the state was changed: %v", changed)
			}
			if rejected := len(replies) > 0; rejected != row.rejected {
				t.Fatalf("immediate replies: %+v", replies)
			}
			if !row.rejected {
				return
			}
			if b := replies[0]; b.ID != 2 || b.Result.Code != status.QueueFull || b.Result.RetryAfter < minRetryAfter {
				t.Errorf("unexpected rejection: %+v", b)
			}
		})
	}
}

// TestConfirmationIsAcknowledgedAtOnce checks that a client is told at once that its request
// has arrived, and gets the confirmation only once the disks and the backups have replied.
func TestConfirmationIsAcknowledgedAtOnce(t *testing.T) {
	d := newIsolatedLeader(t)
	d.send(0, configCommand(1))
	request := wire.CommandRequest{ID: 7, Command: state.Command{Kind: state.KindConfirmLeadership}}
	replies := d.send(time.Millisecond, request)
	if len(replies) != 1 || !replies[0].Received || replies[0].ID != 7 ||
		replies[0].Result.Code != status.ReplicasUnavailable {
		t.Fatalf("immediate replies: %+v", replies)
	}
	confirmation := d.leader.commands.pending[len(d.leader.commands.pending)-1].body
	if confirmation.Received || confirmation.Result.Code != status.OK ||
		confirmation.Result.ConfirmedIndex != d.leader.log.position().Index {
		t.Errorf("the confirmation: %+v", confirmation)
	}
	if want := d.leader.StateTime(d.start + time.Millisecond); confirmation.Result.Time != want {
		t.Errorf("state time %s, want %s", confirmation.Result.Time, want)
	}
}

// TestReplacingABackupRejectsNothing loses each backup in turn. The primary proposes a view
// with another one, and must answer all commands that arrived before and meanwhile.
func TestReplacingABackupRejectsNothing(t *testing.T) {
	for _, five := range []bool{false, true} {
		for index := range 2 {
			if !five && index > 0 {
				continue
			}
			c := newCluster(t)
			if five {
				c = newClusterOfFive(t)
			}
			c.advanceToAnswer()
			leader := c.primary()
			before, epoch := c.rejected[leader.address], leader.replica.View().Epoch
			terms := leader.replica.Terms()
			c.kill(c.host(leader.replica.View().Backups[index].Address))
			c.advance(4 * time.Second)
			if leader.replica.View().Epoch == epoch || c.primary() != leader {
				t.Fatalf("five %v: the primary has not replaced the backup, or has changed\n%s", five, c.recentLog(30))
			}
			// The leadership must not be unconfirmed for longer than it takes to suspect the backup.
			if n := c.rejected[leader.address] - before; n > 0 {
				t.Errorf("five %v, backup %d: %d writes were rejected\n%s", five, index, n, c.recentLog(30))
			}
			if leader.replica.Terms() != terms {
				t.Errorf("five %v: the primary began term %d", five, leader.replica.Terms())
			}
			c.checkAnswered()
		}
	}
}

// TestReleaseInOrder checks that a reply waits for its commit, for its message to be
// acknowledged by all backups, and for all earlier replies.
func TestReleaseInOrder(t *testing.T) {
	pendingOf := func(id, index, sendID uint64, to string) pendingReply {
		return pendingReply{to: to, body: &wire.CommandReply{ID: id}, index: index, sendID: sendID}
	}
	var q commandQueue
	q.pending = append(q.pending, pendingOf(1, 5, 2, "client"), pendingOf(2, 5, 3, ""), pendingOf(3, 6, 3, "client"))
	for _, row := range []struct {
		commitIndex, sendID uint64
		sent, local, left   int
	}{
		{4, 9, 0, 0, 3},
		{5, 1, 0, 0, 3},
		{5, 2, 1, 0, 2},
		{5, 3, 0, 1, 1},
		{6, 3, 1, 1, 0},
	} {
		var out machine.Output
		q.release(row.commitIndex, row.sendID, &out)
		if len(out.Messages) != row.sent || len(q.local) != row.local || len(q.pending) != row.left {
			t.Errorf("committed %d, acknowledged %d: %d sent, %d local, %d left",
				row.commitIndex, row.sendID, len(out.Messages), len(q.local), len(q.pending))
		}
	}
}
