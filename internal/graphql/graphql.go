// Package graphql classifies GraphQL requests over HTTP: from the method, query string, headers and body
// of a request it determines the configured class that the operation belongs to, or a GraphQL error for
// the client. The operation that a server would execute decides; a request whose effect cannot be
// determined with certainty is treated as unsafe.
//
// It does no I/O and reads no clock. vektah/gqlparser parses documents, and go-json-experiment's jsontext
// checks JSON. A Classifier is safe for concurrent use.
package graphql

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"dunestep/internal/balancer"
)

// Rules configures a Classifier.
type Rules struct {
	Classes []balancer.Class // classes of the deployment's settings
	// Safe names the class of queries. Unsafe names the class of mutations and of requests whose effect
	// cannot be determined. If empty, they are the first of Classes that is safe, or unsafe, to repeat.
	Safe, Unsafe string
	// Queries and Mutations assign other classes by root field. A mutation's class must not be safe to
	// repeat.
	Queries, Mutations map[string]string
	// Batches allows JSON arrays of requests; a batch has the strictest class of its members.
	Batches bool
	// Trusted maps the hashes or ids that clients send instead of documents to those documents.
	Trusted map[string]string
	Limits  Limits
}

// Limits bounds the size of a request and of the caches.
type Limits struct {
	MaxDocumentBytes int // maximum length of a document, in bytes
	MaxTokens        int // maximum tokens of a document, including comments
	MaxDepth         int // maximum nesting of fields, with fragments expanded
	MaxAliases       int // maximum aliases of an operation, with fragments expanded
	MaxOperations    int // maximum operations in a document
	MaxBatchLength   int // maximum members of a batch
	CacheBytes       int // size of the cache of parsed documents
	HashStoreBytes   int // size of the store of hashes received together with their documents
}

// Kind is the kind of an operation.
type Kind uint8

// The kinds of operations. Unclear is one that cannot be determined; it is treated like a mutation.
const (
	Unclear Kind = iota
	Query
	Mutation
	Subscription
)

// Classification is the classification of a request.
type Classification struct {
	Class string // for a batch, the strictest class of its members
	Kind  Kind   // for a batch, the kind of its members if they agree, else Unclear
	// Members is the number of requests in a batch; zero if the request is not a batch.
	Members int
	// Variables is the JSON object of variables, in a batch that of the first member; nil if there is
	// none.
	Variables []byte
	class     int
}

// Classifier classifies requests.
type Classifier struct {
	rules        Rules
	safe, unsafe int // indexes of classes
	queries      map[string]int
	mutations    map[string]int
	byLiteral    *cache // documents by their JSON string literal
	trusted      map[string]*document
	byHash       *cache // documents by their hash
}

// NewClassifier returns a Classifier with the given rules. The error joins all problems of the rules.
func NewClassifier(r Rules) (*Classifier, error) {
	c := &Classifier{
		rules: r, queries: map[string]int{}, mutations: map[string]int{},
		byLiteral: newCache(r.Limits.CacheBytes), byHash: newCache(r.Limits.HashStoreBytes),
		trusted: map[string]*document{},
	}
	var errs []error
	classIndex := func(name string, effect balancer.Idempotency, what string) int {
		i := slices.IndexFunc(r.Classes, func(k balancer.Class) bool {
			return k.Idempotency == effect && (name == "" || k.Name == name)
		})
		if i < 0 {
			errs = append(errs, fmt.Errorf("the settings have no class %q that is %s to repeat", name, what))
		}
		return i
	}
	c.safe, c.unsafe = classIndex(
		r.Safe,
		balancer.Idempotent,
		"safe",
	), classIndex(
		r.Unsafe,
		balancer.NotIdempotent,
		"unsafe",
	)
	table := func(from map[string]string, to map[string]int, mutation bool) {
		for _, field := range slices.Sorted(maps.Keys(from)) {
			i := slices.IndexFunc(r.Classes, func(k balancer.Class) bool { return k.Name == from[field] })
			switch {
			case i < 0:
				errs = append(errs, fmt.Errorf("%s: the settings have no class %q", field, from[field]))
			case mutation && r.Classes[i].Idempotency == balancer.Idempotent:
				errs = append(errs, fmt.Errorf("%s: a mutation must not have class %q, which is safe to repeat",
					field, from[field]))
			}
			to[field] = i
		}
	}
	table(r.Queries, c.queries, false)
	table(r.Mutations, c.mutations, true)
	if len(errs) == 0 {
		errs = c.addTrusted(r.Trusted)
	}
	return c, errors.Join(errs...)
}

func (c *Classifier) class(i int) balancer.Class { return c.rules.Classes[i] }

