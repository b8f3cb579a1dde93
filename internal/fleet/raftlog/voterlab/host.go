// Package voterlab runs voters of the fleet's log in a simulated cluster: with the transport, disks that are
// slow and may be lost, clients that repeat their calls, and seeded fault injection. It checks the guarantees
// from the outside. A run is determined by its options and calls. The package is for tests only, and not safe
// for concurrent use.
package voterlab

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/simnet"
)

// host is the process of a voter. Its state machine is a set of registers.
type host struct {
	lab                  *Lab
	agent                uint32
	voter                *raftlog.Voter
	transport            *fragment.Transport
	disk                 *raftlog.Stored // outlives the process
	pendingWrite         *raftlog.Persist
	writeDoneAt          time.Time
	state                registers
	epoch                uint64
	recordsSinceSnapshot int
	configured           []uint32 // configured voters, as last seen
}

// registers is the state of the state machine.
type registers struct {
	index  uint64
	chain  uint64 // hash over all records
	values [registerCount]uint64
}

const registerCount = 3

func (r *registers) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, r.chain)
	for _, v := range r.values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	// Padding, so that a snapshot takes several fragments.
	return append(b, make([]byte, 600)...)
}

func decodeRegisters(index uint64, b []byte) (r registers) {
	r.index = index
	if len(b) > 0 {
		r.chain = binary.BigEndian.Uint64(b)
		for i := range r.values {
			r.values[i] = binary.BigEndian.Uint64(b[8+8*i:])
		}
	}
	return r
}

// start starts the process of an agent with its disk, or with a new one if it has none.
func (l *Lab) start(agent uint32, now time.Time) simnet.Process {
	l.incarnations++
	incarnation := uint64(l.World.Now().UnixNano()) + l.incarnations
	d := l.disks[agent]
	if l.opts.Volatile || d == nil {
		d = &raftlog.Stored{}
	}
	l.disks[agent] = d
	v, err := raftlog.New(raftlog.Config{
		Agent: agent, Voters: l.configured, Nonce: incarnation, Seed: l.opts.Seed + l.incarnations,
		Volatile: l.opts.Volatile,
	}, now, *d)
	if err != nil {
		l.addViolation("agent %d does not start: %v", agent, err)
		empty := raftlog.Config{Agent: agent, Voters: l.configured, Nonce: l.incarnations}
		v, _ = raftlog.New(empty, now, raftlog.Stored{})
	}
	h := &host{
		lab: l, agent: agent, voter: v, disk: d, configured: l.configured,
		transport: fragment.New(fragment.Config{Agents: l.opts.Agents, Incarnation: incarnation}),
	}
	l.hosts[agent] = h
	h.step(now, raftlog.TimePassed{})
	return h
}

// Receive implements simnet.Process.
func (h *host) Receive(now time.Time, from uint32, datagram []byte) {
	for _, m := range h.transport.Receive(now, from, datagram) {
		h.step(now, raftlog.MessageReceived{From: from, Bytes: m.Bytes})
	}
}

// Wake implements simnet.Process.
func (h *host) Wake(now time.Time) {
	if !slices.Equal(h.configured, h.lab.configured) {
		h.configured = h.lab.configured
		h.step(now, raftlog.SetVoters{Voters: h.configured})
	}
	if h.pendingWrite != nil && !now.Before(h.writeDoneAt) {
		p := h.pendingWrite
		h.pendingWrite = nil
		h.disk.Apply(p)
		h.step(now, raftlog.Persisted{Token: p.Token})
	}
	h.step(now, raftlog.TimePassed{})
}

// Next implements simnet.Process.
func (h *host) Next() time.Time {
	next := h.voter.Next()
	if at := h.transport.Next(); !at.IsZero() && at.Before(next) {
		next = at
	}
	if h.pendingWrite != nil && h.writeDoneAt.Before(next) {
		next = h.writeDoneAt
	}
	return next
}

