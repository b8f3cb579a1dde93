package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/protocol"
)

// connections are the words for what an agent knows of its own way to others.
var connections = map[membership.Connection]string{
	membership.Connected: "connected", membership.Unconfirmed: "unsaid",
	membership.Isolated: "deaf",
}

// fleetStatus is what staff see of the fleet at one agent.
type fleetStatus struct {
	Agent       int           `json:"agent"`
	Agents      int           `json:"agents"`
	Incarnation uint64        `json:"incarnation"`
	Epoch       uint64        `json:"epoch"`
	Record      uint64        `json:"record"`
	Standing    string        `json:"standing"` // full, floor or new
	LeaseMS     int64         `json:"lease_left_ms"`
	Ready       bool          `json:"ready"`
	Connection  string        `json:"connection"` // connected, unsaid or deaf
	Voters      []int         `json:"voters"`
	Voter       *voterStatus  `json:"voter,omitempty"`
	Here        int           `json:"here"`
	Others      []peerStatus  `json:"others"`
	Orders      []orderStatus `json:"orders"`
	Dropped     uint64        `json:"messages_dropped"`
	// Ring is the generation of the ring that is agreed; absent where placement is off.
	Ring *ringStatus `json:"ring,omitempty"`
}

type voterStatus struct {
	Phase   string `json:"phase"`
	Term    uint64 `json:"term"`
	Leader  *int   `json:"leader,omitempty"`
	Members []int  `json:"members"`
	Error   string `json:"error,omitempty"`
}

type peerStatus struct {
	Agent int    `json:"agent"`
	State string `json:"state"`
	// Closed: it is heard, and does not hear this agent.
	Closed bool `json:"closed,omitempty"`
}

type orderStatus struct {
	Server string    `json:"server"`
	Down   bool      `json:"down"`
	By     int       `json:"by"`
	At     time.Time `json:"at"`
}

func statusOf(s fleet.Status, book []operatorcommand.Command) fleetStatus {
	out := fleetStatus{
		Agent: s.Self, Agents: s.Agents, Incarnation: s.Incarnation, Epoch: s.Applied.Epoch,
		Record: s.Applied.Seq, Standing: s.Standing.String(),
		LeaseMS: s.LeaseRemaining.Milliseconds(), Ready: s.Ready, Connection: connections[s.Connection],
		Voters: s.Voters, Here: s.PresentAgents, Others: []peerStatus{}, Orders: []orderStatus{}, Dropped: s.Dropped,
	}
	if v := s.Voter; v != nil {
		out.Voter = voterOf(v)
	}
	for _, o := range s.Peers {
		out.Others = append(out.Others, peerStatus{o.Agent, o.State.String(), o.IsPathClosed})
	}
	for _, o := range book {
		out.Orders = append(out.Orders, orderStatus{o.Server, o.Down, o.IssuedBy, time.Unix(0, int64(o.IssuedAt)).UTC()})
	}
	return out
}

func voterOf(v *raftlog.Status) *voterStatus {
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

// fleetCommands ask a running agent at its operators' door.
type fleetCommands struct {
	Status fleetStatusCommand `cmd:"" help:"Show what an agent knows of the fleet, and what is agreed."`
	Down   fleetDownCommand   `cmd:"" help:"Take a booking server out at all agents, and wait until it is."`
	Up     fleetUpCommand     `cmd:"" help:"Put a booking server back at all agents, and wait until it is."`
	Policy policyCommands     `cmd:"" help:"Policies that hold at all agents or at none."`
	Window windowCommands     `cmd:"" help:"Times in which servers are left alone for maintenance."`
}

type opsDoor struct {
	Ops string `help:"ADDR of an agent's operators' door." placeholder:"ADDR" env:"LB_OPS" required:""`
}

const doorWait = 3 * time.Second

// call makes a call and reads the answer into what is given.
func (d opsDoor) call(method, path, body string, into any) error {
	u := url.URL{Scheme: "http", Host: d.Ops, Path: path}
	u.Path, u.RawQuery, _ = strings.Cut(path, "?")
	r, err := http.NewRequest(method, u.String(), strings.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: doorWait}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		if resp.StatusCode == http.StatusNotFound && len(raw) == 0 || strings.HasPrefix(string(raw), "Not Found") {
			return errors.New("that agent takes no part in a fleet: [fleet] is off there")
		}
		return errors.New(strings.TrimSpace(string(raw)))
	}
	return json.Unmarshal(raw, into)
}

