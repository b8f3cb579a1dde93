package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// The fractions of the process's memory limit that the Go runtime may use.
const (
	memoryFraction    = 0.7
	minMemoryFraction = 0.5
	// nonHeapBytes is the memory reserved for what the runtime's limit does not count: the binary, and bursts of
	// sockets.
	nonHeapBytes = 15 << 20
)

// The growth of the heap between collections, in percent. Fewer collections cost the requests in flight less
// time. From a limit of ampleMemoryMB on, there is enough memory for this.
const (
	ampleHeapGrowth   = 400
	defaultHeapGrowth = 100
	ampleMemoryMB     = 96
)

// applyRuntimeLimits sets the Go runtime's limits on cores and memory.
func applyRuntimeLimits(l protocol.Limits) {
	runtime.GOMAXPROCS(int(max(math.Ceil(l.Cores), 1)))
	memory := l.MemoryMB << 20
	part := min(int64(memoryFraction*float64(memory)), memory-nonHeapBytes)
	if l.MemoryMB >= ampleMemoryMB {
		debug.SetGCPercent(ampleHeapGrowth)
	} else { // also when an upgrade halves the memory
		debug.SetGCPercent(defaultHeapGrowth)
	}
	debug.SetMemoryLimit(max(part, int64(minMemoryFraction*float64(memory))))
}

// limitsShare is one process's share of the agent's limits while two run. A zero field means the full limit.
type limitsShare struct {
	descriptors int
	memoryMB    int64
}

// apply returns the limits reduced to this share.
func (s limitsShare) apply(l protocol.Limits) protocol.Limits {
	if s.descriptors > 0 {
		l.Sockets = min(l.Sockets, s.descriptors)
	}
	if s.memoryMB > 0 {
		l.MemoryMB = min(l.MemoryMB, s.memoryMB)
	}
	return l
}

// applyLimits applies the process's current share of the agent's limits.
func (p *process) applyLimits() {
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	own := p.settings
	own.Limits = p.upgrade.share.apply(own.Limits)
	applyRuntimeLimits(own.Limits)
	p.descriptors.SetLimit(p.connectionDescriptors(own.Limits))
	bodyBytes, rules := own.bodyLimits()
	p.bodies.Set(bodyBytes, rules)
	p.descriptors.SetMemoryLimit(routing.ConnectionMemory(own.Limits.MemoryMB<<20, bodyBytes))
}

// connectionDescriptors returns how many descriptors remain for connections beside those reserved for the
// operators' socket.
func (p *process) connectionDescriptors(l protocol.Limits) int {
	if p.settings.Ops.IsValid() {
		return l.Sockets - transport.OpsDescriptors
	}
	return l.Sockets
}
