package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/state"
)

// stateCommands inspect files of the state folder, which a running agent may use meanwhile. They write no
// files.
type stateCommands struct {
	Show   showState   `cmd:"" help:"Show a state file's content."`
	Check  checkState  `cmd:"" help:"Check that a state file is intact, and print its owner."`
	Export exportState `cmd:"" help:"Print a state file's content as JSON."`
}

type (
	showState   struct{ stateFile }
	checkState  struct{ stateFile }
	exportState struct{ stateFile }
)

// stateFile is the argument of a command: a state file.
type stateFile struct {
	File string `arg:"" help:"The file: state-a or state-b in the folder." type:"path"`
}

// read returns the decoded file and its length in bytes.
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

// Run prints the file's header, or returns why the file is not valid.
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

// Run prints the whole file as JSON.
func (s exportState) Run() error {
	f, _, err := s.read()
	if err != nil {
		return err
	}
	return printJSON(f)
}

// Run prints a summary of the file.
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

// describeEndpoint describes an endpoint's learned state; a nil learned means that there is none.
func describeEndpoint(e state.StoredEndpoint, learned *balancer.ServerSnapshot) string {
	var parts []string
	if e.State == balancer.Draining {
		parts = append(parts, "leaving")
	}
	if learned == nil {
		return strings.Join(append(parts, "nothing known"), ", ")
	}
	if learned.Latency > 0 {
		parts = append(parts, fmt.Sprintf("%.0f ms", 1000*learned.Latency))
	}
	if learned.Outlier.Ejected {
		parts = append(parts, "down: "+learned.Outlier.Reason)
	}
	if learned.DampedFor > 0 {
		parts = append(parts, fmt.Sprintf("damped for %v", learned.DampedFor.Round(time.Second)))
	}
	if learned.RecoveredAgo > 0 {
		parts = append(parts, "cold")
	}
	return strings.Join(parts, ", ")
}
