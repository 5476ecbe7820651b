package transport

import (
	"bytes"
	"testing"

	"sorrelloom/core/machine"
)

// FuzzReadFrame reads frames with arbitrary content, as another process could send them.
func FuzzReadFrame(f *testing.F) {
	var whole bytes.Buffer
	message := machine.Message{Version: 1, Kind: "command", From: "a:1", Body: []byte{0xa0}}
	if err := WriteFrame(&whole, message); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			if _, err := ReadFrame(r); err != nil {
				return
			}
		}
	})
}
