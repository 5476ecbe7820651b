package state

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"sorrelloom/core/machine"
)

// The kinds of decisions. The values are written to the audit and never change.
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

// Decision is one thing that a command decided. The audit is written from them.
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

// AuditEntry is all that one command decided. PreviousIndex is the log index of the
// command that decided last before it, so that the chain shows a gap.
type AuditEntry struct {
	LogPosition
	// TimeMs is state time, in milliseconds.
	TimeMs        int64      `json:"atMs"`
	PreviousIndex uint64     `json:"previous"`
	Decisions     []Decision `json:"decisions"`
}

// auditTrail collects the decisions of commands into entries.
type auditTrail struct {
	// lastIndex is the log index of the last command that decided something.
	lastIndex uint64
	// decisions are those of the present command.
	decisions []Decision
	entries   []AuditEntry
}

// record adds a decision of the present command.
func (a *auditTrail) record(decision Decision) { a.decisions = append(a.decisions, decision) }

// closeEntry makes an entry of the present command's decisions.
func (a *auditTrail) closeEntry(position LogPosition, now time.Duration) {
	if len(a.decisions) == 0 {
		return
	}
	a.entries = append(a.entries, AuditEntry{position, now.Milliseconds(), a.lastIndex, a.decisions})
	a.decisions, a.lastIndex = nil, position.Index
}

// TakeAuditEntries hands over the entries since it was last called.
func (s *Store) TakeAuditEntries() []AuditEntry {
	entries := s.audit.entries
	s.audit.entries = nil
	return entries
}

// DiscardAuditEntries is for a replica whose decisions nobody audits.
func (s *Store) DiscardAuditEntries() { s.audit.entries = nil }

// digest is that of a value's encoding.
func digest(value any) string {
	sum := sha256.Sum256(machine.MustJSON(value))
	return hex.EncodeToString(sum[:])
}
