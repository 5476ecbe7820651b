// The tail of a ledger: the last commands applied, so that a copy that is a
// little behind can catch up without being copied whole.
package ledger

import "slices"

// TailMax is how many commands a tail keeps at least, once it has them.
const TailMax = 8192

// Tail begins after a base position; its commands follow without a gap.
type Tail struct {
	base     Position
	commands []Command
}

// TailFrom is an empty tail at a position.
func TailFrom(base Position) Tail { return Tail{base: base} }

func (t *Tail) Add(cmd Command) {
	t.commands = append(t.commands, cmd)
	if len(t.commands) >= 2*TailMax {
		t.base = t.commands[TailMax-1].Position
		t.commands = slices.Clone(t.commands[TailMax:])
	}
}

// Since gives the commands after a position, if the tail reaches back to it
// and the position stands in this history.
func (t *Tail) Since(at Position) ([]Command, bool) {
	if at == t.base {
		return t.commands, true
	}
	i := int64(at.Sequence) - int64(t.base.Sequence) - 1
	if i < 0 || i >= int64(len(t.commands)) || t.commands[i].Position != at {
		return nil, false
	}
	return t.commands[i+1:], true
}
