package state

import (
	"time"
)

// CommandKind says what a command asks for.
type CommandKind string

// The kinds of commands. The values are written to the log and sent between
// processes of different versions; they never change.
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
	// KindTakeLeadership is the primary's own dispatcher taking a leadership; nobody
	// else may send it.
	KindTakeLeadership CommandKind = "take"
	// KindRenewWorkers is the primary's own dispatcher renewing the leases of all
	// workers that it has heard lately; nobody else may send it.
	KindRenewWorkers CommandKind = "renew"

	// What follows changes nothing: a job, a class's waiting tasks, the configuration,
	// an operator's write by its idempotency key, or just the proof that the primary leads.

	KindReadJob           CommandKind = "read"
	KindReadWaitingCount  CommandKind = "read-count"
	KindReadConfig        CommandKind = "read-plan"
	KindReadRequest       CommandKind = "read-request"
	KindConfirmLeadership CommandKind = "prove"
)

// IsReadOnly says whether a kind of command changes nothing.
func IsReadOnly(kind CommandKind) bool {
	switch kind {
	case KindReadJob, KindReadWaitingCount, KindReadConfig, KindReadRequest, KindConfirmLeadership:
		return true
	}
	return false
}

// IsOperatorCommand says whether a kind of command is a call of an operator: on the
// configuration, on what is drained, or on who leads. Such commands are few.
func IsOperatorCommand(kind CommandKind) bool {
	switch kind {
	case KindChangeConfig, KindReadConfig, KindReadRequest, KindSetZoneDrained, KindDrainWorker,
		KindConfirmWorkerDead, KindTransferLeadership:
		return true
	}
	return false
}

// LogPosition is how far a replica of the state has come in the replicated log:
// the Index of a command and the Epoch of the primary that wrote it.
type LogPosition struct {
	Epoch uint64 `json:"epoch"`
	Index uint64 `json:"sequence"`
}

// Command is one conditional write, stamped by the primary. All of it are plain
// values that travel encoded.
type Command struct {
	LogPosition
	// Time is state time.
	Time time.Duration `json:"at"`
	Kind CommandKind   `json:"kind"`
	// Name is that of the job, worker, zone or leadership in question.
	Name string `json:"name,omitempty"`
	// Drain is false for an order that takes a drain back.
	Drain bool `json:"on,omitempty"`
	// IdempotencyKey marks one operator's call and RequestedAt when it came, so that
	// a repeat changes nothing.
	IdempotencyKey string        `json:"token,omitempty"`
	RequestedAt    time.Duration `json:"asked,omitempty"`
	// Digest, where set, is that of the call as it was sent; repeats are known by it.
	Digest string `json:"digest,omitempty"`
	// MaxAge, where set, is how long after RequestedAt an order may still be carried
	// out. ConfirmedIndex is then the log index that a leader had proved to the sender
	// after the call came: an order to the contrary that was carried out after it is
	// the later one.
	MaxAge         time.Duration `json:"maxAge,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
	// ServingSince, of a tick, is since when the primary has served without a pause and
	// could hear workers. Zero is a tick of an earlier release, which does not say.
	ServingSince time.Duration `json:"servingSince,omitempty"`
	// WallTime is the primary's time of day, by which due times are placed.
	WallTime time.Time `json:"wall,omitzero"`
	// KeyDigest is that of the key which the call presented (config.DigestKey).
	KeyDigest string `json:"keyDigest,omitempty"`
	// Host and Path choose a route; Summary asks for a result without tasks.
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
