package graphql

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// testRules returns the rules of a deployment with a class of each kind.
func testRules() Rules {
	return Rules{
		Classes: []balancer.Class{
			{Name: "consult", Idempotency: balancer.Idempotent, Deadline: 2 * time.Second},
			{Name: "rezervare", Idempotency: balancer.NotIdempotent, Deadline: time.Second},
			{Name: "report", Idempotency: balancer.Idempotent, Deadline: 5 * time.Second},
			{Name: "notify", Idempotency: balancer.IdempotentWithKey, Deadline: time.Second},
			{Name: "note", Idempotency: balancer.IdempotentWithKey},
		},
		Queries:   map[string]string{"holdSlot": "rezervare", "report": "report"},
		Mutations: map[string]string{"remind": "notify", "note": "note"},
		Trusted:   map[string]string{"t1": "query T { slots { id } }", "t2": "mutation { book { id } }"},
		Batches:   true,
		Limits: Limits{
			MaxDocumentBytes: 16 << 10, MaxTokens: 1000, MaxDepth: 30, MaxAliases: 100, MaxOperations: 50, MaxBatchLength: 10,
			CacheBytes: 1 << 20, HashStoreBytes: 1 << 18,
		},
	}
}

func newTestClassifier(t testing.TB, r Rules) *Classifier {
	c, err := NewClassifier(r)
	require.NoError(t, err)
	return c
}

var jsonHeader = map[string][]string{"Content-Type": {"application/json"}}

func post(body string) Request {
	return Request{Method: "POST", Header: jsonHeader, Body: []byte(body)}
}

// encodeRequest returns the POST body and the URL query of a request for a document. The operation "-"
// leaves operationName out.
func encodeRequest(document, operation string) (body, query string) {
	m := map[string]any{"query": document}
	query = "query=" + url.QueryEscape(document)
	if operation != "-" {
		m["operationName"] = operation
		query += "&operationName=" + url.QueryEscape(operation)
	}
	raw, _ := json.Marshal(m)
	return string(raw), query
}

// classOrCode returns the class, or the code of the error.
func classOrCode(v Classification, err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return v.Class
}

// The operation that would be executed determines the class, by POST and by GET, parsed and from the
// cache. What may be a mutation is never forwarded by GET.
func TestExecutedOperation(t *testing.T) {
	c := newTestClassifier(t, testRules())
	both := `query Q { slots { id } } mutation M { book { id } }`
	for _, one := range []struct{ document, name, want string }{
		{`{ slots { id } }`, "-", "consult"},
		{`mutation { book { id } }`, "-", "rezervare"},
		{`subscription { slots { id } }`, "-", CodeSubscription},
		{both, "Q", "consult"},
		{both, "M", "rezervare"},
		{both, "-", "rezervare"}, // no operation is selected
		{both, "m", "rezervare"}, // unknown operation
		{both, "", "rezervare"},  // no name, or an empty one
		{both + `subscription S { slots }`, "S", CodeSubscription},
		{`query Q { slots } subscription S { slots }`, "Q", "consult"},
		{`query Q { slots }`, "R", "rezervare"},             // unknown operation
		{`query Q { slots }`, "", "consult"},                // the only operation, or none
		{`{ slots } mutation M { book }`, "M", "rezervare"}, // an anonymous operation among others
		{`{ slots } query Q { slots }`, "Q", "rezervare"},
		{`query Q { slots } mutation Q { book }`, "Q", "rezervare"},
		{`mutation M { ... on Mutation @skip(if: true) { book @include(if: false) } }`, "-", "rezervare"},
		{`mutation M { ...F } fragment F on Mutation { book }`, "M", "rezervare"},
		{`query Q { ...F } fragment F on Mutation { book }`, "Q", "consult"},
		{`query Q { ...F }`, "Q", "rezervare"}, // undefined fragment
		{`query Q { ...F } fragment F on Q { a } fragment F on Q { b }`, "Q", "rezervare"},
		{`fragment F on Query { slots }`, "-", "rezervare"}, // nothing to execute
		{``, "-", "rezervare"},
		{`{ slots(note: "mutation { book }") } # mutation M { book }`, "-", "consult"},
		{`query mutation { mutation: subscription { query } }`, "mutation", "consult"},
		{`{ slots(note: """ mutation { book } """) }`, "-", "consult"},
		{`{ slots(note: """ a \""" b """) }`, "-", "rezervare"}, // older servers read three strings
		{`{ slots(note: """a"""") } #"`, "-", "rezervare"},
		{"{ slots } # \r mutation M { book }", "-", "rezervare"}, // servers differ in whether the comment ends here
		{"{ slots } # \u2028 mutation M { book }", "-", "rezervare"},
		{"\ufeff{ slots }", "-", "rezervare"},
		{"{ slots }\x00", "-", "rezervare"},
		{"{ slots }\r\n", "-", "consult"},
		{`{ slots! { id } }`, "-", "rezervare"}, // not in the language, or not yet
		{`{ slots `, "-", "rezervare"},
		// The operator's table: the strictest class of all root fields, skipped by a directive or not.
		{`{ holdSlot }`, "-", "rezervare"},
		{`{ slots alias: holdSlot @skip(if: true) }`, "-", "rezervare"},
		{`{ report }`, "-", "report"},
		{`{ slots report }`, "-", "consult"}, // of two safe classes, the one with the shorter deadline
		{`{ ...F } fragment F on Query { ... { report holdSlot } }`, "-", "rezervare"},
		{`mutation { remind }`, "-", "notify"},
		{`mutation { remind note }`, "-", "rezervare"}, // no server deduplicates both
		{`mutation { remind book }`, "-", "rezervare"},
	} {
		body, query := encodeRequest(one.document, one.name)
		byGET := one.want
		if v, err := c.Classify(post(body)); one.want != CodeSubscription {
			require.NoError(t, err, "%q", one)
			if v.Kind == Mutation {
				byGET = CodeMutationByGET
			} else if v.Kind == Unclear {
				byGET = CodeUnclear
			}
		}
		for range 2 {
			require.Equal(t, one.want, classOrCode(c.Classify(post(body))), "%q", one)
			require.Equal(t, byGET, classOrCode(c.Classify(Request{Method: "GET", URLQuery: query})), "%q by GET", one)
		}
	}
}

