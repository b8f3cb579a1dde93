package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// testID names one top-level test of one package.
type testID struct {
	Package string
	Test    string
}

func (id testID) String() string { return id.Package + " " + id.Test }

// knownFailure is one entry of KNOWN-RED.txt: a test that is allowed to fail, and why.
type knownFailure struct {
	ID      testID
	Command string
	Seen    string
	Issue   string
	// IsIntermittent is true if the test fails in some runs only.
	IsIntermittent bool
}

// packageResult is the part of the output of go test about one package.
type packageResult struct {
	Name   string
	Failed bool
	// FailedTests are the package's top-level tests that failed, in the order of the output.
	FailedTests []string
	// Aborted is true if a test of the package panicked: tests that had not run by then have no result.
	Aborted bool
}

// errNoTests reports that the output has no result of any package.
var errNoTests = errors.New("go test printed no result of any package")

// parseKnownFailures reads KNOWN-RED.txt: entries between blank lines, each with the fields test (package
// and name), command, seen and issue, and "fails: sometimes" if it does not fail in each run. Lines that
// begin
// with # are comments.
func parseKnownFailures(r io.Reader) ([]knownFailure, error) {
	var entries []knownFailure
	fields := map[string]string{}
	finish := func() error {
		if len(fields) == 0 {
			return nil
		}
		entry, err := newKnownFailure(fields)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(entries)+1, err)
		}
		entries = append(entries, entry)
		fields = map[string]string{}
		return nil
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(line, "#") {
			continue
		}
		if line == "" {
			if err := finish(); err != nil {
				return nil, err
			}
			continue
		}
		name, value, found := strings.Cut(line, ":")
		if _, twice := fields[name]; !found || twice {
			return nil, fmt.Errorf("entry %d: line %q is not a new field", len(entries)+1, line)
		}
		fields[name] = strings.TrimSpace(value)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read list of known failures: %w", err)
	}
	return entries, finish()
}

func newKnownFailure(fields map[string]string) (knownFailure, error) {
	for _, name := range []string{"test", "command", "seen", "issue"} {
		if fields[name] == "" {
			return knownFailure{}, fmt.Errorf("field %q is missing", name)
		}
	}
	fails, isIntermittent := fields["fails"]
	if isIntermittent && fails != "sometimes" {
		return knownFailure{}, fmt.Errorf("fails: %q, want sometimes, or no such field", fails)
	}
	delete(fields, "fails")
	if len(fields) != 4 {
		return knownFailure{}, fmt.Errorf("%d fields, want test, command, seen and issue", len(fields))
	}
	pkg, test, found := strings.Cut(fields["test"], " ")
	if !found || strings.ContainsAny(test, " /") {
		return knownFailure{}, fmt.Errorf("test %q is not a package and a top-level test", fields["test"])
	}
	return knownFailure{
		ID:      testID{Package: pkg, Test: test},
		Command: fields["command"],
		Seen:    fields["seen"],
		Issue:   fields["issue"],

		IsIntermittent: isIntermittent,
	}, nil
}

// parseResults reads the plain output of go test. The lines of one package end with its "ok" or "FAIL" line.
func parseResults(r io.Reader) ([]packageResult, error) {
	var results []packageResult
	var current packageResult
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		line := lines.Text()
		words := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "--- FAIL: ") && len(words) >= 3:
			current.FailedTests = append(current.FailedTests, words[2])
		case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
			current.Aborted = true
		case len(words) >= 2 && (strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t")):
			current.Name = words[1]
			current.Failed = words[0] == "FAIL"
			results = append(results, current)
			current = packageResult{}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read output of go test: %w", err)
	}
	if len(results) == 0 {
		return nil, errNoTests
	}
	return results, nil
}

// judge compares the results with the known failures and returns what makes the run fail: a failure that is
// not known, a known one that fails in each run and did not fail, and a package that failed without naming
// a test.
func judge(results []packageResult, known []knownFailure) (problems []string) {
	var failed []testID
	for _, result := range results {
		for _, test := range result.FailedTests {
			failed = append(failed, testID{Package: result.Name, Test: test})
		}
		if result.Failed && (len(result.FailedTests) == 0 || result.Aborted) {
			problems = append(problems, result.Name+": the package failed without a result of every test")
		}
	}
	isKnown := func(id testID) bool {
		return slices.ContainsFunc(known, func(k knownFailure) bool { return k.ID == id })
	}
	for _, id := range failed {
		if !isKnown(id) {
			problems = append(problems, id.String()+": failed")
		}
	}
	for _, k := range known {
		if !k.IsIntermittent && !slices.Contains(failed, k.ID) {
			problems = append(problems, k.ID.String()+": listed in KNOWN-RED.txt, but it did not fail")
		}
	}
	return problems
}
