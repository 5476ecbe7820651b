package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// bodies has an empty body of each type that processes send one another.
var bodies = []any{
	Gossip{}, BootstrapStatus{}, PaxosMessage{}, ReplicateRequest{}, ReplicateAck{}, SnapshotChunk{},
	SnapshotRequest{}, CommandRequest{},
	CommandReply{}, SubscribeRequest{}, FeedUpdate{}, HeartbeatRequest{}, HeartbeatReply{},
}

// TestMessageBodyRoundTrip encodes and decodes each body, once empty and once with every
// field of every nested value set.
func TestMessageBodyRoundTrip(t *testing.T) {
	for _, body := range bodies {
		kind := reflect.TypeOf(body)
		full := reflect.New(kind).Elem()
		fill(t, full)
		for name, want := range map[string]any{"empty": body, "full": full.Interface()} {
			got := reflect.New(kind)
			data, err := machine.Marshal(want)
			if err != nil {
				t.Errorf("%s %s: %v", name, kind, err)
				continue
			}
			if err := machine.Unmarshal(data, got.Interface()); err != nil {
				t.Errorf("%s %s: %v", name, kind, err)
				continue
			}
			if !reflect.DeepEqual(got.Elem().Interface(), want) {
				t.Errorf("%s %s decodes as\n%+v, want\n%+v", name, kind, got.Elem().Interface(), want)
			}
		}
	}
}

func TestUnknownFieldIsIgnored(t *testing.T) {
	data := machine.MustMarshal(struct {
		ID    uint64    `json:"id"`
		Later []float64 `json:"later"`
	}{7, []float64{0.5, 1}})
	var got HeartbeatRequest
	if err := machine.Unmarshal(data, &got); err != nil || got.ID != 7 {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestTruncatedBodyIsRejected(t *testing.T) {
	data := machine.MustMarshal(HeartbeatRequest{ID: 7, Heartbeat: state.Heartbeat{Worker: "w"}})
	for length := range data {
		var got HeartbeatRequest
		if err := machine.Unmarshal(data[:length], &got); err == nil {
			t.Errorf("%d of %d bytes decode as %+v", length, len(data), got)
		}
	}
}

// TestSnapshotAboveDefaultElementLimit decodes a snapshot with more records than the CBOR
// library allows by default.
func TestSnapshotAboveDefaultElementLimit(t *testing.T) {
	const records = 200_000
	var got FeedUpdate
	data := machine.MustMarshal(FeedUpdate{Records: make([]machine.Record, records)})
	if err := machine.Unmarshal(data, &got); err != nil || len(got.Records) != records {
		t.Errorf("decoded %d records, %v", len(got.Records), err)
	}
}

// fill sets every encoded field to something other than its zero value.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch value := v.Addr().Interface().(type) {
	case *time.Time:
		*value = time.Date(2031, 2, 3, 4, 5, 6, 7, time.UTC)
		return
	case *json.RawMessage:
		*value = json.RawMessage(`{"a":[1,"b"]}`)
		return
	case *config.Duration:
		value.Duration = 90 * time.Second
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("text é")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(-70000)
	case reflect.Uint64:
		v.SetUint(1<<63 + 1)
	case reflect.Float64:
		v.SetFloat(0.1)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("key"), value)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Tag.Get("json") != "-" {
				fill(t, v.Field(i))
			}
		}
	default:
		t.Fatalf("the test cannot fill an encoded field of type %s", v.Type())
	}
}

type codec struct {
	name      string
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

// BenchmarkEncoding compares the encoding in use with JSON.
func BenchmarkEncoding(b *testing.B) {
	for _, row := range []struct {
		name string
		body any
	}{
		{"Beat16", HeartbeatRequest{ID: 1 << 50, MaxWait: 500 * time.Millisecond, Heartbeat: heartbeatOf(16)}},
		{"Replicate20", ReplicateRequest{
			BootID: 1 << 60, View: viewOf(5), From: viewOf(5).Primary, SendID: 12345,
			Previous: state.LogPosition{Epoch: 3, Index: 123456}, Commands: commandsOf(20),
		}},
		{"CommandAccept", CommandRequest{ID: 1 << 50, Command: acceptCommand(1)}},
	} {
		for _, codec := range []codec{{"JSON", json.Marshal, json.Unmarshal}, {"InUse", machine.Marshal, machine.Unmarshal}} {
			data, err := codec.marshal(row.body)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(row.name+"/"+codec.name+"/Marshal", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					codec.marshal(row.body)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
			b.Run(row.name+"/"+codec.name+"/Unmarshal", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := codec.unmarshal(data, reflect.New(reflect.TypeOf(row.body)).Interface()); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func attempt(i int) state.Attempt {
	return state.Attempt{Job: fmt.Sprintf("job-%06d", i), Task: fmt.Sprintf("0.1.%d", i), Number: 1}
}

func heartbeatOf(running int) state.Heartbeat {
	heartbeat := state.Heartbeat{
		Worker: "worker-017", Incarnation: 1764650000000, Number: 4711, Zone: "site-b", Rack: "r3", Service: "render",
		Free: config.Resources{Slots: 1000, MemoryMB: 4096}, Total: config.Resources{Slots: 16000, MemoryMB: 65536},
		Address: "10.0.0.17:7000",
	}
	for i := range running {
		heartbeat.Running = append(heartbeat.Running, attempt(i))
	}
	return heartbeat
}

func viewOf(replicas int) View {
	view := View{Epoch: 3, BootID: 1 << 60}
	for i := range replicas {
		member := Member{ID: fmt.Sprintf("%016x", i), Address: fmt.Sprintf("10.0.1.%d:7000", i), Zone: "site-a"}
		view.Voters = append(view.Voters, member)
	}
	view.Primary, view.Backups = view.Voters[0], view.Voters[1:3]
	return view
}

func acceptCommand(i int) state.Command {
	return state.Command{
		LogPosition: state.LogPosition{Epoch: 3, Index: uint64(i)}, Time: time.Duration(i) * time.Second,
		Kind: state.KindAcceptJob, Summary: true,
		Job: state.JobSpec{
			ID: fmt.Sprintf("job-%06d", i), Service: "render", Class: "batch",
			Payload: json.RawMessage(`{"frame":17,"scene":"harbour"}`),
			Steps:   []state.StepSpec{{Count: 8, Resources: config.Resources{Slots: 1000, MemoryMB: 512}}},
		},
	}
}

// commandsOf returns a mix of the commands that a busy leader replicates: accepted jobs,
// grants and heartbeats.
func commandsOf(count int) []json.RawMessage {
	var commands []json.RawMessage
	for i := range count {
		switch command := acceptCommand(i); i % 3 {
		case 0:
			commands = append(commands, state.Encode(command).Encoded)
		case 1:
			command.Kind, command.Job = state.KindGrantLeases, state.JobSpec{}
			assignment := state.Assignment{Job: "job-000001", Task: "0.1.1", Worker: "worker-017"}
			command.Grant = state.Grant{Leadership: "site-a", Epoch: 3, Assignments: []state.Assignment{assignment}}
			commands = append(commands, state.Encode(command).Encoded)
		default:
			command.Kind, command.Job, command.Heartbeat = state.KindHeartbeat, state.JobSpec{}, heartbeatOf(4)
			commands = append(commands, state.Encode(command).Encoded)
		}
	}
	return commands
}
