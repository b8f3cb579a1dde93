package stricttoml

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one thing that is wrong with a document. Its text is for the person who wrote the file.
type Problem struct {
	// File is the name that the document was read under.
	File string
	// Line and Column count from 1, columns in bytes. Both are 0 if the problem has no position.
	Line, Column int
	// Key is the path of the key, such as fault[2].at_s; empty: the document as a whole.
	Key string
	// Text says what is wrong and what is allowed.
	Text string
}

// Error returns "FILE:LINE:COLUMN: KEY: TEXT", without the parts that are not known.
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

// Problems is everything that is wrong with a document, in the order of the document.
type Problems []Problem

// maxReportedProblems is how many problems of a document are listed; one more says how many are left out.
const maxReportedProblems = 50

// Error returns the problems, each on a line.
func (p Problems) Error() string { return errors.Join(p.Unwrap()...).Error() }

// Unwrap returns the problems one by one.
func (p Problems) Unwrap() []error {
	all := make([]error, len(p))
	for i, one := range p {
		all[i] = one
	}
	return all
}

// syntaxProblem turns an error of the TOML parser into a problem.
func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		p.Line, p.Column = decodeErr.Position()
		p.Key = strings.Join(decodeErr.Key(), ".")
	}
	return p
}

// sortedProblems returns the problems in the order of the document; if there are too many to read, only the
// first of them.
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
