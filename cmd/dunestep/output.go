package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// table prints rows of tab-separated columns, aligned. Errors are returned by flush.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(to io.Writer) *table {
	return &table{w: tabwriter.NewWriter(to, 0, 0, columnGap, ' ', 0)}
}

// row adds a row.
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

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// formatTime formats a time as RFC 3339 in UTC.
func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
