package replica

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// newTestLog returns a log of count tick commands, none of which is committed. Its tail does
// not contain the first withoutTail of them.
func newTestLog(t *testing.T, count, withoutTail uint64) *replicatedLog {
	t.Helper()
	store, err := state.Load(nil)
	if err != nil {
		t.Fatal(err)
	}
	log := &replicatedLog{}
	log.reset(store)
	for index := uint64(1); index <= count; index++ {
		cmd := state.Command{Kind: state.KindTick, LogPosition: at(index), Time: time.Duration(index)}
		log.append(state.Encode(cmd))
		if index == withoutTail {
			log.reset(log.store)
		}
	}
	return log
}

// TestFeedPublishesCommittedCommands advances the commit index with one subscriber whose position
// is within the log's tail and one before it, which needs the whole state.
func TestFeedPublishesCommittedCommands(t *testing.T) {
	log := newTestLog(t, 8, 3)
	feed := feedPublisher{}
	feed.clear()
	feed.subscribers["behind"] = subscriber{position: at(1), expiresAt: time.Second}
	feed.subscribers["near"] = subscriber{position: at(4), expiresAt: 2 * time.Second}
	for _, row := range []struct {
		commit             uint64
		behind, near       uint64 // positions after the update; 0 if none is sent
		commands, ofBehind int    // numbers of commands in the updates
	}{
		{0, 0, 0, 0, 0},
		{6, 0, 6, 2, 0},
		{6, 0, 0, 0, 0},
		{8, 8, 8, 2, 0},
	} {
		log.commitIndex = row.commit
		var out machine.Output
		feed.publish(1, log, &out)
		got := map[string]wire.FeedUpdate{}
		for _, message := range out.Messages {
			got[message.To] = message.Body.(wire.FeedUpdate)
		}
		near, behind := got["near"], got["behind"]
		if near.Position.Index != row.near || len(near.Commands) != row.commands {
			t.Errorf("commit %d: near at %d with %d commands", row.commit, near.Position.Index, len(near.Commands))
		}
		if behind.Position.Index != row.behind || len(behind.Commands) != row.ofBehind {
			t.Errorf("commit %d: behind at %d with %d commands", row.commit, behind.Position.Index, len(behind.Commands))
		}
		if row.behind > 0 && len(behind.Records) == 0 {
			t.Errorf("commit %d: the update lacks the state's records", row.commit)
		}
	}
	feed.expire(time.Second + 1)
	if got := feed.addresses(); len(got) != 1 || got[0] != "near" {
		t.Errorf("subscribed after a second: %v", got)
	}
}

// TestLogRewind rewinds to positions within the log's tail and outside it.
func TestLogRewind(t *testing.T) {
	for _, row := range []struct {
		to      uint64
		dropped int
		ok      bool
	}{{8, 0, true}, {5, 3, true}, {3, 5, true}, {2, 0, false}, {9, 0, false}} {
		log := newTestLog(t, 8, 3)
		log.syncedIndex = 6
		dropped, ok := log.rewind(at(row.to))
		if ok != row.ok || dropped != row.dropped {
			t.Errorf("rewind to %d: dropped %d, ok %v", row.to, dropped, ok)
		}
		want, synced := at(8), uint64(6)
		if row.ok {
			want, synced = at(row.to), min(6, row.to)
		}
		if log.position() != want || log.syncedIndex != synced {
			t.Errorf("rewind to %d: at %v, synced %d", row.to, log.position(), log.syncedIndex)
		}
	}
}
