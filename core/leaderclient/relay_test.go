package leaderclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const ms = time.Millisecond

// play is a relay with the keepers k0, k1 and k2, and what it has sent.
type harness struct {
	*testing.T
	client  *Client
	sent    []string
	last    map[string]uint64
	counts  map[string]int
	bodies  []wire.CommandRequest
	answers map[uint64]state.Result
	stopped bool
}

func newHarness(t *testing.T, keepers ...string) *harness {
	p := &harness{
		T: t, client: New(Config{Address: "door", Replicas: keepers, FirstCommandID: 2}),
		last: map[string]uint64{}, counts: map[string]int{}, answers: map[uint64]state.Result{},
	}
	p.step(0, machine.Input{})
	return p
}

// step notes each send as "kind>keeper".
func (p *harness) step(at time.Duration, in machine.Input) {
	p.Helper()
	p.sent, p.bodies = nil, nil
	out := p.client.Step(at, in)
	for _, s := range out.Messages {
		b := s.Body.(wire.CommandRequest)
		p.sent = append(p.sent, b.Command.Kind+">"+s.To)
		p.last[b.Command.Kind] = b.ID
		p.counts[b.Command.Kind]++
		p.bodies = append(p.bodies, b)
	}
	for _, a := range out.Responses {
		if _, twice := p.answers[a.RequestID]; twice {
			p.Errorf("%d is answered twice", a.RequestID)
		}
		p.answers[a.RequestID] = a.Body.(state.Result)
	}
	p.stopped = out.Stopped
	if wake := p.client.NextTimer(); wake <= at {
		p.Errorf("at %s it wants to be woken at %s", at, wake)
	}
}

func (p *harness) submit(at time.Duration, key uint64, kind string, wait time.Duration) {
	p.Helper()
	p.step(at, machine.Input{Request: machine.Request{ID: key, Kind: RequestCommand, Decoded: state.Command{Kind: kind}, Wait: wait}})
}

// back is a keeper's word on the last command of a kind.
func (p *harness) reply(at time.Duration, from, kind string, b wire.CommandReply) {
	p.Helper()
	b.ID = p.last[kind]
	p.step(at, machine.Input{Message: machine.Message{Version: 1, Kind: wire.KindCommandReply, From: from, Body: machine.MustMarshal(b)}})
}

func (p *harness) want(sent ...string) {
	p.Helper()
	if fmt.Sprint(p.sent) != fmt.Sprint(sent) {
		p.Errorf("sent %v, want %v", p.sent, sent)
	}
}

var (
	success   = wire.CommandReply{Result: state.Result{Code: status.OK}}
	received  = wire.CommandReply{Received: true, Result: state.Result{Code: status.ReplicasUnavailable}}
	rejection = wire.CommandReply{Result: state.Result{Code: status.NotPrimary}}
)

func hint(to string) wire.CommandReply {
	return wire.CommandReply{Result: state.Result{Code: status.NotPrimary}, Primary: to}
}

