package transport

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"sorrelloom/core/goldentest"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// recordings are the frames of every kind of message as commit 40d3d2c encoded them. During a
// rolling upgrade, processes of that release run together with later ones, so the files must
// not change. Each frame has a JSON file that describes its content.
const recordings = "testdata/40d3d2c"

// sender is the address in the recorded headers.
const sender = "127.0.0.1:7000"

// bodyTypes maps each kind of message to its body type. No release has sent found-view.
var bodyTypes = map[string]any{
	wire.KindShuffle:         wire.Gossip{},
	wire.KindShuffleReply:    wire.Gossip{},
	wire.KindNodeList:        wire.Gossip{},
	wire.KindBootstrapProbe:  wire.BootstrapStatus{},
	wire.KindBootstrapReply:  wire.BootstrapStatus{},
	wire.KindBootstrapView:   wire.BootstrapStatus{},
	wire.KindPrepare:         wire.PaxosMessage{},
	wire.KindPrepareReply:    wire.PaxosMessage{},
	wire.KindAccept:          wire.PaxosMessage{},
	wire.KindAcceptReply:     wire.PaxosMessage{},
	wire.KindDecided:         wire.PaxosMessage{},
	wire.KindReplicate:       wire.ReplicateRequest{},
	wire.KindReplicateAck:    wire.ReplicateAck{},
	wire.KindSnapshotChunk:   wire.SnapshotChunk{},
	wire.KindSnapshotRequest: wire.SnapshotRequest{},
	wire.KindCommand:         wire.CommandRequest{},
	wire.KindCommandReply:    wire.CommandReply{},
	wire.KindSubscribe:       wire.SubscribeRequest{},
	wire.KindFeedUpdate:      wire.FeedUpdate{},
	wire.KindHeartbeat:       wire.HeartbeatRequest{},
	wire.KindHeartbeatReply:  wire.HeartbeatReply{},
}

// copyFieldsOf copies the fields of a command that its kind uses.
var copyFieldsOf = map[state.CommandKind]func(to *state.Command, from state.Command){
	state.KindAcceptJob:          func(to *state.Command, from state.Command) { to.Job = from.Job },
	state.KindHeartbeat:          func(to *state.Command, from state.Command) { to.Heartbeat = from.Heartbeat },
	state.KindGrantLeases:        func(to *state.Command, from state.Command) { to.Grant = from.Grant },
	state.KindPreempt:            func(to *state.Command, from state.Command) { to.Grant = from.Grant },
	state.KindChangeConfig:       func(to *state.Command, from state.Command) { to.ConfigChange = from.ConfigChange },
	state.KindSchedulerHeartbeat: copySchedulerFields,
	state.KindTransferLeadership: copySchedulerFields,
	state.KindTakeLeadership:     copySchedulerFields,
	state.KindRenewWorkers:       func(to *state.Command, from state.Command) { to.Renewals = from.Renewals },
	state.KindCancelJob:          copyNoFields,
	state.KindSetZoneDrained:     copyNoFields,
	state.KindDrainWorker:        copyNoFields,
	state.KindConfirmWorkerDead:  copyNoFields,
	state.KindTick:               copyNoFields,
	state.KindReadJob:            copyNoFields,
	state.KindReadWaitingCount:   copyNoFields,
	state.KindReadConfig:         copyNoFields,
	state.KindReadRequest:        copyNoFields,
	state.KindConfirmLeadership:  copyNoFields,
}

func copySchedulerFields(to *state.Command, from state.Command) {
	to.SchedulerHeartbeat = from.SchedulerHeartbeat
}

func copyNoFields(*state.Command, state.Command) {}

// message is a message to be recorded; name is the name of its files.
type message struct {
	name string
	kind string
	body any
}

// messages returns each kind of message with all fields set and with none, and the variants
// that contain other encodings.
func messages(t *testing.T) []message {
	t.Helper()
	var all []message
	for kind, body := range bodyTypes {
		all = append(all, message{kind, kind, goldentest.Filled(t, body)}, message{kind + "-empty", kind, body})
	}
	for kind := range copyFieldsOf {
		body := goldentest.Filled(t, wire.CommandRequest{}).(wire.CommandRequest)
		body.Command = commandOf(t, kind)
		all = append(all, message{"command-" + string(kind), wire.KindCommand, body})
	}
	return append(all, nestedMessages(t)...)
}

