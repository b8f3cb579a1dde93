package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/protocol"
)

// windowCommands ask a running agent, at its operators' socket, about maintenance windows.
type windowCommands struct {
	Ask   windowAskCommand   `cmd:"" help:"Ask for a time in which nodes get no requests of tenants."`
	Check windowCheckCommand `cmd:"" help:"Tell whether it would fit, or when it would next."`
	List  windowListCommand  `cmd:"" help:"Show the windows and how far they are, and what became of calls."`
	Stop  windowStopCommand  `cmd:"" help:"Have a window end early: the traffic comes back at its pace."`
}

var (
	errNodesOrZone   = errors.New("name servers by --node, or a zone by --zone")
	errWindowUnknown = errors.New("not known yet: ask again")
)

// windowFlags are the flags of a request for a window.
type windowFlags struct {
	opsClient
	Node   []string `help:"A server by ID, as often as there are any." placeholder:"ID" sep:"none"`
	Zone   string   `help:"All servers of zone Z, in place of --node." placeholder:"Z"`
	Tenant []string `help:"A clinic group T, again for more; *: all." placeholder:"T" sep:"none" required:""`
	From   string   `help:"When the traffic begins to leave: RFC 3339, or +30m." placeholder:"TIME" required:""`
	To     string   `help:"When all of it is back: RFC 3339, or +3h from now." placeholder:"TIME" required:""`
	Pace   float64  `help:"The part of a server's keys that moves in a second at the most; 0: 0.01." default:"0"`
}

// body returns the body of the call.
func (w windowFlags) body(now time.Time) (string, error) {
	request := protocol.WindowRequest{Nodes: w.Node, Zone: w.Zone, Tenants: w.Tenant, Pace: w.Pace}
	if len(w.Node) > 0 == (w.Zone != "") {
		return "", errNodesOrZone
	}
	var err error
	if request.From, err = parseTime(w.From, now); err != nil {
		return "", fmt.Errorf("--from: %w", err)
	}
	if request.To, err = parseTime(w.To, now); err != nil {
		return "", fmt.Errorf("--to: %w", err)
	}
	raw, err := json.Marshal(request)
	return string(raw), err
}

// parseTime parses a time, or with a plus sign how long after now it is.
func parseTime(text string, now time.Time) (time.Time, error) {
	if after, relative := strings.CutPrefix(text, "+"); relative {
		d, err := time.ParseDuration(after)
		return now.Add(d), err
	}
	return time.Parse(time.RFC3339, text)
}

type windowAskCommand struct {
	windowFlags
	ID   string        `help:"A name for this call, by which it can be made again; empty: a new one."`
	Wait time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run requests a window, and waits. Where it can't be known what became of it, the error names the id with
// which the same call can be made again.
func (c windowAskCommand) Run() error {
	body, err := c.body(time.Now())
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	o, err := c.planWindow("/ops/fleet/windows/ask?id="+url.QueryEscape(c.ID), body)
	if err != nil {
		return err
	}
	if err := c.awaitWindow(&o, c.ID, c.Wait); err != nil {
		return err
	}
	switch o.Status {
	case policy.StatusAccepted.String():
		fmt.Printf("taken: window %s", c.ID)
		if w := o.Window; w != nil {
			fmt.Printf(", from %s, all moved at %s, back from %s to %s", formatTime(w.From), formatTime(w.DrainedAt),
				formatTime(w.ReturnFrom), formatTime(w.To))
		}
		fmt.Println()
		return nil
	case policy.StatusRejected.String():
		return errors.New(o.rejection())
	}
	return fmt.Errorf("not known yet: ask again with --id %s", c.ID)
}

// planWindow has an agent plan a window, again while a policy is taking effect there.
func (c opsClient) planWindow(path, body string) (o windowOutcome, err error) {
	for until := time.Now().Add(opsTimeout); ; time.Sleep(outcomePollInterval) {
		o = windowOutcome{}
		err = c.call(http.MethodPost, path, body, &o)
		if err != nil || o.Reason != reasonPolicyChanging || time.Now().After(until) {
			return o, err
		}
	}
}

// awaitWindow waits until it is known what became of a request.
func (c opsClient) awaitWindow(o *windowOutcome, id string, wait time.Duration) error {
	path := "/ops/fleet/windows/outcome?id=" + url.QueryEscape(id)
	unknown := policy.StatusUnknown.String()
	for until := time.Now().Add(wait); o.Status == unknown && time.Now().Before(until); {
		time.Sleep(outcomePollInterval)
		if err := c.call(http.MethodGet, path, "", o); err != nil {
			return err
		}
	}
	return nil
}

type windowCheckCommand struct{ windowFlags }

// Run tells whether a window would fit.
func (c windowCheckCommand) Run() error {
	body, err := c.body(time.Now())
	if err != nil {
		return err
	}
	o, err := c.planWindow("/ops/fleet/windows/check", body)
	if err != nil {
		return err
	}
	if o.Status != statusFits || o.Window == nil {
		return errors.New(strings.Replace(o.rejection(), "not taken", "does not fit", 1))
	}
	fmt.Printf("fits: all moved at %s, back from %s to %s\n", formatTime(o.Window.DrainedAt),
		formatTime(o.Window.ReturnFrom), formatTime(o.Window.To))
	return nil
}

type windowListCommand struct {
	opsClient
	JSON bool `help:"Write it as JSON."`
}

// Run prints the windows.
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

type windowStopCommand struct {
	opsClient
	ID   string        `arg:"" help:"The window."`
	Wait time.Duration `help:"How long to wait until it is known." default:"30s"`
}

// Run ends a window early, and waits until that is agreed.
func (c windowStopCommand) Run() error {
	path := "/ops/fleet/windows/stop?id=" + url.QueryEscape(c.ID)
	var o windowOutcome
	for until := time.Now().Add(c.Wait); ; time.Sleep(outcomePollInterval) {
		if err := c.call(http.MethodPost, path, "", &o); err != nil {
			return err
		}
		if o.Status == policy.StatusAccepted.String() {
			fmt.Println("stopped: the traffic comes back")
			return nil
		}
		if o.Status == policy.StatusRejected.String() {
			return errors.New(o.rejection())
		}
		if time.Now().After(until) {
			return errWindowUnknown
		}
	}
}
