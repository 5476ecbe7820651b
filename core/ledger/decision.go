// Decisions are what the audit is written from: what the ledger decided with one
// command, and which command decided last before it. The chain shows a gap.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"sorrelloom/core/machine"
)

// Decision is one thing decided.
type Decision struct {
	Kind   string `json:"kind"`
	Job    string `json:"job,omitempty"`
	Task   string `json:"task,omitempty"`
	Try    int    `json:"try,omitempty"`
	Worker string `json:"worker,omitempty"`
	Name   string `json:"name,omitempty"`
	Good   bool   `json:"good,omitempty"`
	Plan   uint64 `json:"plan,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// Entry is all that one command decided. AtMs is ledger time.
type Entry struct {
	Position
	AtMs      int64      `json:"atMs"`
	Previous  uint64     `json:"previous"`
	Decisions []Decision `json:"decisions"`
}

func digest(v any) string {
	sum := sha256.Sum256(machine.MustJSON(v))
	return hex.EncodeToString(sum[:])
}

func (l *Ledger) decide(d Decision) { l.decided = append(l.decided, d) }

// enter closes a command's decisions into an entry.
func (l *Ledger) enter() {
	if len(l.decided) == 0 {
		return
	}
	l.entries = append(l.entries, Entry{l.position, l.at.Milliseconds(), l.decision, l.decided})
	l.decided, l.decision = nil, l.position.Sequence
}

// TakeEntries hands over the entries since it was last called.
func (l *Ledger) TakeEntries() []Entry {
	out := l.entries
	l.entries = nil
	return out
}
