package graphql

import (
	"bytes"
	"cmp"
	"iter"
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

// parameters is what a request holds, whichever way it came.
type parameters struct {
	query      []byte // from quote to quote, a JSON string if it can be read at all; nil: none
	operation  []byte // its name; empty: none, or an empty one
	documentID string
	hash       string // of extensions.persistedQuery
	variables  []byte // a JSON object; nil: none
	any        bool   // one of them was there
	others     bool   // there are more, which may mean another document to a server
}

// The names of parameters, and those within extensions. A name that is equal but for case, or is written with
// escapes, would be the same one to some servers and another one to others: it is refused.
var (
	parameterNames = []string{"query", "operationName", "variables", "extensions", "documentId"}
	extensionNames = []string{"persistedQuery"}
	persistedNames = []string{"version", "sha256Hash"}
)

const (
	nameQuery = iota
	nameOperation
	nameVariables
	nameExtensions
	nameDocumentID
)

// prototype would be taken for an object's parent by some readers.
const prototype = "__proto__"

// maxNames bounds the names beside variables; there are five in all.
const maxNames = 32

// maxNesting bounds JSON within JSON; what a form of a booking page sends comes nowhere near.
const maxNesting = 64

// readObject reads the parameters from a JSON object.
func readObject(b []byte) (p parameters, err error) {
	err = members(b, parameterNames, func(name int, value []byte) error {
		if name < 0 {
			p.others = true
			return nil
		}
		return p.set(name, value)
	})
	return p, err
}

// set takes one parameter, a JSON value that is not checked yet.
func (p *parameters) set(name int, value []byte) (err error) {
	p.any = true
	if string(value) == "null" {
		return nil
	}
	switch name {
	case nameQuery:
		if value[0] != '"' {
			return badRequest("query must be a string")
		}
		p.query = value
	case nameOperation:
		p.operation, err = text(value, "operationName")
	case nameDocumentID:
		var id []byte
		id, err = text(value, "documentId")
		p.documentID = string(id)
	case nameVariables:
		if !isObject(value) {
			return badRequest("variables must be an object")
		}
		p.variables = value
	case nameExtensions:
		if !isObject(value) {
			return badRequest("extensions must be an object")
		}
		err = members(value, extensionNames, func(name int, value []byte) (err error) {
			if name >= 0 {
				p.hash, err = persistedHash(value)
			}
			return err
		})
	}
	return err
}

// persistedHash reads extensions.persistedQuery.
func persistedHash(b []byte) (hash string, err error) {
	version := false
	err = members(b, persistedNames, func(name int, value []byte) error {
		switch name {
		case 0:
			version = string(value) == "1"
		case 1:
			text, err := text(value, "sha256Hash")
			hash = string(text)
			return err
		}
		return nil
	})
	if err == nil && (!version || !isHash(hash)) {
		err = badRequest("persistedQuery must have version 1, and sha256Hash of 64 small hexadecimal digits")
	}
	return hash, err
}

func isHash(s string) bool { return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == "" }

// readURL reads the parameters from a target's query.
func readURL(query string) (p parameters, err error) {
	if strings.ContainsAny(query, ";#") { // some servers take them for an ampersand, and for the end
		return p, badRequest("the URL's query must have %%3B and %%23 for a semicolon and a hash sign")
	}
	var seen uint
	for pair := range strings.SplitSeq(query, "&") {
		if pair == "" {
			continue
		}
		rawName, rawValue, _ := strings.Cut(pair, "=")
		name, err := url.QueryUnescape(rawName)
		value, err2 := url.QueryUnescape(rawValue)
		if err != nil || err2 != nil || !utf8.ValidString(value) || strings.Trim(name, urlNames) != "" {
			return p, badRequest("the URL's query cannot be read")
		}
		i, err := known([]byte(name), parameterNames, &seen)
		if err != nil {
			return p, err
		}
		if i < 0 {
			p.others = p.others || slices.Contains(documentNames, strings.ToLower(name))
			continue
		}
		if i == nameQuery || i == nameOperation || i == nameDocumentID {
			err = p.set(i, quote(value))
		} else {
			err = p.set(i, []byte(cmp.Or(strings.Trim(value, " \t\r\n"), "null")))
		}
		if err != nil {
			return p, err
		}
	}
	return p, nil
}

// documentNames are, in small letters, what servers of their own ways call a document's id. In a URL other
// names are common and mean nothing.
var documentNames = []string{
	"id", "doc", "docid", "doc_id", "document", "hash", "queryid", "query_id",
	"operationid", "operation_id", "sha256hash",
}

// urlNames are what a name in a URL consists of. Others are read as lists or trimmed by some servers.
const urlNames = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"

// known finds a name among names; below zero: it is another.
func known(name []byte, names []string, seen *uint) (int, error) {
	for i, n := range names {
		if string(name) == n {
			if *seen&(1<<i) != 0 {
				return i, badRequest("%s is there twice", n)
			}
			*seen |= 1 << i
			return i, nil
		}
	}
	for _, n := range names {
		if strings.EqualFold(string(name), n) {
			return -1, badRequest("%q could be taken for %s", name, n)
		}
	}
	if string(name) == prototype {
		return -1, badRequest("a name must not be %s", prototype)
	}
	return -1, nil
}

// members calls f with the value of each member of a JSON object and the number of its name among names;
// one that is not among them, below zero, is checked before.
func members(b []byte, names []string, f func(name int, value []byte) error) error {
	var seen uint
	count := 0
	return pairs(b, func(literal, value []byte) error {
		i, err := key(literal, names, &seen)
		count++
		switch {
		case count > maxNames:
			return badRequest("an object has %d names at most", maxNames)
		case err != nil:
			return err
		case i < 0 && !valid(value):
			return errNotJSON
		}
		return f(i, value)
	})
}

// pairs calls f with the name and the value of each member of a JSON object, both as they stand there. The
// object is taken apart here, and each piece is to be checked by the library: so the whole is JSON if all
// pieces are.
func pairs(b []byte, f func(literal, value []byte) error) error {
	if len(b) < 2 || b[0] != '{' || b[len(b)-1] != '}' {
		return errNotJSON
	}
	for rest := trimSpace(b[1 : len(b)-1]); len(rest) > 0; {
		name := valueEnd(rest)
		if name <= 0 {
			return errNotJSON
		}
		after := trimSpace(rest[name:])
		if len(after) == 0 || after[0] != ':' {
			return errNotJSON
		}
		after = trimSpace(after[1:])
		value := valueEnd(after)
		if value <= 0 {
			return errNotJSON
		}
		err := f(rest[:name], after[:value])
		if err == nil {
			rest, err = afterComma(after[value:])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// maxVariable is the most bytes of a variable that is looked at.
const maxVariable = 256

// Variable finds a string or a number among the variables of a Verdict, by the names on the way to it;
// empty: it is not there, too long, or there twice.
func Variable(variables []byte, path []string) (found string) {
	if len(path) == 0 || len(variables) == 0 || variables[0] != '{' {
		return ""
	}
	var at []byte
	err := pairs(variables, func(literal, value []byte) error {
		name, err := text(literal, "a name")
		if err != nil || string(name) != path[0] {
			return err
		}
		if at != nil {
			return errNotJSON
		}
		at = value
		return nil
	})
	switch {
	case err != nil || at == nil || len(path) == 1 && len(at) > maxVariable:
		return ""
	case len(path) > 1:
		return Variable(at, path[1:])
	case at[0] == '"':
		s, _ := text(at, "")
		return string(s)
	case at[0] == '-' || at[0] >= '0' && at[0] <= '9':
		return string(at)
	}
	return ""
}

// afterComma is what follows the comma that must stand between two members or elements; nothing at the end.
func afterComma(b []byte) ([]byte, error) {
	b = trimSpace(b)
	if len(b) == 0 {
		return nil, nil
	}
	after := trimSpace(b[1:])
	if b[0] != ',' || len(after) == 0 {
		return nil, errNotJSON
	}
	return after, nil
}

// key finds which of names a member's key is; below zero: none.
func key(literal []byte, names []string, seen *uint) (int, error) {
	name, err := text(literal, "a name")
	if err != nil {
		return -1, err
	}
	i, err := known(name, names, seen)
	if i >= 0 && len(name) != len(literal)-2 {
		return i, badRequest("%s is written with escapes", names[i])
	}
	return i, err
}

// elements gives the elements of a JSON array, which are not checked yet, or an error.
func elements(b []byte) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		if len(b) < 2 || b[len(b)-1] != ']' {
			yield(nil, errNotJSON)
			return
		}
		var err error
		for rest := trimSpace(b[1 : len(b)-1]); len(rest) > 0; {
			end := valueEnd(rest)
			if end <= 0 {
				yield(nil, errNotJSON)
				return
			}
			if !yield(rest[:end], nil) {
				return
			}
			if rest, err = afterComma(rest[end:]); err != nil {
				yield(nil, err)
				return
			}
		}
	}
}

var errNotJSON = badRequest("the body must be a JSON object or an array of them, in UTF-8, without a mark")

// valid tells whether a piece is a JSON value. Names that are there twice are left to those who read them.
func valid(b []byte) bool {
	return isPlain(b) || jsontext.Value(b).IsValid(jsontext.AllowDuplicateNames(true))
}

// isPlain tells whether a piece is a string of nothing but printable ASCII without escapes, digits, or an
// object of such: what clients send for variables, mostly. That takes a third of the library's time, as long
// as few objects are within others: each is taken apart anew.
func isPlain(b []byte) bool { return bytes.IndexByte(b, '[') < 0 && isPlainWithin(b, maxPlainNesting) }

// maxPlainNesting is how many objects within one another are looked at.
const maxPlainNesting = 2

func isPlainWithin(b []byte, nesting int) bool {
	switch {
	case b[0] == '"' && len(b) > 1 && b[len(b)-1] == '"':
		for _, c := range b[1 : len(b)-1] {
			if c < ' ' || c > '~' || c == '"' || c == '\\' {
				return false
			}
		}
		return true
	case b[0] >= '1' && b[0] <= '9':
		return len(bytes.Trim(b, "0123456789")) == 0
	case b[0] == '{' && nesting > 0:
		return pairs(b, func(literal, value []byte) error {
			if literal[0] != '"' || !isPlain(literal) || !isPlainWithin(value, nesting-1) {
				return errNotJSON
			}
			return nil
		}) == nil
	}
	return false
}

func isObject(b []byte) bool { return b[0] == '{' && valueEnd(b) == len(b) && valid(b) }

// text is what a JSON string holds.
func text(literal []byte, what string) ([]byte, error) {
	if len(literal) >= 2 && literal[0] == '"' {
		if inner := literal[1 : len(literal)-1]; isName(inner) && literal[len(literal)-1] == '"' {
			return inner, nil
		}
	}
	s, err := jsontext.AppendUnquote(nil, literal)
	if err != nil {
		return nil, badRequest("%s must be a string", what)
	}
	return s, nil
}

// isName tells whether a string holds nothing but letters, digits and underlines: so it needs no reading.
func isName(b []byte) bool {
	for _, c := range b {
		if c != '_' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// trimSpace takes off what JSON takes for white space, and no more.
func trimSpace(b []byte) []byte {
	for len(b) > 0 && isSpace(b[0]) {
		b = b[1:]
	}
	for len(b) > 0 && isSpace(b[len(b)-1]) {
		b = b[:len(b)-1]
	}
	return b
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// stringEnd is where the JSON string at the beginning of b has ended; below zero: nowhere.
func stringEnd(b []byte) int {
	for from := 1; ; {
		n := bytes.IndexByte(b[from:], '"')
		if n < 0 {
			return -1
		}
		escapes := 0
		for i := from + n - 1; i >= from && b[i] == '\\'; i-- {
			escapes++
		}
		from += n + 1
		if escapes%2 == 0 {
			return from
		}
	}
}

// valueEnd is where the JSON value at the beginning of b ends, if it is one; zero or below: nowhere.
func valueEnd(b []byte) int {
	if len(b) == 0 {
		return -1
	}
	if b[0] == '"' {
		return stringEnd(b)
	}
	depth := 0
	for i := 0; i < len(b); i++ {
		switch c := b[i]; c {
		case '"':
			n := stringEnd(b[i:])
			if n < 0 {
				return -1
			}
			i += n - 1
		case '{', '[':
			if depth++; depth > maxNesting {
				return -1
			}
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
			if depth < 0 {
				return i
			}
		case ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return i
			}
		}
	}
	if depth > 0 {
		return -1
	}
	return len(b)
}
