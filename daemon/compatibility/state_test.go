// The whole state of a replica that starts from a data folder, in encoded names only.

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

// ownBucket holds a replica's own records.
const ownBucket = "keeper"

// replicaState is what a replica knows of itself after a start. Each field is seen by
// what the replica does, not by what the disk has.
type replicaState struct {
	Identity string          `json:"identity"`
	Register json.RawMessage `json:"register"`
	Stands   bool            `json:"stands"`
	Founders []string        `json:"founders"`
}

// opened is a data folder as a replica that starts finds it.
type opened struct {
	stored  machine.StoredState
	replica *replica.Replica
}

// open starts a replica from a copy of a data folder.
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
	k, err := replica.New(replica.Config{NewID: "fresh", BootID: 1, BackupCount: 1}, stored)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// state asks replicas that start from the stored records for all they know.
func (o opened) state(t *testing.T) replicaState {
	t.Helper()
	return replicaState{
		Identity: o.replica.ID(), Register: acceptorOf(t, start(t, o.stored)), Stands: isCandidate(t, start(t, o.stored)),
		Founders: founders(t, o.stored),
	}
}

// drive steps a replica with an input and has its writes done. It gives all output.
func drive(k *replica.Replica, now time.Duration, in machine.Input) machine.Output {
	out := k.Step(now, in)
	for i := 0; i < len(out.Writes); i++ {
		more := k.Step(now, machine.Input{CompletedWrite: out.Writes[i].ID})
		out.Writes, out.Messages = append(out.Writes, more.Writes...), append(out.Messages, more.Messages...)
	}
	return out
}

func lineOf(kind string, body any) machine.Input {
	return machine.Input{Message: machine.Message{
		Version: machine.ProtocolVersion, Kind: kind, From: "a", Body: machine.MustMarshal(body),
	}}
}

// acceptorOf asks for a vote that is not given, after which the replica writes its
// register as it is.
func acceptorOf(t *testing.T, k *replica.Replica) json.RawMessage {
	t.Helper()
	out := drive(k, stride, lineOf(wire.KindPrepare, wire.PaxosMessage{To: k.ID(), From: wire.Member{ID: "asker"}}))
	for _, w := range out.Writes {
		for _, r := range w.Records {
			if r.Bucket == ownBucket && r.Key == "register" {
				return r.Value
			}
		}
	}
	t.Fatal("the replica wrote no acceptor")
	return nil
}

// isCandidate says whether the replica acknowledges a message with the word that it wants to
// lead the next view.
func isCandidate(t *testing.T, k *replica.Replica) bool {
	t.Helper()
	view := k.View()
	out := drive(k, stride, lineOf(wire.KindReplicate, wire.ReplicateRequest{
		BootID: view.BootID, View: view, From: view.Primary, SendID: 1, Previous: k.Store().Position(),
	}))
	for _, s := range out.Messages {
		if ack, ok := s.Body.(wire.ReplicateAck); ok {
			return ack.Candidate
		}
	}
	return false
}

// founders gives the addresses that a replica asks for a view as long as it knows none.
func founders(t *testing.T, stored machine.StoredState) []string {
	t.Helper()
	var own []machine.Record
	for _, r := range stored.Records {
		if r.Bucket == ownBucket && r.Key != "register" && r.Key != "stands" {
			own = append(own, r)
		}
	}
	k := start(t, machine.StoredState{Records: own})
	asked := []string{}
	for now := stride; now < 5*time.Second; now += 100 * stride {
		for _, s := range drive(k, now, machine.Input{}).Messages {
			if s.Kind == wire.KindBootstrapProbe && !slices.Contains(asked, s.To) {
				asked = append(asked, s.To)
			}
		}
	}
	slices.Sort(asked)
	return asked
}

// canonical encodes a value with sorted names, so that only names and values matter.
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
