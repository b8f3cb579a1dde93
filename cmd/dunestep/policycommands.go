package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"dunestep/internal/control/policy"
)

// policyCommands ask a running agent, at its operators' socket, about policies; check needs none.
type policyCommands struct {
	Check   policyCheckCommand   `cmd:"" help:"Check a document, also against an agent's settings."`
	Propose policyProposeCommand `cmd:"" help:"Propose a document to the fleet, and wait what becomes of it."`
	Show    policyShowCommand    `cmd:"" help:"Show what is in force, or a version's document."`
	History policyHistoryCommand `cmd:"" help:"Show the versions that are remembered, and what became of calls."`
	Back    policyBackCommand    `cmd:"" help:"Propose an earlier version's document anew."`
}

// errNoDocument means that version 0 was named, which stands for the settings alone.
var errNoDocument = errors.New("version 0 has no document: propose one that says nothing but its format")

// maxClockDifference is how far two machines' clocks may differ, as the leases have it.
const maxClockDifference = 200 * time.Millisecond

type policyCheckCommand struct {
	File   string `arg:"" help:"The document." type:"path"`
	Config string `help:"Check it against the settings of this FILE." placeholder:"FILE" env:"LB_CONFIG"`
}

// Run prints all that is wrong with the document, a line each.
func (c policyCheckCommand) Run(line *commandLine) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := policy.ParseDocument(c.File, text); err != nil {
		return err
	}
	if c.Config != "" {
		if err := checkPolicy(text, c.Config, line.Operator); err != nil {
			return err
		}
	}
	fmt.Println("the document can be used")
	return nil
}

// checkPolicy checks a document against the settings of files.
func checkPolicy(text []byte, configFile, operatorFile string) error {
	s, err := readSettings(configFile, operatorFile)
	if err != nil {
		return err
	}
	document, err := policy.AddZoneRules(text, time.Now())
	if err != nil {
		return err
	}
	return policy.CheckDocument(document, s.localPolicySettings())
}

type policyProposeCommand struct {
	opsClient
	File   string        `arg:"" help:"The document." type:"path"`
	ID     string        `help:"A name for this call, by which it can be made again; empty: a new one."`
	Within time.Duration `help:"How soon it is to take hold." default:"1s"`
	Wait   time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run proposes the document.
func (c policyProposeCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.propose(string(text))
}

// propose proposes a document, and waits until it is in force. Where it can't be known what became of it, the
// error names the id with which the same call can be made again.
func (c policyProposeCommand) propose(document string) error {
	if c.ID == "" {
		c.ID = rand.Text()
	}
	id := url.QueryEscape(c.ID)
	var o policyOutcome
	path := fmt.Sprintf("/ops/fleet/policy/propose?id=%s&within_ms=%d", id, c.Within.Milliseconds())
	if err := c.call(http.MethodPost, path, document, &o); err != nil {
		return err
	}
	unknown := policy.StatusUnknown.String()
	for until := time.Now().Add(c.Wait); o.Status == unknown && time.Now().Before(until); {
		time.Sleep(outcomePollInterval)
		if err := c.call(http.MethodGet, "/ops/fleet/policy/outcome?id="+id, "", &o); err != nil {
			return err
		}
	}
	switch o.Status {
	case policy.StatusAccepted.String():
		fmt.Printf(
			"taken: version %d holds everywhere from %s on\n",
			o.Version,
			o.EffectiveAt.Format(time.RFC3339Nano),
		)
		time.Sleep(min(time.Until(o.EffectiveAt)+maxClockDifference, c.Wait)) // what is done next is done under it
		return nil
	case policy.StatusRejected.String():
		return fmt.Errorf("not taken: %s", o.Reason)
	}
	return fmt.Errorf("not known yet: ask again with --id %s", c.ID)
}

type policyShowCommand struct {
	opsClient
	Version string `arg:"" optional:"" help:"A version's number; empty: what is in force."`
}

// Run prints a document; for the one in force, with the mode in which the agent goes by it.
func (c policyShowCommand) Run() error {
	number := c.Version
	if number == "" {
		var s policyState
		if err := c.call(http.MethodGet, "/ops/fleet/policy", "", &s); err != nil {
			return err
		}
		fmt.Printf("# acting: %s of version %d\n", s.Mode, s.Version)
		if s.InForce.Number == 0 {
			fmt.Println("# version 0: the settings as they are")
			return nil
		}
		number = strconv.FormatUint(s.InForce.Number, 10)
	}
	text, err := c.policyDocument(number)
	if err == nil {
		fmt.Print(text)
	}
	return err
}

// policyDocument returns the document of a version.
func (c opsClient) policyDocument(number string) (text string, err error) {
	err = c.call(http.MethodGet, "/ops/fleet/policy/document?version="+url.QueryEscape(number), "", &text)
	return text, err
}

type policyHistoryCommand struct {
	opsClient
	JSON bool `help:"Write it as JSON."`
}

// Run prints the versions and what became of proposals.
func (c policyHistoryCommand) Run() error {
	var s policyState
	if err := c.call(http.MethodGet, "/ops/fleet/policy", "", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	t := newTable(os.Stdout)
	version := func(state string, v policyVersion) {
		t.row("version %d\t%s\tfrom %s\tby agent %d\t%s", v.Number, state,
			v.EffectiveAt.Format(time.RFC3339), v.ProposedBy, v.ProposalID)
	}
	for _, v := range s.Past {
		version("past", v)
	}
	version("in force", s.InForce)
	if s.Open != nil {
		version("open", *s.Open)
	}
	for _, o := range s.Outcomes {
		t.row("call %s\t%s\tversion %d\t%s\t", o.ID, o.Status, o.Version, o.Reason)
	}
	return t.flush()
}

type policyBackCommand struct {
	opsClient
	Version uint64        `arg:"" help:"The version whose document is proposed anew."`
	Within  time.Duration `help:"How soon it is to take hold." default:"1s"`
	Wait    time.Duration `help:"How long to wait for what becomes of it." default:"30s"`
}

// Run proposes the document again, as a new version.
func (c policyBackCommand) Run() error {
	if c.Version == 0 {
		return errNoDocument
	}
	text, err := c.policyDocument(strconv.FormatUint(c.Version, 10))
	if err != nil {
		return err
	}
	return policyProposeCommand{opsClient: c.opsClient, Within: c.Within, Wait: c.Wait}.propose(text)
}
