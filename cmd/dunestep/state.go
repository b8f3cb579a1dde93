package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/state"
)

// stateCommands look into the files that are kept over a restart. They only read, also beside a running
// agent.
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

type stateFile struct {
	File string `arg:"" help:"The file: state-a or state-b in the folder." type:"path"`
}

// read reads the file whole, or tells why not.
func (s stateFile) read() (*state.File, int, error) {
	f, err := os.Open(s.File)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, state.MaxFileBytes+1))
	if err != nil {
		return nil, 0, err
	}
	file, err := state.Decode(raw)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", s.File, err)
	}
	return file, len(raw), nil
}

// Run says whose the file is, or what is wrong with it.
func (s checkState) Run() error {
	f, length, err := s.read()
	if err != nil {
		return err
	}
	fmt.Printf("whole: format %d, %d bytes, generation %d, of %q in %q, written %s\n", f.Format, length,
		f.Generation, f.Owner.Agent, f.Owner.Deployment, time.UnixMilli(f.WrittenMS).UTC().Format(time.RFC3339))
	for _, one := range f.SkippedSections {
		fmt.Println("not known here:", one)
	}
	return nil
}

// Run writes all of it.
func (s exportState) Run() error {
	f, _, err := s.read()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(f)
}

// Run shows what matters of it to people.
func (s showState) Run() error {
	if err := checkState(s).Run(); err != nil {
		return err
	}
	f, _, err := s.read()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	known := map[string]*balancer.ServerSnapshot{}
	if m := f.Balancer; m != nil {
		fmt.Fprintf(w, "\nmodule\tmean answer %.0f ms\tfailing %.1f%%\tsent %.1f/s\n", 1000*m.MeanLatency,
			100*m.FailureRatio, m.SendRate)
		for _, k := range m.Kinds {
			fmt.Fprintf(w, "kind %s\tquick %.0f ms\tof %.0f answers\t\n", k.Name, 1000*k.BaselineLatency.Latency, k.BaselineLatency.Samples)
		}
		for i := range m.Servers {
			known[m.Servers[i].ID] = &m.Servers[i]
		}
		fmt.Fprintf(w, "blamed keys\t%d\t\t\n", len(m.BlamedKeys))
	}
	if l := f.List; l != nil {
		confirmed := "never"
		if l.ConfirmedMS > 0 {
			confirmed = time.UnixMilli(l.ConfirmedMS).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "list\tversion %d\t%d servers\tconfirmed %s\n\n", l.Version, len(l.Endpoints), confirmed)
		for _, s := range l.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s %s\t%s\n", s.ID, s.Addr, s.Zone, s.MachineKind, standing(s, known[s.ID]))
		}
	}
	return w.Flush()
}

// standing says in words what was known of a server.
func standing(s state.StoredEndpoint, m *balancer.ServerSnapshot) string {
	var words []string
	if s.State == balancer.Draining {
		words = append(words, "leaving")
	}
	if m == nil {
		return strings.Join(append(words, "nothing known"), ", ")
	}
	if m.Latency > 0 {
		words = append(words, fmt.Sprintf("%.0f ms", 1000*m.Latency))
	}
	if m.Outlier.Ejected {
		words = append(words, "down: "+m.Outlier.Reason)
	}
	if m.DampedFor > 0 {
		words = append(words, fmt.Sprintf("damped for %v", m.DampedFor.Round(time.Second)))
	}
	if m.RecoveredAgo > 0 {
		words = append(words, "cold")
	}
	return strings.Join(words, ", ")
}
