package state_test

import (
	"encoding/json"
	"testing"

	"sorrelloom/core/state"
)

// TestDecodePosition checks that the position of a command is read without decoding the rest,
// and that truncated and empty input is rejected.
func TestDecodePosition(t *testing.T) {
	position := state.LogPosition{Epoch: 3, Index: 1 << 40}
	for _, command := range []state.Command{
		{LogPosition: position, Kind: state.KindTick},
		{LogPosition: position, Kind: state.KindAcceptJob, Job: state.JobSpec{
			ID: "j", Steps: []state.StepSpec{{Count: 50, Labels: []string{"epoch", "sequence"}}},
		}},
	} {
		encoded := state.Encode(command).Encoded
		if got, err := state.DecodePosition(encoded); err != nil || got != position {
			t.Errorf("%s: %+v, %v", command.Kind, got, err)
		}
		if _, err := state.DecodePosition(encoded[:len(encoded)-1]); err == nil {
			t.Errorf("%s: no error for a truncated command", command.Kind)
		}
	}
	if _, err := state.DecodePosition(json.RawMessage{}); err == nil {
		t.Error("no error for an empty command")
	}
}
