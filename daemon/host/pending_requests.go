package host

import (
	"sync"

	"sorrelloom/core/machine"
)

// pendingRequests holds the requests that wait for a response.
type pendingRequests struct {
	mu        sync.Mutex
	lastID    uint64
	responses map[uint64]chan any
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{responses: map[uint64]chan any{}}
}

// add registers a new request and returns its ID and the channel for its response.
func (p *pendingRequests) add() (id uint64, response <-chan any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	channel := make(chan any, 1)
	p.responses[p.lastID] = channel
	return p.lastID, channel
}

func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, id)
}

// respond delivers a response. It is dropped if the request is no longer pending or already
// has a response.
func (p *pendingRequests) respond(response machine.Response) {
	p.mu.Lock()
	channel, ok := p.responses[response.RequestID]
	p.mu.Unlock()
	if !ok {
		return
	}
	select {
	case channel <- response.Body:
	default:
	}
}
