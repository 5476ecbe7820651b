package machine

import "testing"

// TestMalformedBodyIsLoggedAndDropped checks that only bodies that can be decoded reach the
// handler, and that the others are logged.
func TestMalformedBodyIsLoggedAndDropped(t *testing.T) {
	var out Output
	var handled []int
	for _, body := range [][]byte{MustMarshal(7), MustMarshal("seven"), nil} {
		HandleBody(Message{Kind: "k", From: "f", Body: body}, &out, func(number int) { handled = append(handled, number) })
	}
	if len(handled) != 1 || handled[0] != 7 {
		t.Errorf("handled %v", handled)
	}
	if len(out.LogEvents) != 2 || out.LogEvents[0].Name != "message_malformed" {
		t.Errorf("logged %+v", out.LogEvents)
	}
}
