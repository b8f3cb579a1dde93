package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
)

// columnGap is how many blanks stand between columns.
const columnGap = 2

// table prints rows with aligned columns, which tabs separate. The first error is flush's.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(to io.Writer) *table {
	return &table{w: tabwriter.NewWriter(to, 0, 0, columnGap, ' ', 0)}
}

// row prints a row.
func (t *table) row(format string, args ...any) {
	if _, err := fmt.Fprintf(t.w, format+"\n", args...); err != nil && t.err == nil {
		t.err = err
	}
}

// flush prints what is buffered, and returns the first error.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// printJSON prints a value as JSON that people can read.
func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// formatTime formats a time for people.
func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
