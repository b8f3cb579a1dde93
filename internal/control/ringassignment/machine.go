package ringassignment

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxServersSize is what the servers of a generation may take in the log's snapshot, each by its id and
	// BytesPerServer, whatever its state: 660 servers with ids of 10 bytes. With more, placement stands off: each
	// agent places by its own list, as without.
	MaxServersSize = 22 << 10
	BytesPerServer = 24
	// MaxIDSize is how long a server's id may be, in bytes.
	MaxIDSize = 128
	// maxKinds are those with a measured pace.
	maxKinds = 16
	// furthest is how far ahead a generation may be: guards against a proposer whose clock is years off, whose
	// generation would stand in the way of all others until then.
	maxLeadTime = time.Minute
)

// Member is a server in a generation. Times are whole seconds of Unix time.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Phase      Phase  `cbor:"2,keyasint,omitempty"`
	Points     uint16 `cbor:"3,keyasint,omitempty"` // of a suspect: kept, and not on the ring
	FullPoints uint16 `cbor:"4,keyasint,omitempty"` // by its capacity; zero: as many as DefaultPoints
	Since      uint32 `cbor:"5,keyasint,omitempty"` // of the phase; zero for a whole one without a penalty
	Penalty    uint16 `cbor:"6,keyasint,omitempty"` // in hundredths of a swing, as of Since
}

// OnRing is how many points the server has on the ring.
func (n *Member) OnRing() int {
	if n.Phase == Suspect {
		return 0
	}
	return int(n.Points)
}

// full is how many points it should have when whole.
func (n *Member) fullPoints() int {
	if n.FullPoints == 0 {
		return int(n.Points)
	}
	return int(n.FullPoints)
}

func (n *Member) setFullPoints(full int) {
	n.FullPoints = uint16(full)
	if n.Phase == Complete && n.FullPoints == n.Points {
		n.FullPoints = 0
	}
}

// Pace is how quick a kind of server was measured to be, against its agreed capacity, in hundredths.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Percent uint16
}

// State is the present generation. It is not to be changed.
type State struct {
	Number         uint64        `cbor:"1,keyasint"`
	EffectiveAt    time.Duration `cbor:"2,keyasint"`           // Unix time at which it is taken up
	Suspended      bool          `cbor:"3,keyasint,omitempty"` // placement stands off: as without generations
	Members        []Member      `cbor:"4,keyasint,omitempty"` // by id
	OwedPoints     uint32        `cbor:"5,keyasint,omitempty"` // points that lost servers had, not yet made up for
	LostAt         uint32        `cbor:"6,keyasint,omitempty"` // when the last one was lost
	Paces          []Pace        `cbor:"7,keyasint,omitempty"` // by kind
	PacesChangedAt uint32        `cbor:"8,keyasint,omitempty"` // when one was last changed
}

// Change is one generation to the next.
type Change struct {
	Base        uint64        `cbor:"1,keyasint"` // the generation that it was made from
	Now         time.Duration `cbor:"2,keyasint"`
	EffectiveAt time.Duration `cbor:"3,keyasint"`
	Suspend     bool          `cbor:"4,keyasint,omitempty"` // stand off
	Members     []Member      `cbor:"5,keyasint,omitempty"` // that are new or other than before
	Forgotten   []string      `cbor:"6,keyasint,omitempty"` // that are forgotten
	OwedPoints  uint32        `cbor:"7,keyasint,omitempty"`
	LostAt      uint32        `cbor:"8,keyasint,omitempty"`
	Paces       []Pace        `cbor:"9,keyasint,omitempty"` // all, where one changes
	MovesKeys   bool          `cbor:"-"`                    // some server's points on the ring
	// Urgent: some server joins or is in another state, not only points of others are as they should be.
	Urgent bool `cbor:"-"`
}

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // of constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 4 << 10, MaxMapPairs: 16, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func marshal(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // the type is wrong, whatever its values
	}
	return data
}

// Encode is what proposes a change, for the log.
func (c Change) Encode() []byte { return marshal(c) }

// StateMachine makes the state out of records, by them alone.
type StateMachine struct {
	state      State
	unreadable uint64
}

// NewStateMachine returns a StateMachine before the first generation.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// State is the present one.
func (m *StateMachine) State() State { return m.state }

// UnreadableRecords counts records that could not be read, or that no leader of this build proposes.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Apply takes the next record. One that was made from another generation changes nothing: it came too late,
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

// next is the generation that a change makes; not ok: none that may be.
func (st State) apply(c Change) (State, bool) {
	if c.EffectiveAt < c.Now || c.EffectiveAt > c.Now+maxLeadTime || c.Now < st.EffectiveAt || len(c.Paces) > maxKinds {
		return st, false
	}
	next := State{
		Number: st.Number + 1, EffectiveAt: c.EffectiveAt, Suspended: c.Suspend, OwedPoints: c.OwedPoints, LostAt: c.LostAt, Paces: st.Paces,
		PacesChangedAt: st.PacesChangedAt,
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
		if _, is := changed[n.ID]; !is {
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

// fits tells whether a state is one that could be.
func (st *State) isValid() bool {
	size := 0
	for i, n := range st.Members {
		size += len(n.ID) + BytesPerServer
		if n.ID == "" || len(n.ID) > MaxIDSize || n.Phase > Gone || n.Phase == retiredPhase ||
			n.Points > maxPoints || n.FullPoints > maxPoints ||
			i > 0 && n.ID <= st.Members[i-1].ID {
			return false
		}
	}
	for _, p := range st.Paces {
		size += len(p.Kind) + 8
	}
	return size <= MaxServersSize && len(st.Paces) <= maxKinds
}

// find is a server's entry; nil: none.
func (st *State) find(id string) *Member {
	i, is := slices.BinarySearchFunc(st.Members, id, func(n Member, id string) int { return cmp.Compare(n.ID, id) })
	if !is {
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

func (st *State) pace(kind string) float64 {
	for _, p := range st.Paces {
		if p.Kind == kind {
			return float64(p.Percent) / 100
		}
	}
	return 1
}

// seconds is a Unix time as the state has it.
func unixSeconds(at time.Duration) uint32 {
	return uint32(min(max(at/time.Second, 0), math.MaxUint32))
}

// Snapshot returns all of the state; the same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot: it is none of this build's.
var ErrSnapshot = errors.New("placement: a snapshot that cannot be read")

// Restore goes on from a snapshot; none is that of a log that begins. With an error nothing has changed.
func (m *StateMachine) Restore(data []byte) error {
	var st State
	if len(data) > 0 {
		if err := decoding.Unmarshal(data, &st); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	if !st.isValid() {
		return ErrSnapshot
	}
	m.state = st
	return nil
}
