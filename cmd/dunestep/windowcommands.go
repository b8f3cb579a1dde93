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

// windowCommands query and request maintenance windows through a running agent's operators' socket.
type windowCommands struct {
	Ask   windowAskCommand   `cmd:"" help:"Request a window, in which nodes get no requests of tenants."`
	Check windowCheckCommand `cmd:"" help:"Check whether a window would fit, or when it would next."`
	List  windowListCommand  `cmd:"" help:"Show the windows with their progress, and rejected calls."`
	Stop  windowStopCommand  `cmd:"" help:"End a window early: the traffic returns at the window's pace."`
}

var (
	errNodesOrZone   = errors.New("name servers with --node, or a zone with --zone, not both")
	errWindowUnknown = errors.New("not known yet: repeat the call")
)

// windowFlags are the flags of a request for a window.
type windowFlags struct {
	opsClient
	Node   []string `help:"A server's ID; may be repeated." placeholder:"ID" sep:"none"`
	Zone   string   `help:"All servers of zone Z, instead of --node." placeholder:"Z"`
	Tenant []string `help:"Tenant T; may be repeated; *: all." placeholder:"T" sep:"none" required:""`
	From   string   `help:"When traffic begins to move away: RFC 3339, or +30m." placeholder:"TIME" required:""`
	To     string   `help:"When all traffic is back: RFC 3339, or +3h from now." placeholder:"TIME" required:""`
	Pace   float64  `help:"Maximum fraction of a server's keys that moves per second; 0: 0.01." default:"0"`
}

// body returns the call's body. Relative times count from now.
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

// parseTime parses a time in RFC 3339, or, after a plus sign, a duration from now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if after, relative := strings.CutPrefix(text, "+"); relative {
		d, err := time.ParseDuration(after)
		return now.Add(d), err
	}
	return time.Parse(time.RFC3339, text)
}

type windowAskCommand struct {
	windowFlags
	ID   string        `help:"Idempotency key of this call, to repeat it with; empty: a new one."`
	Wait time.Duration `help:"How long to wait for the outcome." default:"30s"`
}

// Run requests a window, and waits for the outcome. If that is not known in time, the error has the id with
// which the same call can be repeated.
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
	return fmt.Errorf("not known yet: repeat the call with --id %s", c.ID)
}

// planWindow makes an agent plan a window. While a policy is taking effect there, it retries until
// opsTimeout.
func (c opsClient) planWindow(path, body string) (o windowOutcome, err error) {
	for until := time.Now().Add(opsTimeout); ; time.Sleep(outcomePollInterval) {
		o = windowOutcome{}
		err = c.call(http.MethodPost, path, body, &o)
		if err != nil || o.Reason != reasonPolicyChanging || time.Now().After(until) {
			return o, err
		}
	}
}

// awaitWindow polls the outcome of a request until it is known, or for the duration wait, and sets o to it.
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

// Run prints when a window would move traffic. If it does not fit, the error has the reason.
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
	JSON bool `help:"Print JSON."`
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
	ID   string        `arg:"" help:"The window's id."`
	Wait time.Duration `help:"How long to wait for the outcome." default:"30s"`
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
			fmt.Println("stopped: the traffic returns")
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
