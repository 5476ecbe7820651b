package sim

import "sorrelloom/core/machine"

// ResetConnections closes every connection from and to a node: what is on its way is
// lost, later messages arrive.
func (w *World) ResetConnections(n *node) {
	w.logf("reset the connections of %s", n.name)
	for _, address := range w.addresses() {
		other := w.nodes[address]
		if other.sender == nil {
			continue
		}
		for _, c := range other.sender.connections {
			if other == n || c.to == n {
				c.reset()
			}
		}
		other.sender.sendNext()
	}
}

// HoldLink keeps what goes from one node to another back until the link is released, as
// a connection does that outlives a short partition.
func (w *World) HoldLink(from, to string) {
	way := link{from, to}
	if _, held := w.heldMessages[way]; !held {
		w.logf("hold link %s to %s", from, to)
		w.heldMessages[way] = []machine.Message{}
	}
}

// ReleaseLink delivers what was held back, in order.
func (w *World) ReleaseLink(from, to string) {
	way := link{from, to}
	messages := w.heldMessages[way]
	delete(w.heldMessages, way)
	n := w.nodes[to]
	w.logf("release %d messages from %s to %s", len(messages), from, to)
	for _, message := range messages {
		w.deliver(n, message, nil)
	}
}

// hold keeps a message back, and reports true, if its link is held.
func (w *World) hold(from, to string, message machine.Message) bool {
	way := link{from, to}
	messages, held := w.heldMessages[way]
	if held {
		w.heldMessages[way] = append(messages, message)
	}
	return held
}
