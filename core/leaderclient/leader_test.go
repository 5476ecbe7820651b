package leaderclient

import (
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// targetStep is one input of a client and the messages that it sends. The input is a request
// with a command, a replica's reply to the last command of a kind, or only the time.
type targetStep struct {
	at     time.Duration
	submit state.CommandKind
	from   string
	kind   state.CommandKind
	reply  wire.CommandReply
	want   string
}

var commandTargets = []struct {
	name  string
	steps []targetStep
}{
	{"a command waits for a confirmed leader, and a silent one is left", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: received, want: "accept>k0"},
		{at: 399 * ms},
		{at: 500 * ms, want: "prove>k0"},
		{at: 811 * ms},
		{at: 912 * ms, want: "prove>k1"},
		{at: 914 * ms, from: "k1", kind: "prove", reply: received, want: "accept>k1"},
		{at: 1500 * ms, want: "prove>k1"},
		{at: 1713 * ms},
		{at: 1814 * ms, want: "prove>k2"},
	}},
	{"a command is not sent again while the leader is alive", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: received, want: "accept>k0"},
		{at: 500 * ms, want: "prove>k0"},
		{at: 501 * ms, from: "k0", kind: "prove", reply: received},
		{at: 1000 * ms, want: "prove>k0"},
		{at: 1001 * ms, from: "k0", kind: "prove", reply: received},
		{at: 1500 * ms, want: "prove>k0"},
		{at: 1501 * ms, from: "k0", kind: "prove", reply: received},
		{at: 2000 * ms, want: "prove>k0"},
	}},
	{"a command is sent again once a later one is answered, with delays that double", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: received, want: "accept>k0"},
		{at: 20 * ms, submit: cancel, want: "cancel>k0"},
		{at: 24 * ms, from: "k0", kind: cancel, reply: success},
		{at: 86 * ms},
		{at: 112 * ms, want: "accept>k0"},
		{at: 120 * ms, submit: cancel, want: "cancel>k0"},
		{at: 124 * ms, from: "k0", kind: cancel, reply: success},
		{at: 261 * ms},
		{at: 312 * ms, want: "accept>k0"},
		{at: 720 * ms, want: "prove>k0"},
		{at: 721 * ms, from: "k0", kind: "prove", reply: success},
		{at: 1120 * ms},
		{at: 1121 * ms, want: "accept>k0"},
	}},
	{"a redirect of a replica with an older view is not followed", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: withReplicas(7, success, "k0", "n1"), want: "accept>k0"},
		{at: 500 * ms, want: "prove>k0"},
		{at: 501 * ms, from: "k0", kind: "prove", reply: withReplicas(6, redirectTo("k2"), "k0", "k2")},
		{at: 620 * ms, want: "prove>n1"},
	}},
	{"a redirect is followed at once", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: redirectTo("k2"), want: "prove>k2"},
		{at: 13 * ms, from: "k0", kind: "prove", reply: redirectTo("k1")},
		{at: 14 * ms, from: "k2", kind: "prove", reply: received, want: "accept>k2"},
		{at: 15 * ms, from: "k2", kind: "accept", reply: success},
		{at: 414 * ms},
		{at: 515 * ms, want: "prove>k2"},
	}},
	{"a redirect loop is delayed, and no command is sent", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 11 * ms, from: "k0", kind: "prove", reply: redirectTo("k1"), want: "prove>k1"},
		{at: 12 * ms, from: "k1", kind: "prove", reply: redirectTo("k0"), want: "prove>k0"},
		{at: 13 * ms, from: "k0", kind: "prove", reply: redirectTo("k1")},
		{at: 52 * ms},
		{at: 93 * ms, want: "prove>k1"},
	}},
	{"after a rejection without a redirect, the next replica is tried after a pause", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: notPrimary},
		{at: 51 * ms},
		{at: 92 * ms, want: "prove>k1"},
	}},
	{"a redirect to a replica that was just left because it was silent is ignored", []targetStep{
		{at: 799 * ms, want: "prove>k0"},
		{at: 900 * ms, want: "prove>k1"},
		{at: 901 * ms, from: "k1", kind: "prove", reply: redirectTo("k0")},
		{at: 940 * ms},
		{at: 981 * ms, want: "prove>k2"},
		{at: 982 * ms, from: "k2", kind: "prove", reply: success},
		{at: 1381 * ms},
		{at: 1482 * ms, want: "prove>k2"},
	}},
	{"replicas named in a reply replace the list, and the bootstrap replicas come after them", []targetStep{
		{at: 5 * ms, from: "k0", kind: "prove", reply: wire.CommandReply{Replicas: []string{"n0", "n1"}}},
		{at: 905 * ms, want: "prove>n0"},
		{at: 1805 * ms, want: "prove>n1"},
		{at: 2705 * ms, want: "prove>k0"},
	}},
	{"the answer to a command postpones the next probe", []targetStep{
		{at: 5 * ms, from: "k0", kind: "prove", reply: success},
		{at: 300 * ms, submit: read, want: "read>k0"},
		{at: 304 * ms, from: "k0", kind: "read", reply: success},
		{at: 505 * ms},
		{at: 703 * ms},
		{at: 804 * ms, want: "prove>k0"},
	}},
	{"after a late answer of a replica that was left, the client returns to it", []targetStep{
		{at: 10 * ms, submit: accept},
		{at: 12 * ms, from: "k0", kind: "prove", reply: received, want: "accept>k0"},
		{at: 912 * ms, want: "prove>k1"},
		{at: 920 * ms, from: "k0", kind: "accept", reply: success},
		{at: 921 * ms, submit: read, want: "read>k0"},
	}},
}

// TestCommandTarget checks where a client that has probed k0 sends its messages after each
// input.
func TestCommandTarget(t *testing.T) {
	for _, test := range commandTargets {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "k0", "k1", "k2")
			h.want("prove>k0")
			for i, step := range test.steps {
				switch {
				case step.submit != "":
					h.submit(step.at, uint64(i+1), step.submit, 10*time.Second)
				case step.from != "":
					h.reply(step.at, step.from, step.kind, step.reply)
				default:
					h.step(step.at, machine.Input{})
				}
				if got := strings.Join(h.sent, " "); got != step.want {
					t.Fatalf("step %d: sent %q, want %q", i, got, step.want)
				}
			}
		})
	}
}
