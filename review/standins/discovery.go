package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is a booking server in discovery's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is sound: it answers at once, sends the whole list first on each watch, then each change,
// and an empty line every 2 s while nothing changes.
type discovery struct {
	addr    string
	mu      sync.Mutex
	version int64
	entries []entry
	watches map[chan list]bool
}

func startDiscovery(entries []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{addr: l.Addr().String(), version: 41, entries: entries, watches: map[chan list]bool{}}
	server := http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(l) }()
	return d
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	changes := make(chan list, 100)
	d.mu.Lock()
	whole := list{Version: d.version, Full: true, Servers: append([]entry(nil), d.entries...)}
	if r.URL.Query().Get("watch") == "1" {
		d.watches[changes] = true
	}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	raw, _ := json.Marshal(whole)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "%s\n", raw)
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case c := <-changes:
			raw, _ := json.Marshal(c)
			_, _ = fmt.Fprintf(w, "%s\n", raw)
		case <-time.After(2 * time.Second):
			_, _ = fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
