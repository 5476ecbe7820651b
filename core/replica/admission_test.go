// Which commands a leader admits, by how long their senders wait for the answer.

package replica

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// desk is a leader whose disk and backups do not answer, as one sender sees it.
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

// send hands a command to the leader and gives what it answers at once.
func (d *isolatedLeader) send(at time.Duration, b wire.CommandRequest) []wire.CommandReply {
	d.Helper()
	line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindCommand, From: "door", Body: machine.MustMarshal(b)}
	var out machine.Output
	d.leader.handleMessage(d.start+at, line, &out)
	var backs []wire.CommandReply
	for _, s := range out.Messages {
		if s.To == "door" {
			backs = append(backs, s.Body.(wire.CommandReply))
		}
	}
	return backs
}

func configCommand(id uint64) wire.CommandRequest {
	change := state.ConfigChange{Forced: true, Patch: true, Body: []byte(`{"limits":{"keep":"12m"}}`)}
	return wire.CommandRequest{ID: id, Command: state.Command{Kind: state.KindChangeConfig, ConfigChange: change}}
}

// TestAdmission sends one command behind another that has waited for 300 ms.
func TestAdmission(t *testing.T) {
	const age = 300 * time.Millisecond
	read := wire.CommandRequest{ID: 2, Command: state.Command{Kind: state.KindReadConfig}}
	with := func(b wire.CommandRequest, change func(d *isolatedLeader, b *wire.CommandRequest)) func(*isolatedLeader) wire.CommandRequest {
		return func(d *isolatedLeader) wire.CommandRequest {
			change(d, &b)
			return b
		}
	}
	deadline := func(in time.Duration) func(*isolatedLeader, *wire.CommandRequest) {
		return func(d *isolatedLeader, b *wire.CommandRequest) {
			b.Timeout, b.Deadline = time.Second, d.leader.Time(d.start+age)+in
		}
	}
	left := func(left time.Duration) func(*isolatedLeader, *wire.CommandRequest) {
		return func(_ *isolatedLeader, b *wire.CommandRequest) { b.Timeout = left }
	}
	resent := func(_ *isolatedLeader, b *wire.CommandRequest) { b.Retry = true }
	table := []struct {
		name     string
		body     func(*isolatedLeader) wire.CommandRequest
		admitted bool
		rejected bool
	}{
		{"no bound", with(configCommand(2), func(*isolatedLeader, *wire.CommandRequest) {}), true, false},
		{"more time than the oldest has waited", with(configCommand(2), left(age+time.Millisecond)), true, false},
		{"less time than the oldest has waited", with(configCommand(2), left(age)), false, true},
		{"a read with less time", with(read, left(age)), false, true},
		{"a deadline far enough", with(configCommand(2), deadline(age+time.Millisecond)), true, false},
		{"a deadline before the commit", with(configCommand(2), deadline(age)), false, true},
		{"a deadline that is over", with(configCommand(2), deadline(0)), false, false},
		{"another copy of what waits", with(configCommand(1), resent), false, false},
		{"another copy of what is not here", with(configCommand(2), resent), true, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d := newIsolatedLeader(t)
			d.send(0, configCommand(1))
			before, waiting := d.leader.log.position(), len(d.leader.commands.pending)
			body := row.body(d)
			backs := d.send(age, body)
			if admitted := len(d.leader.commands.pending) > waiting; admitted != row.admitted {
				t.Errorf("admitted: %v", admitted)
			}
			writes := row.admitted && !state.IsReadOnly(body.Command.Kind)
			if changed := d.leader.log.position() != before; changed != writes {
				t.Errorf("the ledger was changed: %v", changed)
			}
			if rejected := len(backs) > 0; rejected != row.rejected {
				t.Fatalf("answered at once: %+v", backs)
			}
			if !row.rejected {
				return
			}
			if b := backs[0]; b.ID != 2 || b.Result.Code != status.QueueFull || b.Result.RetryAfter < minRetryAfter {
				t.Errorf("%+v", b)
			}
		})
	}
}

// TestAProofIsReceivedAtOnce: a sender hears at once that the leader is alive, and
// is given the proof only when the disks and the backups have answered.
func TestConfirmationIsAcknowledgedAtOnce(t *testing.T) {
	d := newIsolatedLeader(t)
	d.send(0, configCommand(1))
	backs := d.send(time.Millisecond, wire.CommandRequest{ID: 7, Command: state.Command{Kind: state.KindConfirmLeadership}})
	if len(backs) != 1 || !backs[0].Received || backs[0].ID != 7 || backs[0].Result.Code != status.ReplicasUnavailable {
		t.Fatalf("at once: %+v", backs)
	}
	proof := d.leader.commands.pending[len(d.leader.commands.pending)-1].body
	if proof.Received || proof.Result.Code != status.OK || proof.Result.ConfirmedIndex != d.leader.log.position().Index {
		t.Errorf("the proof: %+v", proof)
	}
	if want := d.leader.Time(d.start + time.Millisecond); proof.Result.Time != want {
		t.Errorf("ledger time %s, want %s", proof.Result.Time, want)
	}
}
