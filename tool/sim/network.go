package sim

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Minimum network latency. A random jitter of up to the same duration is added.
const (
	latencyWithinZone   = 200 * time.Microsecond
	latencyBetweenZones = time.Millisecond
)

// latency returns a random latency for a message between two zones.
func (w *World) latency(from, to string) time.Duration {
	base := latencyWithinZone
	if from != to {
		base = latencyBetweenZones
	}
	return base + time.Duration(w.rng.Int64N(int64(base)))
}

// BlockLink drops all messages from one address to another until UnblockLink.
func (w *World) BlockLink(from, to string) { w.setBlocked(link{from, to}, true) }

// UnblockLink undoes BlockLink.
func (w *World) UnblockLink(from, to string) { w.setBlocked(link{from, to}, false) }

// Isolate blocks all links from and to a node.
func (w *World) Isolate(address string) { w.eachLink(address, w.BlockLink) }

// Reconnect unblocks all links from and to a node.
func (w *World) Reconnect(address string) { w.eachLink(address, w.UnblockLink) }

func (w *World) isBlocked(from, to string) bool { return w.blockedLinks[link{from, to}] }

func (w *World) setBlocked(l link, blocked bool) {
	if w.blockedLinks[l] == blocked {
		return
	}
	change := 1
	if blocked {
		w.blockedLinks[l] = true
	} else {
		delete(w.blockedLinks, l)
		change = -1
	}
	from, fromNode := w.nodes[l.from]
	to, toNode := w.nodes[l.to]
	if fromNode && toNode {
		from.blockedLinkCount += change
		to.blockedLinkCount += change
		w.recordFault(from)
		w.recordFault(to)
	}
}

// addresses returns the addresses of all nodes, sorted.
func (w *World) addresses() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// eachLink calls a function for every link between a node and other nodes, in both
// directions.
func (w *World) eachLink(address string, do func(from, to string)) {
	for other := range w.nodes {
		if other != address {
			do(address, other)
			do(other, address)
		}
	}
}

// encodedMessage is a message to send. body is its encoded body, nil until it is encoded.
type encodedMessage struct {
	message machine.OutgoingMessage
	body    []byte
}

// encode encodes the body of a message, and charges its cost to the processor.
func (w *World) encode(n *node, message machine.OutgoingMessage) encodedMessage {
	if w.rewrite != nil {
		message = w.rewrite(n, message)
	}
	encoded := encodedMessage{message, machine.MustMarshal(message.Body)}
	n.processor.chargeSend(message, len(encoded.body))
	return encoded
}

// send sends a message of a node. A message to the node itself is delivered without the
// network.
func (w *World) send(n *node, encoded encodedMessage) {
	outgoing, body := encoded.message, encoded.body
	if w.intercept != nil && w.intercept(n, outgoing) {
		return
	}
	if body == nil {
		if w.rewrite != nil {
			outgoing = w.rewrite(n, outgoing)
		}
		body = machine.MustMarshal(outgoing.Body)
	}
	message := machine.Message{
		Version: machine.ProtocolVersion, Kind: outgoing.Kind, From: n.address, Body: body,
	}
	if outgoing.To == "" || outgoing.To == n.address {
		incarnation := n.incarnation
		w.After(0, func() {
			w.runIn(n, incarnation, func() { w.step(n, machine.Input{Message: message}, false) })
		})
		return
	}
	w.MessageCount++
	w.trace(n.address, outgoing.To, outgoing.Kind, len(body))
	w.transmit(n, outgoing.To, message)
}

// transmit sends a message over the network, unless its link is blocked or held.
func (w *World) transmit(n *node, address string, message machine.Message) {
	to, ok := w.nodes[address]
	if !ok || w.isBlocked(n.address, address) || w.hold(n.address, address, message) {
		return
	}
	if w.hardware != nil && w.hardware.Links.Window > 0 {
		w.queueMessage(n, to, message)
		return
	}
	w.At(w.arrivalTime(n, to, w.Now), func() {
		if !w.isBlocked(n.address, to.address) {
			w.deliver(to, message, nil)
		}
	})
}

// arrivalTime returns a random arrival time for data that is sent at a time. Links are
// FIFO: the data arrives after everything that was sent on the same link before it.
func (w *World) arrivalTime(from, to *node, sentAt time.Duration) time.Duration {
	l := link{from.address, to.address}
	arrival := max(sentAt+w.latency(from.zone, to.zone), w.lastDelivery[l]+time.Nanosecond)
	w.lastDelivery[l] = arrival
	return arrival
}

// deliver passes a message to a node. done, if not nil, is called when the node has
// processed the message.
func (w *World) deliver(to *node, message machine.Message, done func()) {
	key := ""
	if w.hardware != nil && w.hardware.QueuePolicy.CoalescingKey != nil {
		key = w.hardware.QueuePolicy.CoalescingKey(message)
	}
	item := workItem{kind: message.Kind, from: message.From, coalescingKey: key, done: done}
	item.run = func() {
		toMembership := message.Kind == wire.KindShuffle || message.Kind == wire.KindShuffleReply
		if !toMembership || to.membership != nil {
			w.step(to, machine.Input{Message: message}, toMembership)
		}
	}
	w.enqueue(to, to.incarnation, item)
}
