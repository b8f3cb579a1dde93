// Package seat gives package policy its place above a fleet.Node: it is the machine of the log's records
// that are about policies, and has its say in leases.
package seat

import (
	"encoding/binary"
	"time"

	"dunestep/fleet"
	"dunestep/fleet/lease"
	"dunestep/policy"
)

// lookAtVoters is how often a voter looks who the voters are while nothing else is due: reports count only
// from a fence after that was first seen, so a change would wait for all leases where it was seen late.
const lookAtVoters = time.Second

// Seat is one process's. It is called by its node alone, as a fleet.Machine and as fleet.Above; Acting,
// Propose and the others from where the node is called.
type Seat struct {
	set    Settings
	member *policy.Member
}

// Settings are one agent's.
type Settings struct {
	Self        int
	Votes       bool
	Incarnation uint64 // the node's
	Machine     uint8  // its number in records
	Own         policy.Own
	Times       policy.Times
}

// New returns the seat of a process that starts.
func New(set Settings, now fleet.Reading) *Seat {
	set.Times = set.Times.Usual()
	return &Seat{set: set, member: policy.NewMember(set.Self, set.Votes, set.Own, set.Times, now)}
}

// Apply implements fleet.Machine.
func (s *Seat) Apply(seq uint64, data []byte) { s.member.Machine.Apply(seq, data) }

// Snapshot implements fleet.Machine.
func (s *Seat) Snapshot() []byte { return s.member.Machine.Snapshot() }

// Restore implements fleet.Machine.
func (s *Seat) Restore(data []byte) error {
	if len(data) == 0 {
		data = nil
	}
	return s.member.Machine.Restore(data)
}

// Learn implements fleet.Above. A log that began anew is another one: nothing that was promised in the
// former counts.
func (s *Seat) Learn(now fleet.Reading, anew bool) {
	if anew {
		machine := s.member.Machine
		s.member = policy.NewMember(s.set.Self, s.set.Votes, s.set.Own, s.set.Times, now)
		s.member.Machine = machine
	}
	s.member.Learn(now)
}

// Note implements fleet.Above.
func (s *Seat) Note() []byte { return s.member.Agent.Note() }

// May implements fleet.Above.
func (s *Seat) May(now fleet.Reading, agent int, incarnation uint64, note []byte) bool {
	return s.member.Grant(now, agent, incarnation, note)
}

// Heard implements fleet.Above: a voter is told an agent's answer, and says that it was.
func (s *Seat) Heard(_ fleet.Reading, from int, data []byte) []byte {
	if s.member.Voter == nil || len(data) < 8 || len(data) > 8+lease.MostNote {
		return nil
	}
	s.member.Voter.Heard(from, binary.BigEndian.Uint64(data), data[8:])
	return data[8:]
}

// Answered implements fleet.Above.
func (s *Seat) Answered(_ fleet.Reading, from int, data []byte) { s.member.Agent.Told(from, data) }

// Due implements fleet.Above.
func (s *Seat) Due(now fleet.Reading, v fleet.Voting) (due fleet.Due) {
	if s.member.Council != nil {
		s.member.Council.Voters(now, v.Members, v.Generation)
	}
	records, next := s.member.Due(now, v.Leads)
	if s.member.Council != nil {
		next = min(next, now.Mono+lookAtVoters)
	}
	for _, r := range records {
		due.Records = append(due.Records, fleet.Proposal{Machine: s.set.Machine, Data: r})
	}
	due.Next = next
	if s.member.Machine.State().Open == nil {
		return due
	}
	word := append(binary.BigEndian.AppendUint64(nil, s.set.Incarnation), s.Note()...)
	for _, voter := range s.member.Agent.Tell(now, v.Voters) {
		due.Sends = append(due.Sends, fleet.Send{To: voter, Data: word})
	}
	due.Next = min(next, s.member.Agent.TellAt())
	return due
}

// Change takes in that what this agent holds documents against has changed.
func (s *Seat) Change(own policy.Own) {
	s.set.Own = own
	s.member.Agent.Change(own)
}

// Acting is how one decision is to be made; both are read for it.
func (s *Seat) Acting(now fleet.Reading, standing lease.Standing) policy.Acting {
	return s.member.Agent.Acting(now, standing)
}

// State is what is agreed. It is not to be changed.
func (s *Seat) State() policy.State { return s.member.Machine.State() }

// Document is a version's, as far as it is kept.
func (s *Seat) Document(version uint64) ([]byte, bool) { return s.member.Machine.Document(version) }

// Outcome is what is known of a proposal.
func (s *Seat) Outcome(id string) policy.Outcome { return s.member.Machine.Outcome(id) }

// Record is what proposes a document, made from the version in force here, to take hold at a Unix time.
// It is checked against this agent's own settings first.
func (s *Seat) Record(now fleet.Reading, id string, document []byte, by time.Duration) ([]byte, error) {
	if err := policy.Check(document, s.set.Own); err != nil {
		return nil, err
	}
	return policy.Propose(policy.Proposal{
		ID: id, Who: s.set.Self, Base: s.State().Now.Number,
		Now: now.Unix, By: by,
		Document: document,
	})
}
