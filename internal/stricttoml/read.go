// Package stricttoml reads TOML documents into tagged structs and reports all problems of a document at once,
// each with its line, its column and what is allowed. It is made for files written by people: their size is
// limited, and the memory used is at most a fixed multiple of that size, whatever nesting, repetition or long
// keys a document has.
//
// Every field of a struct is a key. Its tags:
//
//	toml:"key"          the name of the key; toml:"key,need" if it is required (a string must not be empty)
//	range:"1..9"        the minimum and maximum, or min:"1" max:"9"; for a time in the unit of its key
//	oneof:"this,that"   the allowed strings
//	default:"[1, 2]"    the value, in TOML, if the key is omitted; without it the field is not changed
//
// A field is a string, a bool, an integer (int, int64, uint64), a float64, a time.Duration (its key ends in
// _ms or _s), a span (a struct of Low and High, both float64 or both time.Duration: in the document a number
// or an array of two), a table (a struct), an array of any of these, or a map of any of these with arbitrary
// keys. Invalid tags are a programming error and cause a panic.
//
// The package keeps no state and starts no goroutine. Problems are reported in the order of the document,
// independent of map order.
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

// MaxBytes is the maximum size of a document, in bytes. The TOML library compares each key of a table with
// all others, so the time for a table grows with the square of its size.
const MaxBytes = 256 << 10

// Document is a document that has been read, for checks between its keys. It is not safe for concurrent use.
type Document struct {
	positions keyPositions
	tables    map[string]map[string]any // as written in the document, by path
	problems  Problems
}

// ReadFile reads a file as Read does. An error other than Problems means that the file could not be read;
// it is the error of package os, which contains the operation and the path.
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

// Read reads a document into the struct that into points to, then calls check for the rules between keys. Its
// errors are always Problems with name as the file. After an error the content of the struct is undefined.
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

// AddProblem adds a problem of the key or table with this path. If the path is not in the document, the
// problem gets the position of the innermost enclosing table.
func (d *Document) AddProblem(path, format string, args ...any) {
	line, column := d.positions.find(path)
	text := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{Line: line, Column: column, Key: path, Text: text})
}

// IsValid reports whether no problem has been found so far in the table with this path, or in the whole
// document if the path is empty. Rules between keys apply only to tables whose individual values are valid.
func (d *Document) IsValid(path string) bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool {
		rest, hasPrefix := strings.CutPrefix(p.Key, path)
		return hasPrefix && (path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// Keys returns the sorted keys of a table that are present in the document.
func (d *Document) Keys(table string) []string { return slices.Sorted(maps.Keys(d.tables[table])) }

// Has reports whether a key is present in the document, as opposed to having its default.
func (d *Document) Has(table, key string) bool {
	_, has := d.tables[table][key]
	return has
}
