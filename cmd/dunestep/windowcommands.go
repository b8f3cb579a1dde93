package main

import (
	"crypto/rand"
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

	"dunestep/internal/control/policy"
	"dunestep/internal/protocol"
)

// windowsState is what staff see of the maintenance windows at one agent.
type windowsState struct {
	Policy  uint64          `json:"policy"` // the version whose contracts count here now
	Windows []windowState   `json:"windows"`
	Calls   []windowOutcome `json:"calls"` // the newest last
}

type windowState struct {
	ID      string    `json:"id"`
	Who     int       `json:"who"`
	Nodes   []string  `json:"nodes"`
	Tenants []string  `json:"tenants"`
	From    time.Time `json:"from"`    // the first keys leave
	Drained time.Time `json:"drained"` // all have left, by the plan
	Back    time.Time `json:"back"`    // the first come back
	To      time.Time `json:"to"`      // all are back
	State   string    `json:"state"`
	Since   time.Time `json:"since,omitzero"`
	// Moved is the part of the keys that keeps off now, at this agent.
	Moved float64 `json:"moved"`
	// FreeUntil is until when the nodes are left alone, where the window is free.
	FreeUntil time.Time `json:"free_until,omitzero"`
	Waits     string    `json:"waits,omitempty"` // for what
	Reason    string    `json:"reason,omitempty"`
}

// windowOutcome is what became of a call, and, where it does not fit, when it would.
type windowOutcome struct {
	ID     string    `json:"id,omitempty"`
	End    string    `json:"end"`
	Reason string    `json:"reason,omitempty"`
	Tenant string    `json:"tenant,omitempty"`
	Next   time.Time `json:"next,omitzero"`
	// Window is what would be, or was, accepted.
	Window *windowState `json:"window,omitempty"`
}

// takesHold is why nothing was planned or asked for at this moment: the same call again is in order.
const takesHold = "a policy takes hold: ask again in a moment"

// endFits is the end of a check that finds nothing in the way.
const endFits = "fits"

// windowCommands ask a running agent at its operators' door.
type windowCommands struct {
	Ask   windowAskCommand   `cmd:"" help:"Ask for a time in which nodes get no requests of tenants."`
	Check windowCheckCommand `cmd:"" help:"Tell whether it would fit, or when it would next."`
	List  windowListCommand  `cmd:"" help:"Show the windows and how far they are, and what became of calls."`
	Stop  windowStopCommand  `cmd:"" help:"Have a window end early: the traffic comes back at its pace."`
}

// windowWish is what is asked for.
type windowWish struct {
	opsDoor
	Node   []string `help:"A server by ID, as often as there are any." placeholder:"ID" sep:"none"`
	Zone   string   `help:"All servers of zone Z, in place of --node." placeholder:"Z"`
	Tenant []string `help:"A clinic group T, again for more; *: all." placeholder:"T" sep:"none" required:""`
	From   string   `help:"When the traffic begins to leave: RFC 3339, or +30m." placeholder:"TIME" required:""`
	To     string   `help:"When all of it is back: RFC 3339, or +3h from now." placeholder:"TIME" required:""`
	Pace   float64  `help:"The part of a server's keys that moves in a second at the most; 0: 0.01." default:"0"`
}

// body is the call's.
func (w windowWish) body(now time.Time) (string, error) {
	a := protocol.WindowRequest{Nodes: w.Node, Zone: w.Zone, Tenants: w.Tenant, Pace: w.Pace}
	if len(w.Node) > 0 == (w.Zone != "") {
		return "", errors.New("name servers by --node, or a zone by --zone")
	}
	for _, t := range []struct {
		text string
		into *time.Time
	}{{w.From, &a.From}, {w.To, &a.To}} {
		at, err := moment(t.text, now)
		if err != nil {
			return "", err
		}
		*t.into = at
	}
	raw, err := json.Marshal(a)
	return string(raw), err
}

// moment reads a time, or a time from now on.
func moment(text string, now time.Time) (time.Time, error) {
	if after, is := strings.CutPrefix(text, "+"); is {
		d, err := time.ParseDuration(after)
		return now.Add(d), err
	}
	return time.Parse(time.RFC3339, text)
}

