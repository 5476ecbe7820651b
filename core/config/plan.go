// Package config holds the operator's plan: services with their classes and
// shares, the two policies and the limits. A plan is checked twice before it
// counts: by the JSON schema for its shape, then across fields and by compiling
// its policies. Every fault is reported with its place, all of them at once.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"sorrelloom/core/status"
)

// Span is a duration that reads and writes as "1.5s".
type Duration struct{ time.Duration }

// MarshalText writes the duration as Go does.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a duration that is not negative.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("negative duration %q", text)
	}
	s.Duration = d
	return err
}

// Class is a kind of work of one service, with its part of the workers.
type Class struct {
	Priority         int      `json:"priority"`
	Share            int      `json:"share"`
	Quick            bool     `json:"quick,omitempty"`
	QueueLimit       int      `json:"inboxMax,omitempty"`
	RunLimit         Duration `json:"runLimit,omitzero"`
	LostWorkerPolicy string   `json:"silence,omitempty"`
	// AllowedDefects is what a task gets that names none; 0 stands for 3.
	MaxFailures int `json:"allowedDefects,omitempty"`
	// Aim and Stretch say by when a job ought to be over: Stretch times its
	// longest chain of guessed run times, and Aim on top. They order, and bound nothing.
	LatencyTarget      Duration `json:"aim,omitzero"`
	CriticalPathFactor float64  `json:"stretch,omitempty"`
}

// Entry sends what callers ask for by host and path to a class: the longest
// prefix of those for the host counts.
type Route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Class   string `json:"class"`
}

// What a worker's silence means for a task that it may have ended well: start
// it again once the attempt must have ended, or hold it for a word.
const (
	RestartOnLostWorker = "restart"
	HoldOnLostWorker    = "hold"
)

// Service is a set of workers of one kind and the classes of work for them.
type Service struct {
	Classes map[string]Class `json:"classes"`
	Labels  []string         `json:"labels,omitempty"`
	// Largest is the largest worker that the service may have; without it every
	// need is taken, and waits for a worker that can meet it.
	LargestWorker Resources `json:"largestWorker,omitzero"`
	// AnyLabel: tasks may ask for any label, since their workers name their own.
	AllowAnyLabel bool `json:"anyLabel,omitempty"`
}

