package sim

import (
	"time"

	"sorrelloom/core/machine"
)

// freezeDelay is the time for which a process that is being frozen still takes steps.
// Messages of these steps are sent only when it is unfrozen.
const freezeDelay = 20 * time.Millisecond

// Kill ends a process and loses the writes that were not synced, like a power failure.
func (w *World) Kill(n *node) {
	if n.state != down {
		w.logf("kill %s", n.name)
	}
	n.state = down
	n.deferredWork, n.pendingRequests = nil, nil
	n.outputHeld, n.heldMessages = false, nil
	if n.processor != nil {
		n.pastUsage = n.pastUsage.add(n.processor.usage)
		n.processor = nil
	}
	n.sender = nil
	w.recordFault(n)
}

// KillProcess ends a process while its host keeps running, so that pending writes still
// reach the disk.
func (w *World) KillProcess(n *node) {
	w.Kill(n)
	n.writesSurvive = true
}

// Stop asks a daemon to hand over its role and shut down.
func (w *World) Stop(n *node) {
	w.runIn(n, n.incarnation, func() { w.step(n, machine.Input{Stop: true}, false) })
}

// Wipe kills a process and empties its disk.
func (w *World) Wipe(n *node) {
	w.Kill(n)
	w.logf("wipe %s", n.name)
	n.disk = emptyDisk()
}

// Freeze suspends a process between a decision and the sending of its messages: for
// freezeDelay it still takes steps, but their messages are sent only when it is unfrozen.
func (w *World) Freeze(n *node) {
	if n.state != up || n.outputHeld {
		return
	}
	w.logf("freeze %s", n.name)
	incarnation := n.incarnation
	n.outputHeld = true
	w.recordFault(n)
	w.After(freezeDelay, func() {
		if n.incarnation == incarnation && n.state == up && n.outputHeld {
			n.state = frozen
		}
	})
}

// Unfreeze resumes a frozen process: it sends the held messages, and then executes the work
// that arrived meanwhile.
func (w *World) Unfreeze(n *node) {
	if n.state == down || !n.outputHeld {
		return
	}
	w.logf("unfreeze %s", n.name)
	n.state, n.outputHeld = up, false
	w.recordFault(n)
	deferred, held := n.deferredWork, n.heldMessages
	n.deferredWork, n.heldMessages = nil, nil
	for _, message := range held {
		w.send(n, message)
	}
	if n.processor != nil {
		n.processor.resume()
	}
	if n.sender != nil {
		n.sender.sendNext()
	}
	for _, item := range deferred {
		w.execute(n, item)
	}
}
