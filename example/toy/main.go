// Command toy simulates discovery and two upstream servers, to try the agent with. Press Enter to drain
// toy-2, and Enter again to make it active.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"sync"
	"time"
)

const discoveryAddr = "127.0.0.1:8500"

var servers = []struct{ id, addr string }{{"toy-1", "127.0.0.1:9101"}, {"toy-2", "127.0.0.1:9102"}}

func main() {
	for _, s := range servers {
		go func() { log.Fatal(http.ListenAndServe(s.addr, upstreamServer(s.id))) }()
	}
	d := &discovery{version: 1, changed: make(chan struct{})}
	go d.switchOnEnter()
	log.Printf("discovery at %s, booking servers %v", discoveryAddr, servers)
	log.Fatal(http.ListenAndServe(discoveryAddr, d))
}

// upstreamServer answers each request after a short delay with the server's id, and a GraphQL request with a
// GraphQL response.
func upstreamServer(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		log.Printf("%s: %s %s %s", id, r.Method, r.RequestURI, r.Header.Get("X-Correlation-Id"))
		if r.URL.Path == "/graphql" {
			w.Header().Set("Content-Type", "application/json; charset=utf-8")
			fmt.Fprintf(w, "{\"data\":{\"did\":\"%s %s with %d bytes\"}}\n", id, r.Method, len(body))
			return
		}
		fmt.Fprintf(w, "%s did %s %s with %d bytes\n", id, r.Method, r.RequestURI, len(body))
	})
}

// discovery serves the endpoint list once or as a watch: the full list first, then again at each change.
type discovery struct {
	mu       sync.Mutex
	version  int
	draining bool
	changed  chan struct{} // closed and replaced at each change
}

func (d *discovery) list() (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := "active"
	if d.draining {
		state = "leaving"
	}
	const entry = `{"id":%q,"addr":%q,"zone":"a","kind":"toy","cell":0,"state":%q,"weight":1.0,"started_ms":0}`
	first := fmt.Sprintf(entry, servers[0].id, servers[0].addr, "active")
	second := fmt.Sprintf(entry, servers[1].id, servers[1].addr, state)
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s,%s]}`, d.version, first, second), d.changed
}

func (d *discovery) switchOnEnter() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		d.mu.Lock()
		d.version++
		d.draining = !d.draining
		log.Printf("%s drains: %v", servers[1].id, d.draining)
		close(d.changed)
		d.changed = make(chan struct{})
		d.mu.Unlock()
	}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list, changed := d.list()
	_, _ = io.WriteString(w, list+"\n")
	if r.URL.Query().Get("watch") == "" {
		return
	}
	for flush := http.NewResponseController(w).Flush; flush() == nil; {
		select {
		case <-changed:
			list, changed = d.list()
			_, _ = io.WriteString(w, list+"\n")
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
