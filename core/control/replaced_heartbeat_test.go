package control

import (
	"slices"
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// TestReplacedHeartbeatIsAnswered sends a second heartbeat of a worker before the command of
// the first is committed. Both are answered, the first with the result of its command.
func TestReplacedHeartbeatIsAnswered(t *testing.T) {
	n := newNet(t)
	n.configure()
	attempt := n.runTask()
	ended := heartbeatOf(4)
	ended.Ended = []state.AttemptResult{{Attempt: attempt, Succeeded: true}}
	first := n.sendHeartbeat(n.leader(), testReplyWait, ended)
	if _, answered := n.heartbeatReplies[first]; answered {
		t.Fatal("a heartbeat was answered before its command was committed")
	}
	ended.Number++
	second := n.sendHeartbeat(n.leader(), testReplyWait, ended)
	if _, answered := n.heartbeatReplies[first]; answered {
		t.Error("the first was answered before its command was committed")
	}
	n.run(2 * testReplyWait)
	for _, id := range []uint64{first, second} {
		result := n.heartbeatReplies[id].Result
		if result.Code != status.OK || !slices.Contains(result.Heartbeat.Acks, attempt) {
			t.Errorf("heartbeat %d is answered with %+v", id-first, result)
		}
		if result.Heartbeat.LeaseDuration <= 0 {
			t.Errorf("the reply to heartbeat %d contains no lease", id-first)
		}
	}
}
