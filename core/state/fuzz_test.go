package state_test

import (
	"encoding/json"
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// FuzzValidateJob judges jobs of any form, and accepts those that are valid. A cycle among
// the tasks is always rejected, also beside a list of steps that is there and empty.
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
			t.Errorf("%s is valid and not accepted", data)
		}
	})
}

// FuzzDecodeCommand decodes encoded commands of any content.
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
			t.Errorf("%x is read as %+v, and that not again: %v", data, again, err)
		}
	})
}
