package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/standin"
)

// discovery is the service of that name, on a stand-in's socket. Until told otherwise it accepts watches and says
// nothing but the empty lines.
type discovery struct {
	addr              string
	mu                sync.Mutex
	status            int
	withoutKeepalives bool          // no empty lines
	news              string        // that a watch begins with
	turn              time.Duration // that a call waits for
	calls             []string
	watches           map[*standin.Call]bool
}

func newDiscovery(t testing.TB) *discovery {
	d := &discovery{status: http.StatusOK, watches: map[*standin.Call]bool{}}
	socket, err := standin.ListenDiscovery("127.0.0.1:0", 500*time.Millisecond, d.callReceived, d.callEnded)
	require.NoError(t, err)
	d.addr = socket.Addr
	t.Cleanup(socket.Close)
	return d
}

func (d *discovery) callReceived(c *standin.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c.Target)
	c.Mute = d.withoutKeepalives
	switch d.status {
	case 0: // not answered at all
	case http.StatusOK:
		if d.turn == 0 {
			d.beginWatch(c)
			return
		}
		time.AfterFunc(d.turn, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.beginWatch(c)
		})
	default:
		c.Begin(d.status)
		c.End()
	}
}

// begin takes a watch up; mu is held.
func (d *discovery) beginWatch(c *standin.Call) {
	d.watches[c] = true
	c.Begin(http.StatusOK)
	c.Write(d.news)
}

func (d *discovery) callEnded(c *standin.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, c)
}

func (d *discovery) set(status int, mute bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status, d.withoutKeepalives = status, mute
}

func (d *discovery) called() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

// watched tells how many watches are open.
func (d *discovery) watched() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// say writes a line on the open watches.
func (d *discovery) say(line string) { d.write(line + "\n") }

// write writes text as it is on the open watches.
func (d *discovery) write(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.Write(text)
	}
}

// begins has every watch from now on begin with a text.
func (d *discovery) begins(with string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.news = with
}

// hush has the open watches fall silent.
func (d *discovery) hush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.Hush()
	}
}

// end ends the open watches.
func (d *discovery) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.End()
		delete(d.watches, w)
	}
}

// list is an object of discovery's.
func list(version int, full bool, entries ...object) string {
	raw, _ := json.Marshal(object{"version": version, "full": full, "servers": entries})
	return string(raw)
}
