// Package verdict compares the output of a `go test` run with a list of known
// failures. The run passes if only listed tests failed. Listed tests are reported
// whether they failed or passed.
package verdict

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// MaxKnown is the maximum number of tests in the list.
const MaxKnown = 3

// TestID identifies a top-level test of a package.
type TestID struct {
	Package string
	Test    string
}

func (id TestID) String() string { return id.Package + "." + id.Test }

// KnownFailure is one line of the list: a test, the cause of its failure and the
// issue that tracks it.
type KnownFailure struct {
	TestID
	Cause string
	Issue string
}

// ErrTooMany means that the list has more than MaxKnown entries.
var ErrTooMany = fmt.Errorf("more than %d tests are listed as failing", MaxKnown)

// ErrMalformed means that a line of the list is not "package.Test: cause; issue".
var ErrMalformed = errors.New(`want "package.Test: cause; issue"`)

var knownLine = regexp.MustCompile(`^(\S+)\.(Test\w*): ([^;]+); (.+)$`)

// ParseKnown parses a list of known failures with one entry per line. Empty lines are ignored.
func ParseKnown(list io.Reader) ([]KnownFailure, error) {
	var known []KnownFailure
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		parts := knownLine.FindStringSubmatch(text)
		if parts == nil {
			return nil, fmt.Errorf("line %d: %w", number, ErrMalformed)
		}
		known = append(known, KnownFailure{TestID{parts[1], parts[2]}, parts[3], parts[4]})
	}
	if len(known) > MaxKnown {
		return nil, ErrTooMany
	}
	return known, lines.Err()
}

// Failure is a failed package with its failed top-level tests.
type Failure struct {
	Package string
	Tests   []string
	// Complete reports whether all tests of the package ran. It is false if the package
	// failed to build, panicked or timed out.
	Complete bool
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (Test\w*)`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPackage = regexp.MustCompile(`^(?:ok  \t|\?   \t)`)
)

// testBinaryFailed is the last line of a failed test binary that ran all its tests.
const testBinaryFailed = "FAIL"

// ParseOutput parses the failures from the output of `go test` without -v, where the
// output of each package is contiguous and ends with the result of the package.
func ParseOutput(output io.Reader) ([]Failure, error) {
	const longestLine = 1 << 24
	var failures []Failure
	var current Failure
	previous := ""
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Text()
		if match := failedTest.FindStringSubmatch(line); match != nil {
			current.Tests = append(current.Tests, match[1])
		} else if match := failedPackage.FindStringSubmatch(line); match != nil {
			current.Package, current.Complete = match[1], previous == testBinaryFailed
			failures, current = append(failures, current), Failure{}
		} else if passedPackage.MatchString(line) {
			current = Failure{}
		}
		previous = line
	}
	return failures, lines.Err()
}

// Verdict is the result of comparing one run with the list.
type Verdict struct {
	// Unexpected describes the failures that are not listed.
	Unexpected []string
	// Known are the listed tests that failed.
	Known []KnownFailure
	// Passing are the listed tests that did not fail, in packages whose tests all ran. They
	// should be removed from the list.
	Passing []KnownFailure
}

// Passes reports whether there are no unlisted failures.
func (v Verdict) Passes() bool { return len(v.Unexpected) == 0 }

// Judge compares a run with the list. succeeded says whether `go test` exited with 0.
func Judge(succeeded bool, failures []Failure, known []KnownFailure) Verdict {
	var v Verdict
	failed, incomplete := map[TestID]bool{}, map[string]bool{}
	for _, failure := range failures {
		incomplete[failure.Package] = !failure.Complete
		for _, test := range failure.Tests {
			failed[TestID{failure.Package, test}] = true
		}
	}
	listed := map[TestID]bool{}
	for _, k := range known {
		listed[k.TestID] = true
		switch {
		case failed[k.TestID]:
			v.Known = append(v.Known, k)
		case !incomplete[k.Package]:
			v.Passing = append(v.Passing, k)
		}
	}
	for _, failure := range failures {
		v.Unexpected = append(v.Unexpected, failure.unexpected(listed)...)
	}
	if !succeeded && len(failures) == 0 {
		v.Unexpected = append(v.Unexpected, "go test failed and names no package")
	}
	return v
}

// unexpected returns descriptions of the package's failures that are not listed.
func (f Failure) unexpected(listed map[TestID]bool) []string {
	var faults []string
	if !f.Complete {
		faults = append(faults, f.Package+": not all of its tests ran")
	} else if len(f.Tests) == 0 {
		faults = append(faults, f.Package+": failed outside of a test")
	}
	for _, test := range f.Tests {
		if id := (TestID{f.Package, test}); !listed[id] {
			faults = append(faults, id.String())
		}
	}
	return faults
}

// Lines returns the verdict as text, with one line per finding.
func (v Verdict) Lines() []string {
	var lines []string
	for _, k := range v.Known {
		lines = append(lines, fmt.Sprintf("known red: %s: %s; %s", k, k.Cause, k.Issue))
	}
	for _, k := range v.Passing {
		lines = append(lines, fmt.Sprintf("known red, but passes, take it off the list: %s", k))
	}
	for _, fault := range v.Unexpected {
		lines = append(lines, "failed: "+fault)
	}
	return lines
}
