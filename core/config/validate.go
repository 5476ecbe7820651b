package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/expr-lang/expr/file"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"sorrelloom/core/status"
)

// rootPath is the path of the whole document.
const rootPath = "/"

// maxShareSum limits the sum of the shares of a service's classes, in percent.
const maxShareSum = 100

// Violation describes a rule that a configuration violates, and where.
type Violation struct {
	Code status.Code `json:"code"`
	// Path is a JSON pointer into the document.
	Path   string `json:"place"`
	Reason string `json:"why"`
}

// Parse decodes and validates a complete configuration. Missing fields get their values from
// Default. The configuration is valid only if there are no violations.
func Parse(data []byte) (Config, []Violation) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Config{}, []Violation{{status.Malformed, rootPath, err.Error()}}
	}
	if err := schema.Validate(document); err != nil {
		return Config{}, schemaViolations(err)
	}
	config := Default()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return Config{}, []Violation{{status.InvalidConfig, rootPath, err.Error()}}
	}
	return config, config.violations()
}

func schemaViolations(err error) []Violation {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []Violation{{status.InvalidConfig, rootPath, err.Error()}}
	}
	return appendSchemaViolations(nil, invalid)
}

// appendSchemaViolations appends the leaves of a tree of validation errors.
func appendSchemaViolations(violations []Violation, invalid *jsonschema.ValidationError) []Violation {
	if len(invalid.Causes) == 0 {
		path := "/" + strings.Join(invalid.InstanceLocation, "/")
		reason := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		violations = append(violations, Violation{status.InvalidConfig, path, reason})
	}
	for _, cause := range invalid.Causes {
		violations = appendSchemaViolations(violations, cause)
	}
	return violations
}

// violations checks the rules that the schema can't express: those that involve several fields,
// and the syntax of policies.
func (c Config) violations() []Violation {
	return slices.Concat(c.shareViolations(), c.routeViolations(), c.tenantViolations(), c.limitViolations(),
		c.policyViolations())
}

func (c Config) shareViolations() []Violation {
	var violations []Violation
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		sum := 0
		for _, class := range c.Services[name].Classes {
			sum += class.Share
		}
		if sum > maxShareSum {
			reason := fmt.Sprintf("the shares add up to %d, over %d", sum, maxShareSum)
			violations = append(violations, Violation{status.InvalidConfig, "/services/" + name, reason})
		}
	}
	return violations
}

func (c Config) routeViolations() []Violation {
	type match struct{ host, prefix string }
	var violations []Violation
	seen := map[match]bool{}
	for i, route := range c.Routes {
		path := fmt.Sprintf("/entries/%d", i)
		matched := match{strings.ToLower(route.Host), route.Prefix}
		if seen[matched] {
			reason := "another entry has this host and prefix"
			violations = append(violations, Violation{status.InvalidConfig, path, reason})
		}
		seen[matched] = true
		if _, ok := c.Services[route.Service].Classes[route.Class]; !ok {
			reason := fmt.Sprintf("no class %q of a service %q", route.Class, route.Service)
			violations = append(violations, Violation{status.InvalidConfig, path, reason})
		}
	}
	return violations
}

func (c Config) limitViolations() []Violation {
	if c.Limits.GangStartTimeout.Duration < c.Limits.LeaseDuration.Duration {
		return nil
	}
	return []Violation{{status.InvalidConfig, "/limits/startBy", "must be shorter than the lease"}}
}

func (c Config) policyViolations() []Violation {
	var violations []Violation
	if _, err := compileOrder(c.Policies.Order); err != nil {
		violations = append(violations, Violation{status.InvalidPolicy, "/policies/order", describeCompileError(err)})
	}
	if _, err := compileBorrow(c.Policies.Borrow); err != nil {
		violations = append(violations, Violation{status.InvalidPolicy, "/policies/borrow", describeCompileError(err)})
	}
	return violations
}

// describeCompileError returns the message of a policy's compile error with its position.
// Columns are counted from 1.
func describeCompileError(err error) string {
	var positioned *file.Error
	if errors.As(err, &positioned) {
		return fmt.Sprintf("line %d column %d: %s", positioned.Line, positioned.Column+1, positioned.Message)
	}
	return err.Error()
}
