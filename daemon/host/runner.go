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
	// maxPendingWrites is how many batches may wait for the disk before a step waits for it.
	maxPendingWrites = 64
	// minTimerInterval keeps a machine whose timer always expires from using all the time.
	minTimerInterval = time.Millisecond
)

// Runner steps one machine. Its exported methods are safe for concurrent use.
type Runner struct {
	host *Host
	// kinds are the messages that the machine receives; none stands for all others.
	kinds  map[string]bool
	writes chan machine.Write
	// timerAt is when the machine wants its next step; only the event loop uses it.
	timerAt time.Duration

	// mu is held during a step and by Inspect.
	mu      sync.Mutex
	machine machine.Machine
}

// Step gives the machine one input, and returns when it is handled or the host is closed.
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

// ErrClosed says that the host ended before a request was answered.
var ErrClosed = errors.New("the host is closed")

// Do gives the machine a request and returns the body of the response. It fails with the
// error of the context, or with ErrClosed, if that ends before the response.
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

// Inspect calls f between two steps, so that it can read from the machine.
func (r *Runner) Inspect(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// step gives the machine one input and does what it returns. Only the event loop calls it.
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

// writeLoop makes the machine's batches durable in their order.
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

// Read returns what read reads from a runner's machine between two steps.
func Read[T any](r *Runner, read func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return read()
}
