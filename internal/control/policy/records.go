package policy

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// recordKind is the kind of a record in the agreed log.
type recordKind uint8

const (
	kindProposed      recordKind = iota + 1 // a document is proposed
	kindPromised                            // a voter reports that all its lease holders have promised
	kindAbandoned                           // the open change is rejected
	kindPostponed                           // the open change takes effect later
	kindActivated                           // the open change becomes the version in force
	kindFloorReleased                       // no agent acts within the former floor any more
)

// record is a record of the agreed log. Fields that a kind does not need are zero. It is encoded as an array,
// so the order of the fields is part of the encoding.
type record struct {
	_                struct{} `cbor:",toarray"`
	Kind             recordKind
	Version          uint64
	ID               string
	Agent            int
	BaseVersion      uint64
	Now, EffectiveAt time.Duration // Unix time
	Code             AnswerCode
	Text             string
	Document         []byte
	Floor            []byte
}

const (
	maxIDSize   = 64 // bytes
	maxTextSize = 80 // bytes of a rejection's text
	// maxLeadTime is the maximum time from a proposal to its effective time. It limits how long a change from a
	// proposer whose clock is years ahead can block other changes.
	maxLeadTime = time.Hour
)

// Proposal is a change that an operator requests at an agent.
type Proposal struct {
	ID    string // chosen by the caller, 1 to 64 bytes; repeating an ID repeats the same change
	Agent int    // the proposing agent
	// BaseVersion is the version in force from which the document was made. If another version is in force when
	// the record is applied, the proposal is rejected.
	BaseVersion      uint64
	Now, EffectiveAt time.Duration // Unix time; EffectiveAt is at most an hour after Now
	Document         []byte
}

// ErrProposal is wrapped by the error for a Proposal with invalid fields.
var ErrProposal = errors.New("policy: invalid proposal")

// EncodeProposal returns the log record that proposes a change. The error is stricttoml.Problems if the
// document cannot be parsed; otherwise it wraps ErrProposal.
func EncodeProposal(p Proposal) ([]byte, error) {
	d, err := ParseDocument("policy", p.Document)
	if err != nil {
		return nil, err
	}
	if p.ID == "" || len(p.ID) > maxIDSize || !utf8.ValidString(p.ID) || p.EffectiveAt < p.Now ||
		p.EffectiveAt > p.Now+maxLeadTime {
		return nil, fmt.Errorf("%w %q: the ID needs 1 to %d bytes and the effective time must be within an hour",
			ErrProposal, p.ID, maxIDSize)
	}
	return marshal(record{
		Kind: kindProposed, ID: p.ID, Agent: p.Agent, BaseVersion: p.BaseVersion, Now: p.Now,
		EffectiveAt: p.EffectiveAt, Document: p.Document, Floor: d.Floor().encode(),
	}), nil
}

// IsPostponement reports whether a record only postpones the open change.
func IsPostponement(data []byte) bool { return isKind(data, kindPostponed) }

// IsPromiseReport reports whether a record is a voter's report that all its lease holders have promised.
func IsPromiseReport(data []byte) bool { return isKind(data, kindPromised) }

func isKind(data []byte, kind recordKind) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kind
}
