package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
)

// TestAddedFieldsAreEncoded holds the fields that came after the recordings to their names,
// and wants nothing of them where they are empty.
func TestAddedFieldsAreEncoded(t *testing.T) {
	for _, row := range []struct {
		name  string
		value any
		want  string
	}{
		{"tick", Command{Kind: KindTick, ServingSince: 7}, `{"epoch":0,"sequence":0,"at":0,"kind":"tick","servingSince":7}`},
		{"tick without", Command{Kind: KindTick}, `{"epoch":0,"sequence":0,"at":0,"kind":"tick"}`},
		{
			"heartbeat", Heartbeat{Worker: "w", Unconfirmed: true}, `{"worker":"w","incarnation":0,"number":0,` +
				`"site":"","service":"","free":{"slots":0},"unconfirmed":true}`,
		},
	} {
		if diff := cmp.Diff(row.want, string(machine.MustJSON(row.value))); diff != "" {
			t.Errorf("%s: %s", row.name, diff)
		}
	}
}
