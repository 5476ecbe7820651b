package sim

import (
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
)

// refusedDelay is how long a client takes to notice that a daemon does not run.
const refusedDelay = 2 * time.Millisecond

// client is who sends a request from outside: a name, which stands for its address in
// blocked links, and the zone it is in.
type client struct{ name, zone string }

// CallGateway sends an HTTP request to a gateway; done gets false when no reply came in
// time.
func (w *World) CallGateway(
	from client, address string, request machine.Request, timeout time.Duration, done func(gateway.Reply, bool),
) {
	w.Request(from, address, request, timeout, func(v any) {
		reply := v.(gateway.Reply)
		body := machine.MustJSON(reply.Body)
		w.trace(from.name, address, request.Kind, reply.StatusCode, len(body))
	}, func(v any, ok bool) {
		reply, _ := v.(gateway.Reply)
		done(reply, ok)
	})
}

// Request sends a request from outside to a node. observe sees the reply as the node
// gives it; done gets it when it arrives, or false when none came in time.
func (w *World) Request(
	from client, address string, request machine.Request, timeout time.Duration,
	observe func(any), done func(any, bool),
) {
	n, ok := w.nodes[address]
	finished := false
	finish := func(v any, ok bool) {
		if !finished {
			finished = true
			done(v, ok)
		}
	}
	w.After(timeout, func() { finish(nil, false) })
	if !ok || n.state == down {
		w.After(refusedDelay, func() { finish(nil, false) })
		return
	}
	w.lastRequestID++
	request.ID = w.lastRequestID
	incarnation := n.incarnation
	respond := func(v any) {
		observe(v)
		w.After(w.latency(from.zone, n.zone), func() {
			if !w.isBlocked(address, from.name) {
				finish(v, true)
			}
		})
	}
	w.After(w.latency(from.zone, n.zone), func() {
		if w.isBlocked(from.name, address) || n.incarnation != incarnation || n.state == down {
			return
		}
		w.runIn(n, incarnation, func() {
			n.pendingRequests[request.ID] = respond
			w.step(n, machine.Input{Request: request}, false)
		})
	})
}
