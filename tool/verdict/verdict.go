// Package verdict judges the output of a `go test` run against the list of tests
// that are known to fail. The run passes if nothing else failed; a listed test is
// always named, whether it failed or passed.
package verdict

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// MaxKnown is how many tests the list may hold.
const MaxKnown = 3

// TestID names a top-level test of a package.
type TestID struct {
	Package string
	Test    string
}

func (id TestID) String() string { return id.Package + "." + id.Test }

// KnownFailure is one line of the list: a test, the cause of its failure and the
// issue that follows it up.
type KnownFailure struct {
	TestID
	Cause string
	Issue string
}

// ErrTooMany says that the list is longer than it may be.
var ErrTooMany = fmt.Errorf("more than %d tests are listed as failing", MaxKnown)

// ErrMalformed says that a line of the list is not "package.Test: cause; issue".
var ErrMalformed = errors.New(`want "package.Test: cause; issue"`)

var knownLine = regexp.MustCompile(`^(\S+)\.(Test\w*): ([^;]+); (.+)$`)

// ParseKnown reads the list of known failures, one to a line.
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

// Failure is a package that failed, with the top-level tests that failed in it.
type Failure struct {
	Package string
	Tests   []string
	// Complete says that all tests of the package ran: it neither failed to build
	// nor panicked nor ran out of time.
	Complete bool
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (Test\w*)`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPackage = regexp.MustCompile(`^(?:ok  \t|\?   \t)`)
)

// testsRan is the line that a test binary ends with once all its tests ran.
const testsRan = "FAIL"

// ParseOutput finds the failures in the output of `go test` without -v, in which
// the output of each package stands together and ends with its result.
func ParseOutput(output io.Reader) ([]Failure, error) {
	const longestLine = 1 << 24
	var failures []Failure
	var open Failure
	previous := ""
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Text()
		if match := failedTest.FindStringSubmatch(line); match != nil {
			open.Tests = append(open.Tests, match[1])
		} else if match := failedPackage.FindStringSubmatch(line); match != nil {
			open.Package, open.Complete = match[1], previous == testsRan
			failures, open = append(failures, open), Failure{}
		} else if passedPackage.MatchString(line) {
			open = Failure{}
		}
		previous = line
	}
	return failures, lines.Err()
}

// Verdict is the judgement of one run.
type Verdict struct {
	// Unexpected are the failures that the list does not explain, in words.
	Unexpected []string
	// Known are the listed tests that failed.
	Known []KnownFailure
	// Passing are the listed tests that ran and passed: they are to be taken off the list.
	Passing []KnownFailure
}

// Passes says whether nothing failed but what is listed.
func (v Verdict) Passes() bool { return len(v.Unexpected) == 0 }

// Judge compares a run with the list. The run succeeded if `go test` ended with 0.
func Judge(succeeded bool, failures []Failure, known []KnownFailure) Verdict {
	var v Verdict
	failed, cutShort := map[TestID]bool{}, map[string]bool{}
	for _, failure := range failures {
		cutShort[failure.Package] = !failure.Complete
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
		case !cutShort[k.Package]:
			v.Passing = append(v.Passing, k)
		}
	}
	for _, failure := range failures {
		v.Unexpected = append(v.Unexpected, failure.unexplained(listed)...)
	}
	if !succeeded && len(failures) == 0 {
		v.Unexpected = append(v.Unexpected, "go test failed and names no package")
	}
	return v
}

// unexplained are the faults of a package that the list does not name.
func (f Failure) unexplained(listed map[TestID]bool) []string {
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

// Lines are the verdict in words, one finding a line.
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
