package bytebudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFull means that no memory for a body became available in time.
var ErrFull = errors.New("no memory for a body became available in time")

// Pool is a Budget for goroutines that wait for their grants. A goroutine that releases bytes wakes those
// whose reservations are granted as a result.
type Pool struct {
	mu        sync.Mutex
	budget    *Budget
	startedAt time.Time
	waiting   map[Ticket]chan struct{}
}

// NewPool returns a Pool of limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{budget: NewBudget(limit), startedAt: time.Now(), waiting: map[Ticket]chan struct{}{}}
}

// SetLimit changes the limit in bytes; granted bytes stay granted.
func (p *Pool) SetLimit(limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(p.budget.SetLimit(limit))
}

// Limit returns the limit in bytes.
func (p *Pool) Limit() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.limit
}

// Reserved returns the number of granted bytes.
func (p *Pool) Reserved() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Reserved()
}

// Grant is the memory that one body may occupy. It is not safe for concurrent use. The zero Grant has no
// bytes.
type Grant struct {
	pool   *Pool
	holder Holder
	size   int64
}

// Reserve waits until size bytes are granted to the holder. It returns ErrFull if ctx ends before that. To
// avoid deadlock, the caller must hold no other grant, except that of a request whose response it reads.
func (p *Pool) Reserve(ctx context.Context, holder Holder, size int64) (Grant, error) {
	g := Grant{pool: p, holder: holder, size: size}
	p.mu.Lock()
	ticket, granted := p.budget.Reserve(time.Since(p.startedAt), holder, size)
	if granted {
		p.mu.Unlock()
		return g, nil
	}
	isGranted := make(chan struct{})
	p.waiting[ticket] = isGranted
	p.mu.Unlock()
	select {
	case <-isGranted:
		return g, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, ticket)
	woken, waited := p.budget.Cancel(ticket)
	if !waited { // granted after ctx ended
		woken = p.budget.Release(holder, size)
	}
	p.wake(woken)
	return Grant{}, ErrFull
}

// TryReserve reserves size bytes for the holder if they are granted at once, and reports whether they are.
func (p *Pool) TryReserve(holder Holder, size int64) (Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ticket, granted := p.budget.Reserve(time.Since(p.startedAt), holder, size)
	if !granted {
		woken, _ := p.budget.Cancel(ticket)
		p.wake(woken)
		return Grant{}, false
	}
	return Grant{pool: p, holder: holder, size: size}, true
}

// wake wakes the goroutines whose reservations were granted. The caller must hold mu.
func (p *Pool) wake(granted []Ticket) {
	for _, t := range granted {
		if isGranted, ok := p.waiting[t]; ok {
			close(isGranted)
			delete(p.waiting, t)
		}
	}
}

// Size returns the size of the grant in bytes.
func (g *Grant) Size() int64 { return g.size }

// TryGrow adds size bytes to the grant if TryReserve allows them, and reports whether it did.
func (g *Grant) TryGrow(size int64) bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if !g.pool.budget.TryReserve(g.holder, size) {
		return false
	}
	g.size += size
	return true
}

// Shrink releases all but size bytes. It does nothing if the grant is not larger.
func (g *Grant) Shrink(size int64) {
	if size >= g.size {
		return
	}
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.pool.wake(g.pool.budget.Release(g.holder, g.size-size))
	g.size = size
}

// Split moves size bytes, or all if there are fewer, from the grant to a new one.
func (g *Grant) Split(size int64) Grant {
	size = min(size, g.size)
	g.size -= size
	return Grant{pool: g.pool, holder: g.holder, size: size}
}

// Release releases all bytes.
func (g *Grant) Release() { g.Shrink(0) }
