package world

import (
	"fmt"

	"dunestep/internal/balancer"
	"dunestep/internal/graphql"
)

// graphQL is how agents see the requests of GraphQL clients.
type graphQL struct {
	front  *graphql.Classer // nil: agents have none
	bodies [][]string       // for each class, requests for an operation of its own root field
	opaque int              // the class of a POST that nobody looks into
}

// graphQLHeader is that of every such request.
var graphQLHeader = map[string][]string{"Content-Type": {"application/json"}}

// ways are how clients ask for one root field. The words of the other kind of operation are never far.
var ways = []string{
	`{"query":"%[1]s { %[2]s { id } }"}`,
	`{"operationName":"Run","query":"query Other { x } mutation More { y } %[1]s Run { %[2]s { id } }"}`,
	`{"query":"%[1]s Run($v: Boolean = true) { ...F }` +
		` fragment F on T { %[2]s(note: \"mutation { x }\") @include(if: $v) }"}`,
	`{"query":"# mutation { x }\n%[1]s { query: %[2]s { mutation } }","variables":{"query":"mutation { x }"}}`,
}

// buildGraphQL makes ready what the agents classify GraphQL by. The scenario has a safe and an unsafe class.
func (w *world) buildGraphQL() error {
	var err error
	rules := graphql.Rules{
		Classes: w.deployment(w.agents[0]).Classes,
		Queries: map[string]string{}, Mutations: map[string]string{},
		Limits: graphql.Limits{
			Document: 4 << 10, Tokens: 200, Depth: 10, Aliases: 10, Operations: 5,
			CacheBytes: 1 << 20,
		},
	}
	for i := len(rules.Classes) - 1; i >= 0; i-- {
		c, field := rules.Classes[i], fmt.Sprintf("field%d", i)
		kind, table := "query", rules.Queries
		if c.Idempotency == balancer.NotIdempotent {
			kind, table = "mutation", rules.Mutations
			w.graphQL.opaque = i
		}
		table[field] = c.Name
		var bodies []string
		for _, way := range ways {
			bodies = append(bodies, fmt.Sprintf(way, kind, field))
		}
		w.graphQL.bodies = append([][]string{bodies}, w.graphQL.bodies...)
	}
	if w.set.Clients.GraphQLFront {
		w.graphQL.front, err = graphql.NewClasser(rules)
	}
	return err
}

// told is the class that the agent takes a request for.
func (q *request) told() string {
	w := q.client.w
	class := q.class
	if w.set.Clients.GraphQL > 0 && lot(q.lots, 0, lotGraphQL) < w.set.Clients.GraphQL {
		if w.graphQL.front != nil {
			body := w.graphQL.bodies[class][int(lot(q.lots, 0, lotGraphQLWay)*float64(len(ways)))]
			v, err := w.graphQL.front.Class(graphql.Request{Method: "POST", Header: graphQLHeader, Body: []byte(body)})
			if err != nil {
				panic(err) // the requests above are wrong
			}
			return v.Class
		}
		class = w.graphQL.opaque
	}
	return w.set.Classes[class].Name
}
