package sim

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Network latency: a base, and up to as much again by chance.
const (
	latencyWithinZone   = 200 * time.Microsecond
	latencyBetweenZones = time.Millisecond
)

// latency draws how long a message takes between two zones.
func (w *World) latency(from, to string) time.Duration {
	base := latencyWithinZone
	if from != to {
		base = latencyBetweenZones
	}
	return base + time.Duration(w.rng.Int64N(int64(base)))
}

// BlockLink drops what goes from one address to another.
func (w *World) BlockLink(from, to string) { w.setBlocked(link{from, to}, true) }

// UnblockLink ends what BlockLink began.
func (w *World) UnblockLink(from, to string) { w.setBlocked(link{from, to}, false) }

// Isolate blocks all links from and to a node.
func (w *World) Isolate(address string) { w.eachLink(address, w.BlockLink) }

// Reconnect unblocks all links from and to a node.
func (w *World) Reconnect(address string) { w.eachLink(address, w.UnblockLink) }

func (w *World) isBlocked(from, to string) bool { return w.blockedLinks[link{from, to}] }

func (w *World) setBlocked(way link, blocked bool) {
	if w.blockedLinks[way] == blocked {
		return
	}
	change := 1
	if blocked {
		w.blockedLinks[way] = true
	} else {
		delete(w.blockedLinks, way)
		change = -1
	}
	from, fromNode := w.nodes[way.from]
	to, toNode := w.nodes[way.to]
	if fromNode && toNode {
		from.blockedLinks += change
		to.blockedLinks += change
		w.recordFault(from)
		w.recordFault(to)
	}
}

// addresses lists the addresses of all nodes in a fixed order.
func (w *World) addresses() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// eachLink calls a function for every link between a node and another one.
func (w *World) eachLink(address string, do func(from, to string)) {
	for other := range w.nodes {
		if other != address {
			do(address, other)
			do(other, address)
		}
	}
}

// encodedMessage is a message to send, with its body once it has been encoded.
type encodedMessage struct {
	message machine.OutgoingMessage
	body    []byte
}

// encode encodes the body of a message, and charges the processor for it.
func (w *World) encode(n *node, message machine.OutgoingMessage) encodedMessage {
	if w.rewrite != nil {
		message = w.rewrite(n, message)
	}
	encoded := encodedMessage{message, machine.MustMarshal(message.Body)}
	n.processor.chargeSend(message, len(encoded.body))
	return encoded
}

// send sends a message of a node, or hands it to the node itself.
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

// transmit puts a message on its way unless the link is blocked or held.
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

// arrivalTime draws when something that is sent at a time arrives: after all that was
// sent on the same link before it.
func (w *World) arrivalTime(from, to *node, sentAt time.Duration) time.Duration {
	way := link{from.address, to.address}
	arrival := max(sentAt+w.latency(from.zone, to.zone), w.lastDelivery[way]+time.Nanosecond)
	w.lastDelivery[way] = arrival
	return arrival
}

// deliver hands a message to a node; done, if set, is called when the node is done with
// it.
func (w *World) deliver(to *node, message machine.Message, done func()) {
	key := ""
	if w.hardware != nil && w.hardware.QueuePolicy.CoalescingKey != nil {
		key = w.hardware.QueuePolicy.CoalescingKey(message)
	}
	task := work{kind: message.Kind, from: message.From, coalescingKey: key, done: done}
	task.run = func() {
		toMembership := message.Kind == wire.KindShuffle || message.Kind == wire.KindShuffleReply
		if !toMembership || to.membership != nil {
			w.step(to, machine.Input{Message: message}, toMembership)
		}
	}
	w.enqueue(to, to.incarnation, task)
}