// TestWhereACommandGoes is a list of inputs and what each has the relay send.
func TestCommandTarget(t *testing.T) {
	type row struct {
		at   time.Duration
		ask  string
		from string
		of   string
		back wire.CommandReply
		want string
	}
	table := []struct {
		name string
		rows []row
	}{
		{"it waits for a keeper that leads, and goes to the next when there is no sign", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 399 * ms},
			{at: 500 * ms, want: "prove>k0"},
			{at: 811 * ms},
			{at: 912 * ms, want: "prove>k1"},
			{at: 914 * ms, from: "k1", of: "prove", back: received, want: "accept>k1"},
			{at: 1500 * ms, want: "prove>k1"},
			{at: 1713 * ms},
			{at: 1814 * ms, want: "prove>k2"},
		}},
		{"it is not sent again while the leader shows signs of life", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 500 * ms, want: "prove>k0"},
			{at: 501 * ms, from: "k0", of: "prove", back: received},
			{at: 1000 * ms, want: "prove>k0"},
			{at: 1001 * ms, from: "k0", of: "prove", back: received},
			{at: 1500 * ms, want: "prove>k0"},
			{at: 1501 * ms, from: "k0", of: "prove", back: received},
			{at: 2000 * ms, want: "prove>k0"},
		}},
		{"it is sent again once what was sent after it is answered, in spans that double", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 20 * ms, ask: state.KindReadJob, want: "read>k0"},
			{at: 24 * ms, from: "k0", of: "read", back: success},
			{at: 86 * ms},
			{at: 112 * ms, want: "accept>k0"},
			{at: 120 * ms, ask: state.KindReadJob, want: "read>k0"},
			{at: 124 * ms, from: "k0", of: "read", back: success},
			{at: 261 * ms},
			{at: 312 * ms, want: "accept>k0"},
			{at: 720 * ms, want: "prove>k0"},
			{at: 721 * ms, from: "k0", of: "prove", back: success, want: "accept>k0"},
		}},
		{"a hint is followed at once", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: hint("k2"), want: "prove>k2"},
			{at: 13 * ms, from: "k0", of: "prove", back: hint("k1")},
			{at: 14 * ms, from: "k2", of: "prove", back: received, want: "accept>k2"},
			{at: 15 * ms, from: "k2", of: "accept", back: success},
			{at: 414 * ms},
			{at: 515 * ms, want: "prove>k2"},
		}},
		{"hints in a circle are paced, and no command goes round with them", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 11 * ms, from: "k0", of: "prove", back: hint("k1"), want: "prove>k1"},
			{at: 12 * ms, from: "k1", of: "prove", back: hint("k0"), want: "prove>k0"},
			{at: 13 * ms, from: "k0", of: "prove", back: hint("k1")},
			{at: 52 * ms},
			{at: 93 * ms, want: "prove>k1"},
		}},
		{"a bounce without a hint moves on after a pause", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: rejection},
			{at: 51 * ms},
			{at: 92 * ms, want: "prove>k1"},
		}},
		{"a hint to the one just left for its silence counts for nothing", []row{
			{at: 799 * ms, want: "prove>k0"},
			{at: 900 * ms, want: "prove>k1"},
			{at: 901 * ms, from: "k1", of: "prove", back: hint("k0")},
			{at: 940 * ms},
			{at: 981 * ms, want: "prove>k2"},
			{at: 982 * ms, from: "k2", of: "prove", back: success},
			{at: 1381 * ms},
			{at: 1482 * ms, want: "prove>k2"},
		}},
		{"keepers that an answer names replace the list, and those to begin from come after them", []row{
			{at: 5 * ms, from: "k0", of: "prove", back: wire.CommandReply{Replicas: []string{"n0", "n1"}}},
			{at: 905 * ms, want: "prove>n0"},
			{at: 1805 * ms, want: "prove>n1"},
			{at: 2705 * ms, want: "prove>k0"},
		}},
		{"traffic that is answered is proof enough", []row{
			{at: 5 * ms, from: "k0", of: "prove", back: success},
			{at: 300 * ms, ask: state.KindReadJob, want: "read>k0"},
			{at: 304 * ms, from: "k0", of: "read", back: success},
			{at: 505 * ms},
			{at: 703 * ms},
			{at: 804 * ms, want: "prove>k0"},
		}},
		{"the late answer of one that was left brings the relay back to it", []row{
			{at: 10 * ms, ask: state.KindAcceptJob},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 912 * ms, want: "prove>k1"},
			{at: 920 * ms, from: "k0", of: "accept", back: success},
			{at: 921 * ms, ask: state.KindReadJob, want: "read>k0"},
		}},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := newHarness(t, "k0", "k1", "k2")
			p.want("prove>k0")
			for i, c := range test.rows {
				switch {
				case c.ask != "":
					p.submit(c.at, uint64(i+1), c.ask, 10*time.Second)
				case c.from != "":
					p.reply(c.at, c.from, c.of, c.back)
				default:
					p.step(c.at, machine.Input{})
				}
				if got := strings.Join(p.sent, " "); got != c.want {
					t.Fatalf("row %d: sent %q, want %q", i, got, c.want)
				}
			}
		})
	}
}

