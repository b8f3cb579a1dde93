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

// change is what discovery tells of one booking server, and when.
type change struct {
	version int64
	entry   object
}

// discovery is the one service that tells the list. It keeps its versions over a move to another address.
type discovery struct {
	w    *world
	list *registry
	name string
	addr string
	l    net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// registry is what discovery knows.
type registry struct {
	mu      sync.Mutex
	version int64
	entries map[string]object
	order   []string
	changes []change
	changed *sync.Cond
}

func startDiscovery(w *world, name string, entries []object) *discovery {
	r := &registry{version: 1, entries: map[string]object{}}
	r.changed = sync.NewCond(&r.mu)
	for _, e := range entries {
		r.entries[e["id"].(string)] = e
		r.order = append(r.order, e["id"].(string))
	}
	return startDiscoveryAt(w, name, r)
}

// startDiscoveryAt opens an address more for the same list.
func startDiscoveryAt(w *world, name string, r *registry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("discovery: %v", err)
	}
	d := &discovery{w: w, list: r, name: name, addr: l.Addr().String(), l: l, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[c] = struct{}{}
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d
}

// set changes one booking server's entry. An entry with the state left goes off the list.
func (r *registry) set(entry object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	id := entry["id"].(string)
	if _, known := r.entries[id]; !known {
		r.order = append(r.order, id)
	}
	r.entries[id] = entry
	r.changes = append(r.changes, change{r.version, entry})
	r.changed.Broadcast()
}

func (r *registry) full() object {
	var all []object
	for _, id := range r.order {
		if e := r.entries[id]; e["state"] != "left" {
			all = append(all, e)
		}
	}
	return object{"version": r.version, "full": true, "servers": all}
}

func (d *discovery) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.w.record.logf("%s: %s", d.name, q.RequestURI)
		if q.URL.Query().Get("watch") == "1" {
			d.watch(c, q.URL.Query().Get("from"))
			return
		}
		d.list.mu.Lock()
		raw, _ := json.Marshal(d.list.full())
		d.list.mu.Unlock()
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(raw), raw)
		if err != nil {
			return
		}
	}
}

// watch writes what changed after a version, and from then on each change; an empty line every 2 s.
func (d *discovery) watch(c net.Conn, text string) {
	from, err := strconv.ParseInt(text, 10, 64)
	r := d.list
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	write := func(line string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line)
		return err
	}
	r.mu.Lock()
	version := r.version
	if err != nil || from <= 0 || from > r.version {
		raw, _ := json.Marshal(r.full())
		r.mu.Unlock()
		if write(string(raw)+"\n") != nil {
			return
		}
	} else {
		version = from
		r.mu.Unlock()
	}
	quiet := time.Now()
	for {
		r.mu.Lock()
		var told []object
		for _, ch := range r.changes {
			if ch.version > version {
				told = append(told, ch.entry)
			}
		}
		version = r.version
		r.mu.Unlock()
		line := ""
		if len(told) > 0 {
			raw, _ := json.Marshal(object{"version": version, "full": false, "servers": told})
			line = string(raw) + "\n"
			d.w.record.logf("%s: tells %s", d.name, raw)
		} else if time.Since(quiet) >= 2*time.Second {
			line = "\n"
		}
		if line != "" {
			quiet = time.Now()
			if write(line) != nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// refuse closes the address: new calls are refused, open ones go on.
func (d *discovery) refuse() { _ = d.l.Close() }

// end closes what is open.
func (d *discovery) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}