// strictest returns the stricter of two classes, the one that is less safe to repeat. Two different
// classes whose repeats servers deduplicate give the unsafe class, because the two may be deduplicated by
// different servers.
func (c *Classifier) strictest(a, b int) int {
	switch x, y := c.class(a), c.class(b); {
	case a == b:
		return a
	case x.Idempotency != y.Idempotency:
		if x.Idempotency > y.Idempotency {
			return a
		}
		return b
	case x.Idempotency == balancer.IdempotentWithKey:
		return c.unsafe
	case cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(a, b)) < 0:
		return a
	}
	return b
}

// Request is an HTTP request as received.
type Request struct {
	Method string
	// URLQuery is the part of the request target after the question mark, unparsed.
	URLQuery string
	Header   map[string][]string // by canonical name
	Body     []byte
}

// CheckHead checks, before the body is read, whether the method and the headers allow a GraphQL request.
// The error is an *Error.
func (r Request) CheckHead() error {
	switch r.Method {
	case "GET":
		return nil
	case "POST":
		return checkHeader(r.Header)
	}
	return &Error{Code: CodeMethod, Status: 405, Message: "the method must be GET or POST"}
}

// Classify classifies a request. The error is an *Error; a request with an error must not be forwarded.
func (c *Classifier) Classify(r Request) (Classification, error) {
	if err := r.CheckHead(); err != nil {
		return Classification{}, err
	}
	if r.Method == "GET" {
		return c.classifyGET(r)
	}
	return c.classifyPOST(r)
}

func (c *Classifier) classifyGET(r Request) (Classification, error) {
	if len(r.Body) > 0 {
		return Classification{}, badRequest("a GET has no body")
	}
	p, err := readURL(r.URLQuery)
	if err != nil {
		return Classification{}, err
	}
	return c.classifyParameters(p, true)
}

func (c *Classifier) classifyPOST(r Request) (Classification, error) {
	hasUnknown := false // whether the URL may name another document
	if r.URLQuery != "" {
		// Some servers prefer parameters in the URL to those in the body.
		p, err := readURL(r.URLQuery)
		if err != nil || p.hasKnown {
			return Classification{}, cmp.Or(err, badRequest("a POST has its parameters in its body, not in its URL"))
		}
		hasUnknown = p.hasUnknown
	}
	body := trimSpace(r.Body)
	if len(body) == 0 || body[0] != '[' {
		p, err := readObject(body)
		if err != nil {
			return Classification{}, err
		}
		p.hasUnknown = p.hasUnknown || hasUnknown
		return c.classifyParameters(p, false)
	}
	return c.classifyBatch(body, hasUnknown)
}

func (c *Classifier) classifyBatch(body []byte, hasUnknown bool) (v Classification, err error) {
	if !c.rules.Batches {
		return v, &Error{Code: CodeBatch, Status: 400, Message: "batches are not taken here"}
	}
	for member, err := range elements(body) {
		if err != nil {
			return Classification{}, err
		}
		if v.Members == c.rules.Limits.MaxBatchLength {
			return Classification{}, overLimit("a batch has %d members at most", c.rules.Limits.MaxBatchLength)
		}
		p, err := readObject(member)
		if err != nil {
			return Classification{}, err
		}
		p.hasUnknown = p.hasUnknown || hasUnknown
		one, err := c.classifyParameters(p, false)
		if err != nil {
			return Classification{}, err
		}
		if v.Members == 0 {
			v = one
		} else if v.class = c.strictest(v.class, one.class); v.Kind != one.Kind {
			v.Kind = Unclear
		}
		v.Members++
	}
	if v.Members == 0 {
		return Classification{}, badRequest("the batch is empty")
	}
	v.Class = c.class(v.class).Name
	return v, nil
}

// classifyParameters classifies a single request by its parameters. By GET, it only accepts what is
// certainly a query.
func (c *Classifier) classifyParameters(p parameters, get bool) (Classification, error) {
	d, err := c.findDocument(p)
	if err != nil {
		return Classification{}, err
	}
	v := Classification{Kind: Unclear, class: c.unsafe, Variables: p.variables}
	if d != nil && !p.hasUnknown {
		if o := d.executedOperation(p); o != nil {
			v.Kind, v.class = o.kind, o.class
		}
	}
	v.Class = c.class(v.class).Name
	switch {
	case v.Kind == Subscription:
		err = &Error{
			Code: CodeSubscription, Status: 400, wellFormed: true,
			Message: "subscriptions are not served here",
		}
	case get && v.Kind == Mutation:
		err = &Error{Code: CodeMutationByGET, Status: 405, Message: "a mutation must come by POST"}
	case get && d == nil && p.query == nil:
		// Clients match this message, and then send the document as well.
		err = &Error{Code: CodeNotFound, Status: 400, wellFormed: true, Message: "PersistedQueryNotFound"}
	case get && v.Kind == Unclear:
		err = &Error{
			Code: CodeUnclear, Status: 400, wellFormed: true,
			Message: "it cannot be told that this is a query; send it by POST",
		}
	}
	return v, err
}