// Room is what a task needs and what a worker has. Shares are parts of the
// slots; what a slot stands for, a place or a thousandth of a core, is the
// operator's choice.
type Resources struct {
	Slots        int `json:"slots"`
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Add sums each resource.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Slots + o.Slots, r.Cores + o.Cores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Less takes the other from each resource; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Slots - o.Slots, r.Cores - o.Cores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Holds says whether the other fits, by each resource.
func (r Resources) Covers(o Resources) bool {
	return r.Slots >= o.Slots && r.Cores >= o.Cores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Least takes the smaller of each.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		Slots:        min(r.Slots, o.Slots),
		Cores:        min(r.Cores, o.Cores),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Most takes the larger of each.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Slots:        max(r.Slots, o.Slots),
		Cores:        max(r.Cores, o.Cores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Policies are expressions: Order ranks waiting tasks, Borrow says whether a class may
// go over its share.
type Policies struct {
	Order  string `json:"order"`
	Borrow string `json:"borrow"`
}

// Limits are the times and counts that hold for all services.
type Limits struct {
	LeaseDuration     Duration `json:"lease"`
	ExpiryMargin      Duration `json:"margin"`
	StartTimeout      Duration `json:"startBy"`
	HeartbeatTimeout  Duration `json:"silent"`
	FinishedRetention Duration `json:"keep"`
	PastJobRetention  Duration `json:"remember"`
	PastJobsMax       int      `json:"rememberMax"`
	MaxLostAttempts   int      `json:"maxLosses"`
	RunLimit          Duration `json:"runLimit"`
	MaxTasks          int      `json:"maxTasks"`
	// EndsAtCutoff says that whatever stands over the workers ends their attempts
	// when the lease is over, so that no run limit need be waited for.
	KilledAtLeaseExpiry bool `json:"endsAtCutoff,omitempty"`
}

// Plan is the operator's plan. Document is what an outside system's translator
// keeps with it, handed back as it was.
type Config struct {
	Version        uint64             `json:"sequence"`
	Services       map[string]Service `json:"services"`
	Routes         []Route            `json:"entries,omitempty"`
	Zones          []string           `json:"sites,omitempty"`
	Policies       Policies           `json:"policies"`
	Limits         Limits             `json:"limits"`
	SourceDocument json.RawMessage    `json:"document,omitempty"`
}

// Find gives the entry for a host and path: the longest prefix counts. Hosts are
// compared without regard to case.
func (p Config) FindRoute(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range p.Routes {
		matches := strings.EqualFold(route.Host, host) && strings.HasPrefix(path, route.Prefix)
		if matches && (!found || len(route.Prefix) > len(best.Prefix)) {
			best, found = route, true
		}
	}
	return best, found
}

func duration(d time.Duration) Duration { return Duration{d} }

// Default is what an empty field of an operator's plan means.
func Default() Config {
	return Config{
		Services: map[string]Service{},
		Policies: Policies{Order: "priority", Borrow: "waiting == 0 && idle - asked >= total / 8"},
		Limits: Limits{
			LeaseDuration:     duration(6 * time.Second),
			ExpiryMargin:      duration(time.Second),
			StartTimeout:      duration(4 * time.Second),
			HeartbeatTimeout:  duration(3 * time.Second),
			FinishedRetention: duration(10 * time.Minute),
			PastJobRetention:  duration(6 * time.Hour),
			PastJobsMax:       50000,
			MaxLostAttempts:   20,
			RunLimit:          duration(10 * time.Minute),
			MaxTasks:          1000,
		},
	}
}

// OrderNames are the names an order policy may use; the larger result goes
// first. Quick classes stand before all others whatever it says.
type OrderInput struct {
	Priority      int     `expr:"priority"`
	Level         int     `expr:"level"`
	WaitedSeconds float64 `expr:"waited"`
	Share         int     `expr:"share"`
	Used          int     `expr:"used"`
	Class         string  `expr:"class"`
	Service       string  `expr:"service"`
	Slots         int     `expr:"slots"`
}

// BorrowNames are the names a borrowing policy may use; it is asked only for a
// class that would go over its share.
type BorrowInput struct {
	Total     int    `expr:"total"`
	Idle      int    `expr:"idle"`
	Requested int    `expr:"asked"`
	Used      int    `expr:"used"`
	Share     int    `expr:"share"`
	Waiting   int    `expr:"waiting"`
	Class     string `expr:"class"`
	Service   string `expr:"service"`
}

// Fault is one thing wrong with a plan, and where.
type Violation struct {
	Code   status.Code `json:"code"`
	Path   string      `json:"place"`
	Reason string      `json:"why"`
}

//go:embed schema.json
var schemaJSON []byte

// Schema is the published JSON schema of a plan.
func Schema() []byte { return bytes.Clone(schemaJSON) }

var schema = mustSchema()

func mustSchema() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("plan.json", doc); err != nil {
		panic(err)
	}
	return compiler.MustCompile("plan.json")
}

// Parse checks a whole plan and fills what it leaves out.
func Parse(data []byte) (Config, []Violation) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Config{}, []Violation{{status.Malformed, "/", err.Error()}}
	}
	if err := schema.Validate(doc); err != nil {
		var violations []Violation
		if invalid, ok := err.(*jsonschema.ValidationError); ok {
			appendViolations(invalid, &violations)
		} else {
			violations = []Violation{{status.InvalidConfig, "/", err.Error()}}
		}
		return Config{}, violations
	}
	config := Default()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return Config{}, []Violation{{status.InvalidConfig, "/", err.Error()}}
	}
	return config, config.violations()
}

func appendViolations(route *jsonschema.ValidationError, faults *[]Violation) {
	if len(route.Causes) == 0 {
		reason := route.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*faults = append(*faults, Violation{status.InvalidConfig, "/" + strings.Join(route.InstanceLocation, "/"), reason})
	}
	for _, cause := range route.Causes {
		appendViolations(cause, faults)
	}
}

func (p Config) violations() []Violation {
	var violations []Violation
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		sum := 0
		for _, class := range p.Services[name].Classes {
			sum += class.Share
		}
		if sum > 100 {
			reason := fmt.Sprintf("the shares add up to %d, over 100", sum)
			violations = append(violations, Violation{status.InvalidConfig, "/services/" + name, reason})
		}
	}
	seen := map[[2]string]bool{}
	for i, route := range p.Routes {
		at := fmt.Sprintf("/entries/%d", i)
		place := [2]string{strings.ToLower(route.Host), route.Prefix}
		if seen[place] {
			violations = append(violations, Violation{status.InvalidConfig, at, "another entry has this host and prefix"})
		}
		seen[place] = true
		if _, ok := p.Services[route.Service].Classes[route.Class]; !ok {
			reason := fmt.Sprintf("no class %q of a service %q", route.Class, route.Service)
			violations = append(violations, Violation{status.InvalidConfig, at, reason})
		}
	}
	if p.Limits.StartTimeout.Duration >= p.Limits.LeaseDuration.Duration {
		violations = append(violations, Violation{status.InvalidConfig, "/limits/startBy", "must be shorter than the lease"})
	}
	if _, err := compileOrder(p.Policies.Order); err != nil {
		violations = append(violations, Violation{status.InvalidPolicy, "/policies/order", describeCompileError(err)})
	}
	if _, err := compileBorrow(p.Policies.Borrow); err != nil {
		violations = append(violations, Violation{status.InvalidPolicy, "/policies/borrow", describeCompileError(err)})
	}
	return violations
}

