package handover

import (
	"slices"
	"sync"
)

// Claim asks the previous process whether the next one may open a request's id.
type Claim struct {
	Number uint64 `json:"number"` // of the claim, for its result
	ID     string `json:"id"`
}

// ClaimResult is the previous process's answer to a claim.
type ClaimResult struct {
	Number uint64 `json:"number"`
	InUse  bool   `json:"in_use"` // the id is open, and the claim refused
}

// Claimant claims ids at the previous process, in the order of its calls. While that process takes nothing,
// it holds one claim for each open id. It is safe for concurrent use.
type Claimant struct {
	notify func(Notification)

	mu         sync.Mutex
	changed    sync.Cond
	queue      []Notification // not sent yet
	waiting    map[uint64]chan bool
	lastNumber uint64
	hasEnded   bool
}

// NewClaimant returns a Claimant that notifies the previous process by notify, which may block. Its goroutine
// runs until End.
func NewClaimant(notify func(Notification)) *Claimant {
	c := &Claimant{notify: notify, waiting: map[uint64]chan bool{}}
	c.changed.L = &c.mu
	go c.send()
	return c
}

// send passes on what is queued, one by one.
func (c *Claimant) send() {
	for {
		n, hasEnded := c.next()
		if hasEnded {
			return
		}
		c.notify(n)
	}
}

// next waits for the next notification to send, or the end.
func (c *Claimant) next() (n Notification, hasEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) == 0 && !c.hasEnded {
		c.changed.Wait()
	}
	if c.hasEnded {
		return Notification{}, true
	}
	n = c.queue[0]
	c.queue = c.queue[1:]
	return n, false
}

// enqueue queues a notification. The caller must hold mu.
func (c *Claimant) enqueue(n Notification) {
	if !c.hasEnded {
		c.queue = append(c.queue, n)
		c.changed.Signal()
	}
}

// Claim claims an id. The channel receives whether the id is in use at the previous process. It is closed
// without that once the previous process has ended, whose ids are then in use no more.
func (c *Claimant) Claim(id string) <-chan bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make(chan bool, 1)
	if c.hasEnded {
		close(result)
		return result
	}
	c.lastNumber++
	c.waiting[c.lastNumber] = result
	c.enqueue(Notification{Claim: &Claim{Number: c.lastNumber, ID: id}})
	return result
}

// Release gives back an id that was claimed, whatever the result of the claim was or will be. A claim that
// was not sent yet is withdrawn.
func (c *Claimant) Release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.withdraw(id) {
		c.enqueue(Notification{Release: id})
	}
}

// Retain gives back an id like Release; the previous process retains it.
func (c *Claimant) Retain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdraw(id)
	c.enqueue(Notification{Retained: id})
}

// withdraw removes a claim that was not sent yet, and reports whether there was one. The caller must hold mu.
func (c *Claimant) withdraw(id string) bool {
	for i, n := range c.queue {
		if n.Claim != nil && n.Claim.ID == id {
			delete(c.waiting, n.Claim.Number)
			c.queue = slices.Delete(c.queue, i, i+1)
			return true
		}
	}
	return false
}

// Resolve passes the previous process's answer to the caller of Claim.
func (c *Claimant) Resolve(r ClaimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result, isWaiting := c.waiting[r.Number]; isWaiting {
		result <- r.InUse
		delete(c.waiting, r.Number)
	}
}

// End ends all claims: the previous process has ended.
func (c *Claimant) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasEnded = true
	for number, result := range c.waiting {
		close(result)
		delete(c.waiting, number)
	}
	c.changed.Signal()
}