type windowAskCommand struct {
	windowWish
	ID   string        `help:"A name for this call, by which it can be made again; empty: a new one."`
	Wait time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run asks, and waits. Where it can't be known what became of it, it says so: the same call with the same
// name settles it.
func (c windowAskCommand) Run() error {
	body, err := c.body(time.Now())
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	o, err := c.plan("/ops/fleet/windows/ask?id="+url.QueryEscape(c.ID), body)
	if err != nil {
		return err
	}
	if err := c.settle(&o, c.ID, c.Wait); err != nil {
		return err
	}
	switch o.End {
	case policy.StatusAccepted.String():
		fmt.Printf("taken: window %s", c.ID)
		if w := o.Window; w != nil {
			fmt.Printf(", from %s, all moved at %s, back from %s to %s", local(w.From), local(w.Drained),
				local(w.Back), local(w.To))
		}
		fmt.Println()
		return nil
	case policy.StatusRejected.String():
		return errors.New(o.refusal())
	}
	return fmt.Errorf("not known yet: ask again with --id %s", c.ID)
}

// plan has an agent look at what is asked for, again while a policy is taking hold there.
func (d opsDoor) plan(path, body string) (o windowOutcome, err error) {
	for until := time.Now().Add(doorWait); ; time.Sleep(ticketEvery) {
		o = windowOutcome{}
		err = d.call(http.MethodPost, path, body, &o)
		if err != nil || o.Reason != takesHold || time.Now().After(until) {
			return o, err
		}
	}
}

// settle waits until it is known what became of a call.
func (d opsDoor) settle(o *windowOutcome, id string, wait time.Duration) error {
	path := "/ops/fleet/windows/outcome?id=" + url.QueryEscape(id)
	for until := time.Now().Add(wait); o.End == policy.StatusUnknown.String() && time.Now().Before(until); {
		time.Sleep(ticketEvery)
		if err := d.call(http.MethodGet, path, "", o); err != nil {
			return err
		}
	}
	return nil
}

// refusal is why not, and when it would be.
func (o windowOutcome) refusal() string {
	text := "not taken: " + o.Reason
	if !o.Next.IsZero() {
		text += ", fits next at " + o.Next.UTC().Format(time.RFC3339)
	}
	return text
}

func local(t time.Time) string { return t.UTC().Format(time.RFC3339) }

type windowCheckCommand struct{ windowWish }

// Run tells whether it would fit.
func (c windowCheckCommand) Run() error {
	body, err := c.body(time.Now())
	if err != nil {
		return err
	}
	o, err := c.plan("/ops/fleet/windows/check", body)
	if err != nil {
		return err
	}
	if o.End != endFits || o.Window == nil {
		return errors.New(strings.Replace(o.refusal(), "not taken", "does not fit", 1))
	}
	fmt.Printf("fits: all moved at %s, back from %s to %s\n", local(o.Window.Drained), local(o.Window.Back),
		local(o.Window.To))
	return nil
}

type windowListCommand struct {
	opsDoor
	JSON bool `help:"Write it as JSON."`
}

// Run shows the windows.
func (c windowListCommand) Run() error {
	var s windowsState
	if err := c.call(http.MethodGet, "/ops/fleet/windows", "", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	return s.write(os.Stdout)
}

func (s windowsState) write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if len(s.Windows) == 0 {
		fmt.Fprintln(w, "no windows")
	} else {
		fmt.Fprintln(w, "WINDOW\tSTATE\tMOVED\tNODES\tTENANTS\tFROM\tTO\tFREE UNTIL\tWAITS FOR")
	}
	for _, one := range s.Windows {
		free := "-"
		if !one.FreeUntil.IsZero() {
			free = local(one.FreeUntil)
		}
		what := one.Waits
		if one.Reason != "" {
			what = strings.TrimPrefix(what+"; "+one.Reason, "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%s\n", one.ID, one.State, 100*one.Moved,
			strings.Join(one.Nodes, ","), strings.Join(one.Tenants, ","), local(one.From), local(one.To), free, what)
	}
	for _, o := range s.Calls {
		if o.End == policy.StatusRejected.String() {
			fmt.Fprintf(w, "call %s\t%s\n", o.ID, o.refusal())
		}
	}
	return w.Flush()
}

type windowStopCommand struct {
	opsDoor
	ID   string        `arg:"" help:"The window."`
	Wait time.Duration `help:"How long to wait until it is known." default:"30s"`
}

// Run has a window end, and waits until all agents that hold a lease will hear of it.
func (c windowStopCommand) Run() error {
	name := url.QueryEscape(c.ID)
	var o windowOutcome
	for until := time.Now().Add(c.Wait); ; time.Sleep(ticketEvery) {
		if err := c.call(http.MethodPost, "/ops/fleet/windows/stop?id="+name, "", &o); err != nil {
			return err
		}
		if o.End == policy.StatusAccepted.String() {
			fmt.Println("stopped: the traffic comes back")
			return nil
		}
		if o.End == policy.StatusRejected.String() {
			return errors.New(o.refusal())
		}
		if time.Now().After(until) {
			return errors.New("not known yet: ask again")
		}
	}
}