func describeCompileError(err error) string {
	if at, ok := err.(*file.Error); ok {
		return fmt.Sprintf("line %d column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return err.Error()
}

// Now and its kin are switched off: a policy sees only the names it is given,
// so that every copy of the ledger reaches the same result.
var policyOptions = []expr.Option{expr.DisableBuiltin("now"), expr.MaxNodes(200)}

func compileOrder(text string) (*vm.Program, error) {
	return expr.Compile(text, append([]expr.Option{expr.Env(OrderInput{}), expr.AsFloat64()}, policyOptions...)...)
}

func compileBorrow(text string) (*vm.Program, error) {
	return expr.Compile(text, append([]expr.Option{expr.Env(BorrowInput{}), expr.AsBool()}, policyOptions...)...)
}

// Rules are the compiled policies of a plan. The two shortest are known by sight.
type CompiledPolicies struct {
	orderProgram, borrowProgram   *vm.Program
	orderIsPriority, alwaysBorrow bool
}

// ByPriority says that the order policy is just "priority".
func (r CompiledPolicies) OrdersByPriority() bool { return r.orderIsPriority }

// AlwaysLends says that the borrowing policy is just "true".
func (r CompiledPolicies) AlwaysAllowsBorrowing() bool { return r.alwaysBorrow }

// RunLimit is how long an attempt of a class may run unless its task says so.
func (p Config) RunLimit(service, class string) time.Duration {
	if limit := p.Services[service].Classes[class].RunLimit.Duration; limit > 0 {
		return limit
	}
	return p.Limits.RunLimit.Duration
}

// Compile never fails on a plan that Parse passed; on a fault it falls back to
// priority order and no borrowing, the careful side of both.
func (p Config) Compile() CompiledPolicies {
	order, _ := compileOrder(p.Policies.Order)
	borrow, _ := compileBorrow(p.Policies.Borrow)
	return CompiledPolicies{
		orderProgram:    order,
		borrowProgram:   borrow,
		orderIsPriority: strings.TrimSpace(p.Policies.Order) == "priority",
		alwaysBorrow:    strings.TrimSpace(p.Policies.Borrow) == "true",
	}
}

// Order ranks a waiting task; the larger result goes first.
func (r CompiledPolicies) Order(names OrderInput) float64 {
	if r.orderProgram != nil && !r.orderIsPriority {
		if out, err := expr.Run(r.orderProgram, names); err == nil {
			if v, ok := out.(float64); ok && v == v {
				return v
			}
		}
	}
	return float64(names.Priority)
}

// Borrow says whether a class may go over its share now.
func (r CompiledPolicies) Borrow(names BorrowInput) bool {
	if r.borrowProgram == nil {
		return false
	}
	out, err := expr.Run(r.borrowProgram, names)
	allowed, ok := out.(bool)
	return err == nil && ok && allowed
}

// Merge applies a JSON merge patch (RFC 7396) to a plan and checks the result.
func ApplyPatch(base Config, patch []byte) (Config, []Violation) {
	var change any
	if err := json.Unmarshal(patch, &change); err != nil {
		return Config{}, []Violation{{status.Malformed, "/", err.Error()}}
	}
	if _, ok := change.(map[string]any); !ok {
		return Config{}, []Violation{{status.Malformed, "/", "a patch is a JSON object"}}
	}
	data, err := json.Marshal(base)
	if err != nil {
		return Config{}, []Violation{{status.Internal, "/", err.Error()}}
	}
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		return Config{}, []Violation{{status.Internal, "/", err.Error()}}
	}
	merged, err := json.Marshal(mergePatch(doc, change))
	if err != nil {
		return Config{}, []Violation{{status.Internal, "/", err.Error()}}
	}
	return Parse(merged)
}

func mergePatch(doc, change any) any {
	fields, ok := change.(map[string]any)
	if !ok {
		return change
	}
	target, ok := doc.(map[string]any)
	if !ok {
		target = map[string]any{}
	}
	for key, value := range fields {
		if value == nil {
			delete(target, key)
		} else {
			target[key] = mergePatch(target[key], value)
		}
	}
	return target
}
