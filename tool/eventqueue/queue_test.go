package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// TestQueue checks that events run in order of time, simultaneous ones in the order in which
// they were scheduled, and events scheduled for the past immediately after the current one.
func TestQueue(t *testing.T) {
	var queue Queue
	var got []string
	note := func(text string) func() { return func() { got = append(got, text) } }
	queue.At(2*time.Second, note("c"))
	queue.At(time.Second, note("a"))
	queue.At(time.Second, func() {
		note("b")()
		queue.At(0, note("b, later"))
		queue.After(5*time.Second, note("d"))
	})
	queue.RunUntil(5 * time.Second)
	if want := []string{"a", "b", "b, later", "c"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if queue.Now != 5*time.Second {
		t.Errorf("the time is %s, want 5s", queue.Now)
	}
	queue.RunUntil(6 * time.Second)
	if len(got) != 5 {
		t.Errorf("got %v", got)
	}
}
