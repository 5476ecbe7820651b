// Which commands a leader admits, by how long their senders wait for the answer.
package keeper

import (
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// desk is a leader whose disk and backups do not answer, as one sender sees it.
type desk struct {
	*testing.T
	leader *Keeper
	start  time.Duration
}

func newDesk(t *testing.T) *desk {
	c := newTrio(t)
	p := c.primary()
	return &desk{t, p.k, c.now - p.boot + time.Microsecond}
}

// send hands a command to the leader and gives what it answers at once.
func (d *desk) send(at time.Duration, b wire.CommandBody) []wire.CommandBackBody {
	d.Helper()
	line := machine.Line{Wire: machine.WireSequence, Kind: wire.Command, From: "door", Body: machine.MustMarshal(b)}
	var out machine.Output
	d.leader.line(d.start+at, line, &out)
	var backs []wire.CommandBackBody
	for _, s := range out.Sends {
		if s.To == "door" {
			backs = append(backs, s.Body.(wire.CommandBackBody))
		}
	}
	return backs
}

func plan(id uint64) wire.CommandBody {
	change := ledger.PlanChange{Forced: true, Patch: true, Body: []byte(`{"limits":{"keep":"12m"}}`)}
	return wire.CommandBody{ID: id, Command: ledger.Command{Kind: ledger.KindPlan, Plan: change}}
}

// TestAdmission sends one command behind another that has waited for 300 ms.
func TestAdmission(t *testing.T) {
	const age = 300 * time.Millisecond
	read := wire.CommandBody{ID: 2, Command: ledger.Command{Kind: ledger.KindReadPlan}}
	with := func(b wire.CommandBody, change func(d *desk, b *wire.CommandBody)) func(*desk) wire.CommandBody {
		return func(d *desk) wire.CommandBody {
			change(d, &b)
			return b
		}
	}
	deadline := func(in time.Duration) func(*desk, *wire.CommandBody) {
		return func(d *desk, b *wire.CommandBody) {
			b.Left, b.Deadline = time.Second, d.leader.ledgerTime(d.start+age)+in
		}
	}
	left := func(left time.Duration) func(*desk, *wire.CommandBody) {
		return func(_ *desk, b *wire.CommandBody) { b.Left = left }
	}
	resent := func(_ *desk, b *wire.CommandBody) { b.Resent = true }
	table := []struct {
		name     string
		body     func(*desk) wire.CommandBody
		admitted bool
		rejected bool
	}{
		{"no bound", with(plan(2), func(*desk, *wire.CommandBody) {}), true, false},
		{"more time than the oldest has waited", with(plan(2), left(age+time.Millisecond)), true, false},
		{"less time than the oldest has waited", with(plan(2), left(age)), false, true},
		{"a read with less time", with(read, left(age)), false, true},
		{"a deadline far enough", with(plan(2), deadline(age+time.Millisecond)), true, false},
		{"a deadline before the commit", with(plan(2), deadline(age)), false, true},
		{"a deadline that is over", with(plan(2), deadline(0)), false, false},
		{"another copy of what waits", with(plan(1), resent), false, false},
		{"another copy of what is not here", with(plan(2), resent), true, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d := newDesk(t)
			d.send(0, plan(1))
			before, waiting := d.leader.ledger.Position(), len(d.leader.answers)
			body := row.body(d)
			backs := d.send(age, body)
			if admitted := len(d.leader.answers) > waiting; admitted != row.admitted {
				t.Errorf("admitted: %v", admitted)
			}
			writes := row.admitted && !ledger.Reads(body.Command.Kind)
			if changed := d.leader.ledger.Position() != before; changed != writes {
				t.Errorf("the ledger was changed: %v", changed)
			}
			if rejected := len(backs) > 0; rejected != row.rejected {
				t.Fatalf("answered at once: %+v", backs)
			}
			if !row.rejected {
				return
			}
			if b := backs[0]; b.ID != 2 || b.Answer.Code != code.InboxFull || b.Answer.RetryAfter < retryAfter {
				t.Errorf("%+v", b)
			}
		})
	}
}

// TestAProofIsReceivedAtOnce: a sender hears at once that the leader is alive, and
// is given the proof only when the disks and the backups have answered.
func TestAProofIsReceivedAtOnce(t *testing.T) {
	d := newDesk(t)
	d.send(0, plan(1))
	backs := d.send(time.Millisecond, wire.CommandBody{ID: 7, Command: ledger.Command{Kind: ledger.KindProve}})
	if len(backs) != 1 || !backs[0].Received || backs[0].ID != 7 || backs[0].Answer.Code != code.NoAuthority {
		t.Fatalf("at once: %+v", backs)
	}
	proof := d.leader.answers[len(d.leader.answers)-1].body
	if proof.Received || proof.Answer.Code != code.OK || proof.Answer.Proven != d.leader.ledger.Position().Sequence {
		t.Errorf("the proof: %+v", proof)
	}
	if want := d.leader.ledgerTime(d.start + time.Millisecond); proof.Answer.Time != want {
		t.Errorf("ledger time %s, want %s", proof.Answer.Time, want)
	}
}
