package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const ms = time.Millisecond

// play is a relay with the keepers k0, k1 and k2, and what it has sent.
type play struct {
	*testing.T
	relay   *Relay
	sent    []string
	last    map[string]uint64
	counts  map[string]int
	bodies  []wire.CommandBody
	answers map[uint64]ledger.Answer
	stopped bool
}

func begin(t *testing.T, keepers ...string) *play {
	p := &play{
		T: t, relay: New(Env{Address: "door", Keepers: keepers, First: 2}),
		last: map[string]uint64{}, counts: map[string]int{}, answers: map[uint64]ledger.Answer{},
	}
	p.step(0, machine.Input{})
	return p
}

// step notes each send as "kind>keeper".
func (p *play) step(at time.Duration, in machine.Input) {
	p.Helper()
	p.sent, p.bodies = nil, nil
	out := p.relay.Step(at, in)
	for _, s := range out.Sends {
		b := s.Body.(wire.CommandBody)
		p.sent = append(p.sent, b.Command.Kind+">"+s.To)
		p.last[b.Command.Kind] = b.ID
		p.counts[b.Command.Kind]++
		p.bodies = append(p.bodies, b)
	}
	for _, a := range out.Answers {
		if _, twice := p.answers[a.Key]; twice {
			p.Errorf("%d is answered twice", a.Key)
		}
		p.answers[a.Key] = a.Body.(ledger.Answer)
	}
	p.stopped = out.Stopped
	if wake := p.relay.Wakeup(); wake <= at {
		p.Errorf("at %s it wants to be woken at %s", at, wake)
	}
}

func (p *play) ask(at time.Duration, key uint64, kind string, wait time.Duration) {
	p.Helper()
	p.step(at, machine.Input{Ask: machine.Ask{Key: key, Kind: AskCommand, Value: ledger.Command{Kind: kind}, Wait: wait}})
}

// back is a keeper's word on the last command of a kind.
func (p *play) back(at time.Duration, from, kind string, b wire.CommandBackBody) {
	p.Helper()
	b.ID = p.last[kind]
	p.step(at, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.CommandBack, From: from, Body: machine.MustMarshal(b)}})
}

func (p *play) want(sent ...string) {
	p.Helper()
	if fmt.Sprint(p.sent) != fmt.Sprint(sent) {
		p.Errorf("sent %v, want %v", p.sent, sent)
	}
}

var (
	good     = wire.CommandBackBody{Answer: ledger.Answer{Code: code.OK}}
	received = wire.CommandBackBody{Received: true, Answer: ledger.Answer{Code: code.NoAuthority}}
	bounce   = wire.CommandBackBody{Answer: ledger.Answer{Code: code.NotPrimary}}
)

func hint(to string) wire.CommandBackBody {
	return wire.CommandBackBody{Answer: ledger.Answer{Code: code.NotPrimary}, Primary: to}
}

