// Package voterlab plays voters of the fleet's log in an arena: with their pieces, a disk that is slow and
// may be lost, clients that ask again, and faults by a seed. It judges from the outside what was promised.
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

	"go.etcd.io/raft/v3/raftpb"
)

// Disk is what an agent's process has written, and survives it.
type Disk struct{ stored raftlog.Stored }

// write does what fleetstore does to a file.
func (d *Disk) write(p *raftlog.Persist) {
	s := &d.stored
	if p.Reset {
		*s = raftlog.Stored{Identity: s.Identity}
	}
	if p.Identity != nil {
		s.Identity = *p.Identity
	}
	if p.HardState != nil {
		s.HardState = p.HardState
	}
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
	}
	if p.ReplaceEntries {
		s.Entries = nil
	}
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool {
		return e.GetIndex() <= p.DropThrough || len(p.Entries) > 0 && e.GetIndex() >= p.Entries[0].GetIndex()
	})
	s.Entries = append(s.Entries, p.Entries...)
}

// host is a voter's process: what the daemon's actor will be. Its state is a few registers.
type host struct {
	lab     *Lab
	agent   uint32
	voter   *raftlog.Voter
	carrier *fragment.Transport
	disk    *Disk
	writing *raftlog.Persist
	written time.Time
	state   registers
	epoch   uint64
	since   int // records since the last snapshot
	named   []uint32
}

// registers are the state above the log.
type registers struct {
	index  uint64
	chain  uint64 // over all records
	values [keys]uint64
}

const keys = 3

func (r *registers) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, r.chain)
	for _, v := range r.values {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	// Long enough for several pieces.
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

func (l *Lab) start(agent uint32, now time.Time) simnet.Process {
	l.incarnations++
	life := uint64(l.World.Now().UnixNano()) + l.incarnations
	d := l.disks[agent]
	if l.opts.Volatile || d == nil {
		d = &Disk{}
	}
	l.disks[agent] = d
	v, err := raftlog.New(raftlog.Config{
		Agent: agent, Voters: l.named, Nonce: life, Seed: l.opts.Seed + l.incarnations,
		Volatile: l.opts.Volatile,
	}, now, d.stored)
	if err != nil {
		l.addViolation("agent %d does not start: %v", agent, err)
		empty := raftlog.Config{Agent: agent, Voters: l.named, Nonce: l.incarnations}
		v, _ = raftlog.New(empty, now, raftlog.Stored{})
	}
	h := &host{lab: l, agent: agent, voter: v, disk: d, named: l.named, carrier: fragment.New(fragment.Config{
		Agents: l.opts.Agents, Incarnation: life,
	})}
	l.hosts[agent] = h
	h.step(now, raftlog.TimePassed{})
	return h
}

// Receive, Wake, Next and Out make it a process of the arena.
func (h *host) Receive(now time.Time, from uint32, datagram []byte) {
	for _, m := range h.carrier.Receive(now, from, datagram) {
		h.step(now, raftlog.MessageReceived{From: from, Bytes: m.Bytes})
	}
}

func (h *host) Wake(now time.Time) {
	if !slices.Equal(h.named, h.lab.named) {
		h.named = h.lab.named
		_ = h.step(now, raftlog.SetVoters{Voters: h.named})
	}
	if h.writing != nil && !now.Before(h.written) {
		p := h.writing
		h.writing = nil
		h.disk.write(p)
		h.step(now, raftlog.Persisted{Token: p.Token})
	}
	h.step(now, raftlog.TimePassed{})
}

func (h *host) Next() time.Time {
	next := h.voter.Next()
	if at := h.carrier.Next(); !at.IsZero() && at.Before(next) {
		next = at
	}
	if h.writing != nil && h.written.Before(next) {
		next = h.written
	}
	return next
}

func (h *host) Out(now time.Time) (out []simnet.Datagram) {
	for _, d := range h.carrier.Out(now) {
		out = append(out, simnet.Datagram{To: d.To, Bytes: d.Bytes})
	}
	return out
}

func (h *host) step(now time.Time, in raftlog.Input) error {
	out := h.voter.Step(now, in)
	if out.Persist != nil {
		if h.writing != nil {
			h.lab.addViolation("agent %d: a write before the last one was done", h.agent)
		}
		h.writing = out.Persist
		h.written = now.Add(h.lab.writeTime())
	}
	for _, m := range out.Messages {
		h.lab.messages++
		if err := h.carrier.Send(now, m.To, 1, m.Bytes); err != nil {
			h.lab.addViolation("agent %d: %d bytes for %d: %v", h.agent, len(m.Bytes), m.To, err)
		}
	}
	h.take(out)
	if out.SnapshotWanted || h.since > h.lab.opts.SnapshotAfter && h.voter.Status().Phase != raftlog.Seeking {
		h.since = 0
		next := h.voter.Step(now, raftlog.Compact{Index: h.index(), Data: h.state.encode()})
		if next.Err != nil {
			h.lab.addViolation("agent %d: snapshot: %v", h.agent, next.Err)
		}
		h.again(now, next)
	}
	return out.Err
}

// again takes the output of a snapshot.
func (h *host) again(now time.Time, out raftlog.Output) {
	if out.Persist != nil {
		if h.writing != nil {
			h.lab.addViolation("agent %d: a write before the last one was done", h.agent)
		}
		h.writing, h.written = out.Persist, now.Add(h.lab.writeTime())
	}
	for _, m := range out.Messages {
		_ = h.carrier.Send(now, m.To, 1, m.Bytes)
	}
	h.take(out)
}

func (h *host) index() uint64 { return h.voter.Status().AppliedIndex }

func (h *host) take(out raftlog.Output) {
	if r := out.Restore; r != nil {
		h.epoch, h.state = r.Epoch, decodeRegisters(r.Index, r.Data)
		h.lab.restored(h)
	}
	for _, e := range out.Committed {
		h.since++
		h.apply(e)
	}
}

func (h *host) apply(e raftlog.Entry) {
	if e.Index <= h.state.index {
		h.lab.addViolation("agent %d: record %d after %d", h.agent, e.Index, h.state.index)
	}
	h.state.index = e.Index
	sum := fnv.New64a()
	fmt.Fprint(sum, h.state.chain, e.Index, e.Term, e.ID, e.Data)
	h.state.chain = sum.Sum64()
	op := readOp(e.Data)
	if op.write {
		h.state.values[op.key] = op.value
	}
	h.lab.applied(h, e, h.state.values[op.key])
}

// op is a client's: one register written, or read by a record of its own.
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
	// Long enough for several pieces, now and then.
	return append(binary.BigEndian.AppendUint64(b, o.value), make([]byte, o.value%5*100)...)
}

func readOp(b []byte) op { return op{b[0] == 1, b[1] % keys, binary.BigEndian.Uint64(b[2:])} }
