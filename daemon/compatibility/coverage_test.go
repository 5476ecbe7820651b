// These tests check that the fixtures cover every kind of command, every table and every
// field.

package compatibility

import (
	"encoding"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
)

// commandKinds are the encoded names of all kinds of commands that change the state.
var commandKinds = []string{
	"accept", "beat", "cancel", "drain", "gone", "grant", "hello", "move", "plan", "push-out", "renew", "site", "take",
	"tick",
}

// unsetFields lists the fields that no fixture can have, or that none of these commits has,
// with the reason.
var unsetFields = map[string]string{
	"job.tasks":                 "tasks are separate records",
	"worker.running":            "running attempts are stored as leases",
	"worker.ended":              "ended attempts are stored in the tasks",
	"worker.progress":           "checkpoints are stored in the tasks",
	"worker.reduced":            "a delta is merged into the full heartbeat before it is stored",
	"worker.unconfirmed":        "only set in a heartbeat on its way to the primary",
	"worker.awaitingGang":       "only set in a heartbeat on its way to the primary",
	"worker.lastReply":          "only set in a heartbeat on its way to the primary",
	"command.beat.lastReply":    "the primary removes it",
	"command.beat.awaitingGang": "the primary removes it",
	"worker.unlisted":           "tasks that the worker does not run are returned",
	"request.answer.retryAfter": "a temporary rejection is not stored",
	"request.answer.orders":     "only heartbeats are answered with orders, and they have no idempotency key",
	"request.answer.job":        "only set in the results of job commands, which have no idempotency key",
	"request.answer.count":      "only set in the results of reads",
	"request.answer.plan":       "only set in the results of reads",
	"request.answer.time":       "only set when leadership is confirmed",
	"request.answer.proven":     "only set when leadership is confirmed",
}

// addedAfter lists the fields that were added after the commit of a fixture.
var addedAfter = map[string][]string{
	"40d3d2c": {
		"command.servingSince", "command.keyDigest", "command.beat.unconfirmed", "command.beat.callNumber",
		"worker.callNumber", "job.tenant", "past.tenant", "worker.strayByTenant",
		"meta/plan.services.classes.requiresKey", "meta/plan.tenants",
	},
	"f9b545f": {"command.beat.unconfirmed", "command.beat.callNumber", "worker.callNumber"},
}

// TestEveryKindIsLogged checks that each kind is in the log before the snapshot and in the
// log after it, which is replayed at the start.
func TestEveryKindIsLogged(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		for address, o := range openAll(t, folder, backups) {
			logs := map[string][]json.RawMessage{"before": o.stored.CommandsBeforeSnapshot, "after": o.stored.Commands}
			for what, commands := range logs {
				if got := kindsOf(t, commands); !slices.Equal(got, commandKinds) {
					t.Errorf("%s: the log %s the snapshot has the kinds %v, want %v", address, what, got, commandKinds)
				}
			}
		}
	})
}

func kindsOf(t *testing.T, commands []json.RawMessage) []string {
	t.Helper()
	var out []string
	for _, v := range commandsOf(t, commands) {
		out = append(out, v.(map[string]any)["kind"].(string))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestKindsChangeState checks that each kind is a known command that is not read-only.
func TestKindsChangeState(t *testing.T) {
	for _, kind := range commandKinds {
		a := state.New().Apply(state.Command{Kind: state.CommandKind(kind)})
		if state.IsReadOnly(state.CommandKind(kind)) || strings.HasPrefix(a.Reason, "unknown command") {
			t.Errorf("%s is unknown or read-only: %v", kind, a)
		}
	}
}

// commandsOf decodes commands into generic values.
func commandsOf(t *testing.T, commands []json.RawMessage) []any {
	t.Helper()
	var out []any
	for _, encoded := range commands {
		var v any
		if err := machine.Unmarshal(encoded, &v); err != nil {
			t.Fatal(err)
		}
		out = append(out, toJSONValue(v))
	}
	return out
}

// toJSONValue converts all maps in a decoded value into the form that encoding/json uses.
func toJSONValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for key, value := range v {
			out[fmt.Sprint(key)] = toJSONValue(value)
		}
		return out
	case []any:
		for i := range v {
			v[i] = toJSONValue(v[i])
		}
	}
	return v
}

// TestEveryFieldIsStored checks that each encoded field of each stored type has a value in
// the fixture, so that no change of a field's name goes unnoticed.
func TestEveryFieldIsStored(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		o := openAll(t, folder, backups)
		var commands []any
		for _, one := range o {
			commands = append(commands, commandsOf(t, slices.Concat(one.stored.CommandsBeforeSnapshot, one.stored.Commands))...)
		}
		missing := missingFields(reflect.TypeFor[state.Command](), commands, "command")
		tables := tablesOf(t, readGolden(t, filepath.Join(folder, stateFile)))
		for name, stored := range map[string]reflect.Type{
			"job": reflect.TypeFor[state.Job](), "task": reflect.TypeFor[state.Task](),
			"worker": reflect.TypeFor[state.Worker](), "duty": reflect.TypeFor[state.Leadership](),
			"daemon": reflect.TypeFor[state.Scheduler](), "request": reflect.TypeFor[state.Request](),
			"past": reflect.TypeFor[state.PastJob](), "meta/plan": reflect.TypeFor[config.Config](),
		} {
			missing = append(missing, missingFields(stored, tables[name], name)...)
		}
		registers := acceptorsOf(t, folder)
		missing = append(missing, missingFields(reflect.TypeFor[paxos.Acceptor](), registers, "register")...)
		missing = append(missing, missingFields(reflect.TypeFor[state.AuditEntry](), entriesOf(t, folder), "entry")...)
		added := addedAfter[filepath.Base(filepath.Dir(folder))]
		for _, path := range added {
			if !slices.Contains(missing, path) {
				t.Errorf("%s is in the fixture, although it was added later", path)
			}
		}
		for _, path := range missing {
			if _, known := unsetFields[path]; !known && !slices.Contains(added, path) {
				t.Errorf("%s has no value in the fixture", path)
			}
		}
		for path, why := range unsetFields {
			if !slices.Contains(missing, path) {
				t.Errorf("%s is in the fixture, although it should not be: %s", path, why)
			}
		}
	})
}

