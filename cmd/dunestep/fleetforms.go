package main

import (
	"io"
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/fleet/raftlog"
)

// The JSON of the fleet's status at the operators' socket. Its keys and values are kept for compatibility and
// differ from the fields' names.

// connectionWord returns the JSON value for an agent's connection to the others; empty: unknown.
func connectionWord(c membership.Connection) string {
	switch c {
	case membership.Connected:
		return "connected"
	case membership.Unconfirmed:
		return "unsaid"
	case membership.Isolated:
		return "deaf"
	}
	return ""
}

// aliveState is the JSON value for the state of a member that is alive.
const aliveState = "here"

// fleetStatus is the fleet's status at one agent, for operators.
type fleetStatus struct {
	Agent       int             `json:"agent"`
	Agents      int             `json:"agents"`
	Incarnation uint64          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"`
	Record      uint64          `json:"record"`
	Standing    string          `json:"standing"` // full, floor or new
	LeaseMS     int64           `json:"lease_left_ms"`
	Ready       bool            `json:"ready"`
	Connection  string          `json:"connection"` // see connectionWord
	Voters      []int           `json:"voters"`
	Voter       *voterStatus    `json:"voter,omitempty"`
	Present     int             `json:"here"`
	Peers       []peerStatus    `json:"others"`
	Commands    []commandStatus `json:"orders"`
	Dropped     uint64          `json:"messages_dropped"`
	// Ring is the agreed ring assignment; nil: disabled.
	Ring *ringStatus `json:"ring,omitempty"`
}

// voterStatus is the status of the agent's own voter.
type voterStatus struct {
	Phase   string `json:"phase"`
	Term    uint64 `json:"term"`
	Leader  *int   `json:"leader,omitempty"`
	Members []int  `json:"members"`
	Error   string `json:"error,omitempty"`
}

// peerStatus is the status of another agent, as this one knows it.
type peerStatus struct {
	Agent int    `json:"agent"`
	State string `json:"state"`
	// PathClosed means that datagrams from that agent arrive here, but this agent's do not arrive there.
	PathClosed bool `json:"closed,omitempty"`
}

// commandStatus is the status of an operator's command to the fleet.
type commandStatus struct {
	Endpoint string    `json:"server"`
	Down     bool      `json:"down"`
	IssuedBy int       `json:"by"`
	IssuedAt time.Time `json:"at"`
}

// newFleetStatus returns a node's status in its JSON form.
func newFleetStatus(s fleet.Status, commands []operatorcommand.Command) fleetStatus {
	out := fleetStatus{
		Agent:       s.Self,
		Agents:      s.Agents,
		Incarnation: s.Incarnation,
		Epoch:       s.Applied.Epoch,
		Record:      s.Applied.Seq,
		Standing:    s.Standing.String(),
		LeaseMS:     s.LeaseRemaining.Milliseconds(),
		Ready:       s.Ready,
		Connection:  connectionWord(s.Connection),
		Voters:      s.Voters,
		Present:     s.PresentAgents,
		Peers:       []peerStatus{},
		Commands:    []commandStatus{},
		Dropped:     s.Dropped,
	}
	if s.Voter != nil {
		out.Voter = newVoterStatus(s.Voter)
	}
	for _, p := range s.Peers {
		out.Peers = append(out.Peers, peerStatus{p.Agent, p.State.String(), p.IsPathClosed})
	}
	for _, c := range commands {
		issuedAt := time.Unix(0, int64(c.IssuedAt)).UTC()
		out.Commands = append(out.Commands, commandStatus{c.Server, c.Down, c.IssuedBy, issuedAt})
	}
	return out
}

// newVoterStatus returns a voter's status in its JSON form.
func newVoterStatus(v *raftlog.Status) *voterStatus {
	out := &voterStatus{Phase: v.Phase.String(), Term: v.Term, Members: []int{}}
	if v.HasLeader {
		leader := int(v.Leader)
		out.Leader = &leader
	}
	for _, m := range v.Members {
		out.Members = append(out.Members, int(m.Agent))
	}
	if v.Err != nil {
		out.Error = v.Err.Error()
	}
	return out
}

// write prints the status as a table.
func (s fleetStatus) write(to io.Writer) error {
	t := newTable(to)
	t.row("agent\t%d of %d\tready %t", s.Agent, s.Agents, s.Ready)
	t.row("standing\t%s\tlease for %d ms", s.Standing, s.LeaseMS)
	t.row("log\tepoch %d\trecord %d", s.Epoch, s.Record)
	t.row("voters\t%v\t", s.Voters)
	s.Voter.write(t)
	t.row("here\t%d\t", s.Present)
	for _, p := range s.Peers {
		if p.PathClosed {
			t.row("agent %d\t%s\tdoes not receive from this one", p.Agent, p.State)
		} else if p.State != aliveState {
			t.row("agent %d\t%s\t", p.Agent, p.State)
		}
	}
	for _, c := range s.Commands {
		state := "back"
		if c.Down {
			state = "out"
		}
		t.row("server %s\t%s\tby agent %d at %s", c.Endpoint, state, c.IssuedBy, c.IssuedAt.Format(time.RFC3339))
	}
	s.Ring.write(t)
	return t.flush()
}

// write prints a voter's status; nothing for nil, which means that the agent is no voter.
func (v *voterStatus) write(t *table) {
	if v == nil {
		return
	}
	leader := any("none")
	if v.Leader != nil {
		leader = *v.Leader
	}
	t.row("voter\t%s\tterm %d, leader %v, members %v", v.Phase, v.Term, leader, v.Members)
	if v.Error != "" {
		t.row("voter\tstopped\t%s", v.Error)
	}
}
