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

// discovery is the discovery service.
type discovery struct {
	w        *world
	addr     string
	listener net.Listener

	mu      sync.Mutex
	version int64
	changes []change
	crowded bool // calls wait for a second, and fail; open watches go on
	watches map[*watch]bool
}

// change is an entry as of a version.
type change struct {
	version int64
	entry   object
}

type watch struct {
	conn net.Conn
	mu   sync.Mutex
	at   int64
}

func newDiscovery(w *world) *discovery {
	d := &discovery{w: w, version: 41, watches: map[*watch]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.check(err, "discovery")
	d.addr, d.listener = l.Addr().String(), l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	go d.keepAlive()
	return d
}

// whole returns the whole list.
func (d *discovery) whole() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *discovery) wholeLocked() object {
	entries := []object{}
	for _, s := range d.w.servers {
		if s.state != "left" {
			entries = append(entries, s.entry())
		}
	}
	return object{"version": d.version, "full": true, "servers": entries}
}

// setCrowded has calls from now on fail, or served again.
func (d *discovery) setCrowded(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = on
	d.w.log("discovery crowded: %v", on)
}

// set changes a server's state, and tells it on all watches.
func (d *discovery) set(s *server, state string, started int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.state, s.started = state, started
	d.version++
	d.changes = append(d.changes, change{d.version, s.entry()})
	d.w.log("discovery version %d: %s is %s", d.version, s.id, state)
	for w := range d.watches {
		d.tell(w)
	}
}

// tell sends what a watch does not have.
func (d *discovery) tell(w *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at == d.version {
		return
	}
	list := d.wholeLocked()
	if w.at >= 41 {
		entries := []object{}
		for _, c := range d.changes {
			if c.version > w.at {
				entries = append(entries, c.entry)
			}
		}
		list = object{"version": d.version, "full": false, "servers": entries}
	}
	w.at = d.version
	raw, _ := json.Marshal(list)
	w.chunk(string(raw) + "\n")
}

func (w *watch) chunk(text string) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
}

func (d *discovery) keepAlive() {
	for range time.Tick(2 * time.Second) {
		d.mu.Lock()
		for w := range d.watches {
			w.mu.Lock()
			w.chunk("\n")
			w.mu.Unlock()
		}
		d.mu.Unlock()
	}
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	d.mu.Lock()
	crowded := d.crowded
	d.mu.Unlock()
	if crowded {
		time.Sleep(time.Second)
		d.w.log("discovery, crowded: %s answered 503", r.URL)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	d.w.log("discovery: %s", r.URL)
	if r.URL.Query().Get("watch") == "" {
		raw, _ := json.Marshal(d.whole())
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	w := &watch{conn: c, at: from}
	d.mu.Lock()
	d.watches[w] = true
	d.tell(w)
	d.mu.Unlock()
	_, _ = in.ReadByte() // until the agent ends it
	d.mu.Lock()
	delete(d.watches, w)
	d.mu.Unlock()
}

func (d *discovery) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		_ = w.conn.Close()
	}
}