// TestEveryTableIsFilled checks that each table of the state has records, and that the
// state's metadata is complete.
func TestEveryTableIsFilled(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, _ int) {
		tables := tablesOf(t, readGolden(t, filepath.Join(folder, stateFile)))
		for _, table := range []string{
			"daemon", "duty", "job", "meta/plan", "meta/position", "past", "request", "site", "task", "worker",
		} {
			if len(tables[table]) == 0 {
				t.Errorf("the table %s is empty", table)
			}
		}
		meta := tables["meta/position"][0].(map[string]any)
		for _, field := range []string{"at", "decision", "horizon", "next", "orders", "position"} {
			if meta[field] == nil {
				t.Errorf("the metadata has no %s", field)
			}
		}
	})
}

// TestCandidateVotesAndFoundersAreStored checks that the fixture has a replica that is a
// candidate for the next view, a replica that has voted for it, and replicas with and without
// founders.
func TestCandidateVotesAndFoundersAreStored(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, _ int) {
		var states map[string]struct {
			Register struct {
				Known, Value       struct{ Epoch uint64 }
				Promised, Accepted struct{ Round uint64 }
			}
			Stands   bool
			Founders []string
		}
		if err := json.Unmarshal(readGolden(t, filepath.Join(folder, replicasFile)), &states); err != nil {
			t.Fatal(err)
		}
		candidates, voted := 0, 0
		for address, s := range states {
			r := s.Register
			if r.Promised.Round > 0 && r.Accepted.Round > 0 && r.Value.Epoch == r.Known.Epoch+1 {
				voted++
			}
			if s.Stands {
				candidates++
			}
			if founder := address <= "c"; founder != slices.Equal(s.Founders, []string{"a", "b", "c"}) {
				t.Errorf("%s has the founders %v", address, s.Founders)
			}
		}
		if candidates == 0 || voted == 0 {
			t.Errorf("%d replicas are candidates, %d have voted", candidates, voted)
		}
	})
}

// acceptorsOf returns the Paxos acceptors of all replicas.
func acceptorsOf(t *testing.T, folder string) []any {
	t.Helper()
	var states map[string]map[string]any
	if err := json.Unmarshal(readGolden(t, filepath.Join(folder, replicasFile)), &states); err != nil {
		t.Fatal(err)
	}
	var out []any
	for _, s := range states {
		out = append(out, s["register"])
	}
	return out
}

// entriesOf returns the entries of all audit logs.
func entriesOf(t *testing.T, folder string) []any {
	t.Helper()
	var out []any
	for _, log := range auditLogs(t, folder) {
		for _, line := range auditEntries(t, log) {
			var entry any
			if err := json.Unmarshal(line, &entry); err != nil {
				t.Fatal(err)
			}
			out = append(out, entry)
		}
	}
	return out
}

// tablesOf returns the values of a golden state by table. The two records of "meta" have
// different types and count as separate tables.
func tablesOf(t *testing.T, recorded []byte) map[string][]any {
	t.Helper()
	var records []struct {
		Bucket string `json:"bucket"`
		Key    string `json:"key"`
		Value  any    `json:"value"`
	}
	if err := json.Unmarshal(recorded, &records); err != nil {
		t.Fatal(err)
	}
	out := map[string][]any{}
	for _, r := range records {
		if r.Bucket == "meta" {
			r.Bucket += "/" + r.Key
		}
		out[r.Bucket] = append(out[r.Bucket], r.Value)
	}
	return out
}

// missingFields returns the paths of a type's encoded fields that have no value in any of the
// values.
func missingFields(of reflect.Type, values []any, path string) []string {
	switch {
	case isLeaf(of):
		return nil
	case of.Kind() == reflect.Pointer:
		return missingFields(of.Elem(), values, path)
	case of.Kind() == reflect.Slice, of.Kind() == reflect.Map:
		return missingFields(of.Elem(), elements(values), path)
	case of.Kind() != reflect.Struct:
		return nil
	}
	var out []string
	for field := range fieldsOf(of) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		var inside []any
		for _, v := range values {
			if m, ok := v.(map[string]any); ok && m[name] != nil {
				inside = append(inside, m[name])
			}
		}
		if len(inside) == 0 {
			out = append(out, path+"."+name)
		} else {
			out = append(out, missingFields(field.Type, inside, path+"."+name)...)
		}
	}
	return out
}

// fieldsOf returns the encoded fields of a type, including those of embedded types.
func fieldsOf(of reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for _, f := range reflect.VisibleFields(of) {
			tag := f.Tag.Get("json")
			if f.Anonymous && tag == "" || tag == "-" {
				continue
			}
			if !yield(f) {
				return
			}
		}
	}
}

// isLeaf reports whether a type has its own encoding and thus no fields.
func isLeaf(of reflect.Type) bool {
	text, own := reflect.TypeFor[encoding.TextMarshaler](), reflect.TypeFor[json.Marshaler]()
	return of.Implements(text) || of.Implements(own)
}

// elements returns the elements of all lists and maps among the values.
func elements(values []any) []any {
	var out []any
	for _, v := range values {
		switch v := v.(type) {
		case []any:
			out = append(out, v...)
		case map[string]any:
			for _, value := range v {
				out = append(out, value)
			}
		}
	}
	return out
}
