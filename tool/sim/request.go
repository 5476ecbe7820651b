package sim

import (
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
)

// refusedDelay is the time after which a client's connection to a daemon that does not run
// is refused.
const refusedDelay = 2 * time.Millisecond

// client is the sender of a request from outside the cluster. Its name serves as its
// address in blocked links; its zone determines the latency.
type client struct{ name, zone string }

// CallGateway sends an HTTP request to a gateway. done is called once, with false if no
// reply arrived before the timeout or the gateway was down.
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

// Request sends a request from outside the cluster to a node. observe is called with the
// reply when the node gives it. done is called once: with the reply when it arrives, or with
// false if none arrived before the timeout or the node was down.
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
