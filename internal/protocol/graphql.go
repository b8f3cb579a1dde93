package protocol

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/graphql"
)

// GraphQL is the format of requests and responses in GraphQL over HTTP.
type GraphQL struct {
	Path       string // path of GraphQL requests
	Classifier *graphql.Classifier
	Classes    []balancer.Class // classes of the settings, for their deadlines
	// Key, Tenant, Deadline (in milliseconds) and ID (correlation id) locate these values in a request.
	Key, Tenant, Deadline, ID Source
	DefaultTenant             string
}

// Source locates a value in a GraphQL request. The zero value locates none.
type Source struct {
	kind sourceKind
	name string
	path []string
}

type sourceKind uint8

const (
	sourceNone sourceKind = iota
	sourceHeader
	sourceCookie
	sourceVariable
)

// ParseSource parses header:NAME, cookie:NAME or variable:NAME, with dots between the names of nested
// variables. An empty text gives the zero value.
func ParseSource(text string) (Source, error) {
	if text == "" {
		return Source{}, nil
	}
	kind, name, _ := strings.Cut(text, ":")
	s := Source{name: name}
	switch kind {
	case "header":
		s.kind, s.name = sourceHeader, http.CanonicalHeaderKey(name)
	case "cookie":
		s.kind = sourceCookie
	case "variable":
		s.kind, s.path = sourceVariable, strings.Split(name, ".")
	}
	if s.kind == sourceNone || name == "" {
		return s, fmt.Errorf("%q must be header:NAME, cookie:NAME or variable:NAME", text)
	}
	return s, nil
}

// find returns the value in a request, or an empty string if there is none.
func (s Source) find(r *http.Request, variables []byte) string {
	switch s.kind {
	case sourceHeader:
		if v := r.Header[s.name]; len(v) > 0 {
			return v[0]
		}
	case sourceCookie:
		if c, err := r.Cookie(s.name); err == nil {
			return c.Value
		}
	case sourceVariable:
		return graphql.Variable(variables, s.path)
	}
	return ""
}

// AnyPath is the Format of a socket that serves only GraphQL. It accepts every request; Decode rejects
// other paths.
func (g *GraphQL) AnyPath(r *http.Request) Exchange {
	return &graphQLExchange{format: g, request: r, media: graphql.PlainJSON}
}

// AtPath is the Format of a socket that also serves other requests. It accepts only requests to Path.
func (g *GraphQL) AtPath(r *http.Request) Exchange {
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path != g.Path {
		return nil
	}
	return g.AnyPath(r)
}

// graphQLExchange is one request and its response.
type graphQLExchange struct {
	format         *GraphQL
	request        *http.Request
	media          graphql.MediaType
	classification graphql.Classification
	decodeError    *graphql.Error // error with which Decode rejected the request; nil if there is none
}

// Decode decodes a request. Its class is that of the operation that would be executed.
func (x *graphQLExchange) Decode(reserve ReserveMemory) (*Request, error) {
	op, err := x.decode(reserve)
	if err != nil {
		_ = errors.As(err, &x.decodeError) // other errors are answered as bad requests
		if op != nil {
			op.Release()
		}
		return nil, err
	}
	return op, nil
}

// decode checks the header before it reads the body. Only the classifier parses what the class depends on.
func (x *graphQLExchange) decode(reserve ReserveMemory) (*Request, error) {
	g, r := x.format, x.request
	path, query, _ := strings.Cut(r.RequestURI, "?")
	media, acceptable := graphql.NegotiateMediaType(r.Header["Accept"])
	switch {
	case path != g.Path:
		return nil, &graphql.Error{
			Code: graphql.CodePath, Status: http.StatusNotFound,
			Message: "GraphQL is at " + g.Path,
		}
	case !acceptable:
		return nil, &graphql.Error{
			Code: graphql.CodeNotAcceptable, Status: http.StatusNotAcceptable,
			Message: "answers are " + string(graphql.ResponseJSON) + " or " + string(graphql.PlainJSON),
		}
	}
	x.media = media
	request := graphql.Request{Method: r.Method, URLQuery: query, Header: r.Header}
	if err := request.CheckHead(); err != nil {
		return nil, err
	}
	op := &Request{
		IsRetry: r.Header.Get("X-Repeat") == "1", Method: r.Method, Target: r.RequestURI,
		Host: r.Host, ContentType: r.Header.Get("Content-Type"), IsGraphQL: true,
		Accept: strings.Join(r.Header["Accept"], ", "), IdempotencyKeys: r.Header[idempotencyKeyHeader],
		WorkHint: workHint(r.Header.Get("X-Facts")),
	}
	op.TimeLeft = g.minTimeLeft(r)
	if err := op.readBody(r, reserve, MaxBufferedBody); err != nil {
		return nil, err
	}
	request.Body = op.Body
	var err error
	if x.classification, err = g.Classifier.Classify(request); err != nil {
		return op, err
	}
	op.Class = x.classification.Class
	err = x.setProperties(op)
	x.classification.Variables = nil // a part of the body, which may be released before the response is written
	return op, err
}

