// Package stricttoml reads TOML documents into tagged structs and reports everything that is wrong with a
// document at once, each problem with its line, its column and what is allowed. The documents are files that
// people write: their size is limited, and no nesting, repetition or long key costs more memory than a fixed
// multiple of that size.
//
// Every field of a struct is a key. Its tags:
//
//	toml:"key"          its name; toml:"key,need" if it is required, and a string not empty
//	range:"1..9"        the smallest and largest value, or min:"1" max:"9"; for a time in the unit of its key
//	oneof:"this,that"   the strings that are allowed
//	default:"[1, 2]"    the value of a key that is left out, in TOML; without it the field is not changed
//
// A field is a string, a bool, an integer (int, int64, uint64), a float64, a time.Duration (its key ends in
// _ms or _s), a span (a struct of Low and High, both float64 or both time.Duration: in the document a number
// or an array of two), a table (a struct), an array of any of these, or a map of any of these whose keys the
// document chooses. Tags that make no sense are a programming error and panic.
//
// The package keeps no state and starts no goroutine. Problems come in the order of the document, whatever
// the order of maps.
package stricttoml

import (
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the largest document that is read, in bytes. The TOML library compares each key of a table with
// all others, so that the time for a table grows with the square of its size.
const MaxBytes = 256 << 10

// Document is a document that was read, for checks between its keys. It is used by one goroutine.
type Document struct {
	positions keyPositions
	tables    map[string]map[string]any // as written in the document, by path
	problems  Problems
}

// ReadFile reads a file as Read does. An error other than Problems means that the file could not be read; it
// is the one of package os, which names the operation and the path.
func ReadFile(path string, into any, check func(*Document)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // opened for reading only
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	return Read(path, data, into, check)
}

// Read reads a document into the struct that into points to, then calls check for the rules between keys. An
// error is always Problems, with name as the file; the content of the struct is undefined then.
func Read(name string, data []byte, into any, check func(*Document)) error {
	if len(data) > MaxBytes {
		return Problems{{File: name, Text: fmt.Sprintf("is longer than %d bytes", MaxBytes)}}
	}
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		return Problems{syntaxProblem(name, err)}
	}
	d := &Document{positions: findKeyPositions(data), tables: map[string]map[string]any{}}
	d.bindTable("", values, reflect.ValueOf(into).Elem())
	check(d)
	if len(d.problems) == 0 {
		return nil
	}
	return d.sortedProblems(name)
}

// AddProblem reports a problem of the key or table with this path. If the path is not in the document, the
// problem gets the position of the closest table around it.
func (d *Document) AddProblem(path, format string, args ...any) {
	line, column := d.positions.find(path)
	text := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{Line: line, Column: column, Key: path, Text: text})
}

// IsValid reports whether no problem was found so far in the table with this path, or in the whole document
// if the path is empty. Rules between keys apply only to tables whose keys are valid one by one.
func (d *Document) IsValid(path string) bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool {
		rest, hasPrefix := strings.CutPrefix(p.Key, path)
		return hasPrefix && (path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// Keys returns the keys of a table that are in the document, sorted.
func (d *Document) Keys(table string) []string { return slices.Sorted(maps.Keys(d.tables[table])) }

// Has reports whether a key is in the document itself, rather than at its default.
func (d *Document) Has(table, key string) bool {
	_, has := d.tables[table][key]
	return has
}