// Out implements simnet.Process.
func (h *host) Out(now time.Time) (out []simnet.Datagram) {
	for _, d := range h.transport.Out(now) {
		out = append(out, simnet.Datagram{To: d.To, Bytes: d.Bytes})
	}
	return out
}

// step passes an input to the voter. A rejection is ignored.
func (h *host) step(now time.Time, in raftlog.Input) { _ = h.stepErr(now, in) }

// stepErr passes an input to the voter, carries out its output, and returns the error if it was rejected.
func (h *host) stepErr(now time.Time, in raftlog.Input) error {
	out := h.voter.Step(now, in)
	if out.Persist != nil {
		if h.pendingWrite != nil {
			h.lab.addViolation("agent %d: requested a write before the last one was done", h.agent)
		}
		h.pendingWrite = out.Persist
		h.writeDoneAt = now.Add(h.lab.writeTime())
	}
	for _, m := range out.Messages {
		h.lab.messages++
		if err := h.transport.Send(now, m.To, 1, m.Bytes); err != nil {
			h.lab.addViolation("agent %d: cannot send %d bytes to %d: %v", h.agent, len(m.Bytes), m.To, err)
		}
	}
	h.handleOutput(out)
	if out.SnapshotWanted ||
		h.recordsSinceSnapshot > h.lab.opts.SnapshotAfter && h.voter.Status().Phase != raftlog.Seeking {
		h.recordsSinceSnapshot = 0
		compacted := h.voter.Step(now, raftlog.Compact{Index: h.index(), Data: h.state.encode()})
		if compacted.Err != nil {
			h.lab.addViolation("agent %d: snapshot rejected: %v", h.agent, compacted.Err)
		}
		h.handleCompactOutput(now, compacted)
	}
	return out.Err
}

// handleCompactOutput carries out the output of a Compact.
func (h *host) handleCompactOutput(now time.Time, out raftlog.Output) {
	if out.Persist != nil {
		if h.pendingWrite != nil {
			h.lab.addViolation("agent %d: requested a write before the last one was done", h.agent)
		}
		h.pendingWrite, h.writeDoneAt = out.Persist, now.Add(h.lab.writeTime())
	}
	for _, m := range out.Messages {
		_ = h.transport.Send(now, m.To, 1, m.Bytes)
	}
	h.handleOutput(out)
}

func (h *host) index() uint64 { return h.voter.Status().AppliedIndex }

// handleOutput applies a restored state and committed records.
func (h *host) handleOutput(out raftlog.Output) {
	if r := out.Restore; r != nil {
		h.epoch, h.state = r.Epoch, decodeRegisters(r.Index, r.Data)
		h.lab.checkRestored(h)
	}
	for _, e := range out.Committed {
		h.recordsSinceSnapshot++
		h.apply(e)
	}
}

func (h *host) apply(e raftlog.Entry) {
	if e.Index <= h.state.index {
		h.lab.addViolation("agent %d: applied record %d after %d", h.agent, e.Index, h.state.index)
	}
	h.state.index = e.Index
	sum := fnv.New64a()
	// A hash returns no errors.
	_, _ = fmt.Fprintf(sum, "%d %d %d %v %v", h.state.chain, e.Index, e.Term, e.ID, e.Data)
	h.state.chain = sum.Sum64()
	decoded := decodeOp(e.Data)
	if decoded.write {
		h.state.values[decoded.key] = decoded.value
	}
	h.lab.checkApplied(h, e, h.state.values[decoded.key])
}

// op is a client's operation: it writes one register, or reads it. A read is a record of its own, too.
type op struct {
	write bool
	key   uint8
	value uint64
}

func (o op) encode() []byte {
	b := []byte{0, o.key}
	if o.write {
		b[0] = 1
	}
	// Padding, so that some records take several fragments.
	return append(binary.BigEndian.AppendUint64(b, o.value), make([]byte, o.value%5*100)...)
}

func decodeOp(b []byte) op {
	return op{b[0] == 1, b[1] % registerCount, binary.BigEndian.Uint64(b[2:])}
}
