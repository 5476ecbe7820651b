package config

import (
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// priorityOrder and alwaysBorrow are the policies that callers can apply without running a
// compiled program.
const (
	priorityOrder = "priority"
	alwaysBorrow  = "true"
)

// maxPolicyNodes limits the number of nodes in a policy's syntax tree.
const maxPolicyNodes = 200

// Policies holds the policies as expressions: Order ranks waiting tasks, and Borrow decides
// whether a class may exceed its share.
type Policies struct {
	Order  string `json:"order"`
	Borrow string `json:"borrow"`
}

// OrderInput holds the variables of an order policy. Tasks with larger results start first;
// tasks of quick classes precede all others regardless of the policy.
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

// BorrowInput holds the variables of a borrow policy, which is evaluated only for a class that
// would exceed its share. All counts are in slots, except Waiting: it counts the tasks of other
// classes that could run within their shares.
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

// CompiledPolicies are the policies of a configuration, ready to run.
type CompiledPolicies struct {
	orderProgram    *vm.Program
	borrowProgram   *vm.Program
	orderIsPriority bool
	alwaysBorrow    bool
}

// Compile compiles the policies. All policies of a configuration that Parse has accepted
// compile. An invalid policy is replaced by the conservative one: order by priority, and no
// borrowing.
func (c Config) Compile() CompiledPolicies {
	order, _ := compileOrder(c.Policies.Order)
	borrow, _ := compileBorrow(c.Policies.Borrow)
	return CompiledPolicies{
		orderProgram:    order,
		borrowProgram:   borrow,
		orderIsPriority: strings.TrimSpace(c.Policies.Order) == priorityOrder,
		alwaysBorrow:    strings.TrimSpace(c.Policies.Borrow) == alwaysBorrow,
	}
}

// OrdersByPriority reports whether the order policy is just "priority".
func (p CompiledPolicies) OrdersByPriority() bool { return p.orderIsPriority }

// AlwaysAllowsBorrowing reports whether the borrow policy is just "true".
func (p CompiledPolicies) AlwaysAllowsBorrowing() bool { return p.alwaysBorrow }

// Order ranks a waiting task; tasks with larger results start first. If the policy fails or its
// result is not a number, the rank is the task's priority.
func (p CompiledPolicies) Order(input OrderInput) float64 {
	if p.orderProgram != nil && !p.orderIsPriority {
		if out, err := expr.Run(p.orderProgram, input); err == nil {
			if rank, ok := out.(float64); ok && rank == rank {
				return rank
			}
		}
	}
	return float64(input.Priority)
}

// Borrow reports whether a class may exceed its share now. If the policy fails, it may not.
func (p CompiledPolicies) Borrow(input BorrowInput) bool {
	if p.borrowProgram == nil {
		return false
	}
	out, err := expr.Run(p.borrowProgram, input)
	allowed, ok := out.(bool)
	return err == nil && ok && allowed
}

// policyOptions keeps policies deterministic. The clock is disabled, so that a policy depends
// only on its input and every replica of the state gets the same result.
var policyOptions = []expr.Option{expr.DisableBuiltin("now"), expr.MaxNodes(maxPolicyNodes)}

func compileOrder(text string) (*vm.Program, error) {
	return compilePolicy(text, OrderInput{}, expr.AsFloat64())
}

func compileBorrow(text string) (*vm.Program, error) {
	return compilePolicy(text, BorrowInput{}, expr.AsBool())
}

func compilePolicy(text string, input any, resultType expr.Option) (*vm.Program, error) {
	options := append([]expr.Option{expr.Env(input), resultType}, policyOptions...)
	return expr.Compile(text, options...)
}
