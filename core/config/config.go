// Package config holds the operator's configuration: the services with their
// classes and shares, the routes to them, the tenants, the policies and the limits.
//
// A configuration is checked twice before it takes effect: by the JSON schema for
// its shape, then across fields and by compiling its policies. All violations are
// reported at once, each with its path in the document.
package config

import (
	"encoding/json"
	"strings"
	"time"
)

// Config is the operator's configuration of the whole cluster.
type Config struct {
	// Version is the number of the configuration in force; it grows by one with each change.
	Version  uint64             `json:"sequence"`
	Services map[string]Service `json:"services"`
	Routes   []Route            `json:"entries,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
	// Zones are the zones that are known before a worker of theirs has registered.
	Zones    []string `json:"sites,omitempty"`
	Policies Policies `json:"policies"`
	Limits   Limits   `json:"limits"`
	// SourceDocument is what the translator of an outside system keeps with the
	// configuration. It is handed back unchanged.
	SourceDocument json.RawMessage `json:"document,omitempty"`
}

// Service is a set of workers of one kind and the classes of work for them.
type Service struct {
	Classes map[string]Class `json:"classes"`
	Labels  []string         `json:"labels,omitempty"`
	// LargestWorker is the largest worker that the service may have. Without it a
	// task may ask for any resources, and waits for a worker that has them.
	LargestWorker Resources `json:"largestWorker,omitzero"`
	// AllowAnyLabel lets tasks ask for any label, since the workers name their own.
	AllowAnyLabel bool `json:"anyLabel,omitempty"`
}

// Class is a kind of work of one service, with its share of the workers.
type Class struct {
	Priority int `json:"priority"`
	// Share is the class's part of the service's slots, in percent.
	Share int `json:"share"`
	// Quick classes go before all others, whatever the order policy says.
	Quick bool `json:"quick,omitempty"`
	// QueueLimit bounds the unfinished tasks of the class; 0 is no bound.
	QueueLimit int `json:"inboxMax,omitempty"`
	// RunLimit is how long an attempt may run; 0 stands for that of the limits.
	RunLimit Duration `json:"runLimit,omitzero"`
	// LostWorkerPolicy is RestartOnLostWorker, HoldOnLostWorker or empty.
	LostWorkerPolicy string `json:"silence,omitempty"`
	// MaxFailures holds for tasks that name no number of their own; 0 stands for 3.
	MaxFailures int `json:"allowedDefects,omitempty"`
	// RequiresKey classes take calls only with the key of a tenant.
	RequiresKey bool `json:"requiresKey,omitempty"`
	// LatencyTarget and CriticalPathFactor say by when a job ought to be over:
	// CriticalPathFactor times its longest chain of expected run times, and
	// LatencyTarget on top. They bound nothing, and no decision reads them yet.
	LatencyTarget      Duration `json:"aim,omitzero"`
	CriticalPathFactor float64  `json:"stretch,omitempty"`
}

// A class's policy for an attempt that may have succeeded on a worker that was
// lost: start the task again once the attempt must have ended, or hold it until
// somebody decides.
const (
	RestartOnLostWorker = "restart"
	HoldOnLostWorker    = "hold"
)

// Route sends the requests for a host and a path prefix to a class.
type Route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Class   string `json:"class"`
}

// Limits are the times and counts that hold for all services.
type Limits struct {
	// LeaseDuration is how long a worker may run its attempts after its last heartbeat.
	LeaseDuration Duration `json:"lease"`
	// ExpiryMargin is waited for after a lease's expiry before its attempts count as ended.
	ExpiryMargin Duration `json:"margin"`
	// StartTimeout is how long the members of a gang may take to start.
	StartTimeout Duration `json:"startBy"`
	// HeartbeatTimeout is how long a worker without a heartbeat still gets work. A
	// scheduler without one loses its leadership after half of it.
	HeartbeatTimeout Duration `json:"silent"`
	// FinishedRetention is how long the record of an ended job is kept.
	FinishedRetention Duration `json:"keep"`
	// PastJobRetention and PastJobsMax bound what is known of a job after that.
	PastJobRetention Duration `json:"remember"`
	PastJobsMax      int      `json:"rememberMax"`
	// MaxLostAttempts is how many attempts a task may lose with their workers.
	MaxLostAttempts int `json:"maxLosses"`
	// RunLimit is how long an attempt may run unless its class or task says so.
	RunLimit Duration `json:"runLimit"`
	// MaxTasks bounds the tasks of one job, all its repetitions together.
	MaxTasks int `json:"maxTasks"`
	// KilledAtLeaseExpiry says that an outside supervisor ends a worker's attempts
	// when the lease expires, so that no run limit need be waited for.
	KilledAtLeaseExpiry bool `json:"endsAtCutoff,omitempty"`
}

// Default is the configuration that stands for the fields left out by the operator.
func Default() Config {
	return Config{
		Services: map[string]Service{},
		Policies: Policies{Order: priorityOrder, Borrow: "waiting == 0 && idle - asked >= total / 8"},
		Limits: Limits{
			LeaseDuration:     Duration{6 * time.Second},
			ExpiryMargin:      Duration{time.Second},
			StartTimeout:      Duration{4 * time.Second},
			HeartbeatTimeout:  Duration{3 * time.Second},
			FinishedRetention: Duration{10 * time.Minute},
			PastJobRetention:  Duration{6 * time.Hour},
			PastJobsMax:       50000,
			MaxLostAttempts:   20,
			RunLimit:          Duration{10 * time.Minute},
			MaxTasks:          1000,
		},
	}
}

// FindRoute returns the route for a host and path: that with the longest prefix.
// Hosts are compared without regard to case.
func (c Config) FindRoute(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range c.Routes {
		matches := strings.EqualFold(route.Host, host) && strings.HasPrefix(path, route.Prefix)
		if matches && (!found || len(route.Prefix) > len(best.Prefix)) {
			best, found = route, true
		}
	}
	return best, found
}
