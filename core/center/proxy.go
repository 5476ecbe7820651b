package center

import (
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const askEach = 500 * time.Millisecond

// Proxy stands where a keeper is looked for on a machine without a disk. It takes
// no seat and decides nothing: it sends whoever comes on to the keepers.
type Proxy struct {
	seat    wire.Seat
	seeds   []string
	view    wire.View
	keepers []string
	askAt   time.Duration
	turn    int
}

// NewProxy gives a proxy that begins from the seeds; its identity lasts one run.
func NewProxy(seat wire.Seat, seeds []string) *Proxy { return &Proxy{seat: seat, seeds: seeds} }

func (p *Proxy) Wakeup() time.Duration { return p.askAt }

func (p *Proxy) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	line := in.Line
	switch line.Kind {
	case wire.Found, wire.FoundBack:
		take(line, &out, func(b wire.FoundBody) {
			if b.View.Epoch > p.view.Epoch {
				p.view = b.View
			}
		})
		if line.Kind == wire.Found {
			out.Send(line.From, wire.FoundBack, p.self())
		}
	case wire.Nodes:
		take(line, &out, func(b wire.Gossip) {
			p.keepers = nil
			for _, n := range b.Nodes {
				if n.Role == "keeper" {
					p.keepers = append(p.keepers, n.Address)
				}
			}
		})
	case wire.Command:
		take(line, &out, func(b wire.CommandBody) {
			out.Send(line.From, wire.CommandBack, wire.CommandBackBody{ID: b.ID, Answer: bounced, Primary: p.view.Primary.Address, Keepers: p.known()})
		})
	case wire.Beat:
		take(line, &out, func(b wire.BeatBody) {
			out.Send(line.From, wire.BeatBack, wire.BeatBackBody{ID: b.ID, Answer: bounced, Primary: p.view.Primary.Address, Keepers: p.known()})
		})
	case wire.Follow:
		take(line, &out, func(b wire.FollowBody) {
			out.Send(line.From, wire.News, wire.NewsBody{Bounced: true, At: b.At, After: b.At, Primary: p.view.Primary.Address})
		})
	case wire.News:
		take(line, &out, func(b wire.NewsBody) {
			if b.Epoch > p.view.Epoch && b.Primary != "" {
				out.Send(b.Primary, wire.Found, p.self())
			}
		})
	case "":
	default:
		out.Log("line_unknown", "kind", line.Kind, "from", line.From)
	}
	if now >= p.askAt {
		p.askAt = now + askEach
		p.ask(&out)
	}
	out.Stopped = in.Stop
	return out
}

// ask looks for the view at one keeper after the other.
func (p *Proxy) ask(out *machine.Output) {
	var others []string
	for _, to := range slices.Concat(p.known(), p.keepers, p.seeds) {
		if to != p.seat.Address && !slices.Contains(others, to) {
			others = append(others, to)
		}
	}
	if p.turn++; len(others) > 0 {
		out.Send(others[p.turn%len(others)], wire.Found, p.self())
	}
}

func (p *Proxy) self() wire.FoundBody {
	return wire.FoundBody{Seat: p.seat, Empty: true, Proxy: true, View: p.view}
}

// known are the addresses of the view's keepers, or of those that the members know.
func (p *Proxy) known() []string {
	var out []string
	for _, s := range p.view.Witnesses {
		out = append(out, s.Address)
	}
	if out == nil {
		return p.keepers
	}
	return out
}

var bounced = ledger.Answer{Code: code.NotPrimary, Why: "this process keeps nothing; the keepers are named"}

// take decodes a line's body; a damaged one is logged and dropped.
func take[B any](line machine.Line, out *machine.Output, do func(B)) {
	var b B
	if err := machine.Unmarshal(line.Body, &b); err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
		return
	}
	do(b)
}
