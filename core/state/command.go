package state

import (
	"time"
)

// CommandKind is the kind of a command.
type CommandKind string

// The kinds of commands. The values are written to the log and sent between
// processes of different versions; they must never change.
const (
	KindAcceptJob          CommandKind = "accept"
	KindCancelJob          CommandKind = "cancel"
	KindHeartbeat          CommandKind = "beat"
	KindGrantLeases        CommandKind = "grant"
	KindPreempt            CommandKind = "push-out"
	KindChangeConfig       CommandKind = "plan"
	KindSetZoneDrained     CommandKind = "site"
	KindDrainWorker        CommandKind = "drain"
	KindConfirmWorkerDead  CommandKind = "gone"
	KindSchedulerHeartbeat CommandKind = "hello"
	KindTransferLeadership CommandKind = "move"
	KindTick               CommandKind = "tick"
	// KindTakeLeadership lets the primary's own scheduler take a leadership. Only that
	// scheduler may send it.
	KindTakeLeadership CommandKind = "take"
	// KindRenewWorkers lets the primary's own scheduler renew the leases of all workers
	// that recently sent it a heartbeat. Only that scheduler may send it.
	KindRenewWorkers CommandKind = "renew"

	// The following kinds are read-only: they read a job, the number of waiting jobs of a
	// class, the configuration, or the result of an operator's write by its idempotency key,
	// or only confirm that the primary is still the leader.

	KindReadJob           CommandKind = "read"
	KindReadWaitingCount  CommandKind = "read-count"
	KindReadConfig        CommandKind = "read-plan"
	KindReadRequest       CommandKind = "read-request"
	KindConfirmLeadership CommandKind = "prove"
)

// IsReadOnly reports whether commands of a kind leave the state unchanged.
func IsReadOnly(kind CommandKind) bool {
	switch kind {
	case KindReadJob, KindReadWaitingCount, KindReadConfig, KindReadRequest, KindConfirmLeadership:
		return true
	}
	return false
}

// IsOperatorCommand reports whether commands of a kind come from an operator: on the
// configuration, drains, dead workers or leaderships. Such commands are rare.
func IsOperatorCommand(kind CommandKind) bool {
	switch kind {
	case KindChangeConfig, KindReadConfig, KindReadRequest, KindSetZoneDrained, KindDrainWorker,
		KindConfirmWorkerDead, KindTransferLeadership:
		return true
	}
	return false
}

// LogPosition is a position in the replicated log: the Index of a command and the Epoch of
// the primary that wrote it.
type LogPosition struct {
	Epoch uint64 `json:"epoch"`
	Index uint64 `json:"sequence"`
}

// Command is one conditional write, stamped by the primary with its log position and state
// time, or a read. It holds plain values only, since it is sent and stored encoded.
type Command struct {
	LogPosition
	// Time is the state time at which the command is applied.
	Time time.Duration `json:"at"`
	Kind CommandKind   `json:"kind"`
	// Name is the name of the job, worker, zone or leadership that the command is about, or
	// the idempotency key that a KindReadRequest asks for.
	Name string `json:"name,omitempty"`
	// Drain distinguishes a drain (true) from its reversal (false).
	Drain bool `json:"on,omitempty"`
	// IdempotencyKey identifies one call of an operator, so that a repeat of it changes
	// nothing. RequestedAt is the state time at which the call arrived.
	IdempotencyKey string        `json:"token,omitempty"`
	RequestedAt    time.Duration `json:"asked,omitempty"`
	// Digest, where set, is the digest of the call as it was sent. A repeat must have the
	// same one.
	Digest string `json:"digest,omitempty"`
	// MaxAge, where set, is how long after RequestedAt a drain order may still be applied.
	// ConfirmedIndex is then the log index that a leader had confirmed to the sender after
	// the call arrived: an opposite order applied at a higher index takes precedence.
	MaxAge         time.Duration `json:"maxAge,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
	// ServingSince, in a tick, is the state time since which the primary has served without
	// interruption and could receive heartbeats. It is 0 in ticks of earlier releases.
	ServingSince time.Duration `json:"servingSince,omitempty"`
	// WallTime is the primary's wall-clock time. It converts the due times of a job to state
	// time.
	WallTime time.Time `json:"wall,omitzero"`
	// KeyDigest is the digest of the tenant key that the call presented (config.DigestKey).
	KeyDigest string `json:"keyDigest,omitempty"`
	// Host and Path select a route. Summary asks for a result without tasks and payload.
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
	Summary bool   `json:"brief,omitempty"`

	Job                JobSpec            `json:"accept,omitzero"`
	Heartbeat          Heartbeat          `json:"beat,omitzero"`
	Renewals           []Renewal          `json:"renew,omitempty"`
	Grant              Grant              `json:"grant,omitzero"`
	ConfigChange       ConfigChange       `json:"plan,omitzero"`
	SchedulerHeartbeat SchedulerHeartbeat `json:"hello,omitzero"`
}
