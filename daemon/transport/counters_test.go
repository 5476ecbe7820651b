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
	counters.waitedToBeSent(3 * time.Second)
	counters.waited("beat", time.Second)
	counters.waited("beat", 2*time.Second)
	counters.waited("accept", time.Microsecond)
	want := "[dropped beat/in/replaced:1,command/in/expired:2,command/out/expired:1 " +
		"received accept:1/7,beat:2/150 sent news:1/9 longestWaitMs 3000 waitsMs beat:1500/2000]"
	if got := fmt.Sprint(counters.TakeAndReset().Fields()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	left := counters.TakeAndReset()
	if len(left.Received)+len(left.Sent)+len(left.Dropped)+len(left.Waits) != 0 || left.LongestWait != 0 {
		t.Errorf("after a reset the counts are %+v", left)
	}
	counters.received("beat", 10)
	counters.waited("beat", 3*time.Second)
	totals := counters.Totals()
	if got := totals.Received["beat"]; got != (Flow{3, 160}) {
		t.Errorf("total received: %+v", got)
	}
	if got := totals.Waits["beat"]; got != (Waits{3, 6 * time.Second, 3 * time.Second}) {
		t.Errorf("total waits: %+v", got)
	}
}
