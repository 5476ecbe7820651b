package agent

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestUnreachablePrimaryIsLogged checks that the agent logs the replicas that it has tried when
// no replica has answered for 2 s, and every 10 s from then on, and that it logs once that a
// replica answers again.
func TestUnreachablePrimaryIsLogged(t *testing.T) {
	h := newHarness(t, 1)
	count := func(name string) (count int) {
		for _, event := range h.events {
			if event == name {
				count++
			}
		}
		return count
	}
	runs := func(span time.Duration) {
		for end := h.now + span; h.now < end; h.advance(100 * ms) {
			h.callAgent(nil)
		}
	}
	h.callAgent(nil)
	h.accept(state.HeartbeatReply{})
	for _, step := range []struct {
		span time.Duration
		want int
	}{{1500 * ms, 0}, {2 * time.Second, 1}, {8 * time.Second, 1}, {4 * time.Second, 2}} {
		if runs(step.span); count("primary_unreachable") != step.want {
			t.Errorf("got %d events at %s, want %d", count("primary_unreachable"), h.now, step.want)
		}
	}
	if tried := slices.Sorted(slices.Values(h.agent.outage.tried)); !slices.Equal(tried, []string{"k1", "k2", "k3"}) {
		t.Errorf("tried %v", tried)
	}
	h.accept(state.HeartbeatReply{})
	if runs(time.Second); count("primary_reached") != 1 {
		t.Errorf("primary_reached is logged %d times, want 1", count("primary_reached"))
	}
}
