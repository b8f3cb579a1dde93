package ringassignment

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// MaxServersSize is the maximum size of all servers of a generation in the log's snapshot, in bytes. Each
	// server counts with its id and BytesPerServer, in any phase. With more servers the assignment is suspended:
	// each agent uses its own endpoint list, as without generations.
	MaxServersSize = 22 << 10
	// BytesPerServer is the maximum size of a server without its id, in bytes.
	BytesPerServer = 24
	// MaxIDSize is the maximum size of a server's id, in bytes.
	MaxIDSize = 128

	maxKinds     = 16 // maximum number of machine kinds with a pace
	paceOverhead = 8  // maximum size of a pace without its kind, in bytes
	// maxLeadTime is the maximum time from a generation's proposal to its use. It limits how long a generation
	// from a proposer whose clock is years ahead can block others.
	maxLeadTime = time.Minute
)

// Pace is the measured speed of a machine kind, relative to its agreed capacity.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Percent uint16 // 100 if the speed matches the capacity
}

// State is the current generation. Readers must not modify it. The field numbers are part of the encoding.
// Times of type uint32 are Unix times in seconds.
type State struct {
	Number         uint64        `cbor:"1,keyasint"`
	EffectiveAt    time.Duration `cbor:"2,keyasint"`           // Unix time from which the generation is used
	Suspended      bool          `cbor:"3,keyasint,omitempty"` // agents use their own endpoint lists
	Members        []Member      `cbor:"4,keyasint,omitempty"` // in order of id
	OwedPoints     uint32        `cbor:"5,keyasint,omitempty"` // points of lost servers, not replaced yet
	LostAt         uint32        `cbor:"6,keyasint,omitempty"` // when the last server was lost
	Paces          []Pace        `cbor:"7,keyasint,omitempty"` // in order of kind; paces of 100 % are left out
	PacesChangedAt uint32        `cbor:"8,keyasint,omitempty"`
}

// Change is a record of the agreed log. It makes the next generation from the current one.
type Change struct {
	Base        uint64        `cbor:"1,keyasint"` // number of the generation that the change applies to
	Now         time.Duration `cbor:"2,keyasint"` // Unix time at the proposer
	EffectiveAt time.Duration `cbor:"3,keyasint"`
	Suspend     bool          `cbor:"4,keyasint,omitempty"`
	Members     []Member      `cbor:"5,keyasint,omitempty"` // new and changed members
	RemovedIDs  []string      `cbor:"6,keyasint,omitempty"` // ids of members to remove
	OwedPoints  uint32        `cbor:"7,keyasint,omitempty"`
	LostAt      uint32        `cbor:"8,keyasint,omitempty"`
	Paces       []Pace        `cbor:"9,keyasint,omitempty"` // all paces if one changes; else empty
	MovesKeys   bool          `cbor:"-"`                    // any server's points on the ring change
	Urgent      bool          `cbor:"-"`                    // any server is new, changes phase or grows fast
}

// Encode returns the log record that proposes the change.
func (c Change) Encode() []byte { return marshal(c) }

// StateMachine applies the records of the agreed log to the state. It depends on the records alone.
type StateMachine struct {
	state      State
	unreadable uint64
}

// NewStateMachine returns a StateMachine before the first generation.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// State returns the current generation. The caller must not modify it.
func (m *StateMachine) State() State { return m.state }

// UnreadableRecords returns the number of records that this build could not decode or that were not valid.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Apply applies the next record. A record that was made from another generation, because it is late or a
// duplicate, has no effect.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var c Change
	if decoding.Unmarshal(data, &c) != nil {
		m.unreadable++
		return
	}
	if c.Base != m.state.Number {
		return
	}
	if next, ok := m.state.apply(c); ok {
		m.state = next
	} else {
		m.unreadable++
	}
}

// apply returns the generation that a change makes. It returns false if the change or the generation is not
// valid.
func (st State) apply(c Change) (State, bool) {
	if c.EffectiveAt < c.Now || c.EffectiveAt > c.Now+maxLeadTime || c.Now < st.EffectiveAt ||
		len(c.Paces) > maxKinds {
		return st, false
	}
	next := State{
		Number: st.Number + 1, EffectiveAt: c.EffectiveAt, Suspended: c.Suspend, OwedPoints: c.OwedPoints,
		LostAt: c.LostAt, Paces: st.Paces, PacesChangedAt: st.PacesChangedAt,
	}
	if len(c.Paces) > 0 {
		next.Paces, next.PacesChangedAt = c.Paces, unixSeconds(c.Now)
	}
	if c.Suspend {
		return next, true
	}
	changed := map[string]*Member{}
	for i := range c.Members {
		changed[c.Members[i].ID] = &c.Members[i]
	}
	for _, id := range c.RemovedIDs {
		changed[id] = nil
	}
	for _, member := range st.Members {
		if _, replaced := changed[member.ID]; !replaced {
			next.Members = append(next.Members, member)
		}
	}
	for _, member := range changed { // the order does not matter: sorted below
		if member != nil {
			next.Members = append(next.Members, *member)
		}
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return next, next.isValid()
}

// isValid reports whether a state is within its size limits and its members are valid and sorted.
func (st *State) isValid() bool {
	size := 0
	for i, member := range st.Members {
		size += len(member.ID) + BytesPerServer
		if !member.isValid() || i > 0 && member.ID <= st.Members[i-1].ID {
			return false
		}
	}
	for _, p := range st.Paces {
		size += len(p.Kind) + paceOverhead
	}
	return size <= MaxServersSize && len(st.Paces) <= maxKinds
}

// find returns a server's member, or nil if it has none.
func (st *State) find(id string) *Member {
	i, found := slices.BinarySearchFunc(st.Members, id, func(member Member, id string) int {
		return cmp.Compare(member.ID, id)
	})
	if !found {
		return nil
	}
	return &st.Members[i]
}

// PointsOnRing returns the total number of points on the ring.
func (st *State) PointsOnRing() (sum int) {
	for i := range st.Members {
		sum += st.Members[i].PointsOnRing()
	}
	return sum
}

// pace returns the agreed pace of a machine kind; 1 if none is agreed.
func (st *State) pace(kind string) float64 {
	for _, p := range st.Paces {
		if p.Kind == kind {
			return float64(p.Percent) / 100
		}
	}
	return 1
}

// unixSeconds converts a Unix time to the seconds that the state stores.
func unixSeconds(at time.Duration) uint32 {
	return uint32(min(max(at/time.Second, 0), math.MaxUint32))
}

// Snapshot returns the encoded state. The same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot is wrapped by the error for a snapshot that this build cannot read.
var ErrSnapshot = errors.New("ringassignment: cannot read the snapshot")

// Restore replaces the state with that of a snapshot; an empty snapshot is the state before the first
// generation. On an error, which wraps ErrSnapshot, the state does not change.
func (m *StateMachine) Restore(data []byte) error {
	var st State
	if len(data) > 0 {
		if err := decoding.Unmarshal(data, &st); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	if !st.isValid() {
		return fmt.Errorf("%w: generation %d is out of bounds", ErrSnapshot, st.Number)
	}
	m.state = st
	return nil
}
