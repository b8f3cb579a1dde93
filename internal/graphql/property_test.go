package graphql

import (
	"encoding/json"
	"errors"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/parser"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

// generatedDocument is a generated document together with the kinds of its operations.
type generatedDocument struct {
	text  string
	kinds map[string][]string // kinds of the operations by name
	total int                 // operations
}

// generateDocument draws a document of operations and fragments in any order, with comments, strings and
// names that could disguise the kinds of its operations.
func generateDocument(t *rapid.T) generatedDocument {
	pick := func(label string, from ...string) string { return rapid.SampledFrom(from).Draw(t, label) }
	noise := func() string {
		return pick("noise", "", " ", "\n", ",", "# mutation M { x }\n", "#\"\"\"\n", "\r\n", "\t# }\n", "# {\r")
	}
	value := func() string {
		return pick("value", `"mutation { x }"`, `"# \" }"`, `"""`+"\n } mutation M { x } "+`"""`, `$v`, `{a: "}"}`, `["{"]`, `"\\"`, `""`)
	}
	field := func() string {
		f := pick("alias", "", "mutation: ", "query: ", "a: ") + pick("field", "slots", "query", "mutation", "on", "fragment")
		if rapid.Bool().Draw(t, "arguments") {
			f += "(note: " + value() + ")"
		}
		return f + pick("directive", "", " @skip(if: true)", " @include(if: $v)", " @live") + noise()
	}
	var parts []string
	d := generatedDocument{kinds: map[string][]string{}, total: rapid.IntRange(0, 3).Draw(t, "operations")}
	for range d.total {
		kind, name := pick("kind", "query", "mutation", "subscription"), pick("name", "", "Q", "M", "query", "mutation")
		body := "{" + noise() + field() + pick("spread", "", " ...F ", " ... on Mutation { x } ", " ... { y }") + "}"
		if kind == "query" && name == "" && rapid.Bool().Draw(t, "short") {
			parts = append(parts, body)
		} else {
			parts = append(parts, kind+noise()+" "+name+pick("variables", "", "($v: Boolean = true)")+noise()+body)
		}
		d.kinds[name] = append(d.kinds[name], kind)
	}
	parts = append(parts, "fragment F on Mutation { "+field()+" }")
	d.text = strings.Join(rapid.Permutation(parts).Draw(t, "order"), noise()+"\n")
	return d
}

// executedKind returns the kind of the operation that the specification says is executed under a name;
// empty if there is none or it is ambiguous.
func (d generatedDocument) executedKind(name string, named bool) string {
	if !named && d.total != 1 {
		return ""
	}
	for n, kinds := range d.kinds {
		if (n == name || !named) && len(kinds) == 1 {
			return kinds[0]
		}
	}
	return ""
}

// For any document and operation name, a request that executes a mutation, or whose effect cannot be
// determined, has a class that must not be repeated and is never forwarded by GET.
func TestMutationsAreUnsafe(t *testing.T) {
	c := newTestClassifier(t, testRules())
	safe := 0
	check := func(t *rapid.T) {
		d := generateDocument(t)
		name := rapid.SampledFrom([]string{"-", "", "Q", "M", "query", "mutation", "other"}).Draw(t, "operationName")
		body, query := encodeRequest(d.text, name)
		runs := d.executedKind(strings.TrimPrefix(name, "-"), name != "-")
		for _, r := range []Request{post(body), {Method: "GET", URLQuery: query}, post("[" + body + "]")} {
			v, err := c.Classify(r)
			if err == nil && idempotencyOf(v.Class) == balancer.Idempotent {
				safe++
				if runs != "query" && (runs != "" || name != "") { // servers may treat an empty name as none
					t.Fatalf("%s as %q executes %q and has class %s", d.text, name, runs, v.Class)
				}
			}
			if r.Method == "GET" && err == nil && v.Kind != Query {
				t.Fatalf("%s is forwarded by GET", d.text)
			}
			if runs == "mutation" && r.Method == "POST" && err != nil {
				t.Fatalf("%s is refused: %v", d.text, err)
			}
		}
	}
	rapid.Check(t, check)
	for range 20 { // few of the documents are unambiguous
		if safe == 0 {
			rapid.Check(t, check)
		}
	}
	require.NotZero(t, safe, "some queries must be found safe")
}

func idempotencyOf(class string) balancer.Idempotency {
	for _, c := range testRules().Classes {
		if c.Name == class {
			return c.Idempotency
		}
	}
	return balancer.NotIdempotent
}

// For any input, Classify does not panic and returns an *Error or a class. The class is only safe if
// encoding/json and the parser also find a query.
func FuzzClass(f *testing.F) {
	for _, s := range []string{
		`{"query":"{ slots }"}`, `{"query":"mutation M { a } query Q { b }","operationName":"Q"}`,
		`[{"query":"{a}"},{"query":"mutation{b}"}]`, `{"query":"query Q{...F} fragment F on Q{a(s:\"\"\"\\n}\"\"\")}","variables":{"a":[{}]}}`,
		`{"query":"{a}","extensions":{"persistedQuery":{"version":1,"sha256Hash":"x"}}}`, `{"query":"{a}","qu\u0065ry":"mutation{b}"}`,
	} {
		f.Add("POST", s)
	}
	f.Add("GET", "query=%7Ba%7D&operationName=a&variables=%7B%7D")
	f.Add("GET", "query={a}&%71uery=mutation{b}")
	r := testRules()
	r.Queries, r.Trusted = nil, nil
	c, err := NewClassifier(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, method, text string) {
		r := Request{Method: method, URLQuery: text}
		if method == "POST" {
			r = post(text)
		}
		v, err := c.Classify(r)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("%T", err)
		}
		if err != nil || idempotencyOf(v.Class) != balancer.Idempotent {
			return
		}
		var requests []request
		if method == "GET" {
			q, err := url.ParseQuery(text)
			require.NoError(t, err)
			requests = append(requests, request{q.Get("query"), q.Get("operationName")})
		} else {
			if !strings.HasPrefix(strings.TrimSpace(text), "[") {
				text = "[" + text + "]"
			}
			require.NoError(t, json.Unmarshal([]byte(text), &requests))
		}
		for _, a := range requests {
			if a.executedOperation() != ast.Query {
				t.Fatalf("%q has class %s", text, v.Class)
			}
		}
	})
}

// request is a GraphQL request as encoding/json reads it.
type request struct {
	Query         string
	OperationName string
}

// executedOperation returns the kind of operation that a server executes if it treats an empty name as
// none.
func (a request) executedOperation() ast.Operation {
	d, err := parser.ParseQuery(&ast.Source{Input: a.Query})
	if err != nil {
		return ""
	}
	if a.OperationName == "" && len(d.Operations) == 1 {
		return d.Operations[0].Operation
	}
	if o := d.Operations.ForName(a.OperationName); o != nil {
		return o.Operation
	}
	return ""
}