// TestWhereACommandGoes is a list of inputs and what each has the relay send.
func TestWhereACommandGoes(t *testing.T) {
	type row struct {
		at   time.Duration
		ask  string
		from string
		of   string
		back wire.CommandBackBody
		want string
	}
	table := []struct {
		name string
		rows []row
	}{
		{"it waits for a keeper that leads, and goes to the next when there is no sign", []row{
			{at: 10 * ms, ask: ledger.KindAccept},
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
			{at: 10 * ms, ask: ledger.KindAccept},
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
			{at: 10 * ms, ask: ledger.KindAccept},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 20 * ms, ask: ledger.KindRead, want: "read>k0"},
			{at: 24 * ms, from: "k0", of: "read", back: good},
			{at: 86 * ms},
			{at: 112 * ms, want: "accept>k0"},
			{at: 120 * ms, ask: ledger.KindRead, want: "read>k0"},
			{at: 124 * ms, from: "k0", of: "read", back: good},
			{at: 261 * ms},
			{at: 312 * ms, want: "accept>k0"},
			{at: 720 * ms, want: "prove>k0"},
			{at: 721 * ms, from: "k0", of: "prove", back: good, want: "accept>k0"},
		}},
		{"a hint is followed at once", []row{
			{at: 10 * ms, ask: ledger.KindAccept},
			{at: 12 * ms, from: "k0", of: "prove", back: hint("k2"), want: "prove>k2"},
			{at: 13 * ms, from: "k0", of: "prove", back: hint("k1")},
			{at: 14 * ms, from: "k2", of: "prove", back: received, want: "accept>k2"},
			{at: 15 * ms, from: "k2", of: "accept", back: good},
			{at: 414 * ms},
			{at: 515 * ms, want: "prove>k2"},
		}},
		{"hints in a circle are paced, and no command goes round with them", []row{
			{at: 10 * ms, ask: ledger.KindAccept},
			{at: 11 * ms, from: "k0", of: "prove", back: hint("k1"), want: "prove>k1"},
			{at: 12 * ms, from: "k1", of: "prove", back: hint("k0"), want: "prove>k0"},
			{at: 13 * ms, from: "k0", of: "prove", back: hint("k1")},
			{at: 52 * ms},
			{at: 93 * ms, want: "prove>k1"},
		}},
		{"a bounce without a hint moves on after a pause", []row{
			{at: 10 * ms, ask: ledger.KindAccept},
			{at: 12 * ms, from: "k0", of: "prove", back: bounce},
			{at: 51 * ms},
			{at: 92 * ms, want: "prove>k1"},
		}},
		{"a hint to the one just left for its silence counts for nothing", []row{
			{at: 799 * ms, want: "prove>k0"},
			{at: 900 * ms, want: "prove>k1"},
			{at: 901 * ms, from: "k1", of: "prove", back: hint("k0")},
			{at: 940 * ms},
			{at: 981 * ms, want: "prove>k2"},
			{at: 982 * ms, from: "k2", of: "prove", back: good},
			{at: 1381 * ms},
			{at: 1482 * ms, want: "prove>k2"},
		}},
		{"keepers that an answer names replace the list, and those to begin from come after them", []row{
			{at: 5 * ms, from: "k0", of: "prove", back: wire.CommandBackBody{Keepers: []string{"n0", "n1"}}},
			{at: 905 * ms, want: "prove>n0"},
			{at: 1805 * ms, want: "prove>n1"},
			{at: 2705 * ms, want: "prove>k0"},
		}},
		{"traffic that is answered is proof enough", []row{
			{at: 5 * ms, from: "k0", of: "prove", back: good},
			{at: 300 * ms, ask: ledger.KindRead, want: "read>k0"},
			{at: 304 * ms, from: "k0", of: "read", back: good},
			{at: 505 * ms},
			{at: 703 * ms},
			{at: 804 * ms, want: "prove>k0"},
		}},
		{"the late answer of one that was left brings the relay back to it", []row{
			{at: 10 * ms, ask: ledger.KindAccept},
			{at: 12 * ms, from: "k0", of: "prove", back: received, want: "accept>k0"},
			{at: 912 * ms, want: "prove>k1"},
			{at: 920 * ms, from: "k0", of: "accept", back: good},
			{at: 921 * ms, ask: ledger.KindRead, want: "read>k0"},
		}},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := begin(t, "k0", "k1", "k2")
			p.want("prove>k0")
			for i, r := range test.rows {
				switch {
				case r.ask != "":
					p.ask(r.at, uint64(i+1), r.ask, 10*time.Second)
				case r.from != "":
					p.back(r.at, r.from, r.of, r.back)
				default:
					p.step(r.at, machine.Input{})
				}
				if got := strings.Join(p.sent, " "); got != r.want {
					t.Fatalf("row %d: sent %q, want %q", i, got, r.want)
				}
			}
		})
	}
}

// TestHowACommandEnds plays one command to its end. A refusal is said only where
// no copy of the command can have been taken.
func TestHowACommandEnds(t *testing.T) {
	answered := func(c code.Code) func(*play) {
		return func(p *play) { p.back(20*ms, "k0", "accept", wire.CommandBackBody{Answer: ledger.Answer{Code: c}}) }
	}
	again := func(c code.Code) func(*play) {
		return func(p *play) {
			p.back(200*ms, "k0", "accept", hint("k1"))
			p.back(210*ms, "k1", "prove", received)
			p.want("accept>k1")
			p.back(220*ms, "k1", "accept", wire.CommandBackBody{Answer: ledger.Answer{Code: c}})
		}
	}
	table := []struct {
		name string
		kind string
		wait time.Duration
		do   func(*play)
		want code.Code
	}{
		{"good", ledger.KindAccept, time.Second, answered(code.OK), code.OK},
		{"a no", ledger.KindAccept, time.Second, answered(code.BadJob), code.BadJob},
		{"too much", ledger.KindAccept, time.Second, answered(code.InboxFull), code.InboxFull},
		{"a no to the second copy", ledger.KindAccept, time.Second, again(code.BadJob), code.BadJob},
		{"too much for the second copy", ledger.KindAccept, time.Second, again(code.InboxFull), code.NoAnswer},
		{"no entry any more for the second copy", ledger.KindAccept, time.Second, again(code.NoEntry), code.NoAnswer},
		{"no entry", ledger.KindAccept, time.Second, answered(code.NoEntry), code.NoEntry},
		{"no entry any more for a question asked again", ledger.KindRead, time.Second, func(p *play) {
			p.back(200*ms, "k0", "read", hint("k1"))
			p.back(210*ms, "k1", "prove", received)
			p.back(220*ms, "k1", "read", wire.CommandBackBody{Answer: ledger.Answer{Code: code.NoEntry}})
		}, code.NoEntry},
		{"a fault at the second copy", ledger.KindAccept, time.Second, again(code.Internal), code.NoAnswer},
		{"its time is over", ledger.KindAccept, time.Second, func(p *play) { p.step(1010*ms, machine.Input{}) }, code.NoAnswer},
		{"bounced only, and its time is over", ledger.KindAccept, 30 * ms, func(p *play) {
			p.back(20*ms, "k0", "accept", bounce)
			p.step(40*ms, machine.Input{})
		}, code.NoAnswer},
		{"no word of a primary for long", ledger.KindAccept, time.Minute, func(p *play) { p.step(4001*ms, machine.Input{}) }, code.NoAnswer},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := begin(t, "k0", "k1", "k2")
			p.back(5*ms, "k0", "prove", received)
			p.ask(10*ms, 7, test.kind, test.wait)
			p.want(test.kind + ">k0")
			if a, early := p.answers[7]; early {
				t.Fatalf("answered at once: %+v", a)
			}
			test.do(p)
			a, ok := p.answers[7]
			if !ok || a.Code != test.want {
				t.Fatalf("answered %v with %s, want %s", ok, a.Code, test.want)
			}
			if a.Code == code.NoAnswer && a.RetryAfter != time.Second {
				t.Errorf("come back after %s", a.RetryAfter)
			}
			if p.relay.Open() != 0 {
				t.Errorf("%d are left in the table", p.relay.Open())
			}
		})
	}
}

