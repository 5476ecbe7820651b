// Package config defines the operator's configuration: the services with their classes and
// shares, the routes to them, the tenants, the policies and the limits.
//
// A configuration is validated in two stages before it takes effect: against the JSON schema,
// then by rules that involve several fields and by compiling its policies. Each stage reports
// all of its violations at once, with their paths in the document.
package config

import (
	"encoding/json"
	"strings"
	"time"
)

// Config is the operator's configuration of the whole cluster.
type Config struct {
	// Version is the version of the configuration; each change increments it.
	Version  uint64             `json:"sequence"`
	Services map[string]Service `json:"services"`
	Routes   []Route            `json:"entries,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
	// Zones lists zones that are known even if none of their workers has registered yet.
	Zones    []string `json:"sites,omitempty"`
	Policies Policies `json:"policies"`
	Limits   Limits   `json:"limits"`
	// SourceDocument is the document from which a translator for an external system produced
	// the configuration. It is stored and returned unchanged.
	SourceDocument json.RawMessage `json:"document,omitempty"`
}

// Service is a set of workers of one kind, with the classes of work for them.
type Service struct {
	Classes map[string]Class `json:"classes"`
	Labels  []string         `json:"labels,omitempty"`
	// LargestWorker holds the resources of the largest worker that the service may have. If
	// it is zero, tasks may request any resources and wait for a worker that has them.
	LargestWorker Resources `json:"largestWorker,omitzero"`
	// AllowAnyLabel lets tasks require labels that are not listed in Labels, because the
	// workers define their own.
	AllowAnyLabel bool `json:"anyLabel,omitempty"`
}

// Class is a kind of work of one service, with its share of the workers.
type Class struct {
	Priority int `json:"priority"`
	// Share is the class's part of the service's slots, in percent.
	Share int `json:"share"`
	// Quick gives the tasks of the class precedence over those of all classes without it,
	// regardless of the order policy.
	Quick bool `json:"quick,omitempty"`
	// MaxUnfinishedTasks limits the unfinished tasks of the class; 0 means no limit.
	MaxUnfinishedTasks int `json:"inboxMax,omitempty"`
	// RunLimit is how long an attempt may run; 0 means Limits.RunLimit.
	RunLimit Duration `json:"runLimit,omitzero"`
	// LostWorkerPolicy is RestartOnLostWorker or HoldOnLostWorker; empty means the latter.
	LostWorkerPolicy string `json:"silence,omitempty"`
	// MaxFailures applies to tasks that don't specify their own; 0 means 3.
	MaxFailures int `json:"allowedDefects,omitempty"`
	// RequiresKey restricts calls on the class to callers with the key of a tenant.
	RequiresKey bool `json:"requiresKey,omitempty"`
	// LatencyTarget and CriticalPathFactor define the target duration of a job:
	// CriticalPathFactor times its longest chain of expected run times, plus LatencyTarget.
	// They are not enforced, and no scheduling decision uses them yet.
	LatencyTarget      Duration `json:"aim,omitzero"`
	CriticalPathFactor float64  `json:"stretch,omitempty"`
}

// Policies of a class for an attempt that may have succeeded on a lost worker.
// RestartOnLostWorker starts the task again once the attempt must have ended;
// HoldOnLostWorker holds the task until its worker reports again or an operator decides.
const (
	RestartOnLostWorker = "restart"
	HoldOnLostWorker    = "hold"
)

// Route maps requests for a host and a path prefix to a class.
type Route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Class   string `json:"class"`
}

// Limits holds the durations and counts that apply to all services.
type Limits struct {
	// LeaseDuration is how long a worker may run its attempts after its last heartbeat.
	LeaseDuration Duration `json:"lease"`
	// ExpiryMargin is added to the expiry of a lease before its attempts count as ended.
	ExpiryMargin Duration `json:"margin"`
	// GangStartTimeout is how long the members of a gang may take to start.
	GangStartTimeout Duration `json:"startBy"`
	// HeartbeatTimeout is the time after its last heartbeat during which a worker still gets
	// work. A scheduler loses its leadership after half of this time without a heartbeat.
	HeartbeatTimeout Duration `json:"silent"`
	// FinishedRetention is how long the full record of an ended job is kept.
	FinishedRetention Duration `json:"keep"`
	// PastJobRetention and PastJobsMax limit how long, and for how many jobs, a summary is
	// kept after that.
	PastJobRetention Duration `json:"remember"`
	PastJobsMax      int      `json:"rememberMax"`
	// MaxLostAttempts limits the attempts of a task that may be lost with their workers.
	MaxLostAttempts int `json:"maxLosses"`
	// RunLimit is how long an attempt may run unless its class or task sets another limit.
	RunLimit Duration `json:"runLimit"`
	// MaxTasks limits the tasks of one job, including all of its repetitions.
	MaxTasks int `json:"maxTasks"`
	// KilledAtLeaseExpiry means that an external supervisor ends a worker's attempts when its
	// lease expires, so that there is no need to wait for their run limit.
	KilledAtLeaseExpiry bool `json:"endsAtCutoff,omitempty"`
}

// Default returns the values of the fields that the operator's configuration leaves out.
func Default() Config {
	return Config{
		Services: map[string]Service{},
		Policies: Policies{Order: priorityOrder, Borrow: "waiting == 0 && idle - asked >= total / 8"},
		Limits: Limits{
			LeaseDuration:     Duration{6 * time.Second},
			ExpiryMargin:      Duration{time.Second},
			GangStartTimeout:  Duration{4 * time.Second},
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

// FindRoute returns the route with the longest prefix that matches a host and path. Hosts are
// compared case-insensitively.
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