// commandOf returns a command with all fields set that its kind uses.
func commandOf(t *testing.T, kind state.CommandKind) state.Command {
	t.Helper()
	filled := goldentest.Filled(t, state.Command{}).(state.Command)
	cmd := filled
	cmd.Kind = kind
	cmd.Job, cmd.Heartbeat, cmd.Renewals = state.JobSpec{}, state.Heartbeat{}, nil
	cmd.Grant, cmd.ConfigChange, cmd.SchedulerHeartbeat = state.Grant{}, state.ConfigChange{}, state.SchedulerHeartbeat{}
	copyFieldsOf[kind](&cmd, filled)
	return cmd
}

// nestedMessages returns the messages that contain encoded commands and records.
func nestedMessages(t *testing.T) []message {
	t.Helper()
	whole := state.Encode(goldentest.Filled(t, state.Command{}).(state.Command)).Encoded
	commands := []json.RawMessage{whole, state.Encode(commandOf(t, state.KindTick)).Encoded}
	replicate := goldentest.Filled(t, wire.ReplicateRequest{}).(wire.ReplicateRequest)
	replicate.Commands = commands
	update := goldentest.Filled(t, wire.FeedUpdate{}).(wire.FeedUpdate)
	committed, records, rejected := update, update, update
	committed.Commands, committed.Records, committed.Rejected, committed.Relayed = commands, nil, false, false
	records.Commands, records.Rejected, records.Relayed = nil, false, false
	rejected.Commands, rejected.Records, rejected.Relayed = nil, nil, false
	relayed := committed
	relayed.Relayed = true
	snapshot := goldentest.Filled(t, wire.SnapshotChunk{}).(wire.SnapshotChunk)
	snapshot.Records = machine.MustJSON(update.Records)
	return []message{
		{"replicate-commands", wire.KindReplicate, replicate},
		{"news-commands", wire.KindFeedUpdate, committed},
		{"news-relayed", wire.KindFeedUpdate, relayed},
		{"news-records", wire.KindFeedUpdate, records},
		{"news-bounced", wire.KindFeedUpdate, rejected},
		{"snapshot-records", wire.KindSnapshotChunk, snapshot},
	}
}

// encode returns the frame of a message, encoded as a host does it.
func encode(t *testing.T, kind string, body any) []byte {
	t.Helper()
	send := machine.OutgoingMessage{Kind: kind, Body: body}
	data, err := send.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return frameOf(t, machine.Message{
		Version: machine.ProtocolVersion, Kind: kind, From: sender, CoalescingKey: send.CoalescingKey(), Body: data,
	})
}

// TestMessagesAreEncodedAsRecorded decodes each recording, compares it with the recorded
// message, and encodes it again to the same bytes.
func TestMessagesAreEncodedAsRecorded(t *testing.T) {
	for _, m := range messages(t) {
		t.Run(m.name, func(t *testing.T) {
			path := filepath.Join(recordings, m.name+".frame")
			frame := goldentest.File(t, path, encode(t, m.kind, m.body))
			message, err := ReadFrame(bytes.NewReader(frame))
			if err != nil {
				t.Fatal(err)
			}
			if message.Kind != m.kind || message.From != sender || message.Version != machine.ProtocolVersion {
				t.Errorf("version %d, kind %s, sender %s", message.Version, message.Kind, message.From)
			}
			checkBody(t, message, m.body)
			content := goldentest.Indented(t, describe(t, message))
			goldentest.File(t, filepath.Join(recordings, m.name+".json"), content)
		})
	}
}

