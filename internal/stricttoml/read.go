// Package stricttoml reads TOML documents into tagged structs, and tells all that is wrong with a document at
// once, each problem with its line, its column and what is allowed. The documents come from people's files:
// they are bounded in size, and no nesting, repeating or long name makes one cost more memory than that.
//
// Every field of a struct is a key. Its tags:
//
//	toml:"key"          its name; toml:"key,need" where it must be there, and texts not empty
//	range:"1..9"        the least and the most, or min:"1" max:"9"; for a time in the unit of its key
//	oneof:"word,other"  the texts that are allowed
//	default:"[1, 2]"    what a key that is left out is, in TOML; without it the field stays as it was
//
// A field is a text, a truth, a whole number (int, int64, uint64), a float64, a time.Duration (its key ends
// in _ms or _s), a span (a struct of Low and High, both of one of these two: a number in the document, or an
// array of two), a table (a struct), an array of any of these, or a map of any of these by names that the
// document chooses.
package stricttoml

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the largest document that is read. go-toml compares each key of a table with all others, which
// takes seconds where these bytes are nothing but keys.
const MaxBytes = 256 << 10

// Problem is one thing that is wrong with a document.
type Problem struct {
	File         string
	Line, Column int    // from 1, in bytes; 0 where there is no place to point at
	Key          string // its path, as trouble[2].at_s; empty: the document as a whole
	Text         string
}

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

// Problems is what is wrong with a document, in its order.
type Problems []Problem

// maxProblems is how many are told of, and how many more there are.
const maxProblems = 50

func (p Problems) Error() string { return errors.Join(p.Unwrap()...).Error() }

// Unwrap returns the problems one by one.
func (p Problems) Unwrap() []error {
	all := make([]error, len(p))
	for i, one := range p {
		all[i] = one
	}
	return all
}

// Document is a document that was read, for checks across its keys.
type Document struct {
	at       places
	tables   map[string]map[string]any // as they were written, by their paths
	problems Problems
}

// ReadFile reads a file as Read does. Any other error than Problems is that the file could not be read.
func ReadFile(path string, into any, check func(*Document)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	return Read(path, data, into, check)
}

// Read reads a document into the struct that into points to, and has check look for what is wrong between
// keys. The name is for the errors, which are Problems; the struct is of no use then.
func Read(name string, data []byte, into any, check func(*Document)) error {
	if len(data) > MaxBytes {
		return Problems{{File: name, Text: fmt.Sprintf("is longer than %d bytes", MaxBytes)}}
	}
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		return Problems{syntaxProblem(name, err)}
	}
	d := &Document{at: findKeys(data), tables: map[string]map[string]any{}}
	d.table("", values, reflect.ValueOf(into).Elem())
	check(d)
	if len(d.problems) == 0 {
		return nil
	}
	return d.inOrder(name)
}

func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
		p.Line, p.Column = d.Position()
		p.Key = strings.Join(d.Key(), ".")
	}
	return p
}

// inOrder returns the problems in the document's order; the first of them where there are too many to read.
func (d *Document) inOrder(name string) Problems {
	all := d.problems
	slices.SortStableFunc(all, func(p, q Problem) int {
		return cmp.Or(cmp.Compare(p.Line, q.Line), cmp.Compare(p.Column, q.Column), cmp.Compare(p.Key, q.Key))
	})
	if more := len(all) - maxProblems; more > 0 {
		all = append(all[:maxProblems], Problem{Text: fmt.Sprintf("and %d more", more)})
	}
	for i := range all {
		all[i].File = name
	}
	return all
}

// Complain notes a problem of the key or table with this path. One that is not in the document is placed at
// the table round it.
func (d *Document) Complain(path, format string, args ...any) {
	line, column := d.at.find(path)
	text := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{Line: line, Column: column, Key: path, Text: text})
}

// Sound tells whether nothing was found wrong so far in the table with this path, or with an empty path in
// the whole document. Only what is right by itself can contradict something else.
func (d *Document) Sound(path string) bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool {
		below, inside := strings.CutPrefix(p.Key, path)
		return inside && (path == "" || below == "" || below[0] == '.' || below[0] == '[')
	})
}

// Keys returns the keys that the document has in a table, sorted.
func (d *Document) Keys(table string) []string { return slices.Sorted(maps.Keys(d.tables[table])) }

// Has tells whether the document itself has a key, so that it is not at its default.
func (d *Document) Has(table, key string) bool {
	_, has := d.tables[table][key]
	return has
}
