package graphql

import (
	"fmt"
	"mime"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// The codes of errors, in extensions.code.
const (
	CodeBadRequest    = "BAD_REQUEST" // not a GraphQL request, or one that parsers read differently
	CodeMethod        = "METHOD_NOT_ALLOWED"
	CodeMediaType     = "UNSUPPORTED_MEDIA_TYPE"
	CodeNotAcceptable = "NOT_ACCEPTABLE"
	CodePath          = "NOT_FOUND"
	CodeMutationByGET = "MUTATION_BY_GET"
	CodeSubscription  = "SUBSCRIPTION_NOT_SUPPORTED"
	CodeUnclear       = "OPERATION_UNCLEAR"
	CodeBatch         = "BATCH_REFUSED"
	CodeLimit         = "LIMIT_EXCEEDED"
	CodeNotFound      = "PERSISTED_QUERY_NOT_FOUND"
	CodeMismatch      = "PERSISTED_QUERY_MISMATCH"
	CodeBusy          = "BUSY"
	CodeFailed        = "FAILED"
)

// Error is a GraphQL error response that the agent generates itself.
type Error struct {
	Code    string
	Status  int // HTTP status, which StatusFor overrides for some errors
	Message string
	// RetryAfter is the delay after which the client may retry; zero if unknown.
	RetryAfter time.Duration
	// MayHaveRun reports whether a mutation may have been executed.
	MayHaveRun bool
	// wellFormed means that the request is valid GraphQL over HTTP, although the agent does not forward it.
	wellFormed bool
}

func (e *Error) Error() string { return e.Message }

func badRequest(format string, args ...any) error {
	return &Error{Code: CodeBadRequest, Status: 400, Message: fmt.Sprintf(format, args...)}
}

func overLimit(format string, args ...any) error {
	return &Error{Code: CodeLimit, Status: 400, wellFormed: true, Message: fmt.Sprintf(format, args...)}
}

// MediaType is the media type of a response.
type MediaType string

// The media types of responses. With PlainJSON, the response to a well-formed request has status 200, and
// only the body shows an error.
const (
	ResponseJSON MediaType = "application/graphql-response+json"
	PlainJSON    MediaType = "application/json"
)

// IsResponseType reports whether a media type is one of a GraphQL response.
func IsResponseType(media string) bool {
	return strings.EqualFold(media, string(ResponseJSON)) || strings.EqualFold(media, string(PlainJSON))
}

// StatusFor returns the HTTP status that the GraphQL-over-HTTP specification requires for a response of
// this media type.
func (e *Error) StatusFor(m MediaType) int {
	if e.wellFormed && m == PlainJSON {
		return 200
	}
	return e.Status
}

// Append appends the error to b as a GraphQL response. For a batch, it appends an array of one response
// for each member; members is 0 for a single request.
func (e *Error) Append(b []byte, members int) []byte {
	one := append([]byte(`{"errors":[{"message":`), quote(e.Message)...)
	one = append(append(one, `,"extensions":{"code":`...), quote(e.Code)...)
	if e.RetryAfter > 0 {
		one = strconv.AppendFloat(append(one, `,"retryAfter":`...), e.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if e.Code == CodeBusy || e.Code == CodeFailed {
		one = strconv.AppendBool(append(one, `,"mayHaveRun":`...), e.MayHaveRun)
	}
	one = append(one, "}}]}"...)
	if members == 0 {
		return append(b, one...)
	}
	for i := range members {
		b = append(append(b, "[,"[min(i, 1)]), one...)
	}
	return append(b, ']')
}

func quote(s string) []byte {
	b, _ := jsontext.AppendQuote(nil, s) // the only error is invalid UTF-8, which AppendQuote replaces
	return b
}

// NegotiateMediaType returns the media type that the client prefers by its Accept fields; false if it accepts
// neither. The default without a preference is plain JSON, for clients that are older than the other media
// type.
func NegotiateMediaType(fields []string) (MediaType, bool) {
	all := strings.Join(fields, ",")
	if strings.TrimSpace(all) == "" {
		return PlainJSON, true
	}
	var chosen MediaType
	best := 0.0
	for one := range strings.SplitSeq(all, ",") {
		name, parameters, err := mime.ParseMediaType(one)
		if err != nil {
			continue
		}
		q := 1.0
		if text, given := parameters["q"]; given {
			if q, err = strconv.ParseFloat(text, 64); err != nil {
				continue
			}
		}
		if set := parameters["charset"]; set != "" && !isUTF8(set) {
			continue
		}
		m := PlainJSON
		switch name {
		case string(ResponseJSON):
			m = ResponseJSON
		case string(PlainJSON), "application/*", "*/*":
		default:
			continue
		}
		if q > best {
			chosen, best = m, q
		}
	}
	return chosen, best > 0
}

// checkHeader checks that the header fields of a POST declare a JSON body in UTF-8 without a content
// encoding.
func checkHeader(h map[string][]string) error {
	types := h["Content-Type"]
	wrong := &Error{Code: CodeMediaType, Status: 415, Message: "Content-Type must be application/json, in UTF-8"}
	if len(types) != 1 {
		return wrong
	}
	if types[0] != string(PlainJSON) {
		name, parameters, err := mime.ParseMediaType(types[0])
		if err != nil || name != string(PlainJSON) {
			return wrong
		}
		if set, given := parameters["charset"]; given && !isUTF8(set) {
			return wrong
		}
	}
	if e := h["Content-Encoding"]; len(e) > 1 || len(e) == 1 && !strings.EqualFold(e[0], "identity") {
		return &Error{Code: CodeMediaType, Status: 415, Message: "the body must not be encoded"}
	}
	return nil
}

func isUTF8(set string) bool {
	return strings.EqualFold(set, "utf-8") || strings.EqualFold(set, "utf8")
}
