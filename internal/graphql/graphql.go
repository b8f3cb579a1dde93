// Package graphql tells what a GraphQL request over HTTP would do: from its method, query string, headers
// and body it gets the class of the deployment's settings that the operation belongs to, or a GraphQL error
// for the client. It decides by the operation that would be executed, and what it cannot tell for sure is
// unsafe.
//
// It does no input or output and knows no time. Documents are read by vektah/gqlparser, JSON is checked by
// go-json-experiment's jsontext. A Classer may be used by several goroutines at once.
package graphql

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"dunestep/internal/balancer"
)

// Rules is what a Classer goes by.
type Rules struct {
	Classes []balancer.Class // of the deployment's settings
	// Safe and Unsafe name the classes of queries, and of mutations and what cannot be told; empty: the first of
	// Classes that is safe, or unsafe, to repeat.
	Safe, Unsafe string
	// Queries and Mutations name other classes by root field. A mutation's must not be safe.
	Queries, Mutations map[string]string
	// Batches lets JSON arrays of requests in, with the strictest class of their members.
	Batches bool
	// Trusted holds documents by the hash or id that clients send in their place.
	Trusted map[string]string
	Limits  Limits
}

// Limits bounds what is read of a request, and what is kept of those before it.
type Limits struct {
	Document   int // bytes of a document
	Tokens     int // of a document, with its comments
	Depth      int // of fields within fields, through fragments
	Aliases    int // of an operation, through fragments
	Operations int // in a document
	Batch      int // members
	CacheBytes int // of documents that were read
	StoreBytes int // of hashes that were seen with their documents
}

// Kind is what an operation is, where that can be told.
type Kind uint8

// The kinds of operation; Unclear is treated like a mutation, but is not known to be one.
const (
	Unclear Kind = iota
	Query
	Mutation
	Subscription
)

// Verdict is what a request was found to be.
type Verdict struct {
	Class string // the strictest of a batch's members
	Kind  Kind   // of a batch: its members' where they are the same, else Unclear
	// Members is how many requests a batch holds; zero: it is no batch.
	Members int
	// Variables is the JSON object of variables, of a batch's first member; nil: none.
	Variables []byte
	class     int
}

// Classer tells requests' classes.
type Classer struct {
	rules        Rules
	safe, unsafe int // numbers of classes
	queries      map[string]int
	mutations    map[string]int
	documents    *cache // by the JSON string that held them
	trusted      map[string]*document
	seen         *cache // documents by their hash
}

// NewClasser checks the rules; the error joins all that is wrong with them.
func NewClasser(r Rules) (*Classer, error) {
	c := &Classer{
		rules: r, queries: map[string]int{}, mutations: map[string]int{},
		documents: newCache(r.Limits.CacheBytes), seen: newCache(r.Limits.StoreBytes),
		trusted: map[string]*document{},
	}
	var errs []error
	named := func(name string, effect balancer.Idempotency, what string) int {
		i := slices.IndexFunc(r.Classes, func(k balancer.Class) bool {
			return k.Idempotency == effect && (name == "" || k.Name == name)
		})
		if i < 0 {
			errs = append(errs, fmt.Errorf("no class %q in the settings is %s to repeat", name, what))
		}
		return i
	}
	c.safe, c.unsafe = named(
		r.Safe,
		balancer.Idempotent,
		"safe",
	), named(
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
		errs = c.trust(r.Trusted)
	}
	return c, errors.Join(errs...)
}

func (c *Classer) class(i int) balancer.Class { return c.rules.Classes[i] }

// strictest is the class that is repeated least readily of two. Two classes whose servers drop repeats may
// have them dropped by different servers, so together they are unsafe.
func (c *Classer) strictest(a, b int) int {
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

// Request is a request as it came.
type Request struct {
	Method string
	// URLQuery is what follows the target's question mark, as it came.
	URLQuery string
	Header   map[string][]string // by canonical names
	Body     []byte
}

// CheckHead tells, before the body is read, whether a request could be one. The error is an *Error.
func (r Request) CheckHead() error {
	switch r.Method {
	case "GET":
		return nil
	case "POST":
		return checkHeader(r.Header)
	}
	return &Error{Code: CodeMethod, Status: 405, Message: "the method must be GET or POST"}
}

// Class tells what a request is. The error is an *Error: such a request is not to be sent on.
func (c *Classer) Class(r Request) (Verdict, error) {
	if err := r.CheckHead(); err != nil {
		return Verdict{}, err
	}
	if r.Method == "GET" {
		return c.classGET(r)
	}
	return c.classPOST(r)
}

func (c *Classer) classGET(r Request) (Verdict, error) {
	if len(r.Body) > 0 {
		return Verdict{}, badRequest("a GET has no body")
	}
	p, err := readURL(r.URLQuery)
	if err != nil {
		return Verdict{}, err
	}
	return c.judge(p, true)
}

func (c *Classer) classPOST(r Request) (Verdict, error) {
	others := false // the URL may name another document
	if r.URLQuery != "" {
		// Some servers would prefer these to the body's.
		p, err := readURL(r.URLQuery)
		if err != nil || p.any {
			return Verdict{}, cmp.Or(err, badRequest("a POST has its parameters in its body, not in its URL"))
		}
		others = p.others
	}
	body := trimSpace(r.Body)
	if len(body) == 0 || body[0] != '[' {
		p, err := readObject(body)
		if err != nil {
			return Verdict{}, err
		}
		p.others = p.others || others
		return c.judge(p, false)
	}
	return c.classBatch(body, others)
}

func (c *Classer) classBatch(body []byte, others bool) (v Verdict, err error) {
	if !c.rules.Batches {
		return v, &Error{Code: CodeBatch, Status: 400, Message: "batches are not taken here"}
	}
	for member, err := range elements(body) {
		if err != nil {
			return Verdict{}, err
		}
		if v.Members == c.rules.Limits.Batch {
			return Verdict{}, overLimit("a batch has %d members at most", c.rules.Limits.Batch)
		}
		p, err := readObject(member)
		if err != nil {
			return Verdict{}, err
		}
		p.others = p.others || others
		one, err := c.judge(p, false)
		if err != nil {
			return Verdict{}, err
		}
		if v.Members == 0 {
			v = one
		} else if v.class = c.strictest(v.class, one.class); v.Kind != one.Kind {
			v.Kind = Unclear
		}
		v.Members++
	}
	if v.Members == 0 {
		return Verdict{}, badRequest("the batch is empty")
	}
	v.Class = c.class(v.class).Name
	return v, nil
}

// judge tells what one request is, once its parameters are known. By GET only what is surely a query may go
// on.
func (c *Classer) judge(p parameters, get bool) (Verdict, error) {
	d, err := c.find(p)
	if err != nil {
		return Verdict{}, err
	}
	v := Verdict{Kind: Unclear, class: c.unsafe, Variables: p.variables}
	if d != nil && !p.others {
		if o := d.executed(p); o != nil {
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
		// The words that clients look for, to send the document too.
		err = &Error{Code: CodeNotFound, Status: 400, wellFormed: true, Message: "PersistedQueryNotFound"}
	case get && v.Kind == Unclear:
		err = &Error{
			Code: CodeUnclear, Status: 400, wellFormed: true,
			Message: "it cannot be told that this is a query; send it by POST",
		}
	}
	return v, err
}
