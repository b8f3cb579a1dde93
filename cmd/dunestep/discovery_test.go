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

// discovery is a simulated discovery service. By default it accepts watches and sends only empty lines on them, as
// keepalives.
type discovery struct {
	addr              string
	mu                sync.Mutex
	status            int
	withoutKeepalives bool          // send no empty lines
	initialText       string        // first text on each new watch
	responseDelay     time.Duration // delay before a call is answered
	nextAnswers       []callAnswer  // how the next calls are answered, before the fields above hold
	calls             []string
	watches           map[*standin.Call]bool
}

// callAnswer is how one call is answered.
type callAnswer struct {
	status   int // as discovery.status
	delay    time.Duration
	text     string        // first text on the watch
	endAfter time.Duration // until the watch is ended, from its begin; zero: it is not ended
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
	c.NoEmptyLines = d.withoutKeepalives
	answer := callAnswer{status: d.status, delay: d.responseDelay}
	isScripted := len(d.nextAnswers) > 0
	if isScripted {
		answer, d.nextAnswers = d.nextAnswers[0], d.nextAnswers[1:]
	}
	begin := func() {
		if !isScripted {
			answer.text = d.initialText // as it is then
		}
		d.beginWatch(c, answer)
	}
	switch {
	case answer.status == 0: // send no response
	case answer.status != http.StatusOK:
		c.WriteStatus(answer.status)
		c.End()
	case answer.delay == 0:
		begin()
	default:
		time.AfterFunc(answer.delay, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			begin()
		})
	}
}

// beginWatch accepts a watch. The caller holds mu.
func (d *discovery) beginWatch(c *standin.Call, answer callAnswer) {
	d.watches[c] = true
	c.WriteStatus(http.StatusOK)
	c.Write(answer.text)
	if answer.endAfter > 0 {
		time.AfterFunc(answer.endAfter, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			c.End()
			delete(d.watches, c)
		})
	}
}

// answerNext sets how the next calls are answered.
func (d *discovery) answerNext(answers ...callAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextAnswers = answers
}

func (d *discovery) callEnded(c *standin.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, c)
}

// setResponse sets how later calls are answered. Status 0: no response.
func (d *discovery) setResponse(status int, withoutKeepalives bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status, d.withoutKeepalives = status, withoutKeepalives
}

// callTargets returns the request targets of all calls so far.
func (d *discovery) callTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

// watchCount returns how many watches are open.
func (d *discovery) watchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// sendLine writes a line to the open watches.
func (d *discovery) sendLine(line string) { d.sendText(line + "\n") }

// sendText writes text unchanged to the open watches.
func (d *discovery) sendText(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.Write(text)
	}
}

// setInitialText sets the text that is sent first on each later watch.
func (d *discovery) setInitialText(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initialText = text
}

// stopKeepalives stops the empty lines on the open watches.
func (d *discovery) stopKeepalives() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.StopEmptyLines()
	}
}

// endWatches ends the open watches.
func (d *discovery) endWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.End()
		delete(d.watches, w)
	}
}

// listJSON returns an endpoint list update in JSON, as discovery sends it.
func listJSON(version int, full bool, entries ...object) string {
	raw, _ := json.Marshal(object{"version": version, "full": full, "servers": entries})
	return string(raw)
}
