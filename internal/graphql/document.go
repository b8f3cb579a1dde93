package graphql

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/gqlerror"
	"github.com/vektah/gqlparser/v2/lexer"
	"github.com/vektah/gqlparser/v2/parser"
)

// document is the cached summary of a GraphQL document.
type document struct {
	hash       [sha256.Size]byte
	operations []operation // empty if the document's effect cannot be determined
}

// operation is one operation of a document.
type operation struct {
	name  string // empty if anonymous
	kind  Kind
	class int
}

func (d *document) size() (n int) {
	for _, o := range d.operations {
		n += 48 + len(o.name)
	}
	return n
}

// executedOperation returns the operation that a server executes, or nil if that cannot be determined. A
// document with several operations of which one is anonymous is invalid, and servers differ in how they
// handle it.
func (d *document) executedOperation(p parameters) (found *operation) {
	if len(d.operations) == 1 && (len(p.operation) == 0 || d.operations[0].name == string(p.operation)) {
		return &d.operations[0]
	}
	for i := range d.operations {
		o := &d.operations[i]
		if o.name == "" || found != nil && o.name == found.name {
			return nil
		}
		if o.name == string(p.operation) {
			found = o
		}
	}
	return found
}

// findDocument returns the document of a request. It returns nil if only the document's hash or id is
// known, or if it is unclear which document a server would use.
func (c *Classifier) findDocument(p parameters) (d *document, err error) {
	id := p.documentID
	if p.hash != "" {
		if id != "" {
			return nil, badRequest("documentId and persistedQuery must not come together")
		}
		id = idPrefix + p.hash
	}
	switch {
	case p.query != nil:
		if d, err = c.readDocument(p.query); err != nil || id == "" {
			return d, err
		}
		return c.checkID(d, id)
	case id == "":
		return nil, badRequest("there is no query")
	}
	if d = c.trusted[id]; d == nil {
		d = c.byHash.get([]byte(id))
	}
	return d, nil
}

// idPrefix marks a documentId that is the document's hash. Such an id is equivalent to
// extensions.persistedQuery.
const idPrefix = "sha256:"

// checkID checks that an id belongs to the document that was sent with it, and stores the document if the
// id is its hash. It returns nil for another id that is unknown, because it is then unclear which of the
// two a server would use. The error is an *Error.
func (c *Classifier) checkID(d *document, id string) (*document, error) {
	trusted := c.trusted[id]
	hash, isHash := strings.CutPrefix(id, idPrefix)
	if trusted != nil && trusted.hash != d.hash || isHash && hash != fmt.Sprintf("%x", d.hash) {
		return nil, &Error{Code: CodeMismatch, Status: 400, Message: "the id or hash is not that of the document"}
	}
	if isHash {
		c.byHash.put(id, d)
	} else if trusted == nil {
		return nil, nil
	}
	return d, nil
}

// ParseTrustedDocuments parses a file of trusted documents: a JSON object that maps hashes or ids to
// documents.
func ParseTrustedDocuments(raw []byte) (documents map[string]string, err error) {
	return documents, json.Unmarshal(raw, &documents)
}

// addTrusted parses the operator's trusted documents and stores them. An id that is a hash must be the
// hash of its document.
func (c *Classifier) addTrusted(documents map[string]string) (errs []error) {
	for _, id := range slices.Sorted(maps.Keys(documents)) {
		d, err := c.parse(documents[id])
		if err == nil && len(d.operations) == 0 {
			err = errors.New("the effect of its operations cannot be determined")
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("trusted document %s: %w", id, err))
			continue
		}
		bare := strings.TrimPrefix(id, idPrefix)
		if isHash(bare) {
			if bare != fmt.Sprintf("%x", d.hash) {
				errs = append(errs, fmt.Errorf("trusted document %s: the id is not the hash of the document", id))
			}
			c.trusted[idPrefix+bare], c.trusted[bare] = d, d
		}
		c.trusted[id] = d
	}
	return errs
}

// readDocument returns the document in a JSON string literal, from the cache if it was parsed before.
func (c *Classifier) readDocument(literal []byte) (*document, error) {
	if d := c.byLiteral.get(literal); d != nil {
		return d, nil
	}
	text, err := jsontext.AppendUnquote(nil, literal)
	if err != nil {
		return nil, badRequest("query must be a string in UTF-8")
	}
	d, err := c.parse(string(text))
	if err == nil {
		c.byLiteral.put(string(literal), d)
	}
	return d, err
}

