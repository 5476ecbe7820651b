package machine

import (
	"reflect"
	"strings"
	"testing"
)

func TestMessageRoundTrip(t *testing.T) {
	longest := strings.Repeat("n", 255)
	for _, message := range []Message{
		{Version: 1, Kind: "beat", From: "10.0.0.1:7", Body: []byte(`{"id":1,"from":"x","body":"}"}`)},
		{Version: 1, Kind: "odd \"kind\"", From: "a\\b", Body: []byte("\x00\xff\n")},
		{Version: 255, Kind: "later", From: "x", Body: []byte{0}},
		{Version: 1, Kind: "empty", From: "x", Body: []byte{}},
		{Version: 1, Kind: "beat", From: "10.0.0.1:7", CoalescingKey: "worker", Body: []byte{1}},
		{Version: 1, Kind: longest, From: longest, CoalescingKey: longest, Body: []byte{1}},
	} {
		header, err := message.AppendHeader(nil)
		if err != nil {
			t.Errorf("%+v: %v", message, err)
		}
		data := append(header, message.Body...)
		if got, err := DecodeMessage(data); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("%q decodes as %+v, %v", data, got, err)
		}
		for length := range header {
			if got, err := DecodeMessage(data[:length]); err == nil {
				t.Errorf("%d bytes of %q decode as %+v", length, data, got)
			}
		}
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, data := range []string{
		"", "\x00\x01a\x01b\x00", "\x01\x00\x01b\x00", "\x01\x01a\x00\x00", "\x01\x09a\x01b\x00",
		"\x01\x01a\x01b\x05key", "\x01\x01a\x01b", "{", `{"wire":1,"kind":"a","from":"b"}`,
	} {
		if message, err := DecodeMessage([]byte(data)); err == nil {
			t.Errorf("%q decodes as %+v", data, message)
		}
	}
	for _, message := range []Message{
		{}, {Version: 1, Kind: "a"}, {Version: 1, From: "b"}, {Kind: "a", From: "b"}, {Version: 256, Kind: "a", From: "b"},
		{Version: 1, Kind: strings.Repeat("k", 256), From: "b"}, {Version: 1, Kind: "a", From: strings.Repeat("f", 256)},
		{Version: 1, Kind: "a", From: "b", CoalescingKey: strings.Repeat("y", 256)},
	} {
		if header, err := message.AppendHeader(nil); err == nil {
			t.Errorf("%+v is encoded as %q", message, header)
		}
	}
}
