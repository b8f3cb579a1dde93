package world

import (
	"fmt"

	"dunestep/internal/balancer"
	"dunestep/internal/graphql"
)

// graphQL describes how agents classify the requests of GraphQL clients.
type graphQL struct {
	classer *graphql.Classifier // nil: agents have none
	bodies  [][]string          // by class: request bodies that select its root field
	opaque  int                 // class of a POST whose body is not inspected
}

// graphQLHeader is the header of every GraphQL request.
var graphQLHeader = map[string][]string{"Content-Type": {"application/json"}}

// queryTemplates are the bodies that clients use to select one root field. Each contains the keywords
// of the other kind of operation where they must be ignored.
var queryTemplates = []string{
	`{"query":"%[1]s { %[2]s { id } }"}`,
	`{"operationName":"Run","query":"query Other { x } mutation More { y } %[1]s Run { %[2]s { id } }"}`,
	`{"query":"%[1]s Run($v: Boolean = true) { ...F }` +
		` fragment F on T { %[2]s(note: \"mutation { x }\") @include(if: $v) }"}`,
	`{"query":"# mutation { x }\n%[1]s { query: %[2]s { mutation } }","variables":{"query":"mutation { x }"}}`,
}

// buildGraphQL prepares the agents' GraphQL classification. The scenario has a safe and an unsafe
// class.
func (w *world) buildGraphQL() error {
	var err error
	rules := graphql.Rules{
		Classes: w.deployment(w.agents[0]).Classes,
		Queries: map[string]string{}, Mutations: map[string]string{},
		Limits: graphql.Limits{
			MaxDocumentBytes: 4 << 10, MaxTokens: 200, MaxDepth: 10, MaxAliases: 10, MaxOperations: 5,
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
		for _, template := range queryTemplates {
			bodies = append(bodies, fmt.Sprintf(template, kind, field))
		}
		w.graphQL.bodies = append([][]string{bodies}, w.graphQL.bodies...)
	}
	if w.scenario.Clients.GraphQLListener {
		w.graphQL.classer, err = graphql.NewClassifier(rules)
	}
	return err
}

// agentClass returns the class under which the agent handles the request.
func (q *request) agentClass() string {
	w := q.client.w
	class := q.class
	if w.scenario.Clients.GraphQL > 0 && hashedDraw(q.drawSeed, 0, drawGraphQL) < w.scenario.Clients.GraphQL {
		if w.graphQL.classer != nil {
			body := w.graphQL.bodies[class][int(
				hashedDraw(q.drawSeed, 0, drawGraphQLTemplate)*float64(len(queryTemplates)))]
			v, err := w.graphQL.classer.Classify(graphql.Request{
				Method: "POST", Header: graphQLHeader, Body: []byte(body),
			})
			if err != nil {
				panic(err) // queryTemplates has an invalid request
			}
			return v.Class
		}
		class = w.graphQL.opaque
	}
	return w.scenario.Classes[class].Name
}
