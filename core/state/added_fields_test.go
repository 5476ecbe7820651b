package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
)

// TestAddedFieldsAreEncoded checks the encoded names of the fields that were added after the
// golden files were recorded, and that they are omitted where they are empty.
func TestAddedFieldsAreEncoded(t *testing.T) {
	checkEncoded(t, []encodedValue{
		{"tick", Command{Kind: KindTick, ServingSince: 7}, `{"epoch":0,"sequence":0,"at":0,"kind":"tick","servingSince":7}`},
		{"tick without", Command{Kind: KindTick}, `{"epoch":0,"sequence":0,"at":0,"kind":"tick"}`},
		{
			"heartbeat", Heartbeat{Worker: "w", Unconfirmed: true}, `{"worker":"w","incarnation":0,"number":0,` +
				`"site":"","service":"","free":{"slots":0},"unconfirmed":true}`,
		},
		{
			"heartbeat with its call", Heartbeat{Worker: "w", CallNumber: 6}, `{"worker":"w","incarnation":0,"number":0,` +
				`"site":"","service":"","free":{"slots":0},"callNumber":6}`,
		},
		{
			"command with a key", Command{Kind: KindReadJob, KeyDigest: "d"},
			`{"epoch":0,"sequence":0,"at":0,"kind":"read","keyDigest":"d"}`,
		},
		{
			"past job", PastJob{Tenant: "t"},
			`{"digest":"","service":"","class":"","tenant":"t","state":"","endedAt":0}`,
		},
		{"past job without", PastJob{}, `{"digest":"","service":"","class":"","state":"","endedAt":0}`},
		{
			"job", Job{Tenant: "t"},
			`{"spec":{"id":"","service":"","class":""},"tenant":"t","state":"","acceptedAt":0}`,
		},
		{
			"metadata", metadata{FormerLimits: map[string]Resources{"t": {Slots: 1}}},
			`{"position":{"epoch":0,"sequence":0},"at":0,"next":0,"formerLimits":{"t":{"slots":1}}}`,
		},
		{
			"metadata with a former class",
			metadata{FormerClasses: map[string]map[string]config.Class{"s": {"c": {Share: 3}}}},
			`{"position":{"epoch":0,"sequence":0},"at":0,"next":0,"formerClasses":{"s":{"c":{"priority":0,"share":3}}}}`,
		},
		{
			"metadata without", metadata{FormerLimits: map[string]Resources{}},
			`{"position":{"epoch":0,"sequence":0},"at":0,"next":0}`,
		},
		{
			"tenant", config.Tenant{Keys: []string{"d"}, Limit: Resources{MemoryMB: 2}},
			`{"keys":["d"],"limit":{"slots":0,"memoryMB":2}}`,
		},
		{
			"class", config.Class{RequiresKey: true}, `{"priority":0,"share":0,"requiresKey":true}`,
		},
		{
			"worker", Worker{UnleasedByTenant: map[string]Resources{"t": {Slots: 1}}},
			`{"worker":"","incarnation":0,"number":0,"site":"","service":"","free":{"slots":0},` +
				`"capacity":{"slots":0},"strayByTenant":{"t":{"slots":1}},"seenAt":0,"cutoffAt":0}`,
		},
	})
}

// TestAddedFieldsOfGangsAreEncoded does the same for the fields by which agents and the primary
// coordinate the start of gangs.
func TestAddedFieldsOfGangsAreEncoded(t *testing.T) {
	checkEncoded(t, []encodedValue{
		{
			"heartbeat that awaits a gang",
			Heartbeat{Worker: "w", LastReply: 5, AwaitingGang: []Attempt{{Job: "j", Task: "t", Number: 1}}},
			`{"worker":"w","incarnation":0,"number":0,"site":"","service":"","free":{"slots":0},` +
				`"awaitingGang":[{"job":"j","task":"t","try":1}],"lastReply":5}`,
		},
		{
			"reply with a started gang", HeartbeatReply{StartedGangs: []Attempt{{Job: "j", Task: "t", Number: 1}}},
			`{"startedGangs":[{"job":"j","task":"t","try":1}]}`,
		},
		{"reply without", HeartbeatReply{}, `{}`},
		{
			"start order of a gang", StartOrder{Gang: "g", GangWait: 7, GrantedOnHeartbeat: 3},
			`{"job":"","task":"","try":0,"service":"","class":"","room":{"slots":0},"gang":"g","gangWait":7,"grantedOn":3}`,
		},
	})
}

// encodedValue is a value with its expected JSON encoding.
type encodedValue struct {
	name  string
	value any
	want  string
}

func checkEncoded(t *testing.T, rows []encodedValue) {
	t.Helper()
	for _, row := range rows {
		if diff := cmp.Diff(row.want, string(machine.MustJSON(row.value))); diff != "" {
			t.Errorf("%s: %s", row.name, diff)
		}
	}
}
