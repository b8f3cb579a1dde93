package operator

import (
	"net/netip"
	"regexp"
	"strings"
)

// OnFront, in place of an address, has GraphQL come on the front socket too, at its path.
const OnFront = "front"

// GraphQL is the table for GraphQL over HTTP.
type GraphQL struct {
	// Listen is the address of the socket for it, or OnFront; empty: there is none.
	Listen string `toml:"listen"`
	Path   string `toml:"path"`
	// SafeClass and UnsafeClass name the classes of queries, and of mutations and what cannot be told; empty:
	// the first such class of the settings.
	SafeClass   string `toml:"safe_class"`
	UnsafeClass string `toml:"unsafe_class"`
	// Queries and Mutations name other classes by root field.
	Queries   map[string]string `toml:"queries"`
	Mutations map[string]string `toml:"mutations"`
	Batch     string            `toml:"batch"` // BatchRefused or BatchStrictest
	// Key, Tenant, Deadline and ID tell where they are in a request: header:NAME, cookie:NAME, variable:NAME or
	// nothing.
	Key           string `toml:"key"`
	Tenant        string `toml:"tenant"`
	TenantDefault string `toml:"tenant_default"`
	Deadline      string `toml:"deadline"`
	ID            string `toml:"id"`
	Trusted       string `toml:"trusted"` // a file of documents by their hash or id; empty: none

	DocumentKB  int64 `toml:"document_kb" min:"1" max:"64"`
	Tokens      int64 `toml:"tokens" min:"10" max:"20000"`
	Depth       int64 `toml:"depth" min:"1" max:"500"`
	Aliases     int64 `toml:"aliases" min:"0" max:"10000"`
	Operations  int64 `toml:"operations" min:"1" max:"1000"`
	BatchLength int64 `toml:"batch_length" min:"1" max:"1000"`
	CacheKB     int64 `toml:"cache_kb" min:"0" max:"65536"`
	StoreKB     int64 `toml:"store_kb" min:"0" max:"65536"`
}

// What becomes of batches.
const (
	BatchRefused   = "refuse"
	BatchStrictest = "strictest"
)

func defaultGraphQL() GraphQL {
	return GraphQL{
		Path: "/graphql", Queries: map[string]string{}, Mutations: map[string]string{},
		Batch: BatchRefused, Key: "cookie:sid", Tenant: "header:X-Account", Deadline: "header:X-Time-Left-Ms",
		ID: "header:X-Correlation-Id", DocumentKB: 16, Tokens: 1000, Depth: 30, Aliases: 100, Operations: 50,
		BatchLength: 10, CacheKB: 1024, StoreKB: 256,
	}
}

var (
	source    = regexp.MustCompile(`^((header|cookie|variable):[^\s.]+(\.[^\s.]+)*)?$`)
	plainPath = regexp.MustCompile(`^(/[A-Za-z0-9_.~-]+)+$`)
)

// check tells what is wrong between keys that are right by themselves, and with texts.
func (g GraphQL) check() (key, problem string) {
	addr, err := netip.ParseAddrPort(g.Listen)
	switch {
	case g.Listen != "" && g.Listen != OnFront && (err != nil || addr.Port() == 0):
		return "listen", "must be an address with a port, " + OnFront + " or empty"
	case !plainPath.MatchString(g.Path) || strings.HasPrefix(g.Path, "/health/"):
		return "path", "must be a path of plain letters, and not below /health"
	case g.Batch != BatchRefused && g.Batch != BatchStrictest:
		return "batch", "must be " + BatchRefused + " or " + BatchStrictest
	}
	for _, s := range []struct{ key, text string }{
		{"key", g.Key}, {"tenant", g.Tenant}, {"deadline", g.Deadline}, {"id", g.ID},
	} {
		if !source.MatchString(s.text) {
			return s.key, "must be header:NAME, cookie:NAME, variable:NAME or empty"
		}
	}
	return "", ""
}
