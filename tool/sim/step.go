package sim

import (
	"time"

	"sorrelloom/core/machine"
)

// runIn runs a function in an incarnation of a node. If the node is frozen, the function
// runs once it is unfrozen; if the incarnation has ended, it never runs.
func (w *World) runIn(n *node, incarnation uint64, do func()) {
	w.enqueue(n, incarnation, workItem{run: do})
}

// enqueue executes a work item in an incarnation of a node, under the conditions of runIn.
func (w *World) enqueue(n *node, incarnation uint64, item workItem) {
	switch {
	case n.incarnation != incarnation || n.state == down:
	case n.state == frozen:
		n.deferredWork = append(n.deferredWork, item)
	default:
		w.execute(n, item)
	}
}

// step passes an input to the membership or to the state machine of a node, and handles
// the output.
func (w *World) step(n *node, in machine.Input, toMembership bool) {
	target := n.machine
	if toMembership {
		target = n.membership
	}
	if n.role == roleControl {
		in.WallTime = w.wallTime().Add(n.wallSkew)
	}
	if n.processor != nil {
		in.Backlog = len(n.processor.queue)
	}
	before := n.logIndex()
	out := target.Step(n.localTime(w.Now), in)
	if n.processor != nil {
		commands := int(max(n.logIndex(), before) - before)
		w.deferOutput(n, in, commands, out, toMembership)
	} else {
		w.applyOutput(n, out, nil, toMembership)
	}
	if versioner, ok := n.machine.(configVersioner); ok && w.onConfigVersion != nil && !toMembership {
		w.onConfigVersion(n, versioner.ConfigVersion())
	}
	w.scheduleTimer(n)
	if out.Stopped && !toMembership && n.processor == nil {
		w.Kill(n)
	}
}

// deferOutput charges a step to the processor, and schedules its output to be applied once
// the processor has spent that time. Messages are encoded here so that encoding is charged
// too.
func (w *World) deferOutput(n *node, in machine.Input, commands int, out machine.Output, toMembership bool) {
	n.processor.chargeStep(in, commands, out)
	messages := make([]encodedMessage, 0, len(out.Messages))
	for _, message := range out.Messages {
		messages = append(messages, w.encode(n, message))
	}
	n.processor.outputs = append(n.processor.outputs, func() { w.applyOutput(n, out, messages, toMembership) })
}

// applyOutput carries out the output of a step: it logs events, sends messages, starts
// writes and responds to requests. messages has out.Messages in encoded form, or is nil if
// they are not encoded yet.
func (w *World) applyOutput(n *node, out machine.Output, messages []encodedMessage, toMembership bool) {
	for _, e := range out.LogEvents {
		w.LogCounts[e.Name]++
		w.logf("%s %s %v", n.name, e.Name, e.Fields)
	}
	for _, entry := range out.AuditEntries {
		w.logf("%s audit %s", n.name, entry.Encode())
	}
	for i, message := range out.Messages {
		encoded := encodedMessage{message: message}
		if messages != nil {
			encoded = messages[i]
		}
		if n.outputHeld {
			n.heldMessages = append(n.heldMessages, encoded)
		} else {
			w.send(n, encoded)
		}
	}
	for _, write := range out.Writes {
		w.write(n, write)
	}
	for _, response := range out.Responses {
		if respond, ok := n.pendingRequests[response.RequestID]; ok {
			delete(n.pendingRequests, response.RequestID)
			respond(response.Body)
		}
	}
	if out.Stopped && !toMembership && n.processor != nil {
		w.Kill(n)
	}
}

// nextTimer returns when the earliest timer of a node's machines is due, in the node's local
// time, zero if they have none.
func (n *node) nextTimer() time.Duration {
	at := n.machine.NextTimer()
	if n.membership != nil {
		if other := n.membership.NextTimer(); at == 0 || other > 0 && other < at {
			at = other
		}
	}
	return at
}

// scheduleTimer ensures that the queue has an event for the next timer of a node. Events
// scheduled earlier for other times are ignored when they fire.
func (w *World) scheduleTimer(n *node) {
	at := n.nextTimer()
	if at == 0 {
		return
	}
	at += n.bootedAt - time.Microsecond
	if n.timerGeneration > 0 && n.timerAt <= at && n.timerAt > w.Now {
		return
	}
	n.timerAt = max(at, w.Now+time.Millisecond)
	n.timerGeneration++
	incarnation, generation := n.incarnation, n.timerGeneration
	w.At(n.timerAt, func() {
		if n.timerGeneration != generation {
			return
		}
		do := func() { w.runTimers(n) }
		if n.processor != nil && n.incarnation == incarnation && n.state == up {
			n.processor.addTimer(do)
		} else {
			w.runIn(n, incarnation, do)
		}
	})
}

// runTimers steps the state machine of a node, and before that its membership if a timer of
// the membership is due.
func (w *World) runTimers(n *node) {
	if n.membership != nil && n.membership.NextTimer() <= n.localTime(w.Now) {
		w.step(n, machine.Input{}, true)
	}
	w.step(n, machine.Input{}, false)
}
