package report

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"
)

// LoadRun is a run under a load, given as a multiple of the scenario's load.
type LoadRun struct {
	Load   float64
	Report *Report
}

// InsertLoad inserts a run into a list ordered by load.
func InsertLoad(all []LoadRun, a LoadRun) []LoadRun {
	i, _ := slices.BinarySearchFunc(all, a, func(x, y LoadRun) int { return cmp.Compare(x.Load, y.Load) })
	return slices.Insert(all, i, a)
}

// maxP99 returns the highest 99th latency percentile of the classes, in milliseconds.
func (a LoadRun) maxP99() (highest float64) {
	for _, c := range a.Report.Classes {
		highest = max(highest, c.Latency.P99MS)
	}
	return highest
}

// cpu returns the mean number of cores that an agent used in a live run, or the mean utilization of the
// upstream servers in a virtual-time run.
func (a LoadRun) cpu() float64 {
	if l := a.Report.Live; l != nil {
		sum := 0.0
		for _, u := range l.Measured.Agents {
			sum += u.CPUS
		}
		return sum / float64(max(len(l.Measured.Agents), 1)) / max(a.Report.LastedS, 1)
	}
	sum := 0.0
	for _, s := range a.Report.Servers {
		sum += s.MeanBusy
	}
	return sum / float64(max(len(a.Report.Servers), 1))
}

func cpuLabel(all []LoadRun) string {
	if len(all) > 0 && all[0].Report.Live != nil {
		return "cores of an agent"
	}
	return "servers busy"
}

// LoadsText writes runs under several loads as a text table.
func LoadsText(w io.Writer, highest float64, all []LoadRun) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "load\tservice\tp99\t%s\t\n", cpuLabel(all))
	for _, a := range all {
		fmt.Fprintf(t, "%.3f\t%.3f\t%s\t%.3f\t%s\n", a.Load, a.Report.Service, millis(a.maxP99()), a.cpu(),
			a.Report.Outcome())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "highest load that passes: %.3f times the scenario's\n", highest)
	return err
}

//go:embed loads.html
var loadsText string

var loadsPage = template.Must(template.New("loads").Parse(loadsText))

// LoadsHTML writes runs under several loads as an HTML page with plots of service, latency and CPU usage
// against load.
func LoadsHTML(w io.Writer, highest float64, all []LoadRun) error {
	figures := []figure{}
	for _, f := range []struct {
		title, axis string
		of          func(LoadRun) float64
	}{
		{"Service", "service", func(a LoadRun) float64 { return a.Report.Service }},
		{"99th percentile of the slowest class", "ms", LoadRun.maxP99},
		{"Processor time", cpuLabel(all), LoadRun.cpu},
	} {
		p := newPlot("load, in times the scenario's", f.axis)
		p.Y.Min = 0
		points := make(plotter.XYs, len(all))
		for i, a := range all {
			points[i] = plotter.XY{X: a.Load, Y: f.of(a)}
		}
		l, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		l.Color, dots.Color = blue, blue
		p.Add(plotter.NewGrid(), l, dots)
		drawn, err := figure{Title: f.title}.render(p, plotHeight)
		if err != nil {
			return err
		}
		figures = append(figures, drawn)
	}
	name := ""
	if len(all) > 0 {
		name = all[0].Report.Scenario
	}
	return loadsPage.Execute(w, struct {
		Name    string
		Highest float64
		Figures []figure
	}{name, highest, figures})
}
