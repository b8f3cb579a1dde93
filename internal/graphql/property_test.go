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

// drawn is a document of which it is known what it holds, since it was made so.
type drawn struct {
	text  string
	kinds map[string][]string // the operations' kinds by their names
	total int
}

// draw makes a document of operations and fragments in any order, with all that could hide what they are.
func draw(t *rapid.T) drawn {
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
	d := drawn{kinds: map[string][]string{}, total: rapid.IntRange(0, 3).Draw(t, "operations")}
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

// executes is what a document executes under a name, by the specification; empty: nothing, or that is not
// told.
func (d drawn) executes(name string, named bool) string {
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

// Whatever the document and the name: what executes a mutation, or can't be told, is in a class that must
// not be repeated, and never goes on by GET.
func TestMutationsAreUnsafe(t *testing.T) {
	c := classer(t, rules())
	safe := 0
	check := func(t *rapid.T) {
		d := draw(t)
		name := rapid.SampledFrom([]string{"-", "", "Q", "M", "query", "mutation", "other"}).Draw(t, "operationName")
		body, query := ask(d.text, name)
		runs := d.executes(strings.TrimPrefix(name, "-"), name != "-")
		for _, r := range []Request{post(body), {Method: "GET", URLQuery: query}, post("[" + body + "]")} {
			v, err := c.Class(r)
			if err == nil && effect(v.Class) == balancer.Idempotent {
				safe++
				if runs != "query" && (runs != "" || name != "") { // an empty name may be none
					t.Fatalf("%s as %q executes %q and has class %s", d.text, name, runs, v.Class)
				}
			}
			if r.Method == "GET" && err == nil && v.Kind != Query {
				t.Fatalf("%s goes on by GET", d.text)
			}
			if runs == "mutation" && r.Method == "POST" && err != nil {
				t.Fatalf("%s is refused: %v", d.text, err)
			}
		}
	}
	rapid.Check(t, check)
	for range 20 { // few of the documents are clear
		if safe == 0 {
			rapid.Check(t, check)
		}
	}
	require.NotZero(t, safe, "queries are to be found safe too")
}

func effect(class string) balancer.Idempotency {
	for _, c := range rules().Classes {
		if c.Name == class {
			return c.Idempotency
		}
	}
	return balancer.NotIdempotent
}

// Whatever comes: no panic, an *Error or a class, and a safe class only for what another reader of the JSON
// and the parser find to be a query.
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
	r := rules()
	r.Queries, r.Trusted = nil, nil
	c, err := NewClasser(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, method, text string) {
		r := Request{Method: method, URLQuery: text}
		if method == "POST" {
			r = post(text)
		}
		v, err := c.Class(r)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("%T", err)
		}
		if err != nil || effect(v.Class) != balancer.Idempotent {
			return
		}
		var asked []request
		if method == "GET" {
			q, err := url.ParseQuery(text)
			require.NoError(t, err)
			asked = append(asked, request{q.Get("query"), q.Get("operationName")})
		} else {
			if !strings.HasPrefix(strings.TrimSpace(text), "[") {
				text = "[" + text + "]"
			}
			require.NoError(t, json.Unmarshal([]byte(text), &asked))
		}
		for _, a := range asked {
			if a.executes() != ast.Query {
				t.Fatalf("%q has class %s", text, v.Class)
			}
		}
	})
}

// request is one as encoding/json reads it.
type request struct {
	Query         string
	OperationName string
}

// executes tells what the request executes, as a server reads it that takes an empty name for none.
func (a request) executes() ast.Operation {
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