// TestHowACommandEnds plays one command to its end. A refusal is said only where
// no copy of the command can have been taken.
func TestCommandOutcome(t *testing.T) {
	answered := func(c status.Code) func(*harness) {
		return func(p *harness) { p.reply(20*ms, "k0", "accept", wire.CommandReply{Result: state.Result{Code: c}}) }
	}
	again := func(c status.Code) func(*harness) {
		return func(p *harness) {
			p.reply(200*ms, "k0", "accept", hint("k1"))
			p.reply(210*ms, "k1", "prove", received)
			p.want("accept>k1")
			p.reply(220*ms, "k1", "accept", wire.CommandReply{Result: state.Result{Code: c}})
		}
	}
	table := []struct {
		name string
		kind string
		wait time.Duration
		do   func(*harness)
		want status.Code
	}{
		{"good", state.KindAcceptJob, time.Second, answered(status.OK), status.OK},
		{"a no", state.KindAcceptJob, time.Second, answered(status.InvalidJob), status.InvalidJob},
		{"too much", state.KindAcceptJob, time.Second, answered(status.QueueFull), status.QueueFull},
		{"a no to the second copy", state.KindAcceptJob, time.Second, again(status.InvalidJob), status.InvalidJob},
		{"too much for the second copy", state.KindAcceptJob, time.Second, again(status.QueueFull), status.NoResponse},
		{"no entry any more for the second copy", state.KindAcceptJob, time.Second, again(status.NoRoute), status.NoResponse},
		{"no entry", state.KindAcceptJob, time.Second, answered(status.NoRoute), status.NoRoute},
		{"no entry any more for a question asked again", state.KindReadJob, time.Second, func(p *harness) {
			p.reply(200*ms, "k0", "read", hint("k1"))
			p.reply(210*ms, "k1", "prove", received)
			p.reply(220*ms, "k1", "read", wire.CommandReply{Result: state.Result{Code: status.NoRoute}})
		}, status.NoRoute},
		{"a fault at the second copy", state.KindAcceptJob, time.Second, again(status.Internal), status.NoResponse},
		{"its time is over", state.KindAcceptJob, time.Second, func(p *harness) { p.step(1010*ms, machine.Input{}) }, status.NoResponse},
		{"bounced only, and its time is over", state.KindAcceptJob, 30 * ms, func(p *harness) {
			p.reply(20*ms, "k0", "accept", rejection)
			p.step(40*ms, machine.Input{})
		}, status.NoResponse},
		{"no word of a primary for long", state.KindAcceptJob, time.Minute, func(p *harness) { p.step(4001*ms, machine.Input{}) }, status.NoResponse},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := newHarness(t, "k0", "k1", "k2")
			p.reply(5*ms, "k0", "prove", received)
			p.submit(10*ms, 7, test.kind, test.wait)
			p.want(test.kind + ">k0")
			if a, early := p.answers[7]; early {
				t.Fatalf("answered at once: %+v", a)
			}
			test.do(p)
			a, ok := p.answers[7]
			if !ok || a.Code != test.want {
				t.Fatalf("answered %v with %s, want %s", ok, a.Code, test.want)
			}
			if a.Code == status.NoResponse && a.RetryAfter != time.Second {
				t.Errorf("come back after %s", a.RetryAfter)
			}
			if p.client.PendingCount() != 0 {
				t.Errorf("%d are left in the table", p.client.PendingCount())
			}
		})
	}
}

