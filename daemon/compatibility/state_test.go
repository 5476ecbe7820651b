// This file reads the complete state of a replica that starts from a data directory, under
// its encoded field names.

package compatibility

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/storage"
)

// replicaBucket is the bucket of a replica's own records.
const replicaBucket = "keeper"

// replicaState is what a replica has restored about itself after a start. Each field is
// derived from the replica's behavior, not from the records on disk.
type replicaState struct {
	Identity  string          `json:"identity"`
	Acceptor  json.RawMessage `json:"register"`
	Candidate bool            `json:"stands"`
	Founders  []string        `json:"founders"`
}

// opened is a data directory and a replica that has started from it.
type opened struct {
	stored  machine.StoredState
	replica *replica.Replica
}

// open starts a replica from a copy of a data directory.
func open(t *testing.T, folder string) opened {
	t.Helper()
	scratch := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(scratch, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	data, stored, err := storage.Open(scratch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = data.Close() })
	return opened{stored, start(t, stored)}
}

func start(t *testing.T, stored machine.StoredState) *replica.Replica {
	t.Helper()
	created, err := replica.New(replica.Config{NewID: "fresh", BootID: 1, BackupCount: 1}, stored)
	if err != nil {
		t.Fatal(err)
	}
	return created
}

// state starts replicas from the stored records and observes what they have restored.
func (o opened) state(t *testing.T) replicaState {
	t.Helper()
	return replicaState{
		Identity: o.replica.ID(), Acceptor: acceptorOf(t, start(t, o.stored)), Candidate: isCandidate(t, start(t, o.stored)),
		Founders: founders(t, o.stored),
	}
}

// stepAndWrite steps a replica with an input and completes its writes. It returns all
// outputs.
func stepAndWrite(k *replica.Replica, now time.Duration, in machine.Input) machine.Output {
	out := k.Step(now, in)
	for i := 0; i < len(out.Writes); i++ {
		more := k.Step(now, machine.Input{CompletedWrite: out.Writes[i].ID})
		out.Writes, out.Messages = append(out.Writes, more.Writes...), append(out.Messages, more.Messages...)
	}
	return out
}

func inputOf(kind string, body any) machine.Input {
	return machine.Input{Message: machine.Message{
		Version: machine.ProtocolVersion, Kind: kind, From: "a", Body: machine.MustMarshal(body),
	}}
}

// acceptorOf sends a prepare message that the replica must reject, whereupon it writes its
// unchanged acceptor, and returns that record.
func acceptorOf(t *testing.T, k *replica.Replica) json.RawMessage {
	t.Helper()
	out := stepAndWrite(k, tick, inputOf(wire.KindPrepare, wire.PaxosMessage{To: k.ID(), From: wire.Member{ID: "asker"}}))
	for _, w := range out.Writes {
		for _, r := range w.Records {
			if r.Bucket == replicaBucket && r.Key == "register" {
				return r.Value
			}
		}
	}
	t.Fatal("the replica did not write its acceptor")
	return nil
}

// isCandidate reports whether the replica declares itself a candidate for the next view in an
// acknowledgement.
func isCandidate(t *testing.T, k *replica.Replica) bool {
	t.Helper()
	view := k.View()
	out := stepAndWrite(k, tick, inputOf(wire.KindReplicate, wire.ReplicateRequest{
		BootID: view.BootID, View: view, From: view.Primary, SendID: 1, Previous: k.Store().Position(),
	}))
	for _, s := range out.Messages {
		if ack, ok := s.Body.(wire.ReplicateAck); ok {
			return ack.Candidate
		}
	}
	return false
}

// founders returns the addresses that a replica probes for a view while it knows none.
func founders(t *testing.T, stored machine.StoredState) []string {
	t.Helper()
	var own []machine.Record
	for _, r := range stored.Records {
		if r.Bucket == replicaBucket && r.Key != "register" && r.Key != "stands" {
			own = append(own, r)
		}
	}
	k := start(t, machine.StoredState{Records: own})
	asked := []string{}
	for now := tick; now < 5*time.Second; now += 100 * tick {
		for _, s := range stepAndWrite(k, now, machine.Input{}).Messages {
			if s.Kind == wire.KindBootstrapProbe && !slices.Contains(asked, s.To) {
				asked = append(asked, s.To)
			}
		}
	}
	slices.Sort(asked)
	return asked
}

// canonical encodes a value as JSON with sorted names, so that the order of fields does not
// matter.
func canonical(t *testing.T, v any) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(machine.MustJSON(v)))
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(generic); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}
