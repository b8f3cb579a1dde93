package report

import (
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"slices"

	"dunestep/internal/rehearsal/judge"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// A pageTable is a table in the form that the page's template reads.
type pageTable struct {
	Title string
	Head  []string
	Rows  [][]string
}

// HTML writes the report as a self-contained page of tables and plots, without scripts.
func (r *Report) HTML(w io.Writer) error {
	figures, err := r.figures()
	if err != nil {
		return err
	}
	data := struct {
		*Report
		Outcome, WithoutWords string
		Figures               []figure
		Tables                []pageTable
	}{Report: r, Outcome: r.Outcome(), WithoutWords: r.withoutText(), Figures: figures}
	for _, t := range r.tables() {
		data.Tables = append(data.Tables, pageTable{t.title, t.head, t.rows})
	}
	return page.Execute(w, data)
}

// kthLargest returns the mean utilization of the kth busiest server.
func kthLargest(servers []judge.ServerSummary, k int) float64 {
	sorted := slices.SortedFunc(slices.Values(servers), func(a, b judge.ServerSummary) int {
		return cmp.Compare(b.MeanBusy, a.MeanBusy)
	})
	return sorted[k-1].MeanBusy
}