// parse parses a document. The error is an *Error that reports an exceeded limit. A document with a syntax
// error has no operations and is no error: a server may support a newer version of the language.
func (c *Classifier) parse(text string) (*document, error) {
	l := c.rules.Limits
	if len(text) > l.MaxDocumentBytes {
		return nil, overLimit("a document has %d bytes at most", l.MaxDocumentBytes)
	}
	d := &document{hash: sha256.Sum256([]byte(text))}
	if !tokenizesUnambiguously(text) {
		return d, nil
	}
	q, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, l.MaxTokens)
	if err != nil {
		var e *gqlerror.Error
		if errors.As(err, &e) && strings.HasPrefix(e.Message, "exceeded ") { // identifiable by its text only
			return nil, overLimit("a document has %d tokens at most, and no more than %d levels", l.MaxTokens,
				l.MaxDepth)
		}
		return d, nil
	}
	if len(q.Operations) > l.MaxOperations {
		return nil, overLimit("a document has %d operations at most", l.MaxOperations)
	}
	w := &walker{fragments: map[string]*fragment{}, resolved: true}
	for _, f := range q.Fragments {
		w.resolved = w.resolved && w.fragments[f.Name] == nil
		w.fragments[f.Name] = &fragment{definition: f}
	}
	var operations []operation
	for _, o := range q.Operations {
		switch s := w.measure(o.SelectionSet); {
		case s.depth > l.MaxDepth:
			return nil, overLimit("an operation has %d levels of fields at most", l.MaxDepth)
		case s.aliases > l.MaxAliases:
			return nil, overLimit("an operation has %d aliases at most", l.MaxAliases)
		}
		operations = append(operations, c.classifyOperation(w, o))
	}
	if w.resolved {
		d.operations = operations
	}
	return d, nil
}

// tokenizesUnambiguously reports whether all servers split a document into the same tokens. Servers differ
// in which characters end a line, and with it a comment, and in where a string ends.
func tokenizesUnambiguously(text string) bool {
	for i, r := range text {
		switch {
		case r == '\t' || r == '\n':
		case r == '\r':
			if !strings.HasPrefix(text[i+1:], "\n") {
				return false
			}
		case r < ' ', r >= 0x7f && r < 0xa0, r == 0x2028, r == 0x2029, r == 0xfeff, r == 0xfffd:
			return false
		}
	}
	if !strings.Contains(text, `"""`) {
		return true
	}
	// Older servers, without block strings, read three quotes as an empty string and the start of another.
	// Servers also differ in whether a quote directly before the closing three belongs to the string.
	for l := lexer.New(&ast.Source{Input: text}); ; {
		t, err := l.ReadToken()
		switch {
		case err != nil || t.Kind == lexer.BlockString && strings.Contains(t.Value, `"`):
			return false
		case t.Kind == lexer.EOF:
			return true
		}
	}
}

// classifyOperation returns an operation with the strictest class of its root fields. It ignores
// directives: a field that a variable excludes in one request may be included in the next.
func (c *Classifier) classifyOperation(w *walker, o *ast.OperationDefinition) operation {
	kind, class, table := Query, c.safe, c.queries
	name := strings.Clone(o.Name) // a substring would keep the whole document in memory
	switch o.Operation {
	case ast.Mutation:
		kind, class, table = Mutation, c.unsafe, c.mutations
	case ast.Subscription:
		return operation{name: name, kind: Subscription, class: c.unsafe}
	}
	if len(table) > 0 {
		defaultClass := class
		class = -1
		w.forEachRootField(o.SelectionSet, map[string]bool{}, func(field string) {
			k, listed := table[field]
			if !listed {
				k = defaultClass
			}
			if class >= 0 {
				k = c.strictest(class, k)
			}
			class = k
		})
		if class < 0 { // the operation only spreads undefined fragments
			class = c.unsafe
		}
	}
	return operation{name: name, kind: kind, class: class}
}

// walker walks the operations and fragments of a document. It measures each fragment once, however often
// it is spread, so its run time is linear in the length of the document.
type walker struct {
	fragments map[string]*fragment
	resolved  bool // every spread fragment is defined exactly once
}

type fragment struct {
	definition *ast.FragmentDefinition
	size       size
	state      uint8 // notMeasured, measuring, measured
}

const (
	notMeasured uint8 = iota
	measuring
	measured
)

// size is the size of a selection set with its fragments expanded.
type size struct{ depth, aliases int }

// maxSize caps the depth and the number of aliases. It is also the depth of a fragment that contains
// itself.
const maxSize = math.MaxInt32

func (w *walker) measure(set ast.SelectionSet) (s size) {
	for _, one := range set {
		var in size
		switch one := one.(type) {
		case *ast.Field:
			in = w.measure(one.SelectionSet)
			in.depth++
			if one.Alias != one.Name {
				in.aliases++
			}
		case *ast.InlineFragment:
			in = w.measure(one.SelectionSet)
		case *ast.FragmentSpread:
			in = w.measureSpread(one.Name)
		}
		s.depth = min(max(s.depth, in.depth), maxSize)
		s.aliases = min(s.aliases+in.aliases, maxSize)
	}
	return s
}

func (w *walker) measureSpread(name string) size {
	f := w.fragments[name]
	if f == nil {
		w.resolved = false
		return size{}
	}
	switch f.state {
	case notMeasured:
		f.state = measuring
		f.size = w.measure(f.definition.SelectionSet)
		f.state = measured
	case measuring:
		return size{depth: maxSize}
	}
	return f.size
}

// forEachRootField calls f with the name of each root field of an operation, including those in fragments.
func (w *walker) forEachRootField(set ast.SelectionSet, seen map[string]bool, f func(field string)) {
	for _, one := range set {
		switch one := one.(type) {
		case *ast.Field:
			f(one.Name)
		case *ast.InlineFragment:
			w.forEachRootField(one.SelectionSet, seen, f)
		case *ast.FragmentSpread:
			if in := w.fragments[one.Name]; in != nil && !seen[one.Name] {
				seen[one.Name] = true
				w.forEachRootField(in.definition.SelectionSet, seen, f)
			}
		}
	}
}
