package fleet

import (
	"net/http"
	"time"
)

const (
	pollInterval  = 20 * time.Millisecond
	statusTimeout = time.Second
)

// Poll evaluates a condition repeatedly until it holds or the timeout expires, and reports
// whether it holds.
func Poll(timeout time.Duration, condition func() bool) bool {
	over := time.After(timeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-over:
			return condition()
		case <-ticker.C:
		}
	}
	return true
}

// Ready reports whether all started daemons report that they are ready.
func (f *Fleet) Ready() bool {
	for _, name := range f.ProcessNames() {
		p := f.processes[name]
		if p.command == nil || p.Role == RoleWorker {
			continue
		}
		response, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/readyz", nil, nil, statusTimeout)
		if err != nil || response.Status != http.StatusOK {
			return false
		}
	}
	return true
}

// Primary returns the name of the replica that reports to be serving, empty if none does.
func (f *Fleet) Primary() string {
	for _, name := range f.ProcessNames() {
		p := f.processes[name]
		if p.Role != RoleReplica || p.command == nil {
			continue
		}
		var status struct {
			Serving bool `json:"serving"`
		}
		response, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/status", nil, nil, statusTimeout)
		if err == nil && response.Decode(&status) == nil && status.Serving {
			return name
		}
	}
	return ""
}

// addressesOf returns one address of each process of a role.
func (f *Fleet) addressesOf(role string, address func(*Process) string) []string {
	var addresses []string
	for _, name := range f.ProcessNames() {
		if p := f.processes[name]; p.Role == role {
			addresses = append(addresses, address(p))
		}
	}
	return addresses
}

// Gateways returns the HTTP addresses of the gateways.
func (f *Fleet) Gateways() []string {
	return f.addressesOf(RoleGateway, func(p *Process) string { return p.HTTPAddress })
}

// SchedulerSeeds returns the addresses of up to maxSeeds schedulers, for use as seeds that are
// not replicas.
func (f *Fleet) SchedulerSeeds() []string {
	addresses := f.addressesOf(RoleScheduler, func(p *Process) string { return p.Address })
	return addresses[:min(maxSeeds, len(addresses))]
}
