package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const tableHead = "day\trun\tgate: BASE\tnow\tservice: BASE\tnow\tfloor\tbreaches: BASE\tnow\t" +
	"difference\tspread\tbeyond it"

// writeTable prints a line for each day.
func writeTable(w io.Writer, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, tableHead)
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t", r.name, r.mode)
		for side, outcomes := range r.outcomes {
			_, _ = fmt.Fprintf(t, "%d of %d\t", r.passed(side), len(outcomes))
		}
		_, _ = fmt.Fprintf(t, "%.3f\t%.3f\t%.2f\t", r.service(0), r.service(1), r.floor)
		_, _ = fmt.Fprintf(t, "%d\t%d\t", r.breaches(0), r.breaches(1))
		beyond := "no"
		if r.isBeyondSpread() {
			beyond = "yes"
		}
		_, _ = fmt.Fprintf(t, "%+.3f\t%.3f\t%s\n", r.difference(), r.spread(), beyond)
	}
	return t.Flush()
}

// writeVerdict prints what is wrong with the work tree, or that nothing is.
func writeVerdict(w io.Writer, rows []row) error {
	lines := findings(rows)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, "REGRESSION", line); err != nil {
			return err
		}
	}
	if len(lines) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, "NO REGRESSION")
	return err
}
