package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// opsTimeout bounds a call at an agent's operators' socket.
	opsTimeout = 3 * time.Second
	// outcomePollInterval is how often a command polls the outcome of a proposal.
	outcomePollInterval = 100 * time.Millisecond
)

// errNoFleet means that the called agent is not in a fleet.
var errNoFleet = errors.New("the agent is not in a fleet: [fleet] is off in its operator file")

// opsClient calls a running agent at its operators' socket.
type opsClient struct {
	Ops string `help:"Address ADDR of an agent's operators' socket." placeholder:"ADDR" env:"LB_OPS" required:""`
}

// call makes a call, whose path may have a query, and decodes the JSON response into the value that into
// points to. A response with an error status becomes an error with its text, or errNoFleet.
func (c opsClient) call(method, path, body string, into any) error {
	u := url.URL{Scheme: "http", Host: c.Ops}
	u.Path, u.RawQuery, _ = strings.Cut(path, "?")
	r, err := http.NewRequest(method, u.String(), strings.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: opsTimeout}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes))
	if err != nil {
		return fmt.Errorf("cannot read the response of %s: %w", u.String(), err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		if resp.StatusCode == http.StatusNotFound && len(raw) == 0 || strings.HasPrefix(string(raw), "Not Found") {
			return errNoFleet
		}
		return errors.New(strings.TrimSpace(string(raw)))
	}
	return json.Unmarshal(raw, into)
}
