package state

import (
	"encoding/json"

	"sorrelloom/core/machine"
)

// EncodedCommand is a command beside its encoding. A command is encoded once, by the
// primary that stamps it; the log on each disk, the replicas and the subscribers of the
// change feed share these bytes, which must not be changed.
type EncodedCommand struct {
	Command
	Encoded json.RawMessage
}

// Encode is the only place that encodes a command.
func Encode(cmd Command) EncodedCommand { return EncodedCommand{cmd, machine.MustMarshal(cmd)} }

// DecodePosition reads only the position of what Encode wrote, which costs a small part of
// Decode.
func DecodePosition(encoded json.RawMessage) (LogPosition, error) {
	var position LogPosition
	err := machine.Unmarshal(encoded, &position)
	return position, err
}

// Decode reads what Encode wrote. The encoding shares the data.
func Decode(encoded json.RawMessage) (EncodedCommand, error) {
	cmd := EncodedCommand{Encoded: encoded}
	err := machine.Unmarshal(encoded, &cmd.Command)
	return cmd, err
}
