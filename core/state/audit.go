package state

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"sorrelloom/core/machine"
)

// The kinds of decisions. The values are written to the audit log and must never change.
const (
	decisionAcceptJob     = "accept"
	decisionEndJob        = "over"
	decisionCancelJob     = "cancel"
	decisionGrantLease    = "grant"
	decisionAdoptAttempt  = "adopt"
	decisionEndAttempt    = "end"
	decisionReturnLease   = "back"
	decisionPreempt       = "push-out"
	decisionDrainWorker   = "drain"
	decisionUndrainWorker = "undrain"
	decisionWorkerDead    = "gone"
	decisionDrainZone     = "empty"
	decisionRefillZone    = "refill"
	decisionSetLeader     = "duty"
	decisionChangeConfig  = "plan"
)

// Decision is one decision that a command made, as it is written to the audit log.
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

// AuditEntry holds all decisions of one command. PreviousIndex is the log index of the
// previous command with a decision, so that a missing entry shows as a gap in the chain.
type AuditEntry struct {
	LogPosition
	// TimeMs is the state time in milliseconds.
	TimeMs        int64      `json:"atMs"`
	PreviousIndex uint64     `json:"previous"`
	Decisions     []Decision `json:"decisions"`
}

// auditTrail collects the decisions of commands into entries.
type auditTrail struct {
	// lastIndex is the log index of the last command with a decision.
	lastIndex uint64
	// decisions are those of the current command.
	decisions []Decision
	entries   []AuditEntry
}

// record adds a decision of the current command.
func (a *auditTrail) record(decision Decision) { a.decisions = append(a.decisions, decision) }

// closeEntry turns the decisions of the current command into an entry, if there are any.
func (a *auditTrail) closeEntry(position LogPosition, now time.Duration) {
	if len(a.decisions) == 0 {
		return
	}
	a.entries = append(a.entries, AuditEntry{position, now.Milliseconds(), a.lastIndex, a.decisions})
	a.decisions, a.lastIndex = nil, position.Index
}

// TakeAuditEntries returns the entries added since the last call, and removes them.
func (s *Store) TakeAuditEntries() []AuditEntry {
	entries := s.audit.entries
	s.audit.entries = nil
	return entries
}

// DiscardAuditEntries removes the collected entries, on a replica that writes no audit log.
func (s *Store) DiscardAuditEntries() { s.audit.entries = nil }

// digest returns the hexadecimal SHA-256 digest of a value's JSON encoding.
func digest(value any) string {
	sum := sha256.Sum256(machine.MustJSON(value))
	return hex.EncodeToString(sum[:])
}