type fleetStatusCommand struct {
	opsDoor
	JSON bool `help:"Write it as JSON."`
}

// Run shows the status as a table, or as JSON.
func (c fleetStatusCommand) Run() error {
	var s fleetStatus
	if err := c.call(http.MethodGet, "/ops/fleet/status", "", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	return s.write(os.Stdout)
}

func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

func (s fleetStatus) write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "agent\t%d of %d\tready %t\n", s.Agent, s.Agents, s.Ready)
	fmt.Fprintf(w, "standing\t%s\tlease for %d ms\n", s.Standing, s.LeaseMS)
	fmt.Fprintf(w, "log\tepoch %d\trecord %d\n", s.Epoch, s.Record)
	fmt.Fprintf(w, "voters\t%v\t\n", s.Voters)
	if v := s.Voter; v != nil {
		leader := "none"
		if v.Leader != nil {
			leader = fmt.Sprint(*v.Leader)
		}
		fmt.Fprintf(w, "voter\t%s\tterm %d, leader %s, members %v\n", v.Phase, v.Term, leader, v.Members)
		if v.Error != "" {
			fmt.Fprintf(w, "voter\tstopped\t%s\n", v.Error)
		}
	}
	fmt.Fprintf(w, "here\t%d\t\n", s.Here)
	for _, o := range s.Others {
		if o.Closed {
			fmt.Fprintf(w, "agent %d\t%s\tdoes not hear this one\n", o.Agent, o.State)
		} else if o.State != "here" {
			fmt.Fprintf(w, "agent %d\t%s\t\n", o.Agent, o.State)
		}
	}
	for _, o := range s.Orders {
		state := "back"
		if o.Down {
			state = "out"
		}
		fmt.Fprintf(w, "server %s\t%s\tby agent %d at %s\n", o.Server, state, o.By, o.At.Format(time.RFC3339))
	}
	s.Ring.write(w)
	return w.Flush()
}

type orderCommand struct {
	opsDoor
	ID   string        `arg:"" help:"The booking server's id."`
	Wait time.Duration `help:"How long to wait until it is in force." default:"30s"`
}

type (
	fleetDownCommand struct{ orderCommand }
	fleetUpCommand   struct{ orderCommand }
)

// Run takes the server out everywhere.
func (c fleetDownCommand) Run() error { return c.order("down") }

// Run puts the server back everywhere.
func (c fleetUpCommand) Run() error { return c.order("up") }

const ticketEvery = 100 * time.Millisecond

// order proposes and waits. It says what is known, also where that is that nobody knows.
func (c orderCommand) order(what string) error {
	var p protocol.FleetProposal
	if err := c.call(http.MethodPost, "/ops/fleet/booking-servers/"+what, c.ID, &p); err != nil {
		return err
	}
	for until := time.Now().Add(c.Wait); time.Now().Before(until); time.Sleep(ticketEvery) {
		if err := c.call(http.MethodGet, fmt.Sprint("/ops/fleet/ticket?n=", p.Ticket), "", &p); err != nil {
			return err
		}
		switch {
		case p.InForce:
			fmt.Println("in force at all agents that hold a lease")
			return nil
		case p.Result == fleet.NotCommitted.String():
			return errors.New("not taken: no voter could agree to it in time")
		case p.Result == fleet.Indeterminate.String():
			return errors.New("not known whether it was taken: look at fleet status, and ask again")
		}
	}
	return fmt.Errorf("%s, and not in force everywhere yet", p.Result)
}
