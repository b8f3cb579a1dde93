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

// policyCommands query and propose policies through a running agent's operators' socket. Check needs no
// agent.
type policyCommands struct {
	Check   policyCheckCommand   `cmd:"" help:"Check a document, also against an agent's settings."`
	Propose policyProposeCommand `cmd:"" help:"Propose a document to the fleet, and wait for the outcome."`
	Show    policyShowCommand    `cmd:"" help:"Show the document in force, or that of a version."`
	History policyHistoryCommand `cmd:"" help:"Show the stored versions, and the outcomes of calls."`
	Back    policyBackCommand    `cmd:"" help:"Propose an earlier version's document again."`
}

// errNoDocument means that version 0 was named, in which only the settings apply.
var errNoDocument = errors.New("version 0 has no document: propose one that has only its format")

// maxClockDifference is the largest difference between two machines' clocks that leases allow for.
const maxClockDifference = 200 * time.Millisecond

type policyCheckCommand struct {
	File   string `arg:"" help:"The document." type:"path"`
	Config string `help:"Check it also against the settings of this FILE." placeholder:"FILE" env:"LB_CONFIG"`
}

// Run checks the document. The error has its problems.
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

// checkPolicy checks a document against the settings in a configuration and an operator file.
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
	ID     string        `help:"Idempotency key of this call, to repeat it with; empty: a new one."`
	Within time.Duration `help:"Time until it takes effect." default:"1s"`
	Wait   time.Duration `help:"How long to wait for the outcome." default:"30s"`
}

// Run proposes the document.
func (c policyProposeCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.propose(string(text))
}

// propose proposes a document, and waits until it is in force. If the outcome is not known in time, the error
// has the id with which the same call can be repeated.
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
			"taken: version %d is in force everywhere from %s on\n",
			o.Version,
			o.EffectiveAt.Format(time.RFC3339Nano),
		)
		time.Sleep(min(time.Until(o.EffectiveAt)+maxClockDifference, c.Wait)) // the command's caller can rely on it
		return nil
	case policy.StatusRejected.String():
		return fmt.Errorf("not taken: %s", o.Reason)
	}
	return fmt.Errorf("not known yet: repeat the call with --id %s", c.ID)
}

type policyShowCommand struct {
	opsClient
	Version string `arg:"" optional:"" help:"A version's number; empty: the version in force."`
}

// Run prints a document. For the one in force, it also prints the mode in which the agent applies it.
func (c policyShowCommand) Run() error {
	number := c.Version
	if number == "" {
		var s policyState
		if err := c.call(http.MethodGet, "/ops/fleet/policy", "", &s); err != nil {
			return err
		}
		fmt.Printf("# applied: %s of version %d\n", s.Mode, s.Version)
		if s.InForce.Number == 0 {
			fmt.Println("# version 0: only the settings apply")
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

// policyDocument returns a version's document.
func (c opsClient) policyDocument(number string) (text string, err error) {
	err = c.call(http.MethodGet, "/ops/fleet/policy/document?version="+url.QueryEscape(number), "", &text)
	return text, err
}

type policyHistoryCommand struct {
	opsClient
	JSON bool `help:"Print JSON."`
}

// Run prints the versions and the outcomes of proposals.
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
	Version uint64        `arg:"" help:"The version whose document is proposed again."`
	Within  time.Duration `help:"Time until it takes effect." default:"1s"`
	Wait    time.Duration `help:"How long to wait for the outcome." default:"30s"`
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
