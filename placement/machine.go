package placement

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
	// MostBytes is what the servers of a generation may take in the log's snapshot, each by its id and
	// PerNode, whatever its state: 660 servers with ids of 10 bytes. With more, placement stands off: each
	// agent places by its own list, as without.
	MostBytes = 22 << 10
	PerNode   = 24
	// MostID is how long a server's id may be, in bytes.
	MostID = 128
	// mostKinds are those with a measured pace.
	mostKinds = 16
	// furthest is how far ahead a generation may be: guards against a proposer whose clock is years off, whose
	// generation would stand in the way of all others until then.
	furthest = time.Minute
)

// Node is a server in a generation. Times are whole seconds of Unix time.
type Node struct {
	ID      string `cbor:"1,keyasint"`
	Phase   Phase  `cbor:"2,keyasint,omitempty"`
	Points  uint16 `cbor:"3,keyasint,omitempty"` // of a suspect: kept, and not on the ring
	Full    uint16 `cbor:"4,keyasint,omitempty"` // by its capacity; zero: as many as Points
	Since   uint32 `cbor:"5,keyasint,omitempty"` // of the phase; zero for a whole one without a penalty
	Penalty uint16 `cbor:"6,keyasint,omitempty"` // in hundredths of a swing, as of Since
}

// OnRing is how many points the server has on the ring.
func (n *Node) OnRing() int {
	if n.Phase == Suspect {
		return 0
	}
	return int(n.Points)
}

// full is how many points it should have when whole.
func (n *Node) full() int {
	if n.Full == 0 {
		return int(n.Points)
	}
	return int(n.Full)
}

func (n *Node) setFull(full int) {
	n.Full = uint16(full)
	if n.Phase == Whole && n.Full == n.Points {
		n.Full = 0
	}
}

// Pace is how quick a kind of server was measured to be, against its agreed capacity, in hundredths.
type Pace struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Per  uint16
}

// State is the present generation. It is not to be changed.
type State struct {
	Number uint64        `cbor:"1,keyasint"`
	By     time.Duration `cbor:"2,keyasint"`           // Unix time at which it is taken up
	Off    bool          `cbor:"3,keyasint,omitempty"` // placement stands off: as without generations
	Nodes  []Node        `cbor:"4,keyasint,omitempty"` // by id
	Owed   uint32        `cbor:"5,keyasint,omitempty"` // points that lost servers had, not yet made up for
	Lost   uint32        `cbor:"6,keyasint,omitempty"` // when the last one was lost
	Paces  []Pace        `cbor:"7,keyasint,omitempty"` // by kind
	Paced  uint32        `cbor:"8,keyasint,omitempty"` // when one was last changed
}

// Change is one generation to the next.
type Change struct {
	Base  uint64        `cbor:"1,keyasint"` // the generation that it was made from
	Now   time.Duration `cbor:"2,keyasint"`
	By    time.Duration `cbor:"3,keyasint"`
	Off   bool          `cbor:"4,keyasint,omitempty"` // stand off
	Nodes []Node        `cbor:"5,keyasint,omitempty"` // that are new or other than before
	Drop  []string      `cbor:"6,keyasint,omitempty"` // that are forgotten
	Owed  uint32        `cbor:"7,keyasint,omitempty"`
	Lost  uint32        `cbor:"8,keyasint,omitempty"`
	Paces []Pace        `cbor:"9,keyasint,omitempty"` // all, where one changes
	Moves bool          `cbor:"-"`                    // some server's points on the ring
	// Hurry: some server joins or is in another state, not only points of others are as they should be.
	Hurry bool `cbor:"-"`
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

// Record is what proposes a change, for the log.
func (c Change) Record() []byte { return marshal(c) }

// Machine makes the state out of records, by them alone.
type Machine struct {
	st      State
	strange uint64
}

// NewMachine returns a Machine before the first generation.
func NewMachine() *Machine { return &Machine{} }

// State is the present one.
func (m *Machine) State() State { return m.st }

// Strange counts records that could not be read, or that no leader of this build proposes.
func (m *Machine) Strange() uint64 { return m.strange }

// Apply takes the next record. One that was made from another generation changes nothing: it came too late,
// or twice.
func (m *Machine) Apply(_ uint64, data []byte) {
	var c Change
	if decoding.Unmarshal(data, &c) != nil {
		m.strange++
		return
	}
	if c.Base != m.st.Number {
		return
	}
	if next, ok := m.st.next(c); ok {
		m.st = next
	} else {
		m.strange++
	}
}

// next is the generation that a change makes; not ok: none that may be.
func (st State) next(c Change) (State, bool) {
	if c.By < c.Now || c.By > c.Now+furthest || c.Now < st.By || len(c.Paces) > mostKinds {
		return st, false
	}
	next := State{
		Number: st.Number + 1, By: c.By, Off: c.Off, Owed: c.Owed, Lost: c.Lost, Paces: st.Paces,
		Paced: st.Paced,
	}
	if len(c.Paces) > 0 {
		next.Paces, next.Paced = c.Paces, seconds(c.Now)
	}
	if c.Off {
		return next, true
	}
	changed := map[string]*Node{}
	for i := range c.Nodes {
		changed[c.Nodes[i].ID] = &c.Nodes[i]
	}
	for _, id := range c.Drop {
		changed[id] = nil
	}
	for _, n := range st.Nodes {
		if _, is := changed[n.ID]; !is {
			next.Nodes = append(next.Nodes, n)
		}
	}
	for _, n := range changed { // in any order: sorted below
		if n != nil {
			next.Nodes = append(next.Nodes, *n)
		}
	}
	slices.SortFunc(next.Nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return next, next.fits()
}

// fits tells whether a state is one that could be.
func (st *State) fits() bool {
	size := 0
	for i, n := range st.Nodes {
		size += len(n.ID) + PerNode
		if n.ID == "" || len(n.ID) > MostID || n.Phase > Gone || n.Phase == former ||
			n.Points > mostPoints || n.Full > mostPoints ||
			i > 0 && n.ID <= st.Nodes[i-1].ID {
			return false
		}
	}
	for _, p := range st.Paces {
		size += len(p.Kind) + 8
	}
	return size <= MostBytes && len(st.Paces) <= mostKinds
}

// find is a server's entry; nil: none.
func (st *State) find(id string) *Node {
	i, is := slices.BinarySearchFunc(st.Nodes, id, func(n Node, id string) int { return cmp.Compare(n.ID, id) })
	if !is {
		return nil
	}
	return &st.Nodes[i]
}

// OnRing is how many points are on the ring in all.
func (st *State) OnRing() (sum int) {
	for i := range st.Nodes {
		sum += st.Nodes[i].OnRing()
	}
	return sum
}

func (st *State) pace(kind string) float64 {
	for _, p := range st.Paces {
		if p.Kind == kind {
			return float64(p.Per) / 100
		}
	}
	return 1
}

// seconds is a Unix time as the state has it.
func seconds(at time.Duration) uint32 {
	return uint32(min(max(at/time.Second, 0), math.MaxUint32))
}

// Snapshot returns all of the state; the same records give the same bytes.
func (m *Machine) Snapshot() []byte { return marshal(m.st) }

// ErrSnapshot: it is none of this build's.
var ErrSnapshot = errors.New("placement: a snapshot that cannot be read")

// Restore goes on from a snapshot; none is that of a log that begins. With an error nothing has changed.
func (m *Machine) Restore(data []byte) error {
	var st State
	if len(data) > 0 {
		if err := decoding.Unmarshal(data, &st); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	if !st.fits() {
		return ErrSnapshot
	}
	m.st = st
	return nil
}
