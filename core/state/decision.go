// Decisions are what the audit is written from: what the ledger decided with one
// command, and which command decided last before it. The chain shows a gap.

package state

import (
	"crypto/sha256"
	"encoding/hex"

	"sorrelloom/core/machine"
)

// Decision is one thing decided.
type Decision struct {
	Kind          string `json:"kind"`
	Job           string `json:"job,omitempty"`
	Task          string `json:"task,omitempty"`
	AttemptNumber int    `json:"try,omitempty"`
	Worker        string `json:"worker,omitempty"`
	Name          string `json:"name,omitempty"`
	Succeeded     bool   `json:"good,omitempty"`
	ConfigVersion uint64 `json:"plan,omitempty"`
	Digest        string `json:"digest,omitempty"`
}

// Entry is all that one command decided. AtMs is ledger time.
type AuditEntry struct {
	LogPosition
	TimeMs        int64      `json:"atMs"`
	PreviousIndex uint64     `json:"previous"`
	Decisions     []Decision `json:"decisions"`
}

func digest(v any) string {
	sum := sha256.Sum256(machine.MustJSON(v))
	return hex.EncodeToString(sum[:])
}

func (l *Store) recordDecision(d Decision) { l.pendingDecisions = append(l.pendingDecisions, d) }

// enter closes a command's decisions into an entry.
func (l *Store) closeAuditEntry() {
	if len(l.pendingDecisions) == 0 {
		return
	}
	l.auditEntries = append(l.auditEntries, AuditEntry{l.position, l.now.Milliseconds(), l.lastDecisionIndex, l.pendingDecisions})
	l.pendingDecisions, l.lastDecisionIndex = nil, l.position.Index
}

// TakeEntries hands over the entries since it was last called.
func (l *Store) TakeAuditEntries() []AuditEntry {
	out := l.auditEntries
	l.auditEntries = nil
	return out
}
