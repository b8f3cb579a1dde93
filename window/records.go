package window

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

type kind uint8

const (
	asked    kind = iota + 1 // and accepted, if nothing was agreed since it was looked at
	noted                    // a leader has applied the acceptance
	freed                    // no request arrives any more
	paused                   // what is moved stays as it is
	resumed                  // it goes on
	returned                 // early: from now on it falls
	stopped                  // the same, by staff
	ended                    // nothing is moved any more
)

// record is one of the log's. What a kind does not need is zero.
type record struct {
	_        struct{} `cbor:",toarray"`
	Kind     kind
	ID       string
	Who      int
	Now      time.Duration // Unix time of who proposes it
	Changes  uint64        // how often the window had changed as it was proposed
	Policy   uint64        // asked: the version in force by which it fits
	Revision uint64        // asked: State.Revision then
	Reason   string
	Window   *form
}

// form is a window as records and snapshots have it: fields are only added at the end.
type form struct {
	_                       struct{} `cbor:",toarray"`
	ID                      string
	Who                     int
	Nodes, Tenants          []string
	From, Drained, Back, To time.Duration
	Steps                   int
	Policy                  uint64
	State                   State
	Since                   time.Duration
	Held                    int // slices
	Reason                  string
	Changes                 uint64
	Noted                   time.Duration
	Notice                  time.Duration // that the asker's fleet has
}

const (
	maxID    = 64 // bytes, of a window's name, a node's and a tenant's
	maxText  = 80 // bytes of a reason
	maxNames = 2 << 10
	// MaxNodes and MaxSteps are the most that a window may have.
	MaxNodes = 64
	MaxSteps = 1000

	maxTenants = 64
	// furthest is how far ahead a window may be.
	furthest = 62 * 24 * time.Hour
	// longest is the longest that any window may be.
	longest = 48 * time.Hour
	// agreedBy is how much of the notice, one part in so many, may pass until a leader has applied the
	// acceptance: what is left has to be longer than anyone goes by the floor that it knows.
	agreedBy = 10
)

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // of constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 1 << 10, MaxMapPairs: 16, MaxNestedLevels: 6,
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

// ErrRecord: a window or its name is such that it could never be accepted.
var ErrRecord = errors.New("window: no such window")

// Asking is a window that fits, by what its asker knows.
type Asking struct {
	Window   *Window
	Who      int           // the agent
	Now      time.Duration // Unix time
	Policy   uint64        // the version in force that Fit went by
	Revision uint64        // State.Revision that it went by
	// Notice is the least one of the fleet; zero: LeastNotice. It goes with the record, so that the state does
	// not depend on anybody's settings. Nine tenths of it have to be longer than policy.Times.Floor, the fence
	// and the clocks' errors together.
	Notice time.Duration
}

// Accept returns the record that has a window accepted, where nothing was agreed since it was looked at that
// it would have to be looked at again for.
func Accept(a Asking) ([]byte, error) {
	f := formOf(a.Window)
	f.Policy, f.Who, f.Notice = a.Policy, a.Who, a.Notice
	if f.Notice == 0 {
		f.Notice = LeastNotice
	}
	r := record{
		Kind: asked, ID: a.Window.ID, Who: a.Who, Now: a.Now, Policy: a.Policy, Revision: a.Revision,
		Window: f,
	}
	if why := unfit(&r); why != "" {
		return nil, fmt.Errorf("%w: %s", ErrRecord, why)
	}
	return marshal(r), nil
}

// Stop returns the record by which staff end a window, or have it return.
func Stop(id string, who int, now time.Duration, reason string) []byte {
	return marshal(record{Kind: stopped, ID: id, Who: who, Now: now, Reason: clip(reason, maxText)})
}

// unfit tells why a window could never be followed; empty: it could.
func unfit(r *record) string {
	w := r.Window
	switch {
	case w == nil || w.ID != r.ID || !named(r.ID):
		return fmt.Sprintf("a name of 1 to %d bytes", maxID)
	case len(w.Nodes) == 0 || len(w.Nodes) > MaxNodes || len(w.Tenants) == 0 || len(w.Tenants) > maxTenants ||
		!allNamed(w.Nodes, w.Tenants) || !rising(w.Nodes) || !rising(w.Tenants):
		return fmt.Sprintf("1 to %d nodes and 1 to %d tenants, with names of %d bytes together", MaxNodes,
			maxTenants, maxNames)
	case w.From >= w.Drained || w.Drained > w.Back || w.Back >= w.To || w.To-w.From > longest:
		return "its times make no sense"
	case w.Steps < 1 || w.Steps > MaxSteps:
		return fmt.Sprintf("1 to %d steps", MaxSteps)
	case w.Notice <= 0 || w.Notice > furthest || w.From < r.Now+w.Notice || w.From > r.Now+furthest:
		return fmt.Sprintf("it has to begin %v to %v ahead", w.Notice, furthest)
	}
	return ""
}

// rising tells whether names are sorted, each there once.
func rising(names []string) bool {
	for i := range names {
		if i > 0 && names[i] <= names[i-1] {
			return false
		}
	}
	return true
}

func named(s string) bool { return s != "" && len(s) <= maxID && utf8.ValidString(s) }

func allNamed(lists ...[]string) bool {
	size := 0
	for _, names := range lists {
		for _, n := range names {
			if !named(n) {
				return false
			}
			size += len(n)
		}
	}
	return size <= maxNames
}

// clip cuts a text to so many bytes, not within a letter.
func clip(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}

func formOf(w *Window) *form {
	return &form{
		ID: w.ID, Who: w.Who, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, Drained: w.Drained,
		Back: w.Back, To: w.To, Steps: w.Steps, Policy: w.Policy,
	}
}

// window is the form as others see it.
func (f *form) window() *Window {
	return &Window{
		ID: f.ID, Who: f.Who, Nodes: f.Nodes, Tenants: f.Tenants, From: f.From, Drained: f.Drained,
		Back: f.Back, To: f.To, Steps: f.Steps, Policy: f.Policy, State: f.State, Since: f.Since,
		Held: float64(f.Held) / float64(max(f.Steps, 1)), Reason: f.Reason,
	}
}