// Requests that two parsers could read differently are refused.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	c := newTestClassifier(t, testRules())
	const good = `{"query":"{ slots }"}`
	require.Equal(t, "consult", classOrCode(c.Classify(post(" "+good+"\r\n"))))
	for _, body := range []string{
		``, `null`, `"{ slots }"`, `{}`, `{"query":null}`, `{"query":1}`, `{"query":["{ slots }"]}`, `{ slots }`, good + good,
		good + "\x00", good + "x", "\ufeff" + good, good[:len(good)-1] + ",}", `{,"query":"{ slots }"}`,
		`{"query":"{ slots }" "x":1}`, `{"query":"{ slots }","x":}`, `{"query":"{ slots }","x":nan}`, `{"query":"{ slots }","x":[1}}`,
		`{"query":"{ slots }",x:1}`, `{'query':"{ slots }"}`, "{\"query\":\"{\nslots }\"}", "{\"query\":\"{ slots \xff}\"}",
		`{"query":"{ slots \ud800 }"}`, `{"query":"{ slots }","query":"mutation { book }"}`,
		`{"query":"{ slots }","qu\u0065ry":"mutation { book }"}`, `{"qu\u0065ry":"{ slots }"}`,
		`{"query":"{ slots }","Query":"mutation { book }"}`, `{"query":"{ slots }","extenſions":{}}`,
		`{"query":"{ slots }","operationName":1}`, `{"query":"{ slots }","operationName":"A","operationname":"B"}`,
		`{"query":"{ slots }","variables":{"a":"\x"}}`, `{"query":"{ slots }","variables":{"a":01}}`,
		"{\"query\":\"{ slots }\",\"variables\":{\"a\":\"\t\"}}", `{"query":"{ slots }","variables":{"a":1 "b":2}}`,
		`{"query":"{ slots }","variables":{1:2}}`, `{"query":"{ slots }","variables":"{}"}`, `{"query":"{ slots }","variables":[]}`, `{"query":"{ slots }","extensions":1}`,
		`{"query":"{ slots }","__proto__":{"operationName":"M"}}`, `{"query":"{ slots }","extensions":{"persistedquery":{}}}`,
		`{"query":"{ slots }","extensions":{"persistedQuery":{"version":2,"sha256Hash":"` + strings.Repeat("0", 64) + `"}}}`,
		`[]`, `[` + good + `,]`, `[` + good + ` ` + good + `]`, `[[` + good + `]]`, `[` + good, `[1]`,
		string([]byte{0xff, 0xfe, '{', 0, '"', 0}), `{"query":"{ slots }","variables":{"a":` + strings.Repeat("[", 65) + strings.Repeat("]", 65) + `}}`,
	} {
		require.Equal(t, CodeBadRequest, classOrCode(c.Classify(post(body))), "%q", body)
	}
	for _, name := range []string{"id", "doc_id", "x"} { // may be the id of another document
		require.Equal(t, "rezervare", classOrCode(c.Classify(post(`{"query":"{ slots }","`+name+`":"1"}`))))
	}
	for _, body := range []string{good, "[" + good + "]"} {
		require.Equal(t, "rezervare", classOrCode(c.Classify(Request{Method: "POST", Header: jsonHeader, URLQuery: "doc_id=1", Body: []byte(body)})))
		require.Equal(t, "consult", classOrCode(c.Classify(Request{Method: "POST", Header: jsonHeader, URLQuery: "_=1", Body: []byte(body)})))
	}
	require.Equal(t, CodeUnclear, classOrCode(c.Classify(Request{Method: "GET", URLQuery: "query={a}&docId=1"})))
	require.Equal(t, "consult", classOrCode(c.Classify(Request{Method: "GET", URLQuery: "query={a}&_=1"})))
	for name, r := range map[string]Request{
		"hash sign":             {Method: "GET", URLQuery: "query={a}#mutation{b}"},
		"query in URL and body": {Method: "POST", Header: jsonHeader, URLQuery: "query=%7Ba%7D", Body: []byte(good)},
		"duplicate":             {Method: "GET", URLQuery: "query={a}&query=mutation{b}"},
		"other case":            {Method: "GET", URLQuery: "query={a}&Query=mutation{b}"},
		"escaped duplicate":     {Method: "GET", URLQuery: "query={a}&%71uery=mutation{b}"},
		"list":                  {Method: "GET", URLQuery: "query={a}&query[]=mutation{b}"},
		"leading space":         {Method: "GET", URLQuery: "query={a}&+query=mutation{b}"},
		"semicolon":             {Method: "GET", URLQuery: "query={a};query=mutation{b}"},
		"bad escape":            {Method: "GET", URLQuery: "query=%7"},
		"invalid UTF-8":         {Method: "GET", URLQuery: "query=%ff"},
		"variables":             {Method: "GET", URLQuery: "query={a}&variables={}{}"},
		"no parameter":          {Method: "GET", URLQuery: "a=b"},
		"GET with a body":       {Method: "GET", URLQuery: "query={a}", Body: []byte(good)},
	} {
		require.Equal(t, CodeBadRequest, classOrCode(c.Classify(r)), name)
	}
	for _, h := range []map[string][]string{
		nil,
		{"Content-Type": {"text/plain"}},
		{"Content-Type": {"application/graphql"}},
		{"Content-Type": {"application/json", "application/json"}},
		{"Content-Type": {"application/json; charset=utf-16"}},
		{"Content-Type": {"application/json; charset=utf-8; charset=utf-16"}},
		{"Content-Type": {"multipart/form-data; boundary=x"}},
		{"Content-Type": {"application/json"}, "Content-Encoding": {"gzip"}},
	} {
		require.Equal(t, CodeMediaType, classOrCode(c.Classify(Request{Method: "POST", Header: h, Body: []byte(good)})), "%v", h)
	}
	charset := Request{Method: "POST", Header: map[string][]string{"Content-Type": {`Application/JSON; charset="UTF-8"`}}, Body: []byte(good)}
	require.Equal(t, "consult", classOrCode(c.Classify(charset)))
	require.Equal(t, CodeMethod, classOrCode(c.Classify(Request{Method: "PUT", Header: jsonHeader, Body: []byte(good)})))
}

