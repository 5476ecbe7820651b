package transport

import (
	"fmt"
	"testing"
	"time"
)

func TestCountsAsLogFields(t *testing.T) {
	counters := NewCounters()
	counters.received("beat", 100)
	counters.received("beat", 50)
	counters.received("accept", 7)
	counters.sent("news", 9)
	counters.dropped(DropKey{"command", false, DropExpired})
	counters.dropped(DropKey{"command", false, DropExpired})
	counters.dropped(DropKey{"command", true, DropExpired})
	counters.dropped(DropKey{"beat", false, DropReplaced})
	counters.waited(3 * time.Second)
	counters.waited(time.Second)
	counters.Stepped("command", 2*time.Millisecond)
	counters.Stepped("command", 5*time.Millisecond)
	counters.Stepped("timer", time.Millisecond)
	want := "[dropped beat/in/replaced:1,command/in/expired:2,command/out/expired:1 " +
		"received accept:1/7,beat:2/150 sent news:1/9 longestWaitMs 3000 " +
		"steps command:2/7/5,timer:1/1/1]"
	if got := fmt.Sprint(counters.TakeAndReset().Fields()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	left := counters.TakeAndReset()
	if len(left.Received)+len(left.Sent)+len(left.Dropped)+len(left.Steps) != 0 || left.LongestWait != 0 {
		t.Errorf("after a report there is %+v", left)
	}
}
