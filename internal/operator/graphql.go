package operator

import (
	"net/netip"
	"regexp"
	"strings"
)

// MainListener is the value of GraphQL.Listen for serving GraphQL on the agent's own listener, at
// GraphQL.Path.
const MainListener = "front"

// The values of GraphQL.Batch.
const (
	// BatchReject rejects batches.
	BatchReject = "refuse"
	// BatchStrictest gives a batch the strictest class of its members.
	BatchStrictest = "strictest"
)

// GraphQL is the table "graphql": GraphQL over HTTP.
type GraphQL struct {
	// Listen is the address of a listener for GraphQL, or MainListener; empty: GraphQL is not served.
	Listen string `toml:"listen"`
	// Path is the URL path of the GraphQL endpoint.
	Path string `toml:"path"`
	// IdempotentClass names the class of queries. Empty: the first such class of the settings.
	IdempotentClass string `toml:"safe_class"`
	// NonIdempotentClass names the class of mutations and of requests that cannot be classified. Empty: the
	// first such class of the settings.
	NonIdempotentClass string `toml:"unsafe_class"`
	// Queries overrides the classes of queries, by root field.
	Queries map[string]string `toml:"queries"`
	// Mutations overrides the classes of mutations, by root field.
	Mutations map[string]string `toml:"mutations"`
	// Batch is BatchReject or BatchStrictest.
	Batch string `toml:"batch"`
	// Key, Tenant, Deadline and RequestID say where each is found in a request: header:NAME, cookie:NAME,
	// variable:NAME or empty.
	Key string `toml:"key"`
	// Tenant is where the tenant is found; see Key.
	Tenant string `toml:"tenant"`
	// TenantDefault is the tenant of requests that don't specify one.
	TenantDefault string `toml:"tenant_default"`
	// Deadline is where the time left in milliseconds is found; see Key.
	Deadline string `toml:"deadline"`
	// RequestID is where the request's id of 16 hexadecimal digits is found; see Key.
	RequestID string `toml:"id"`
	// TrustedDocuments is the path of a JSON file of documents by hash or id; empty: none.
	TrustedDocuments string `toml:"trusted"`

	// MaxDocumentKB is the maximum size of a document, in KiB.
	MaxDocumentKB int64 `toml:"document_kb" min:"1" max:"64"`
	// MaxTokens is the maximum number of tokens in a document.
	MaxTokens int64 `toml:"tokens" min:"10" max:"20000"`
	// MaxDepth is the maximum nesting depth of fields.
	MaxDepth int64 `toml:"depth" min:"1" max:"500"`
	// MaxAliases is the maximum number of aliases in an operation.
	MaxAliases int64 `toml:"aliases" min:"0" max:"10000"`
	// MaxOperations is the maximum number of operations in a document.
	MaxOperations int64 `toml:"operations" min:"1" max:"1000"`
	// MaxBatchLength is the maximum number of requests in a batch.
	MaxBatchLength int64 `toml:"batch_length" min:"1" max:"1000"`
	// CacheKB is the memory for cached parsed documents, in KiB; 0: none.
	CacheKB int64 `toml:"cache_kb" min:"0" max:"65536"`
	// HashStoreKB is the memory for the documents that clients registered by hash, in KiB; 0: none.
	HashStoreKB int64 `toml:"store_kb" min:"0" max:"65536"`
}

func defaultGraphQL() GraphQL {
	return GraphQL{
		Path: "/graphql", Queries: map[string]string{}, Mutations: map[string]string{},
		Batch: BatchReject, Key: "cookie:sid", Tenant: "header:X-Account",
		Deadline: "header:X-Time-Left-Ms", RequestID: "header:X-Correlation-Id",
		MaxDocumentKB: 16, MaxTokens: 1000, MaxDepth: 30, MaxAliases: 100, MaxOperations: 50,
		MaxBatchLength: 10, CacheKB: 1024, HashStoreKB: 256,
	}
}

var (
	sourcePattern = regexp.MustCompile(`^((header|cookie|variable):[^\s.]+(\.[^\s.]+)*)?$`)
	pathPattern   = regexp.MustCompile(`^(/[A-Za-z0-9_.~-]+)+$`)
)

// check returns the first key with a value that is not allowed, and its requirement; empty strings if there
// is none.
func (g GraphQL) check() (key, problem string) {
	switch {
	case !isListenAddress(g.Listen):
		return "listen", "must be an address with a port, " + MainListener + " or empty"
	case !pathPattern.MatchString(g.Path) || strings.HasPrefix(g.Path, "/health/"):
		return "path", "must be a path of letters, digits and the characters _.~-, and not below /health"
	case g.Batch != BatchReject && g.Batch != BatchStrictest:
		return "batch", "must be " + BatchReject + " or " + BatchStrictest
	}
	for _, source := range []struct{ key, text string }{
		{"key", g.Key}, {"tenant", g.Tenant}, {"deadline", g.Deadline}, {"id", g.RequestID},
	} {
		if !sourcePattern.MatchString(source.text) {
			return source.key, "must be header:NAME, cookie:NAME, variable:NAME or empty"
		}
	}
	return "", ""
}

// isListenAddress reports whether text is a valid value of Listen.
func isListenAddress(text string) bool {
	if text == "" || text == MainListener {
		return true
	}
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0
}
