package config

import (
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// priorityOrder and alwaysBorrow are the two policies that are decided without
// running their program.
const (
	priorityOrder = "priority"
	alwaysBorrow  = "true"
)

// maxPolicyNodes bounds the size of a policy's syntax tree.
const maxPolicyNodes = 200

// Policies are expressions: Order ranks waiting tasks, and Borrow says whether a
// class may exceed its share.
type Policies struct {
	Order  string `json:"order"`
	Borrow string `json:"borrow"`
}

// OrderInput holds the variables of an order policy. The task with the larger
// result goes first; tasks of quick classes go before all others whatever it says.
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

// BorrowInput holds the variables of a borrow policy, which is evaluated only for
// a class that would exceed its share. All counts are slots but Waiting, which
// counts the tasks of other classes that could run within their shares.
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

// Compile compiles the policies. It never fails on a configuration that Parse has
// accepted. For an invalid policy it falls back to the careful side: the order of
// priorities, and no borrowing.
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

// Order ranks a waiting task; the task with the larger result goes first. A policy
// that fails or gives no number ranks the task by its priority.
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

// Borrow reports whether a class may exceed its share now. A policy that fails
// allows nothing.
func (p CompiledPolicies) Borrow(input BorrowInput) bool {
	if p.borrowProgram == nil {
		return false
	}
	out, err := expr.Run(p.borrowProgram, input)
	allowed, ok := out.(bool)
	return err == nil && ok && allowed
}

// policyOptions keep policies pure: the clock is disabled, so that a policy depends
// on its input alone and every replica of the state reaches the same result.
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
