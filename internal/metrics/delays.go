package metrics

import (
	"sync"
	"time"
)

// Delays is how long messages of one kind waited for an actor, and how long it took to handle them, since the
// start of the process.
type Delays struct {
	Messages        int64
	LongestWait     time.Duration
	LongestHandling time.Duration
	TotalHandling   time.Duration
}

// messageDelays are the Delays of each kind of message. It is safe for concurrent use.
type messageDelays struct {
	mu     sync.Mutex
	byKind map[string]*Delays
}

// MessageHandled records that an actor has handled a message of a kind.
func (c *Counters) MessageHandled(kind string, waited, took time.Duration) {
	c.delays.mu.Lock()
	defer c.delays.mu.Unlock()
	d := c.delays.byKind[kind]
	if d == nil {
		d = &Delays{}
		c.delays.byKind[kind] = d
	}
	d.Messages++
	d.LongestWait = max(d.LongestWait, waited)
	d.LongestHandling = max(d.LongestHandling, took)
	d.TotalHandling += took
}

// ReadDelays returns the delays by kind of message.
func (c *Counters) ReadDelays() map[string]Delays {
	c.delays.mu.Lock()
	defer c.delays.mu.Unlock()
	all := make(map[string]Delays, len(c.delays.byKind))
	for kind, d := range c.delays.byKind {
		all[kind] = *d
	}
	return all
}
