package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
)

// operatorCalls sends requests of operators to gateways, and counts the replies.
type operatorCalls struct {
	t       *testing.T
	name    string
	replies map[string]int // by operator, HTTP status and name of the code
}

// operatorIn is an operator in zone a.
var operatorIn = client{operatorName, "a"}

// call schedules a request of an operator to the gateway with an index. It is sent once, and
// not repeated.
func (c *operatorCalls) call(s *FleetScenario, at time.Duration, number int, who string, request machine.Request) {
	s.world.At(at, func() {
		s.world.CallGateway(operatorIn, s.gateways[number], request, 3*time.Second, func(r gateway.Reply, _ bool) {
			outcome, _ := r.Body.(gateway.Outcome)
			c.replies[fmt.Sprintf("%s %d %s", who, r.StatusCode, outcome.Name)]++
		})
	})
}

// checkState checks that the changes of operator B, the last ones, are in effect.
func (c *operatorCalls) checkState(s *FleetScenario) {
	read := func(kind string, check func(body string)) {
		s.world.CallGateway(operatorIn, s.gateways[5], machine.Request{Kind: kind}, 3*time.Second,
			func(r gateway.Reply, _ bool) { check(string(machine.MustJSON(r.Body))) })
	}
	read(gateway.RequestWorkers, func(body string) {
		if !strings.Contains(body, `"emptied":[]`) {
			c.t.Errorf("%s: zone b is drained again: %.200s", c.name, body)
		}
	})
	read(gateway.RequestConfigGet, func(body string) {
		if !strings.Contains(body, `"keep":"12m0s"`) {
			c.t.Errorf("%s: the older configuration is in effect again", c.name)
		}
		c.replies["read"]++
	})
}

// TestRepeatedRequestDoesNotRestoreOlderState guards against a late repetition of an
// operator's request that undoes newer changes. Operator A drains a zone and forces a
// configuration; then operator B refills the zone and changes the configuration; then A's
// requests, with the same idempotency keys, arrive again: from a gateway that was frozen
// with them, or at another gateway after a change of primary.
func TestRepeatedRequestDoesNotRestoreOlderState(t *testing.T) {
	drain := machine.Request{Kind: gateway.RequestSetZoneDrained, Name: "b", Enable: true, IdempotencyKey: "A1"}
	force := machine.Request{
		Kind: gateway.RequestConfigPatch, Force: true, Body: []byte(`{"limits":{"keep":"11m"}}`), IdempotencyKey: "A2",
	}
	refill := machine.Request{Kind: gateway.RequestSetZoneDrained, Name: "b", IdempotencyKey: "B1"}
	change := machine.Request{
		Kind: gateway.RequestConfigPatch, Force: true, Body: []byte(`{"limits":{"keep":"12m"}}`), IdempotencyKey: "B2",
	}
	for _, row := range []struct {
		name   string
		repeat func(s *FleetScenario, calls *operatorCalls)
	}{
		{"the frozen gateway resumes", func(s *FleetScenario, calls *operatorCalls) {
			// The gateway's messages are held, and sent when it resumes.
			s.world.At(9990*time.Millisecond, func() { s.world.Freeze(s.daemons[9]) })
			calls.call(s, 10*time.Second, 1, "A at once", drain)
			calls.call(s, 10*time.Second, 1, "A at once", force)
			s.world.At(16*time.Second, func() { s.world.Unfreeze(s.daemons[9]) })
		}},
		{"repeated at another gateway, after a change of primary", func(s *FleetScenario, calls *operatorCalls) {
			s.world.At(13*time.Second, func() {
				s.expectDegradedByDaemons(9 * time.Second)
				s.world.Kill(s.primary())
			})
			calls.call(s, 17*time.Second, 2, "A again", drain)
			calls.call(s, 17*time.Second, 2, "A again", force)
		}},
	} {
		calls := &operatorCalls{t: t, name: row.name, replies: map[string]int{}}
		options := fleetOptions(t, "reseller", 91, "none")
		options.Duration = 30 * time.Second
		options.Prepare = func(s *FleetScenario) {
			calls.call(s, 10*time.Second, 0, "A", drain)
			calls.call(s, 10*time.Second, 0, "A", force)
			row.repeat(s, calls)
			calls.call(s, 12*time.Second, 3, "B", refill)
			calls.call(s, 12*time.Second, 3, "B", change)
			s.world.At(28*time.Second, func() { calls.checkState(s) })
		}
		r := PlayFleet(options)
		if len(r.Violations) > 0 || calls.replies["read"] != 1 || calls.replies["B 200 ok"] != 2 {
			t.Errorf("%s: %v, %v", row.name, calls.replies, r.Violations)
		}
		t.Logf("%s: %v", row.name, calls.replies)
	}
}
