// Package plan holds the operator's plan: services with their classes and
// shares, the two policies and the limits. A plan is checked twice before it
// counts: by the JSON schema for its shape, then across fields and by compiling
// its policies. Every fault is reported with its place, all of them at once.
package plan

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

	"sorrelloom/core/code"
)

// Span is a duration that reads and writes as "1.5s".
type Span struct{ time.Duration }

// MarshalText writes the duration as Go does.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a duration that is not negative.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("negative duration %q", text)
	}
	s.Duration = d
	return err
}

// Class is a kind of work of one service, with its part of the workers.
type Class struct {
	Priority int    `json:"priority"`
	Share    int    `json:"share"`
	Quick    bool   `json:"quick,omitempty"`
	InboxMax int    `json:"inboxMax,omitempty"`
	RunLimit Span   `json:"runLimit,omitzero"`
	Silence  string `json:"silence,omitempty"`
	// AllowedDefects is what a task gets that names none; 0 stands for 3.
	AllowedDefects int `json:"allowedDefects,omitempty"`
	// Aim and Stretch say by when a job ought to be over: Stretch times its
	// longest chain of guessed run times, and Aim on top. They order, and bound nothing.
	Aim     Span    `json:"aim,omitzero"`
	Stretch float64 `json:"stretch,omitempty"`
}

// Entry sends what callers ask for by host and path to a class: the longest
// prefix of those for the host counts.
type Entry struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Class   string `json:"class"`
}

// What a worker's silence means for a task that it may have ended well: start
// it again once the attempt must have ended, or hold it for a word.
const (
	Restart = "restart"
	Hold    = "hold"
)

// Service is a set of workers of one kind and the classes of work for them.
type Service struct {
	Classes map[string]Class `json:"classes"`
	Labels  []string         `json:"labels,omitempty"`
	// Largest is the largest worker that the service may have; without it every
	// need is taken, and waits for a worker that can meet it.
	Largest Room `json:"largestWorker,omitzero"`
	// AnyLabel: tasks may ask for any label, since their workers name their own.
	AnyLabel bool `json:"anyLabel,omitempty"`
}

