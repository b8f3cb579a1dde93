package policy

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// recordKind numbers the records of the agreed log.
type recordKind uint8

const (
	kindProposed      recordKind = iota + 1 // a document is proposed
	kindPromised                            // a voter reports that all its lease holders have promised
	kindAbandoned                           // the open change is rejected
	kindPostponed                           // the open change takes effect later
	kindActivated                           // the open change becomes the version in force
	kindFloorReleased                       // no agent acts by the former floor any more
)

// record is one of the agreed log's. Fields that a kind does not need are zero. It is encoded as an array, so
// the order of the fields is part of its form.
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
	maxTextSize = 80 // bytes of a reason
	// maxLeadTime is how far ahead of its proposal a change may take effect. It bounds how long the change of a
	// proposer whose clock is years ahead keeps all others out.
	maxLeadTime = time.Hour
)

// Proposal is a change that an operator asks for at an agent.
type Proposal struct {
	ID    string // chosen by the caller, 1 to 64 bytes; the same one again is the same change
	Agent int    // the agent that proposes
	// BaseVersion is the version in force that the document was made from. If another is in force when the
	// record is applied, the proposal is rejected.
	BaseVersion      uint64
	Now, EffectiveAt time.Duration // Unix time; the change takes effect within an hour from Now
	Document         []byte
}

// ErrProposal is wrapped by the error of a Proposal whose fields no agent could accept.
var ErrProposal = errors.New("policy: invalid proposal")

// EncodeProposal returns the record of a change, for the log. The error is stricttoml.Problems where the
// document cannot be read, or wraps ErrProposal.
func EncodeProposal(p Proposal) ([]byte, error) {
	d, err := ParseDocument("policy", p.Document)
	if err != nil {
		return nil, err
	}
	if p.ID == "" || len(p.ID) > maxIDSize || !utf8.ValidString(p.ID) || p.EffectiveAt < p.Now ||
		p.EffectiveAt > p.Now+maxLeadTime {
		return nil, fmt.Errorf("%w %q: it needs a name of 1 to %d bytes, and a time within an hour",
			ErrProposal, p.ID, maxIDSize)
	}
	return marshal(record{
		Kind: kindProposed, ID: p.ID, Agent: p.Agent, BaseVersion: p.BaseVersion, Now: p.Now,
		EffectiveAt: p.EffectiveAt, Document: p.Document, Floor: d.Floor().encode(),
	}), nil
}

// IsPostponement tells whether a record only postpones the open change.
func IsPostponement(data []byte) bool { return isKind(data, kindPostponed) }

// IsPromiseReport tells whether a record is a voter's report that all its lease holders have promised.
func IsPromiseReport(data []byte) bool { return isKind(data, kindPromised) }

func isKind(data []byte, kind recordKind) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kind
}