// TestWhatNoKeeperIsAskedFor: while nobody leads, a command is held for as long as a
// change of leader takes, and is then answered that it was not taken.
func TestWhatNoKeeperIsAskedFor(t *testing.T) {
	table := []struct {
		name string
		kind string
		wait time.Duration
		held time.Duration
	}{
		{"a job", ledger.KindAccept, 10 * time.Second, leaderWait},
		{"a question", ledger.KindRead, 10 * time.Second, leaderWait},
		{"a job whose caller waits for less", ledger.KindAccept, 300 * ms, 300 * ms},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, "k0", "k1", "k2")
			p.ask(10*ms, 7, row.kind, row.wait)
			for at := 20 * ms; at < 10*ms+row.held; at += 10 * ms {
				p.back(at, p.relay.route.primary, ledger.KindProve, bounce)
				if _, early := p.answers[7]; early {
					t.Fatalf("answered at %s", at)
				}
			}
			p.step(10*ms+row.held, machine.Input{})
			a, ok := p.answers[7]
			if !ok || a.Code != code.NoAuthority || a.RetryAfter != retryAfter {
				t.Errorf("answered %v: %+v", ok, a)
			}
			if n := p.counts[row.kind]; n > 0 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// TestWhatIsRefusedAtOnce: nothing of it is sent.
func TestWhatIsRefusedAtOnce(t *testing.T) {
	table := []struct {
		name string
		at   time.Duration
		ask  machine.Ask
		stop bool
		want code.Code
	}{
		{"no time left", 10 * ms, machine.Ask{Kind: AskCommand, Value: ledger.Command{}}, false, code.NoAuthority},
		{"no primary for long", 4001 * ms, machine.Ask{Kind: AskCommand, Value: ledger.Command{}, Wait: time.Second}, false, code.NoAuthority},
		{"going down", 10 * ms, machine.Ask{Kind: AskCommand, Value: ledger.Command{}, Wait: time.Second}, true, code.Stopping},
		{"no command", 10 * ms, machine.Ask{Kind: AskCommand, Value: 7, Wait: time.Second}, false, code.Internal},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			p := begin(t, "k0")
			if test.stop {
				p.step(5*ms, machine.Input{Stop: true})
			}
			test.ask.Key = 3
			p.step(test.at, machine.Input{Ask: test.ask})
			if a, ok := p.answers[3]; !ok || a.Code != test.want || a.RetryAfter != time.Second {
				t.Errorf("answered %v: %+v, want %s", ok, a, test.want)
			}
		})
	}
}

func TestReadyIsAProofAMomentOld(t *testing.T) {
	p := begin(t, "k0")
	check := func(at time.Duration, want bool) {
		t.Helper()
		if got := p.relay.Ready(at); got != want {
			t.Errorf("at %s ready is %v", at, got)
		}
	}
	check(10*ms, false)
	p.back(20*ms, "k0", "prove", bounce)
	check(20*ms, false)
	p.back(100*ms, "k0", "prove", good)
	check(1600*ms, true)
	check(1601*ms, false)
}

// TestItStopsOnceAllIsAnswered, and not before.
func TestItStopsOnceAllIsAnswered(t *testing.T) {
	p := begin(t, "k0")
	p.back(5*ms, "k0", "prove", received)
	p.ask(10*ms, 1, ledger.KindAccept, time.Second)
	p.step(20*ms, machine.Input{Stop: true})
	if p.stopped {
		t.Error("stopped with a command open")
	}
	p.back(30*ms, "k0", "accept", good)
	if !p.stopped || p.answers[1].Code != code.OK {
		t.Errorf("stopped %v, answered %+v", p.stopped, p.answers[1])
	}
}

// TestKeepersMayComeLater: a relay that knows none asks those it is given.
func TestKeepersMayComeLater(t *testing.T) {
	p := begin(t)
	p.want()
	p.relay.Begin([]string{"k9"})
	p.step(p.relay.Wakeup(), machine.Input{})
	p.want("prove>k9")
}
