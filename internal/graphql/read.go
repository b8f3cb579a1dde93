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

// parameters are the GraphQL parameters of a request, from its URL or its body.
type parameters struct {
	query      []byte // string literal with its quotes, not yet validated; nil if absent
	operation  []byte // operation name; empty if absent or empty
	documentID string
	hash       string // hash in extensions.persistedQuery
	variables  []byte // JSON object; nil if absent
	hasKnown   bool   // a known parameter is present
	hasUnknown bool   // an unknown parameter is present that may select another document
}

// The names of parameters, and the names within extensions. A name that differs only in case or is written
// with escapes is refused, because servers differ in whether it is the same name.
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

// protoName would set an object's prototype in some JSON readers.
const protoName = "__proto__"

// maxNames bounds the members of an object other than variables; five names are known.
const maxNames = 32

// maxNesting bounds the nesting of JSON values; a form of a booking page needs far fewer levels.
const maxNesting = 64

// readObject reads the parameters from a JSON object.
func readObject(b []byte) (p parameters, err error) {
	err = forEachMember(b, parameterNames, func(name int, value []byte) error {
		if name < 0 {
			p.hasUnknown = true
			return nil
		}
		return p.set(name, value)
	})
	return p, err
}

// set sets one parameter from a JSON value, which it validates.
func (p *parameters) set(name int, value []byte) (err error) {
	p.hasKnown = true
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
		p.operation, err = stringValue(value, "operationName")
	case nameDocumentID:
		var id []byte
		id, err = stringValue(value, "documentId")
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
		err = forEachMember(value, extensionNames, func(name int, value []byte) (err error) {
			if name >= 0 {
				p.hash, err = persistedHash(value)
			}
			return err
		})
	}
	return err
}

// persistedHash returns the hash in the value of extensions.persistedQuery.
func persistedHash(b []byte) (hash string, err error) {
	version := false
	err = forEachMember(b, persistedNames, func(name int, value []byte) error {
		switch name {
		case 0:
			version = string(value) == "1"
		case 1:
			text, err := stringValue(value, "sha256Hash")
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

// readURL reads the parameters from the query string of a URL.
func readURL(query string) (p parameters, err error) {
	if strings.ContainsAny(query, ";#") { // some servers read ; as & and # as the end of the query
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
		i, err := nameIndex([]byte(name), parameterNames, &seen)
		if err != nil {
			return p, err
		}
		if i < 0 {
			p.hasUnknown = p.hasUnknown || slices.Contains(documentNames, strings.ToLower(name))
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

// documentNames are lower-case names that servers with conventions of their own use for the id of a
// document. Other unknown names are common in URLs and have no effect on the document.
var documentNames = []string{
	"id", "doc", "docid", "doc_id", "document", "hash", "queryid", "query_id",
	"operationid", "operation_id", "sha256hash",
}

// urlNames are the characters allowed in the name of a URL parameter. Some servers read names with others
// as lists or trim them.
const urlNames = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"

// nameIndex returns the index of name in names, or -1 if it is not there. It returns an error for a
// duplicate, by the bits in seen, and for a name that a parser could confuse with a known one.
func nameIndex(name []byte, names []string, seen *uint) (int, error) {
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
	if string(name) == protoName {
		return -1, badRequest("a name must not be %s", protoName)
	}
	return -1, nil
}

// forEachMember calls f with the value of each member of a JSON object and the index of its name in names.
// The index is -1 for an unknown name, whose value has been validated; other values have not.
func forEachMember(b []byte, names []string, f func(name int, value []byte) error) error {
	var seen uint
	count := 0
	return forEachPair(b, func(literal, value []byte) error {
		i, err := keyIndex(literal, names, &seen)
		count++
		switch {
		case count > maxNames:
			return badRequest("an object has %d names at most", maxNames)
		case err != nil:
			return err
		case i < 0 && !isValidJSON(value):
			return errNotJSON
		}
		return f(i, value)
	})
}

// forEachPair calls f with the name and the value of each member of a JSON object, as unparsed literals.
// It only splits the object; the caller validates each piece, and the object is valid JSON if all pieces
// are.
func forEachPair(b []byte, f func(literal, value []byte) error) error {
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

// maxVariable is the maximum length of a variable that Variable returns, in bytes.
const maxVariable = 256

// Variable returns the string or number at a path of names in the variables of a Classification. It returns
// an empty string if the variable is missing, too long or duplicated, or has another type.
func Variable(variables []byte, path []string) (found string) {
	if len(path) == 0 || len(variables) == 0 || variables[0] != '{' {
		return ""
	}
	var at []byte
	err := forEachPair(variables, func(literal, value []byte) error {
		name, err := stringValue(literal, "a name")
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
		s, _ := stringValue(at, "")
		return string(s)
	case at[0] == '-' || at[0] >= '0' && at[0] <= '9':
		return string(at)
	}
	return ""
}

// afterComma returns the text after the comma that must separate two members or elements; nil at the end
// of the input.
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

// keyIndex returns the index of a member's key in names, or -1 if it is not there. It refuses a known name
// that is written with escapes.
func keyIndex(literal []byte, names []string, seen *uint) (int, error) {
	name, err := stringValue(literal, "a name")
	if err != nil {
		return -1, err
	}
	i, err := nameIndex(name, names, seen)
	if i >= 0 && len(name) != len(literal)-2 {
		return i, badRequest("%s is written with escapes", names[i])
	}
	return i, err
}

// elements yields the elements of a JSON array, not yet validated, or an error as the last item.
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

// isValidJSON reports whether b is a JSON value. It allows duplicate names: the server decides how to
// handle those.
func isValidJSON(b []byte) bool {
	return isPlain(b) || jsontext.Value(b).IsValid(jsontext.AllowDuplicateNames(true))
}

// isPlain reports whether b is a string of printable ASCII without escapes, a number of digits only, or an
// object of such values, as most variables are. The check takes a third of the time of the library's, as
// long as objects are hardly nested: each level splits its content again.
func isPlain(b []byte) bool { return bytes.IndexByte(b, '[') < 0 && isPlainWithin(b, maxPlainNesting) }

// maxPlainNesting is the maximum nesting of objects that isPlain accepts.
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
		return forEachPair(b, func(literal, value []byte) error {
			if literal[0] != '"' || !isPlain(literal) || !isPlainWithin(value, nesting-1) {
				return errNotJSON
			}
			return nil
		}) == nil
	}
	return false
}

func isObject(b []byte) bool { return b[0] == '{' && valueEnd(b) == len(b) && isValidJSON(b) }

// stringValue returns the content of a JSON string literal; what names the value in the error.
func stringValue(literal []byte, what string) ([]byte, error) {
	if len(literal) >= 2 && literal[0] == '"' {
		if inner := literal[1 : len(literal)-1]; isWord(inner) && literal[len(literal)-1] == '"' {
			return inner, nil
		}
	}
	s, err := jsontext.AppendUnquote(nil, literal)
	if err != nil {
		return nil, badRequest("%s must be a string", what)
	}
	return s, nil
}

// isWord reports whether b has only letters, digits and underscores, and so needs no unescaping.
func isWord(b []byte) bool {
	for _, c := range b {
		if c != '_' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// trimSpace trims exactly the characters that are white space in JSON.
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

// stringEnd returns the offset after the JSON string at the start of b, or -1 if the string has no end.
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

// valueEnd returns the offset after the JSON value at the start of b, which it does not validate. It
// returns zero or less if there is no value.
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
