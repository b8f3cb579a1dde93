package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// How much of the machine's memory the garbage collector may fill.
const (
	memoryFraction    = 0.7
	minMemoryFraction = 0.5
	// outsideBytes are set aside for what the collector does not count: the binary, and bursts of sockets.
	outsideBytes = 15 << 20
)

// By how many per cent the heap may grow between collections. Within the memory limit fewer collections cost
// the requests in flight less; the memory that this takes is there from ampleMemoryMB on.
const (
	ampleHeapGrowth   = 400
	defaultHeapGrowth = 100
	ampleMemoryMB     = 96
)

// applyRuntimeLimits keeps this process's use of cores and memory within limits.
func applyRuntimeLimits(l protocol.Limits) {
	runtime.GOMAXPROCS(int(max(math.Ceil(l.Cores), 1)))
	memory := l.MemoryMB << 20
	part := min(int64(memoryFraction*float64(memory)), memory-outsideBytes)
	if l.MemoryMB >= ampleMemoryMB {
		debug.SetGCPercent(ampleHeapGrowth)
	} else { // also after an upgrade halved the memory
		debug.SetGCPercent(defaultHeapGrowth)
	}
	debug.SetMemoryLimit(max(part, int64(minMemoryFraction*float64(memory))))
}

// limitsShare is one process's part of the agent's limits, while two run; zero: all of them.
type limitsShare struct {
	descriptors int
	memoryMB    int64
}

// of returns the limits of the process.
func (s limitsShare) of(l protocol.Limits) protocol.Limits {
	if s.descriptors > 0 {
		l.Sockets = min(l.Sockets, s.descriptors)
	}
	if s.memoryMB > 0 {
		l.MemoryMB = min(l.MemoryMB, s.memoryMB)
	}
	return l
}

// applyLimits keeps the process within its part of the agent's limits from now on.
func (p *process) applyLimits() {
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	own := p.settings
	own.Limits = p.upgrade.share.of(own.Limits)
	applyRuntimeLimits(own.Limits)
	p.descriptors.SetLimit(p.connectionDescriptors(own.Limits))
	p.bodies.Set(own.bodyLimits())
}

// connectionDescriptors is how many descriptors there are without those of the operators' socket.
func (p *process) connectionDescriptors(l protocol.Limits) int {
	if p.settings.Ops.IsValid() {
		return l.Sockets - transport.OpsDescriptors
	}
	return l.Sockets
}
