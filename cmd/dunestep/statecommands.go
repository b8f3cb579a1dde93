package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/state"
)

// stateCommands read files of the state folder, also beside a running agent. They write nothing.
type stateCommands struct {
	Show   showState   `cmd:"" help:"Show what a state file holds."`
	Check  checkState  `cmd:"" help:"Check that a state file is whole, and say whose it is."`
	Export exportState `cmd:"" help:"Write what a state file holds as JSON."`
}

type (
	showState   struct{ stateFile }
	checkState  struct{ stateFile }
	exportState struct{ stateFile }
)

// stateFile is the file that a command is given.
type stateFile struct {
	File string `arg:"" help:"The file: state-a or state-b in the folder." type:"path"`
}

// read reads the file, and returns its length in bytes too.
func (s stateFile) read() (*state.File, int, error) {
	raw, err := readBounded(s.File, state.MaxFileBytes+1)
	if err != nil {
		return nil, 0, err
	}
	file, err := state.Decode(raw)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", s.File, err)
	}
	return file, len(raw), nil
}

// Run prints whose the file is, or returns what is wrong with it.
func (s checkState) Run() error {
	f, length, err := s.read()
	if err != nil {
		return err
	}
	fmt.Printf("whole: format %d, %d bytes, generation %d, of %q in %q, written %s\n", f.Format, length,
		f.Generation, f.Owner.Agent, f.Owner.Deployment, time.UnixMilli(f.WrittenMS).UTC().Format(time.RFC3339))
	for _, skipped := range f.SkippedSections {
		fmt.Println("not known here:", skipped)
	}
	return nil
}

// Run prints all of the file as JSON.
func (s exportState) Run() error {
	f, _, err := s.read()
	if err != nil {
		return err
	}
	return printJSON(f)
}

// Run prints what matters of the file to people.
func (s showState) Run() error {
	if err := checkState(s).Run(); err != nil {
		return err
	}
	f, _, err := s.read()
	if err != nil {
		return err
	}
	t := newTable(os.Stdout)
	learned := map[string]*balancer.ServerSnapshot{}
	if b := f.Balancer; b != nil {
		t.row("\nmodule\tmean answer %.0f ms\tfailing %.1f%%\tsent %.1f/s", 1000*b.MeanLatency,
			100*b.FailureRatio, b.SendRate)
		for _, k := range b.Kinds {
			t.row("kind %s\tquick %.0f ms\tof %.0f answers\t", k.Name, 1000*k.BaselineLatency.Latency,
				k.BaselineLatency.Samples)
		}
		for i := range b.Servers {
			learned[b.Servers[i].ID] = &b.Servers[i]
		}
		t.row("blamed keys\t%d\t\t", len(b.BlamedKeys))
	}
	if l := f.List; l != nil {
		confirmed := "never"
		if l.ConfirmedMS > 0 {
			confirmed = time.UnixMilli(l.ConfirmedMS).UTC().Format(time.RFC3339)
		}
		t.row("list\tversion %d\t%d servers\tconfirmed %s\n", l.Version, len(l.Endpoints), confirmed)
		for _, e := range l.Endpoints {
			t.row("%s\t%s\t%s %s\t%s", e.ID, e.Addr, e.Zone, e.MachineKind, describeEndpoint(e, learned[e.ID]))
		}
	}
	return t.flush()
}

// describeEndpoint describes what was learned of an endpoint; nil: nothing.
func describeEndpoint(e state.StoredEndpoint, learned *balancer.ServerSnapshot) string {
	var words []string
	if e.State == balancer.Draining {
		words = append(words, "leaving")
	}
	if learned == nil {
		return strings.Join(append(words, "nothing known"), ", ")
	}
	if learned.Latency > 0 {
		words = append(words, fmt.Sprintf("%.0f ms", 1000*learned.Latency))
	}
	if learned.Outlier.Ejected {
		words = append(words, "down: "+learned.Outlier.Reason)
	}
	if learned.DampedFor > 0 {
		words = append(words, fmt.Sprintf("damped for %v", learned.DampedFor.Round(time.Second)))
	}
	if learned.RecoveredAgo > 0 {
		words = append(words, "cold")
	}
	return strings.Join(words, ", ")
}
