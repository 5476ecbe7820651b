package machine

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestALineIsReadAsItWasWritten(t *testing.T) {
	for _, l := range []Line{
		{Wire: 1, Kind: "beat", From: "10.0.0.1:7", Body: json.RawMessage(`{"id":1,"from":"x","body":"}"}`)},
		{Wire: 1, Kind: "odd \"kind\"", From: "a\\b", Body: json.RawMessage(`[1]`)},
		{Wire: 2, Kind: "later", From: "x", Body: json.RawMessage(`{}`)},
		{Wire: 1, Kind: "empty", From: "x"},
	} {
		data := l.Encode()
		var plain Line
		if err := json.Unmarshal(data, &plain); err != nil || !reflect.DeepEqual(plain, l) {
			t.Errorf("as JSON %s is %+v, %v", data, plain, err)
		}
		if got, err := Decode(data); err != nil || !reflect.DeepEqual(got, l) {
			t.Errorf("%s is read as %+v, %v", data, got, err)
		}
	}
}

func TestWhatIsNoLine(t *testing.T) {
	for _, text := range []string{"", "{", `{"wire":1,"kind":"a","from":"b","body":{"cut`, `{"wire":1,"kind":"a"`, "x}", `{"wire":1,"kind":"a","from":"b","body":}`} {
		if l, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q is read as %+v", text, l)
		}
	}
}
