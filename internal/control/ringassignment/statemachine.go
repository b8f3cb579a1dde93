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
	// MaxServersSize is the most bytes of all servers of a generation in the log's snapshot, each with its id
	// and BytesPerServer, whatever its phase. With more servers the assignment is suspended: each agent uses its
	// own endpoint list, as without generations.
	MaxServersSize = 22 << 10
	// BytesPerServer is the most bytes of a server beside its id.
	BytesPerServer = 24
	// MaxIDSize is the most bytes of a server's id.
	MaxIDSize = 128

	maxKinds     = 16 // with a pace
	paceOverhead = 8  // bytes of a pace beside its kind
	// maxLeadTime is how far ahead of its proposal a generation may be used. It bounds how long the generation
	// of a proposer whose clock is years ahead keeps all others out.
	maxLeadTime = time.Minute
)

// Pace is how fast a kind of machine was measured to be, against its agreed capacity.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Percent uint16 // 100: as its capacity says
}

// State is the present generation. Readers must not change it. Numbers of fields are part of its form; times
// in uint32 are Unix times in seconds.
type State struct {
	Number         uint64        `cbor:"1,keyasint"`
	EffectiveAt    time.Duration `cbor:"2,keyasint"`           // Unix time from which on it is used
	Suspended      bool          `cbor:"3,keyasint,omitempty"` // agents use their own lists
	Members        []Member      `cbor:"4,keyasint,omitempty"` // by id
	OwedPoints     uint32        `cbor:"5,keyasint,omitempty"` // points of lost servers, not made up for yet
	LostAt         uint32        `cbor:"6,keyasint,omitempty"` // when the last server was lost
	Paces          []Pace        `cbor:"7,keyasint,omitempty"` // by kind; those that are 100 % are left out
	PacesChangedAt uint32        `cbor:"8,keyasint,omitempty"`
}

// Change makes the next generation of the present one. It is a record of the agreed log.
type Change struct {
	Base        uint64        `cbor:"1,keyasint"` // the generation that it was made from
	Now         time.Duration `cbor:"2,keyasint"` // Unix time at the proposer
	EffectiveAt time.Duration `cbor:"3,keyasint"`
	Suspend     bool          `cbor:"4,keyasint,omitempty"`
	Members     []Member      `cbor:"5,keyasint,omitempty"` // that are new or differ
	Forgotten   []string      `cbor:"6,keyasint,omitempty"` // ids
	OwedPoints  uint32        `cbor:"7,keyasint,omitempty"`
	LostAt      uint32        `cbor:"8,keyasint,omitempty"`
	Paces       []Pace        `cbor:"9,keyasint,omitempty"` // all, where one changes; none: as before
	MovesKeys   bool          `cbor:"-"`                    // some server's points on the ring change
	Urgent      bool          `cbor:"-"`                    // some server joins or enters another phase
}

// Encode returns the record that proposes a change, for the log.
func (c Change) Encode() []byte { return marshal(c) }

// StateMachine makes the state out of the records of the agreed log, by them alone.
type StateMachine struct {
	state      State
	unreadable uint64
}

// NewStateMachine returns a StateMachine before the first generation.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// State is the present generation. It must not be changed.
func (m *StateMachine) State() State { return m.state }

// UnreadableRecords counts the records that this build could not read, or that none of its leaders proposes.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Apply applies the next record. One that was made from another generation changes nothing: it came too late,
// or twice.
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

// apply returns the generation that a change makes; false: it is not a valid one.
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
	for _, id := range c.Forgotten {
		changed[id] = nil
	}
	for _, n := range st.Members {
		if _, replaced := changed[n.ID]; !replaced {
			next.Members = append(next.Members, n)
		}
	}
	for _, n := range changed { // in any order: sorted below
		if n != nil {
			next.Members = append(next.Members, *n)
		}
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return next, next.isValid()
}

// isValid tells whether a state is within its bounds and in order.
func (st *State) isValid() bool {
	size := 0
	for i, n := range st.Members {
		size += len(n.ID) + BytesPerServer
		if !n.isValid() || i > 0 && n.ID <= st.Members[i-1].ID {
			return false
		}
	}
	for _, p := range st.Paces {
		size += len(p.Kind) + paceOverhead
	}
	return size <= MaxServersSize && len(st.Paces) <= maxKinds
}

// find is a server's entry; nil: it has none.
func (st *State) find(id string) *Member {
	i, found := slices.BinarySearchFunc(st.Members, id, func(n Member, id string) int {
		return cmp.Compare(n.ID, id)
	})
	if !found {
		return nil
	}
	return &st.Members[i]
}

// OnRing is how many points are on the ring in all.
func (st *State) OnRing() (sum int) {
	for i := range st.Members {
		sum += st.Members[i].OnRing()
	}
	return sum
}

// pace is the agreed pace of a kind of machine; 1: as its capacity says.
func (st *State) pace(kind string) float64 {
	for _, p := range st.Paces {
		if p.Kind == kind {
			return float64(p.Percent) / 100
		}
	}
	return 1
}

// unixSeconds is a Unix time as the state has it.
func unixSeconds(at time.Duration) uint32 {
	return uint32(min(max(at/time.Second, 0), math.MaxUint32))
}

// Snapshot returns the encoded state; the same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot is wrapped by the error of a snapshot that this build cannot read.
var ErrSnapshot = errors.New("placement: cannot read the snapshot")

// Restore replaces the state by a snapshot's; an empty snapshot is that of a log that begins. With an error,
// which wraps ErrSnapshot, nothing has changed.
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
