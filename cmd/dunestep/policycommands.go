package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"dunestep/internal/control/policy"
)

// policyCommands ask a running agent at its operators' door, but for check.
type policyCommands struct {
	Check   policyCheckCommand   `cmd:"" help:"Check a document, also against an agent's settings."`
	Propose policyProposeCommand `cmd:"" help:"Propose a document to the fleet, and wait what becomes of it."`
	Show    policyShowCommand    `cmd:"" help:"Show what is in force, or a version's document."`
	History policyHistoryCommand `cmd:"" help:"Show the versions that are remembered, and what became of calls."`
	Back    policyBackCommand    `cmd:"" help:"Propose an earlier version's document anew."`
}

type policyCheckCommand struct {
	File   string `arg:"" help:"The document." type:"path"`
	Config string `help:"Check it against the settings of this FILE." placeholder:"FILE" env:"LB_CONFIG"`
}

// Run tells all that is wrong, a line each.
func (c policyCheckCommand) Run(line *commandLine) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := policy.ParseDocument(c.File, text); err != nil {
		return err
	}
	if c.Config != "" {
		s, err := readSettings(c.Config, line.Operator)
		if err != nil {
			return err
		}
		whole, err := policy.AddZoneRules(text, time.Now())
		if err != nil {
			return err
		}
		if err := policy.CheckDocument(whole, s.policyOwn()); err != nil {
			return err
		}
	}
	fmt.Println("the document can be used")
	return nil
}

type policyProposeCommand struct {
	opsDoor
	File   string        `arg:"" help:"The document." type:"path"`
	ID     string        `help:"A name for this call, by which it can be made again; empty: a new one."`
	Within time.Duration `help:"How soon it is to take hold." default:"1s"`
	Wait   time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run proposes the file.
func (c policyProposeCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.propose(string(text))
}

// clocksApart is how far two machines' clocks may be apart, as the leases have it.
const clocksApart = 200 * time.Millisecond

// propose proposes a document and waits. Where it can't be known what became of it, it says so: the same
// call with the same name settles it.
func (c policyProposeCommand) propose(document string) error {
	if c.ID == "" {
		c.ID = rand.Text()
	}
	name := url.QueryEscape(c.ID)
	var o policyOutcome
	path := fmt.Sprintf("/ops/fleet/policy/propose?id=%s&within_ms=%d", name, c.Within.Milliseconds())
	if err := c.call(http.MethodPost, path, document, &o); err != nil {
		return err
	}
	for until := time.Now().Add(c.Wait); o.End == policy.StatusUnknown.String() && time.Now().Before(until); {
		time.Sleep(ticketEvery)
		if err := c.call(http.MethodGet, "/ops/fleet/policy/outcome?id="+name, "", &o); err != nil {
			return err
		}
	}
	switch o.End {
	case policy.StatusAccepted.String():
		fmt.Printf("taken: version %d holds everywhere from %s on\n", o.Version, o.By.Format(time.RFC3339Nano))
		time.Sleep(min(time.Until(o.By)+clocksApart, c.Wait)) // so that what is done next is done under it
		return nil
	case policy.StatusRejected.String():
		return fmt.Errorf("not taken: %s", o.Reason)
	}
	return fmt.Errorf("not known yet: ask again with --id %s", c.ID)
}

type policyShowCommand struct {
	opsDoor
	Version string `arg:"" optional:"" help:"A version's number; empty: what is in force."`
}

// Run shows a document, after who made it and when it took hold where it is the one in force.
func (c policyShowCommand) Run() error {
	number := c.Version
	if number == "" {
		var s policyState
		if err := c.call(http.MethodGet, "/ops/fleet/policy", "", &s); err != nil {
			return err
		}
		fmt.Printf("# acting: %s of version %d\n", s.Acting, s.Version)
		if s.Now.Number == 0 {
			fmt.Println("# version 0: the settings as they are")
			return nil
		}
		number = strconv.FormatUint(s.Now.Number, 10)
	}
	text, err := c.document(number)
	if err == nil {
		fmt.Print(text)
	}
	return err
}

func (d opsDoor) document(number string) (text string, err error) {
	err = d.call(http.MethodGet, "/ops/fleet/policy/document?version="+url.QueryEscape(number), "", &text)
	return text, err
}

type policyHistoryCommand struct {
	opsDoor
	JSON bool `help:"Write it as JSON."`
}

// Run shows the versions and the calls.
func (c policyHistoryCommand) Run() error {
	var s policyState
	if err := c.call(http.MethodGet, "/ops/fleet/policy", "", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(state string, v policyVersion) {
		fmt.Fprintf(w, "version %d\t%s\tfrom %s\tby agent %d\t%s\n", v.Number, state,
			v.By.Format(time.RFC3339), v.Who, v.ID)
	}
	for _, v := range s.Past {
		row("past", v)
	}
	row("in force", s.Now)
	if s.Open != nil {
		row("open", *s.Open)
	}
	for _, o := range s.Calls {
		fmt.Fprintf(w, "call %s\t%s\tversion %d\t%s\t\n", o.ID, o.End, o.Version, o.Reason)
	}
	return w.Flush()
}

type policyBackCommand struct {
	opsDoor
	Version uint64        `arg:"" help:"The version whose document is proposed anew."`
	Within  time.Duration `help:"How soon it is to take hold." default:"1s"`
	Wait    time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run proposes the document again: back is a new version.
func (c policyBackCommand) Run() error {
	if c.Version == 0 {
		return errors.New("version 0 has no document: propose one that says nothing but its format")
	}
	text, err := c.document(strconv.FormatUint(c.Version, 10))
	if err != nil {
		return err
	}
	return policyProposeCommand{opsDoor: c.opsDoor, Within: c.Within, Wait: c.Wait}.propose(text)
}
