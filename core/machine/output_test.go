package machine

import (
	"log/slog"
	"reflect"
	"slices"
	"testing"
)

// countingBody counts how many times it is encoded.
type countingBody struct{ times *int }

func (c countingBody) MarshalCBOR() ([]byte, error) {
	*c.times++
	return Marshal("body")
}

func TestBroadcastEncodesOnce(t *testing.T) {
	times := 0
	var out Output
	out.Broadcast([]string{"a", "b", "c"}, "kind", countingBody{&times})
	want := MustMarshal("body")
	var receivers []string
	for _, send := range out.Messages {
		receivers = append(receivers, send.To)
		if data, err := send.Encode(); err != nil || !slices.Equal(data, want) || send.Kind != "kind" {
			t.Errorf("%+v is encoded as %x, %v", send, data, err)
		}
	}
	if times != 1 || !slices.Equal(receivers, []string{"a", "b", "c"}) {
		t.Errorf("encoded %d times for %v", times, receivers)
	}
}

// TestSeparateSendsShareNoEncoding encodes the messages of two broadcasts and of one Send.
func TestSeparateSendsShareNoEncoding(t *testing.T) {
	var out Output
	out.Broadcast([]string{"a", "b"}, "kind", 1)
	out.Broadcast([]string{"a"}, "kind", 2)
	out.Send("a", "kind", 3)
	for i, want := range []int{1, 1, 2, 3} {
		data, err := out.Messages[i].Encode()
		if err != nil || !slices.Equal(data, MustMarshal(want)) {
			t.Errorf("send %d is encoded as %x, %v", i, data, err)
		}
	}
}

func TestUnencodableBodyIsAnError(t *testing.T) {
	var out Output
	out.Broadcast([]string{"a", "b"}, "kind", func() {})
	for _, send := range out.Messages {
		if _, err := send.Encode(); err == nil {
			t.Errorf("%s: no error", send.To)
		}
	}
}

func TestLogEventsHaveLevels(t *testing.T) {
	var out Output
	out.Log("serving", "epoch", 4)
	out.Warn("disk_slow")
	want := []LogEvent{
		{Level: slog.LevelInfo, Name: "serving", Fields: []any{"epoch", 4}},
		{Level: slog.LevelWarn, Name: "disk_slow"},
	}
	if !reflect.DeepEqual(out.LogEvents, want) {
		t.Errorf("got %+v, want %+v", out.LogEvents, want)
	}
}
