package sim

import (
	"time"

	"sorrelloom/core/machine"
)

// runIn runs a function in an incarnation of a node: later if the node is frozen, never
// if that incarnation has ended.
func (w *World) runIn(n *node, incarnation uint64, do func()) {
	w.enqueue(n, incarnation, work{run: do})
}

// enqueue gives work to an incarnation of a node.
func (w *World) enqueue(n *node, incarnation uint64, task work) {
	switch {
	case n.incarnation != incarnation || n.state == down:
	case n.state == frozen:
		n.deferredWork = append(n.deferredWork, task)
	default:
		w.execute(n, task)
	}
}

// step gives an input to the membership or to the state machine of a node.
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

// deferOutput charges a step to the processor, and has its output applied once that is
// paid for.
func (w *World) deferOutput(n *node, in machine.Input, commands int, out machine.Output, toMembership bool) {
	n.processor.chargeStep(in, commands, out)
	messages := make([]encodedMessage, 0, len(out.Messages))
	for _, message := range out.Messages {
		messages = append(messages, w.encode(n, message))
	}
	n.processor.outputs = append(n.processor.outputs, func() { w.applyOutput(n, out, messages, toMembership) })
}

// applyOutput does what a step returned. The messages are given where they have been
// encoded already.
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

// nextTimer is the earlier timer of a node's machines, zero if they have none.
func (n *node) nextTimer() time.Duration {
	at := n.machine.NextTimer()
	if n.membership != nil {
		if other := n.membership.NextTimer(); at == 0 || other > 0 && other < at {
			at = other
		}
	}
	return at
}

// scheduleTimer keeps one event in the queue for the next timer of a node.
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

// runTimers steps the machines of a node whose timers are due.
func (w *World) runTimers(n *node) {
	if n.membership != nil && n.membership.NextTimer() <= n.localTime(w.Now) {
		w.step(n, machine.Input{}, true)
	}
	w.step(n, machine.Input{}, false)
}
