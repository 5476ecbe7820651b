package state_test

import (
	"encoding/json"
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// FuzzValidateJob submits arbitrary jobs and checks that a valid job with tasks is accepted.
// Dependency cycles must always be rejected, also in a job with an empty list of steps.
func FuzzValidateJob(f *testing.F) {
	const head = `{"id":"j","service":"tickets","class":"quick",`
	f.Add([]byte(head + `"tasks":[{"id":"a","after":["b"]},{"id":"b","after":["a"]}]}`))
	f.Add([]byte(head + `"steps":[],"tasks":[{"id":"a","after":["b"]},{"id":"b","after":["a"]}]}`))
	f.Add([]byte(head + `"tasks":[{"id":"a","after":["a"],"gang":"g"}]}`))
	f.Add([]byte(head + `"steps":[{"count":2},{"count":3,"after":[0],"gang":true}],"repeat":{"count":2,"every":"1s"}}`))
	f.Add([]byte(head + `"steps":[{"count":9223372036854775807},{"count":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var spec state.JobSpec
		if json.Unmarshal(data, &spec) != nil {
			return
		}
		fixture := statetest.New(t)
		valid := fixture.Store.ValidateJob(state.Normalize(spec)).Code.IsSuccess()
		accepted := fixture.Apply(acceptJob(spec)).Code.IsSuccess()
		if valid && !accepted && len(spec.Steps) == 0 {
			t.Errorf("valid but not accepted: %s", data)
		}
	})
}

// FuzzDecodeCommand decodes arbitrary input and checks that a decoded command can be encoded and
// decoded again.
func FuzzDecodeCommand(f *testing.F) {
	f.Add([]byte(state.Encode(state.Command{Kind: state.KindTick}).Encoded))
	f.Add([]byte(state.Encode(acceptJob(state.JobSpec{ID: "j", Steps: []state.StepSpec{{Count: 1}}})).Encoded))
	f.Add([]byte{0x9f, 0xff, 0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := state.Decode(data)
		if err != nil {
			return
		}
		if again, err := state.Decode(state.Encode(command.Command).Encoded); err != nil {
			t.Errorf("%x is decoded, but not again after encoding: %+v, %v", data, again, err)
		}
	})
}
