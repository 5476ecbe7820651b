package state

import (
	"encoding/json"

	"sorrelloom/core/machine"
)

// EncodedCommand is a command together with its encoding. A command is encoded once, by the
// primary that stamps it. The on-disk logs, the replicas and the subscribers of the change
// feed share the encoded bytes, which must not be modified.
type EncodedCommand struct {
	Command
	Encoded json.RawMessage
}

// Encode encodes a command. No other function does so.
func Encode(cmd Command) EncodedCommand { return EncodedCommand{cmd, machine.MustMarshal(cmd)} }

// DecodePosition decodes only the log position of an encoded command, at a small part of the
// cost of Decode.
func DecodePosition(encoded json.RawMessage) (LogPosition, error) {
	var position LogPosition
	err := machine.Unmarshal(encoded, &position)
	return position, err
}

// Decode decodes a command that Encode has encoded. The result's Encoded shares the given
// bytes.
func Decode(encoded json.RawMessage) (EncodedCommand, error) {
	cmd := EncodedCommand{Encoded: encoded}
	err := machine.Unmarshal(encoded, &cmd.Command)
	return cmd, err
}