// minTimeLeft returns the minimum time that the client waits, as far as the header shows it.
func (g *GraphQL) minTimeLeft(r *http.Request) time.Duration {
	if left, err := parseTimeLeft(g.Deadline.find(r, nil)); err == nil {
		return left
	}
	shortest := time.Duration(maxTimeLeftMS) * time.Millisecond
	for _, c := range g.Classes {
		shortest = min(shortest, c.Deadline)
	}
	return shortest
}

// setProperties sets the key, tenant, correlation id and time left of op. Plain requests have them in header
// fields and a cookie.
func (x *graphQLExchange) setProperties(op *Request) error {
	g, r, variables := x.format, x.request, x.classification.Variables
	op.Key, op.Tenant = g.Key.find(r, variables), g.Tenant.find(r, variables)
	if op.Tenant == "" {
		op.Tenant = g.DefaultTenant
	}
	if op.CorrelationID = g.ID.find(r, variables); op.CorrelationID == "" {
		op.CorrelationID = fmt.Sprintf("%016x", rand.Uint64())
	} else if !isCorrelationID(op.CorrelationID) {
		return errCorrelationID
	}
	if text := g.Deadline.find(r, variables); text != "" {
		left, err := parseTimeLeft(text)
		op.TimeLeft = left
		return err
	}
	for _, c := range g.Classes {
		if c.Name == op.Class {
			op.TimeLeft = c.Deadline
		}
	}
	return nil
}

// Encode writes a response: an upstream server's unchanged, the agent's own as a GraphQL error.
func (x *graphQLExchange) Encode(w http.ResponseWriter, response Response) error {
	if response.Kind == Served {
		return plainExchange{}.Encode(w, response)
	}
	e := x.errorOf(response)
	h := w.Header()
	if e.RetryAfter > 0 {
		setRetryAfter(h, e.RetryAfter)
	}
	switch e.Status {
	case http.StatusMethodNotAllowed:
		h.Set("Allow", "GET, POST")
	case http.StatusNotAcceptable:
		h.Set("Accept", string(graphql.ResponseJSON)+", "+string(graphql.PlainJSON))
	}
	body := e.Append(nil, x.classification.Members)
	return writeResponse(w, e.StatusFor(x.media), string(x.media)+"; charset=utf-8", int64(len(body)), body)
}

// errorOf returns the GraphQL error for one of the agent's own responses.
func (x *graphQLExchange) errorOf(response Response) *graphql.Error {
	switch {
	case response.Kind == Rejected:
		return &graphql.Error{
			Code: graphql.CodeBusy, Status: rejectionStatus(response),
			RetryAfter: response.RetryAfter, Message: "busy: it was not executed",
		}
	case response.Kind == Failed:
		return &graphql.Error{
			Code: graphql.CodeFailed, Status: http.StatusBadGateway, Message: "failed",
			MayHaveRun: x.classification.Kind != graphql.Query,
		}
	case response.Kind == TooLong:
		return &graphql.Error{
			Code: graphql.CodeLimit, Status: http.StatusRequestEntityTooLarge,
			Message: ErrBodyTooLong.Error(),
		}
	case x.decodeError != nil:
		return x.decodeError
	}
	return &graphql.Error{
		Code: graphql.CodeBadRequest, Status: http.StatusBadRequest,
		Message: strings.TrimSpace(string(response.Body)),
	}
}
