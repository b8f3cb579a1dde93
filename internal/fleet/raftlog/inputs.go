package raftlog

// Input is one of the input types of Step.
type Input interface{ isInput() }

// TimePassed carries only the time of the Step. It is due at Voter.Next.
type TimePassed struct{}

// MessageReceived is a message from the voter of another agent.
type MessageReceived struct {
	From  uint32 // sending agent
	Bytes []byte
}

// Propose proposes a record. It may be repeated with the same ID, at any voter, until its Outcome is known.
type Propose struct {
	ID   ProposalID
	Data []byte // at most MaxProposalBytes
}

// Withdraw prevents a proposal from being committed, unless it already was. Its Outcome becomes known soon
// after.
type Withdraw struct{ ID ProposalID }

// Persisted reports that the write requested by the Persist with this token is durable.
type Persisted struct{ Token uint64 }

// Compact supplies the application's state as of the last committed entry that was returned, in reply to
// Output.SnapshotWanted.
type Compact struct {
	Index uint64 // index of that entry
	Data  []byte // at most MaxSnapshotBytes
}

// SetVoters replaces the configured voters.
type SetVoters struct{ Voters []uint32 }

// LiveLogSeen reports that a live log was observed, by any channel.
type LiveLogSeen struct{ Epoch uint64 }

// AbandonLog is an operator's consent to abandon this voter's log, which has lost its majority.
type AbandonLog struct{}

func (TimePassed) isInput()      {}
func (MessageReceived) isInput() {}
func (Propose) isInput()         {}
func (Withdraw) isInput()        {}
func (Persisted) isInput()       {}
func (Compact) isInput()         {}
func (SetVoters) isInput()       {}
func (LiveLogSeen) isInput()     {}
func (AbandonLog) isInput()      {}
