package bytebudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFull means that no memory for a body came free in time.
var ErrFull = errors.New("no memory for a body came free in time")

// Pool is a Budget for goroutines that wait for their grants.
type Pool struct {
	mu      sync.Mutex
	budget  *Budget
	began   time.Time
	waiting map[Ticket]chan struct{}
}

// NewPool shares out limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{budget: NewBudget(limit), began: time.Now(), waiting: map[Ticket]chan struct{}{}}
}

// SetLimit changes how many bytes there are; what is granted stays so.
func (p *Pool) SetLimit(limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(p.budget.SetLimit(limit))
}

// Limit is how many bytes there are.
func (p *Pool) Limit() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.limit
}

// Used is how many bytes are granted now.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used()
}

// Grant is what one body may occupy. It is for one goroutine at a time; the zero Grant is of no bytes.
type Grant struct {
	pool   *Pool
	holder Holder
	size   int64
}

// Take waits until the holder may have size bytes, or ctx ends: then the error is ErrFull. The caller must
// hold no other grant, but that of a request whose answer it takes.
func (p *Pool) Take(ctx context.Context, holder Holder, size int64) (Grant, error) {
	g := Grant{pool: p, holder: holder, size: size}
	p.mu.Lock()
	ticket, granted := p.budget.Ask(time.Since(p.began), holder, size)
	if granted {
		p.mu.Unlock()
		return g, nil
	}
	come := make(chan struct{})
	p.waiting[ticket] = come
	p.mu.Unlock()
	select {
	case <-come:
		return g, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, ticket)
	woken, waited := p.budget.Withdraw(ticket)
	if !waited { // it was granted just now
		woken = p.budget.Return(holder, size)
	}
	p.wake(woken)
	return Grant{}, ErrFull
}

// wake tells those whose asks were granted; mu is held.
func (p *Pool) wake(granted []Ticket) {
	for _, t := range granted {
		if come, ok := p.waiting[t]; ok {
			close(come)
			delete(p.waiting, t)
		}
	}
}

// Size is how many bytes the grant is of.
func (g *Grant) Size() int64 { return g.size }

// Grow adds bytes to the grant if that keeps nobody waiting.
func (g *Grant) Grow(size int64) bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if !g.pool.budget.Try(g.holder, size) {
		return false
	}
	g.size += size
	return true
}

// Shrink gives all but size bytes back.
func (g *Grant) Shrink(size int64) {
	if size >= g.size {
		return
	}
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.pool.wake(g.pool.budget.Return(g.holder, g.size-size))
	g.size = size
}

// Split takes size bytes out of the grant, as a grant of their own.
func (g *Grant) Split(size int64) Grant {
	size = min(size, g.size)
	g.size -= size
	return Grant{pool: g.pool, holder: g.holder, size: size}
}

// Release gives all bytes back.
func (g *Grant) Release() { g.Shrink(0) }
