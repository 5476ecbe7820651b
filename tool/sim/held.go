// Lines that are lost or late: connections that are reset, and lines that a cut holds
// back and lets go when it ends, as a connection does that outlives a short cut.

package sim

import "sorrelloom/core/machine"

// ResetConnections closes every connection from and to a process: what is on its way
// is lost, later lines come.
func (w *World) ResetConnections(n *node) {
	w.say("reset the connections of %s", n.name)
	for _, address := range w.addresses() {
		other := w.nodes[address]
		if other.sender == nil {
			continue
		}
		for _, c := range other.sender.peers {
			if other == n || c.to == n {
				c.reset()
			}
		}
		other.sender.pump()
	}
}

// Hold keeps what goes from one process to another back until it is released.
func (w *World) Hold(from, to string) {
	if _, ok := w.held[[2]string{from, to}]; !ok {
		w.say("hold %s to %s", from, to)
		w.held[[2]string{from, to}] = []machine.Message{}
	}
}

// Release delivers what was held back, in order.
func (w *World) Release(from, to string) {
	pair := [2]string{from, to}
	lines := w.held[pair]
	delete(w.held, pair)
	n := w.nodes[to]
	w.say("release %d lines from %s to %s", len(lines), from, to)
	for _, line := range lines {
		w.deliver(n, line, nil)
	}
}

// holds keeps a line back if its way is held.
func (w *World) holds(from, to string, line machine.Message) bool {
	pair := [2]string{from, to}
	lines, ok := w.held[pair]
	if ok {
		w.held[pair] = append(lines, line)
	}
	return ok
}
