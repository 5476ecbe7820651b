package sim

import "sorrelloom/core/machine"

// ResetConnections closes every connection from and to a node. Messages in flight are lost;
// later ones arrive.
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

// HoldLink holds back messages from one node to another until ReleaseLink, like a connection
// that survives a short partition.
func (w *World) HoldLink(from, to string) {
	l := link{from, to}
	if _, held := w.heldMessages[l]; !held {
		w.logf("hold link %s to %s", from, to)
		w.heldMessages[l] = []machine.Message{}
	}
}

// ReleaseLink delivers the messages that HoldLink held back, in order.
func (w *World) ReleaseLink(from, to string) {
	l := link{from, to}
	messages := w.heldMessages[l]
	delete(w.heldMessages, l)
	n := w.nodes[to]
	w.logf("release %d messages from %s to %s", len(messages), from, to)
	for _, message := range messages {
		w.deliver(n, message, nil)
	}
}

// hold holds a message back if its link is held, and reports whether it did.
func (w *World) hold(from, to string, message machine.Message) bool {
	l := link{from, to}
	messages, held := w.heldMessages[l]
	if held {
		w.heldMessages[l] = append(messages, message)
	}
	return held
}