// checkBody decodes a recorded body with the production decoder and encodes it again.
func checkBody(t *testing.T, message machine.Message, want any) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := machine.Unmarshal(message.Body, got.Interface()); err != nil {
		t.Fatal(err)
	}
	body := got.Elem().Interface()
	if !reflect.DeepEqual(body, want) {
		t.Errorf("the recording is decoded as\n%+v\nwant\n%+v", body, want)
	}
	if key := (machine.OutgoingMessage{Body: body}).CoalescingKey(); key != message.CoalescingKey {
		t.Errorf("coalescing key %q, recorded %q", key, message.CoalescingKey)
	}
	if again := machine.MustMarshal(body); !bytes.Equal(again, message.Body) {
		t.Errorf("encoded again as\n%x\nrecorded as\n%x", again, message.Body)
	}
}

// describe returns a message's content under its encoded field names.
func describe(t *testing.T, message machine.Message) map[string]any {
	t.Helper()
	var body map[string]any
	if err := machine.Unmarshal(message.Body, &body); err != nil {
		t.Fatal(err)
	}
	return map[string]any{
		"version": message.Version, "kind": message.Kind, "from": message.From, "key": message.CoalescingKey,
		"body": toJSONValue(body),
	}
}

// toJSONValue converts a decoded value into one that JSON can represent. Bytes that contain
// another encoding are decoded.
func toJSONValue(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			v[key] = toJSONValue(value)
		}
	case map[any]any:
		out := map[string]any{}
		for key, value := range v {
			out[fmt.Sprint(key)] = toJSONValue(value)
		}
		return out
	case []any:
		for i, value := range v {
			v[i] = toJSONValue(value)
		}
	case []byte:
		return bytesToJSONValue(v)
	}
	return v
}

func bytesToJSONValue(data []byte) any {
	if json.Valid(data) {
		return map[string]any{"bytes of JSON": json.RawMessage(data)}
	}
	var nested map[string]any
	if machine.Unmarshal(data, &nested) == nil {
		return map[string]any{"bytes of CBOR": toJSONValue(nested)}
	}
	return map[string]any{"bytes": data}
}

// TestEveryKindIsRecorded reads the kinds from the source code, so that it fails for a new
// kind without a recording.
func TestEveryKindIsRecorded(t *testing.T) {
	recorded := map[string]bool{}
	for _, m := range messages(t) {
		recorded[m.name] = true
	}
	// All string constants of core/wire are kinds, except the roles of nodes.
	roles := constants(t, "../../core/wire", "Role")
	kinds := slices.DeleteFunc(constants(t, "../../core/wire", ""), func(value string) bool {
		return slices.Contains(roles, value)
	})
	if len(kinds) != len(bodyTypes) {
		t.Errorf("%d kinds of messages in the source, %d recorded", len(kinds), len(bodyTypes))
	}
	for _, kind := range kinds {
		if !recorded[kind] {
			t.Errorf("messages of kind %s are not recorded", kind)
		}
	}
	kinds = constants(t, "../../core/state", "Kind")
	if len(kinds) != len(copyFieldsOf) {
		t.Errorf("%d kinds of commands in the source, %d recorded", len(kinds), len(copyFieldsOf))
	}
	for _, kind := range kinds {
		if !recorded["command-"+kind] {
			t.Errorf("commands of kind %s are not recorded", kind)
		}
	}
}

// TestEveryRecordingIsRead fails if a recording belongs to no message.
func TestEveryRecordingIsRead(t *testing.T) {
	names := map[string]bool{}
	for _, m := range messages(t) {
		names[m.name+".frame"], names[m.name+".json"] = true, true
	}
	goldentest.CheckNoExtraFiles(t, recordings, names)
}

// constants returns the values of a package's string constants whose names have the prefix.
func constants(t *testing.T, dir, prefix string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, 0)
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, constantsOf(file, prefix)...)
	}
	return values
}

func constantsOf(file *ast.File, prefix string) (values []string) {
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			values = append(values, stringValues(spec.(*ast.ValueSpec), prefix)...)
		}
	}
	return values
}

func stringValues(spec *ast.ValueSpec, prefix string) (values []string) {
	for i, value := range spec.Values {
		literal, ok := value.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING || !strings.HasPrefix(spec.Names[i].Name, prefix) {
			continue
		}
		if text, err := strconv.Unquote(literal.Value); err == nil {
			values = append(values, text)
		}
	}
	return values
}