func TestBatch(t *testing.T) {
	c := newTestClassifier(t, testRules())
	one, other := `{"query":"{ slots }","variables":{"day":"monday"}}`, `{"query":"mutation { book }"}`
	v, err := c.Classify(post(`[` + one + `, ` + one + `]`))
	require.NoError(t, err)
	require.Equal(t, Classification{Class: "consult", Kind: Query, Members: 2, Variables: []byte(`{"day":"monday"}`)}, v)
	require.Equal(t, "rezervare", classOrCode(c.Classify(post(`[`+one+`,`+other+`]`))))
	require.Equal(t, CodeSubscription, classOrCode(c.Classify(post(`[`+one+`,{"query":"subscription { a }"}]`))))
	require.Equal(t, CodeLimit, classOrCode(c.Classify(post(`[`+one+strings.Repeat(`,`+one, 10)+`]`))))
	r := testRules()
	r.Batches = false
	require.Equal(t, CodeBatch, classOrCode(newTestClassifier(t, r).Classify(post(`[`+one+`]`))))
}

// A hash or id without its document has the class of the document that it was received with before or that
// the operator's file maps it to. If neither exists, it is unsafe, and by GET it is refused with the error
// after which clients send the document.
func TestPersistedDocuments(t *testing.T) {
	c := newTestClassifier(t, testRules())
	document := `query Q { slots }`
	hash := fmt.Sprintf("%x", sha256.Sum256([]byte(document)))
	extension := func(h string) string { return `"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + h + `"}}` }
	alone := post(`{` + extension(hash) + `}`)
	get := Request{Method: "GET", URLQuery: "extensions=" + url.QueryEscape(`{"persistedQuery":{"version":1,"sha256Hash":"`+hash+`"}}`)}
	require.Equal(t, "rezervare", classOrCode(c.Classify(alone)))
	require.Equal(t, CodeNotFound, classOrCode(c.Classify(get)))
	require.Equal(t, CodeMismatch, classOrCode(c.Classify(post(`{"query":"{ other }",`+extension(hash)+`}`))))
	require.Equal(t, CodeMismatch, classOrCode(c.Classify(post(`{"query":"{ other }","documentId":"sha256:`+hash+`"}`))))
	require.Equal(t, "rezervare", classOrCode(c.Classify(alone)), "a mismatch must not be stored")
	require.Equal(t, "consult", classOrCode(c.Classify(post(`{"query":"`+document+`",`+extension(hash)+`}`))))
	require.Equal(t, "consult", classOrCode(c.Classify(alone)))
	require.Equal(t, "consult", classOrCode(c.Classify(get)))
	require.Equal(t, "consult", classOrCode(c.Classify(post(`{"documentId":"sha256:`+hash+`"}`))))
	require.Equal(t, "rezervare", classOrCode(c.Classify(post(`{"documentId":"`+hash+`"}`))), "an id without the prefix is not a hash")
	require.Equal(t, "rezervare", classOrCode(c.Classify(post(`{"operationName":"M",`+extension(hash)+`}`))))
	require.Equal(t, CodeBadRequest, classOrCode(c.Classify(post(`{"documentId":"t1",`+extension(hash)+`}`))))
	require.Equal(t, "consult", classOrCode(c.Classify(post(`{"documentId":"t1"}`))))
	require.Equal(t, "rezervare", classOrCode(c.Classify(post(`{"documentId":"t2"}`))))
	require.Equal(t, CodeMutationByGET, classOrCode(c.Classify(Request{Method: "GET", URLQuery: "documentId=t2"})))
	require.Equal(t, "rezervare", classOrCode(c.Classify(post(`{"documentId":"t3","query":"{ slots }"}`))), "a server may use either document")
	require.Equal(t, CodeMismatch, classOrCode(c.Classify(post(`{"documentId":"t1","query":"{ slots }"}`))))
	require.Equal(t, "consult", classOrCode(c.Classify(post(`{"documentId":"t1","query":"query T { slots { id } }"}`))))

	for _, bad := range []map[string]string{{hash: "{ other }"}, {"sha256:" + hash: "{ other }"}, {"x": "{ a "}, {"x": strings.Repeat("{a", 2000)}} {
		r := testRules()
		r.Trusted = bad
		_, err := NewClassifier(r)
		require.Error(t, err)
	}
	r := testRules()
	r.Trusted = map[string]string{hash: document}
	require.Equal(t, "consult", classOrCode(newTestClassifier(t, r).Classify(alone)))
}

// Both caches stay within their size, and the most recently used entries are kept.
func TestStoresAreBounded(t *testing.T) {
	r := testRules()
	r.Limits.CacheBytes, r.Limits.HashStoreBytes = 20_000, 5_000
	c := newTestClassifier(t, r)
	first := `{"query":"{ first }"}`
	for i := range 1000 {
		document := fmt.Sprintf("{ field%d }", i)
		body := fmt.Sprintf(`{"query":%q,"documentId":"sha256:%x"}`, document, sha256.Sum256([]byte(document)))
		require.Equal(t, "consult", classOrCode(c.Classify(post(body))))
		require.Equal(t, "consult", classOrCode(c.Classify(post(first))))
		require.LessOrEqual(t, c.byLiteral.usedBytes, 20_000)
		require.LessOrEqual(t, c.byHash.usedBytes, 5_000)
	}
	require.NotNil(t, c.byLiteral.get([]byte(`"{ first }"`)))
	require.Greater(t, len(c.byLiteral.entries), 50)
	require.Less(t, len(c.byHash.entries), 20)
}

// Guards against entries that keep a whole document in memory because they hold a substring of it, the
// name of an operation.
func TestStoresKeepNoDocuments(t *testing.T) {
	const maxBytes, documents, length = 100_000, 1000, 15_000
	r := testRules()
	r.Limits.CacheBytes, r.Limits.HashStoreBytes = 0, maxBytes
	c := newTestClassifier(t, r)
	heap := func() (bytes int) {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	for i := range documents {
		document := fmt.Sprintf("query Q%d { slots }%*s", i, length, "")
		body := fmt.Sprintf(`{"query":%q,"documentId":"sha256:%x"}`, document, sha256.Sum256([]byte(document)))
		require.Equal(t, "consult", classOrCode(c.Classify(post(body))))
	}
	require.Greater(t, len(c.byHash.entries), 100)
	require.Less(t, heap()-before, 100*length/2)
	runtime.KeepAlive(c)
}

func TestInvalidRules(t *testing.T) {
	r := testRules()
	r.Safe, r.Unsafe, r.Queries["x"], r.Mutations["y"] = "rezervare", "nothing", "nowhere", "consult"
	_, err := NewClassifier(r)
	for _, want := range []string{
		`the settings have no class "rezervare" that is safe`, `the settings have no class "nothing" that is unsafe`,
		`x: the settings have no class "nowhere"`, `y: a mutation must not have class "consult"`,
	} {
		require.ErrorContains(t, err, want)
	}
}

func TestResponses(t *testing.T) {
	for accept, want := range map[string]MediaType{
		"": PlainJSON, "*/*": PlainJSON, "application/json": PlainJSON,
		"application/graphql-response+json": ResponseJSON, "application/graphql-response+json, application/json;q=0.9": ResponseJSON,
		"application/json;q=0.5, application/graphql-response+json;q=0.4": PlainJSON, "text/html": "", "application/json;q=0": "",
		"application/graphql-response+json; charset=utf-8, application/json; charset=utf-8": ResponseJSON, "application/json;charset=latin1": "",
	} {
		got, ok := NegotiateMediaType([]string{accept})
		require.Equal(t, want, got, accept)
		require.Equal(t, want != "", ok, accept)
	}
	subscription, _ := newTestClassifier(t, testRules()).Classify(post(`{"query":"subscription { a }"}`))
	require.Equal(t, Subscription, subscription.Kind)
	refused := &Error{Code: CodeSubscription, Status: 400, wellFormed: true}
	require.Equal(t, 200, refused.StatusFor(PlainJSON))
	require.Equal(t, 400, refused.StatusFor(ResponseJSON))
	busy := &Error{Code: CodeBusy, Status: 503, Message: "\"busy\"\n", RetryAfter: 350 * time.Millisecond}
	require.Equal(t, 503, busy.StatusFor(PlainJSON))
	require.JSONEq(t, `{"errors":[{"message":"\"busy\"\n","extensions":{"code":"BUSY","retryAfter":0.35,"mayHaveRun":false}}]}`,
		string(busy.Append(nil, 0)))
	failed := &Error{Code: CodeFailed, Status: 502, Message: "failed", MayHaveRun: true}
	one := `{"errors":[{"message":"failed","extensions":{"code":"FAILED","mayHaveRun":true}}]}`
	require.JSONEq(t, `[`+one+`,`+one+`]`, string(failed.Append(nil, 2)))
}

func TestVariable(t *testing.T) {
	variables := []byte(`{"a":{"b":"x y"}, "n":12, "t":1, "t":2, "l":["z"], "long":"` + strings.Repeat("x", 300) + `"}`)
	for path, want := range map[string]string{"a.b": "x y", "n": "12", "t": "", "l": "", "long": "", "a": "", "a.c": "", "n.x": "", "q": ""} {
		require.Equal(t, want, Variable(variables, strings.Split(path, ".")), path)
	}
	require.Empty(t, Variable(nil, []string{"a"}))
}
