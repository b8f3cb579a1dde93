package maintenance

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

type recordKind uint8

const (
	kindAccepted    recordKind = iota + 1 // and accepted, if nothing was agreed since it was looked at
	kindConfirmed                         // a leader has applied the acceptance
	kindTrafficFree                       // no request arrives any more
	kindPaused                            // what is moved stays as it is
	kindResumed                           // it goes on
	kindReturned                          // early: from now on it falls
	kindStopped                           // the same, by staff
	kindEnded                             // nothing is moved any more
)

// record is one of the log's. What a kind does not need is zero.
type record struct {
	_             struct{} `cbor:",toarray"`
	Kind          recordKind
	ID            string
	Agent         int
	Now           time.Duration // Unix time of who proposes it
	ChangeCount   uint64        // how often the window had changed as it was proposed
	PolicyVersion uint64        // asked: the version in force by which it fits
	Revision      uint64        // asked: State.Revision then
	Reason        string
	Window        *storedWindow
}

// form is a window as records and snapshots have it: fields are only added at the end.
type storedWindow struct {
	_                               struct{} `cbor:",toarray"`
	ID                              string
	Agent                           int
	Nodes, Tenants                  []string
	From, DrainedAt, ReturnFrom, To time.Duration
	Steps                           int
	PolicyVersion                   uint64
	State                           State
	StateSince                      time.Duration
	HeldSteps                       int // slices
	Reason                          string
	ChangeCount                     uint64
	ConfirmedAt                     time.Duration
	MinNotice                       time.Duration // that the asker's fleet has
}

const (
	maxNameSize   = 64 // bytes, of a window's name, a node's and a tenant's
	maxReasonSize = 80 // bytes of a reason
	maxNamesSize  = 2 << 10
	// MaxServers and MaxSteps are the most that a window may have.
	MaxServers = 64
	MaxSteps   = 1000

	maxTenants = 64
	// furthest is how far ahead a window may be.
	maxLeadTime = 62 * 24 * time.Hour
	// longest is the longest that any window may be.
	maxLength = 48 * time.Hour
	// confirmFraction is how much of the notice, one part in so many, may pass until a leader has applied the
	// acceptance: what is left has to be longer than anyone goes by the floor that it knows.
	confirmFraction = 10
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

// ErrInvalidWindow: a window or its name is such that it could never be accepted.
var ErrInvalidWindow = errors.New("window: no such window")

// Proposal is a window that fits, by what its asker knows.
type Proposal struct {
	Window        *Window
	Agent         int           // the agent
	Now           time.Duration // Unix time
	PolicyVersion uint64        // the version in force that Plan went by
	Revision      uint64        // State.Revision that it went by
	// MinNotice is the least one of the fleet; zero: MinNotice. It goes with the record, so that the state does
	// not depend on anybody's settings. Nine tenths of it have to be longer than policy.Times.Floor, the fence
	// and the clocks' errors together.
	MinNotice time.Duration
}

// EncodeProposal returns the record that has a window accepted, where nothing was agreed since it was looked at that
// it would have to be looked at again for.
func EncodeProposal(a Proposal) ([]byte, error) {
	f := newStoredWindow(a.Window)
	f.PolicyVersion, f.Agent, f.MinNotice = a.PolicyVersion, a.Agent, a.MinNotice
	if f.MinNotice == 0 {
		f.MinNotice = MinNotice
	}
	r := record{
		Kind: kindAccepted, ID: a.Window.ID, Agent: a.Agent, Now: a.Now, PolicyVersion: a.PolicyVersion, Revision: a.Revision,
		Window: f,
	}
	if why := invalidReason(&r); why != "" {
		return nil, fmt.Errorf("%w: %s", ErrInvalidWindow, why)
	}
	return marshal(r), nil
}

// EncodeStop returns the record by which staff end a window, or have it return.
func EncodeStop(id string, who int, now time.Duration, reason string) []byte {
	return marshal(record{Kind: kindStopped, ID: id, Agent: who, Now: now, Reason: truncate(reason, maxReasonSize)})
}

// unfit tells why a window could never be followed; empty: it could.
func invalidReason(r *record) string {
	w := r.Window
	switch {
	case w == nil || w.ID != r.ID || !isValidName(r.ID):
		return fmt.Sprintf("a name of 1 to %d bytes", maxNameSize)
	case len(w.Nodes) == 0 || len(w.Nodes) > MaxServers || len(w.Tenants) == 0 || len(w.Tenants) > maxTenants ||
		!areValidNames(w.Nodes, w.Tenants) || !isSortedSet(w.Nodes) || !isSortedSet(w.Tenants):
		return fmt.Sprintf("1 to %d nodes and 1 to %d tenants, with names of %d bytes together", MaxServers,
			maxTenants, maxNamesSize)
	case w.From >= w.DrainedAt || w.DrainedAt > w.ReturnFrom || w.ReturnFrom >= w.To || w.To-w.From > maxLength:
		return "its times make no sense"
	case w.Steps < 1 || w.Steps > MaxSteps:
		return fmt.Sprintf("1 to %d steps", MaxSteps)
	case w.MinNotice <= 0 || w.MinNotice > maxLeadTime || w.From < r.Now+w.MinNotice || w.From > r.Now+maxLeadTime:
		return fmt.Sprintf("it has to begin %v to %v ahead", w.MinNotice, maxLeadTime)
	}
	return ""
}

// rising tells whether names are sorted, each there once.
func isSortedSet(names []string) bool {
	for i := range names {
		if i > 0 && names[i] <= names[i-1] {
			return false
		}
	}
	return true
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameSize && utf8.ValidString(s) }

func areValidNames(lists ...[]string) bool {
	size := 0
	for _, names := range lists {
		for _, n := range names {
			if !isValidName(n) {
				return false
			}
			size += len(n)
		}
	}
	return size <= maxNamesSize
}

// clip cuts a text to so many bytes, not within a letter.
func truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}

func newStoredWindow(w *Window) *storedWindow {
	return &storedWindow{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, DrainedAt: w.DrainedAt,
		ReturnFrom: w.ReturnFrom, To: w.To, Steps: w.Steps, PolicyVersion: w.PolicyVersion,
	}
}

// window is the form as others see it.
func (f *storedWindow) window() *Window {
	return &Window{
		ID: f.ID, Agent: f.Agent, Nodes: f.Nodes, Tenants: f.Tenants, From: f.From, DrainedAt: f.DrainedAt,
		ReturnFrom: f.ReturnFrom, To: f.To, Steps: f.Steps, PolicyVersion: f.PolicyVersion, State: f.State, StateSince: f.StateSince,
		HeldFraction: float64(f.HeldSteps) / float64(max(f.Steps, 1)), Reason: f.Reason,
	}
}
