// Command testverdict decides whether a run of go test passes, given the list of known failures.
//
//	go test ./... 2>&1 | testverdict KNOWN-RED.txt
//
// It copies its standard input to its standard output, then prints each known failure. It exits with 0 if
// exactly the tests of the list failed, and with 1 otherwise, with a line for each difference. A missing list
// is an empty one.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: testverdict KNOWN-RED.txt < output of go test")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(1)
	}
}

// run copies the output of go test from in to out and checks it against the list in file knownPath.
func run(knownPath string, in io.Reader, out io.Writer) error {
	known, err := readKnownFailures(knownPath)
	if err != nil {
		return err
	}
	results, err := parseResults(io.TeeReader(in, out))
	if err != nil {
		return err
	}
	var report strings.Builder
	for _, k := range known {
		fmt.Fprintf(&report, "known failure: %s: %s (issue %s; %s)\n", k.ID, k.Seen, k.Issue, k.Command)
	}
	problems := judge(results, known)
	for _, problem := range problems {
		fmt.Fprintln(&report, "verdict:", problem)
	}
	if _, err := io.WriteString(out, report.String()); err != nil {
		return fmt.Errorf("print verdict: %w", err)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems in %d packages", len(problems), len(results))
	}
	return nil
}

func readKnownFailures(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read list of known failures: %w", err)
	}
	known, err := parseKnownFailures(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}
