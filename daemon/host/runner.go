package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
)

const (
	// maxPendingWrites is the number of batches that may be queued for the disk before a step
	// blocks.
	maxPendingWrites = 64
	// minTimerInterval limits how often a machine is stepped whose timer is always expired.
	minTimerInterval = time.Millisecond
)

// Runner steps one machine. Its exported methods are safe for concurrent use.
type Runner struct {
	host *Host
	// kinds are the kinds of messages that the machine receives; if empty, it receives those
	// that no other machine does.
	kinds  map[string]bool
	writes chan machine.Write
	// timerAt is the time of the machine's next timer, or 0 for none. It is only used by the
	// event loop.
	timerAt time.Duration

	// mu is held during a step and by Inspect.
	mu      sync.Mutex
	machine machine.Machine
}

// Step passes an input to the machine, and returns once it is handled or the host is closed.
func (r *Runner) Step(in machine.Input) {
	done := make(chan struct{})
	if !r.host.receiveQueue.EnqueueCall(func() { r.step(in); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-r.host.closed:
	}
}

// ErrClosed means that the host was closed before a request was answered.
var ErrClosed = errors.New("host is closed")

// Do passes a request to the machine and returns the body of the response. It returns the
// context's error if the context is done first, and ErrClosed if the host is closed first.
func (r *Runner) Do(ctx context.Context, request machine.Request) (any, error) {
	id, response := r.host.requests.add()
	defer r.host.requests.remove(id)
	request.ID = id
	if !r.host.receiveQueue.EnqueueCall(func() { r.step(machine.Input{Request: request}) }) {
		return nil, ErrClosed
	}
	select {
	case body := <-response:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.host.closed:
		return nil, ErrClosed
	}
}

// Inspect calls f between two steps, so that f can safely read the machine's state.
func (r *Runner) Inspect(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// step passes an input to the machine and executes its output. It is only called by the event
// loop.
func (r *Runner) step(in machine.Input) {
	out := r.stepLocked(in)
	for _, response := range out.Responses {
		r.host.requests.respond(response)
	}
	if out.Stopped {
		r.host.stopOnce.Do(func() { close(r.host.stopped) })
	}
}

func (r *Runner) stepLocked(in machine.Input) machine.Output {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, meter := r.host.Now(), r.host.load
	in.WallTime, in.Backlog = time.Now(), r.host.receiveQueue.Len()
	meter.phases.BeginStep()
	defer meter.endStep(now, in)
	out := r.machine.Step(now, in)
	meter.phases.Enter(machine.PhaseSend)
	for _, event := range out.LogEvents {
		logging.Log(event.Level, event.Name, event.Fields...)
	}
	for _, message := range out.Messages {
		r.send(message)
	}
	for _, write := range out.Writes {
		r.writes <- write
	}
	if r.host.OnAuditEntry != nil {
		for _, entry := range out.AuditEntries {
			r.host.OnAuditEntry(entry)
		}
	}
	if r.timerAt = r.machine.NextTimer(); r.timerAt > 0 {
		r.timerAt = max(r.timerAt, now+minTimerInterval)
	}
	return out
}

func (r *Runner) send(outgoing machine.OutgoingMessage) {
	body, err := outgoing.Encode()
	if err != nil {
		logging.Error("message_unsendable", "kind", outgoing.Kind, "error", err.Error())
		return
	}
	message := machine.Message{
		Version: machine.ProtocolVersion, Kind: outgoing.Kind, From: r.host.address,
		CoalescingKey: outgoing.CoalescingKey(), Body: body,
	}
	if outgoing.To == "" || outgoing.To == r.host.address {
		r.host.receiveQueue.Enqueue(message)
		return
	}
	r.host.transport.Send(outgoing.To, message)
}

// writeLoop executes the machine's writes in order, and enqueues their completions.
func (r *Runner) writeLoop() {
	for {
		select {
		case <-r.host.closed:
			return
		case write := <-r.writes:
			if err := r.host.store.Write(write); err != nil {
				r.host.onWriteError(err)
				return
			}
			due := r.host.store.SnapshotDue()
			r.host.receiveQueue.EnqueueCompletion(func() {
				r.step(machine.Input{CompletedWrite: write.ID, SnapshotDue: due})
			})
		}
	}
}

// Read calls read between two steps of a runner's machine and returns its result.
func Read[T any](r *Runner, read func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return read()
}
