package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// change is one version of the list: the entry that it changed.
type change struct {
	version int64
	entry   entry
}

// discovery keeps the list and answers calls and watches.
type discovery struct {
	world *world
	l     net.Listener

	mu      sync.Mutex
	version int64
	entries []entry
	changes []change
	wake    chan struct{} // closed at each change
}

func startDiscovery(w *world) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{world: w, l: l, version: 41, wake: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *discovery) addr() string { return d.l.Addr().String() }

// set adds or changes an entry; one whose state is left is removed.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	kept := d.entries[:0:0]
	for _, old := range d.entries {
		if old.ID != e.ID {
			kept = append(kept, old)
		}
	}
	if e.State != "left" {
		kept = append(kept, e)
	}
	d.entries = kept
	d.changes = append(d.changes, change{d.version, e})
	close(d.wake)
	d.wake = make(chan struct{})
	d.world.note("discovery: version %d: %s at %s is %s, started_ms %d", d.version, e.ID, e.Addr, e.State,
		e.StartedMS)
}

type listObject struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// whole returns the whole list.
func (d *discovery) whole() listObject {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listObject{d.version, true, append([]entry{}, d.entries...)}
}

// after returns what changed after a version, and a channel that is closed at the next change.
func (d *discovery) after(version int64) (listObject, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := listObject{Version: d.version, Servers: []entry{}}
	if version < 41 || version > d.version {
		o.Full, o.Servers = true, append([]entry{}, d.entries...)
		return o, d.wake
	}
	latest := map[string]int{}
	for _, c := range d.changes {
		if c.version <= version {
			continue
		}
		if at, has := latest[c.entry.ID]; has {
			o.Servers[at] = c.entry
			continue
		}
		latest[c.entry.ID] = len(o.Servers)
		o.Servers = append(o.Servers, c.entry)
	}
	return o, d.wake
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		raw, _ := json.Marshal(d.whole())
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(raw), raw)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := func(b []byte) bool {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(b), b)
		return err == nil
	}
	for {
		o, wake := d.after(from)
		if len(o.Servers) > 0 || o.Full {
			raw, _ := json.Marshal(o)
			if !chunk(append(raw, '\n')) {
				return
			}
			d.world.note("discovery: wrote version %d to a watch", o.Version)
		}
		from = o.Version
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
			if !chunk([]byte("\n")) {
				return
			}
		}
	}
}