// Room is what a task needs and what a worker has. Shares are parts of the
// slots; what a slot stands for, a place or a thousandth of a core, is the
// operator's choice.
type Room struct {
	Slots        int `json:"slots"`
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Add sums each resource.
func (r Room) Add(o Room) Room {
	return Room{r.Slots + o.Slots, r.Cores + o.Cores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Less takes the other from each resource; the result may be negative.
func (r Room) Less(o Room) Room {
	return Room{r.Slots - o.Slots, r.Cores - o.Cores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Holds says whether the other fits, by each resource.
func (r Room) Holds(o Room) bool {
	return r.Slots >= o.Slots && r.Cores >= o.Cores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Least takes the smaller of each.
func (r Room) Least(o Room) Room {
	return Room{
		Slots:        min(r.Slots, o.Slots),
		Cores:        min(r.Cores, o.Cores),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Most takes the larger of each.
func (r Room) Most(o Room) Room {
	return Room{
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
	Lease       Span `json:"lease"`
	Margin      Span `json:"margin"`
	StartBy     Span `json:"startBy"`
	Silent      Span `json:"silent"`
	Keep        Span `json:"keep"`
	Remember    Span `json:"remember"`
	RememberMax int  `json:"rememberMax"`
	MaxLosses   int  `json:"maxLosses"`
	RunLimit    Span `json:"runLimit"`
	MaxTasks    int  `json:"maxTasks"`
	// EndsAtCutoff says that whatever stands over the workers ends their attempts
	// when the lease is over, so that no run limit need be waited for.
	EndsAtCutoff bool `json:"endsAtCutoff,omitempty"`
}

// Plan is the operator's plan. Document is what an outside system's translator
// keeps with it, handed back as it was.
type Plan struct {
	Sequence uint64             `json:"sequence"`
	Services map[string]Service `json:"services"`
	Entries  []Entry            `json:"entries,omitempty"`
	Sites    []string           `json:"sites,omitempty"`
	Policies Policies           `json:"policies"`
	Limits   Limits             `json:"limits"`
	Document json.RawMessage    `json:"document,omitempty"`
}

// Find gives the entry for a host and path: the longest prefix counts. Hosts are
// compared without regard to case.
func (p Plan) Find(host, path string) (Entry, bool) {
	var best Entry
	found := false
	for _, e := range p.Entries {
		matches := strings.EqualFold(e.Host, host) && strings.HasPrefix(path, e.Prefix)
		if matches && (!found || len(e.Prefix) > len(best.Prefix)) {
			best, found = e, true
		}
	}
	return best, found
}

func span(d time.Duration) Span { return Span{d} }

// Default is what an empty field of an operator's plan means.
func Default() Plan {
	return Plan{
		Services: map[string]Service{},
		Policies: Policies{Order: "priority", Borrow: "waiting == 0 && idle - asked >= total / 8"},
		Limits: Limits{
			Lease:       span(6 * time.Second),
			Margin:      span(time.Second),
			StartBy:     span(4 * time.Second),
			Silent:      span(3 * time.Second),
			Keep:        span(10 * time.Minute),
			Remember:    span(6 * time.Hour),
			RememberMax: 50000,
			MaxLosses:   20,
			RunLimit:    span(10 * time.Minute),
			MaxTasks:    1000,
		},
	}
}

// OrderNames are the names an order policy may use; the larger result goes
// first. Quick classes stand before all others whatever it says.
type OrderNames struct {
	Priority int     `expr:"priority"`
	Level    int     `expr:"level"`
	Waited   float64 `expr:"waited"`
	Share    int     `expr:"share"`
	Used     int     `expr:"used"`
	Class    string  `expr:"class"`
	Service  string  `expr:"service"`
	Slots    int     `expr:"slots"`
}

// BorrowNames are the names a borrowing policy may use; it is asked only for a
// class that would go over its share.
type BorrowNames struct {
	Total   int    `expr:"total"`
	Idle    int    `expr:"idle"`
	Asked   int    `expr:"asked"`
	Used    int    `expr:"used"`
	Share   int    `expr:"share"`
	Waiting int    `expr:"waiting"`
	Class   string `expr:"class"`
	Service string `expr:"service"`
}

// Fault is one thing wrong with a plan, and where.
type Fault struct {
	Code  code.Code `json:"code"`
	Place string    `json:"place"`
	Why   string    `json:"why"`
}

//go:embed schema.json
var schemaText []byte

// Schema is the published JSON schema of a plan.
func Schema() []byte { return bytes.Clone(schemaText) }

var schema = mustSchema()

func mustSchema() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
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
func Parse(data []byte) (Plan, []Fault) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Plan{}, []Fault{{code.Malformed, "/", err.Error()}}
	}
	if err := schema.Validate(doc); err != nil {
		var faults []Fault
		if invalid, ok := err.(*jsonschema.ValidationError); ok {
			leaves(invalid, &faults)
		} else {
			faults = []Fault{{code.BadPlan, "/", err.Error()}}
		}
		return Plan{}, faults
	}
	p := Default()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Plan{}, []Fault{{code.BadPlan, "/", err.Error()}}
	}
	return p, p.faults()
}

func leaves(e *jsonschema.ValidationError, faults *[]Fault) {
	if len(e.Causes) == 0 {
		why := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*faults = append(*faults, Fault{code.BadPlan, "/" + strings.Join(e.InstanceLocation, "/"), why})
	}
	for _, cause := range e.Causes {
		leaves(cause, faults)
	}
}

func (p Plan) faults() []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		sum := 0
		for _, class := range p.Services[name].Classes {
			sum += class.Share
		}
		if sum > 100 {
			why := fmt.Sprintf("the shares add up to %d, over 100", sum)
			faults = append(faults, Fault{code.BadPlan, "/services/" + name, why})
		}
	}
	places := map[[2]string]bool{}
	for i, e := range p.Entries {
		at := fmt.Sprintf("/entries/%d", i)
		place := [2]string{strings.ToLower(e.Host), e.Prefix}
		if places[place] {
			faults = append(faults, Fault{code.BadPlan, at, "another entry has this host and prefix"})
		}
		places[place] = true
		if _, ok := p.Services[e.Service].Classes[e.Class]; !ok {
			why := fmt.Sprintf("no class %q of a service %q", e.Class, e.Service)
			faults = append(faults, Fault{code.BadPlan, at, why})
		}
	}
	if p.Limits.StartBy.Duration >= p.Limits.Lease.Duration {
		faults = append(faults, Fault{code.BadPlan, "/limits/startBy", "must be shorter than the lease"})
	}
	if _, err := compileOrder(p.Policies.Order); err != nil {
		faults = append(faults, Fault{code.BadPolicy, "/policies/order", where(err)})
	}
	if _, err := compileBorrow(p.Policies.Borrow); err != nil {
		faults = append(faults, Fault{code.BadPolicy, "/policies/borrow", where(err)})
	}
	return faults
}

func where(err error) string {
	if at, ok := err.(*file.Error); ok {
		return fmt.Sprintf("line %d column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return err.Error()
}

// Now and its kin are switched off: a policy sees only the names it is given,
// so that every copy of the ledger reaches the same result.
var pure = []expr.Option{expr.DisableBuiltin("now"), expr.MaxNodes(200)}

func compileOrder(text string) (*vm.Program, error) {
	return expr.Compile(text, append([]expr.Option{expr.Env(OrderNames{}), expr.AsFloat64()}, pure...)...)
}

func compileBorrow(text string) (*vm.Program, error) {
	return expr.Compile(text, append([]expr.Option{expr.Env(BorrowNames{}), expr.AsBool()}, pure...)...)
}

// Rules are the compiled policies of a plan. The two shortest are known by sight.
type Rules struct {
	order, borrow      *vm.Program
	byPriority, always bool
}

// ByPriority says that the order policy is just "priority".
func (r Rules) ByPriority() bool { return r.byPriority }

// AlwaysLends says that the borrowing policy is just "true".
func (r Rules) AlwaysLends() bool { return r.always }

// RunLimit is how long an attempt of a class may run unless its task says so.
func (p Plan) RunLimit(service, class string) time.Duration {
	if limit := p.Services[service].Classes[class].RunLimit.Duration; limit > 0 {
		return limit
	}
	return p.Limits.RunLimit.Duration
}

// Compile never fails on a plan that Parse passed; on a fault it falls back to
// priority order and no borrowing, the careful side of both.
func (p Plan) Compile() Rules {
	order, _ := compileOrder(p.Policies.Order)
	borrow, _ := compileBorrow(p.Policies.Borrow)
	return Rules{
		order:      order,
		borrow:     borrow,
		byPriority: strings.TrimSpace(p.Policies.Order) == "priority",
		always:     strings.TrimSpace(p.Policies.Borrow) == "true",
	}
}

// Order ranks a waiting task; the larger result goes first.
func (r Rules) Order(names OrderNames) float64 {
	if r.order != nil && !r.byPriority {
		if out, err := expr.Run(r.order, names); err == nil {
			if v, ok := out.(float64); ok && v == v {
				return v
			}
		}
	}
	return float64(names.Priority)
}

// Borrow says whether a class may go over its share now.
func (r Rules) Borrow(names BorrowNames) bool {
	if r.borrow == nil {
		return false
	}
	out, err := expr.Run(r.borrow, names)
	allowed, ok := out.(bool)
	return err == nil && ok && allowed
}

// Merge applies a JSON merge patch (RFC 7396) to a plan and checks the result.
func Merge(base Plan, patch []byte) (Plan, []Fault) {
	var change any
	if err := json.Unmarshal(patch, &change); err != nil {
		return Plan{}, []Fault{{code.Malformed, "/", err.Error()}}
	}
	if _, ok := change.(map[string]any); !ok {
		return Plan{}, []Fault{{code.Malformed, "/", "a patch is a JSON object"}}
	}
	data, err := json.Marshal(base)
	if err != nil {
		return Plan{}, []Fault{{code.Internal, "/", err.Error()}}
	}
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		return Plan{}, []Fault{{code.Internal, "/", err.Error()}}
	}
	merged, err := json.Marshal(merge(doc, change))
	if err != nil {
		return Plan{}, []Fault{{code.Internal, "/", err.Error()}}
	}
	return Parse(merged)
}

func merge(doc, change any) any {
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
			target[key] = merge(target[key], value)
		}
	}
	return target
}