// TestWhatNoKeeperIsAskedFor: while nobody leads, a command is held for as long as a
// change of leader takes, and is then answered that it was not taken.
func TestUnsentCommandExpires(t *testing.T) {
	table := []struct {
		name string
		kind string
		wait time.Duration
		held time.Duration
	}{
		{"a job", state.KindAcceptJob, 10 * time.Second, maxUnsentWait},
		{"a question", state.KindReadJob, 10 * time.Second, maxUnsentWait},
		{"a job whose caller waits for less", state.KindAcceptJob, 300 * ms, 300 * ms},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, "k0", "k1", "k2")
			p.submit(10*ms, 7, row.kind, row.wait)
			for at := 20 * ms; at < 10*ms+row.held; at += 10 * ms {
				p.reply(at, p.client.leader.primary, state.KindConfirmLeadership, rejection)
				if _, early := p.answers[7]; early {
					t.Fatalf("answered at %s", at)
				}
			}
			p.step(10*ms+row.held, machine.Input{})
			a, ok := p.answers[7]
			if !ok || a.Code != status.ReplicasUnavailable || a.RetryAfter != retryAfter {
				t.Errorf("answered %v: %+v", ok, a)
			}
			if n := p.counts[row.kind]; n > 0 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// TestWhatIsRefusedAtOnce: nothing of it is sent.
func TestImmediateRejection(t *testing.T) {
	table := []struct {
		name string
		at   time.Duration
		ask  machine.Request
		stop bool
		want status.Code
	}{
		{"no time left", 10 * ms, machine.Request{Kind: RequestCommand, Decoded: state.Command{}}, false, status.ReplicasUnavailable},
		{"no primary for long", 4001 * ms, machine.Request{Kind: RequestCommand, Decoded: state.Command{}, Wait: time.Second}, false, status.ReplicasUnavailable},
		{"going down", 10 * ms, machine.Request{Kind: RequestCommand, Decoded: state.Command{}, Wait: time.Second}, true, status.ShuttingDown},
		{"no command", 10 * ms, machine.Request{Kind: RequestCommand, Decoded: 7, Wait: time.Second}, false, status.Internal},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := newHarness(t, "k0")
			if test.stop {
				p.step(5*ms, machine.Input{Stop: true})
			}
			test.ask.ID = 3
			p.step(test.at, machine.Input{Request: test.ask})
			if a, ok := p.answers[3]; !ok || a.Code != test.want || a.RetryAfter != time.Second {
				t.Errorf("answered %v: %+v, want %s", ok, a, test.want)
			}
		})
	}
}

func TestReadyAfterRecentConfirmation(t *testing.T) {
	p := newHarness(t, "k0")
	check := func(at time.Duration, want bool) {
		t.Helper()
		if got := p.client.Ready(at); got != want {
			t.Errorf("at %s ready is %v", at, got)
		}
	}
	check(10*ms, false)
	p.reply(20*ms, "k0", "prove", rejection)
	check(20*ms, false)
	p.reply(100*ms, "k0", "prove", success)
	check(1600*ms, true)
	check(1601*ms, false)
}

// TestItStopsOnceAllIsAnswered, and not before.
func TestStopsOnceAllIsAnswered(t *testing.T) {
	p := newHarness(t, "k0")
	p.reply(5*ms, "k0", "prove", received)
	p.submit(10*ms, 1, state.KindAcceptJob, time.Second)
	p.step(20*ms, machine.Input{Stop: true})
	if p.stopped {
		t.Error("stopped with a command open")
	}
	p.reply(30*ms, "k0", "accept", success)
	if !p.stopped || p.answers[1].Code != status.OK {
		t.Errorf("stopped %v, answered %+v", p.stopped, p.answers[1])
	}
}

// TestKeepersMayComeLater: a relay that knows none asks those it is given.
func TestBootstrapReplicasMayBeSetLater(t *testing.T) {
	p := newHarness(t)
	p.want()
	p.client.SetBootstrapReplicas([]string{"k9"})
	p.step(p.client.NextTimer(), machine.Input{})
	p.want("prove>k9")
}
