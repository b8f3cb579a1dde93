package stricttoml

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem describes one fault of a document. Its text is meant for the author of the file.
type Problem struct {
	// File is the document's name as passed to Read or ReadFile.
	File string
	// Line and Column count from 1, columns in bytes. Both are 0 if the problem has no position.
	Line, Column int
	// Key is the path of the key, such as fault[2].at_s; empty: the whole document.
	Key string
	// Text says what is wrong and what is allowed.
	Text string
}

// Error returns "FILE:LINE:COLUMN: KEY: TEXT" without the unknown parts.
func (p Problem) Error() string {
	where := p.File + ":"
	if p.Line > 0 {
		where += fmt.Sprintf("%d:%d:", p.Line, p.Column)
	}
	if p.Key != "" {
		where += " " + p.Key + ":"
	}
	return where + " " + p.Text
}

// Problems lists the problems of a document, in the order of the document.
type Problems []Problem

// maxReportedProblems is the maximum number of problems in a list. An additional entry has the number of
// those omitted.
const maxReportedProblems = 50

// Error returns the texts of the problems, one per line.
func (p Problems) Error() string { return errors.Join(p.Unwrap()...).Error() }

// Unwrap returns the problems as separate errors.
func (p Problems) Unwrap() []error {
	all := make([]error, len(p))
	for i, one := range p {
		all[i] = one
	}
	return all
}

// syntaxProblem converts an error of the TOML parser to a problem.
func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		p.Line, p.Column = decodeErr.Position()
		p.Key = strings.Join(decodeErr.Key(), ".")
	}
	return p
}

// sortedProblems returns the problems in the order of the document, limited to maxReportedProblems.
func (d *Document) sortedProblems(name string) Problems {
	all := d.problems
	slices.SortStableFunc(all, func(p, q Problem) int {
		return cmp.Or(cmp.Compare(p.Line, q.Line), cmp.Compare(p.Column, q.Column), cmp.Compare(p.Key, q.Key))
	})
	if more := len(all) - maxReportedProblems; more > 0 {
		all = append(all[:maxReportedProblems], Problem{Text: fmt.Sprintf("and %d more", more)})
	}
	for i := range all {
		all[i].File = name
	}
	return all
}
