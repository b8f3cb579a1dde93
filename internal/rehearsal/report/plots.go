package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"dunestep/internal/rehearsal/judge"
)

// A figure is a plot on the page, with an explanation for the reader.
type figure struct {
	Title, Text string
	SVG         template.HTML
}

// Colors that are distinguishable with color blindness (after Okabe and Ito).
var (
	blue    = color.RGBA{0, 114, 178, 255}
	orange  = color.RGBA{230, 159, 0, 255}
	green   = color.RGBA{0, 158, 115, 255}
	red     = color.RGBA{213, 94, 0, 255}
	violet  = color.RGBA{204, 121, 167, 255}
	sky     = color.RGBA{86, 180, 233, 255}
	grey    = color.RGBA{120, 120, 120, 255}
	shading = color.NRGBA{213, 94, 0, 34}
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	maxPoints  = 600 // points of a line; longer runs combine several seconds into a point
	maxTicks   = 14
	headroom   = 1.35
	serviceTop = 1.3
)

// A line is a series plotted over the seconds of the run.
type line struct {
	name  string
	color color.Color
	value func(s []judge.Second) (y float64, ok bool) // value of a point from the seconds that it covers
}

// mean returns a line function that averages a figure.
func mean(of func(s *judge.Second) float64) func([]judge.Second) (float64, bool) {
	return func(seconds []judge.Second) (float64, bool) {
		sum := 0.0
		for i := range seconds {
			sum += of(&seconds[i])
		}
		return sum / float64(len(seconds)), true
	}
}

// count returns a line function that averages a count per second.
func count(of func(s *judge.Second) int) func([]judge.Second) (float64, bool) {
	return mean(func(s *judge.Second) float64 { return float64(of(s)) })
}

// ratio returns a line function of the ratio of two figures.
func ratio(of, over func(s *judge.Second) float64) func([]judge.Second) (float64, bool) {
	return func(seconds []judge.Second) (float64, bool) {
		a, _ := mean(of)(seconds)
		b, _ := mean(over)(seconds)
		return a / max(b, 1e-9), b > 0
	}
}

// figures draws the plots.
func (r *Report) figures() ([]figure, error) {
	var all []figure
	for _, draw := range []func() (figure, error){
		r.serviceFigure, r.answersFigure, r.workFigure, r.loadFigure, r.attemptsFigure, r.chainsFigure,
		r.latencyFigure, r.connectionsFigure,
	} {
		f, err := draw()
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", f.Title, err)
		}
		all = append(all, f)
	}
	return all, nil
}

func (r *Report) serviceFigure() (figure, error) {
	worth := func(s *judge.Second) float64 { return s.RequestedWorth }
	served := func(s *judge.Second) float64 { return s.ServedWorth }
	return r.overTime(figure{
		Title: "Service over time",
		Text:  "The part of the worth asked for in a second that was answered in time. Troubles are shaded.",
	},
		"service", serviceTop, line{"service", blue, ratio(served, worth)})
}

func (r *Report) answersFigure() (figure, error) {
	return r.overTime(figure{
		Title: "Answers, refusals and retries",
		Text:  "What went back in each second, and the clients' retries that came.",
	}, "a second", 0,
		line{"in time", green, count(func(s *judge.Second) int { return s.InTime })},
		line{"served late", orange, count(func(s *judge.Second) int { return s.Late })},
		line{"refused", violet, count(func(s *judge.Second) int { return s.Refused })},
		line{"failed", red, count(func(s *judge.Second) int { return s.Failed })},
		line{"no answer", grey, count(func(s *judge.Second) int { return s.Unanswered })},
		line{"clients' retries", sky, count(func(s *judge.Second) int { return s.Retries })})
}

func (r *Report) workFigure() (figure, error) {
	return r.overTime(figure{
		Title: "Work that reached the booking servers",
		Text: "In seconds of standard work a second, beside what the servers could do. Where first tries alone " +
			"would fit and all together do not, repeats keep the trouble alive.",
	}, "work a second", 0,
		line{"capacity", grey, mean(func(s *judge.Second) float64 { return s.Capacity })},
		line{"first tries", blue, mean(func(s *judge.Second) float64 { return s.WorkFirst })},
		line{
			"with clients' retries", sky,
			mean(func(s *judge.Second) float64 { return s.WorkFirst + s.WorkRetry }),
		},
		line{
			"and what agents sent again", red,
			mean(func(s *judge.Second) float64 { return s.WorkFirst + s.WorkRetry + s.WorkAgain }),
		})
}

func (r *Report) attemptsFigure() (figure, error) {
	sends := func(s *judge.Second) float64 { return float64(s.Sends) }
	firsts := func(s *judge.Second) float64 { return float64(s.FirstTries) }
	return r.overTime(figure{
		Title: "Attempts for each request",
		Text:  "Sends to booking servers for each first try, the clients' retries' among them.",
	},
		"sends for each first try", 0, line{"sends for each first try", blue, ratio(sends, firsts)})
}

func (r *Report) latencyFigure() (figure, error) {
	latency := func(of func(s *judge.Second) float64) func([]judge.Second) (float64, bool) {
		return func(seconds []judge.Second) (float64, bool) {
			highest := 0.0
			for i := range seconds {
				highest = max(highest, of(&seconds[i]))
			}
			return highest, highest > 0
		}
	}
	return r.overTime(figure{Title: "Latencies", Text: "Of served answers, from the first try on."}, "ms", 0,
		line{"median", blue, latency(func(s *judge.Second) float64 { return s.P50MS })},
		line{"99 of 100", red, latency(func(s *judge.Second) float64 { return s.P99MS })})
}

func (r *Report) connectionsFigure() (figure, error) {
	return r.overTime(figure{
		Title: "Connections to booking servers",
		Text:  "Open ones, and new ones in each second.",
	}, "connections", 0,
		line{"open", blue, count(func(s *judge.Second) int { return s.Conns })},
		line{"new", red, count(func(s *judge.Second) int { return s.Opened })})
}

// lastedSeconds returns the full seconds that the run lasted, at least one.
func (r *Report) lastedSeconds() []judge.Second {
	return r.Seconds[:min(max(int(r.LastedS), 1), len(r.Seconds))]
}

// overTime draws lines over the seconds of the run, with its faults shaded.
func (r *Report) overTime(f figure, unit string, top float64, lines ...line) (figure, error) {
	seconds := r.lastedSeconds()
	step := (len(seconds) + maxPoints - 1) / maxPoints
	p := newPlot("second of the day", unit)
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(len(seconds)), 0
	p.Add(plotter.NewGrid(), faultBands{r.Faults})
	for _, l := range lines {
		var points plotter.XYs
		for at := 0; at < len(seconds); at += step {
			if y, ok := l.value(seconds[at:min(at+step, len(seconds))]); ok {
				points = append(points, plotter.XY{X: float64(at) + 0.5*float64(step), Y: y})
			}
		}
		if len(points) == 0 {
			continue // the line has no data
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return f, err
		}
		drawn.Color, drawn.Width = l.color, vg.Points(1.3)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	// Leaves room for names and legend above the lines.
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max*headroom, 0.1)
	if top > 0 {
		p.Y.Max = top
	}
	return f.render(p, plotHeight)
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = 9, 9
	p.Legend.Top, p.Legend.TextStyle.Font.Size = true, 8
	p.X.Tick.Marker = plot.TickerFunc(secondTicks)
	return p
}

// secondTicks returns about ten ticks at multiples of a round number of seconds.
func secondTicks(from, to float64) (ticks []plot.Tick) {
	step := 1.0
	for _, next := range []float64{2, 5, 10, 30, 60, 300, 600, 1800, 3600, 7200} {
		if (to-from)/step > maxTicks {
			step = next
		}
	}
	for at := math.Ceil(from/step) * step; at <= to; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: strconv.Itoa(int(at))})
	}
	return ticks
}

// faultBands is a plotter that shades and labels the times of the faults.
type faultBands struct{ faults []judge.FaultReport }

// Plot implements plot.Plotter.
func (b faultBands) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := p.X.Tick.Label
	style.Font.Size, style.XAlign, style.YAlign, style.Color = 8, draw.XLeft, draw.YTop, grey
	for i, s := range b.faults {
		end := s.EndedS
		if end < 0 || end > p.X.Max {
			end = p.X.Max
		}
		left, right := x(s.BeganS), x(end)
		c.FillPolygon(shading, []vg.Point{
			{X: left, Y: c.Min.Y},
			{X: right, Y: c.Min.Y},
			{X: right, Y: c.Max.Y},
			{X: left, Y: c.Max.Y},
		})
		const rowsOfNames, rowHeight = 4, 9
		top := c.Max.Y - vg.Length(i%rowsOfNames*rowHeight)
		c.FillText(style, vg.Point{X: left + 1, Y: top}, strings.ReplaceAll(s.Kind, "_", " "))
	}
}

// A loadGrid is the load of servers over time in the form that the heat map reads.
type loadGrid struct {
	rows  []judge.ServerSummary
	width int
	step  int
}

func (h loadGrid) Dims() (c, r int) { return h.width, len(h.rows) }
func (h loadGrid) X(c int) float64  { return (float64(c) + 0.5) * float64(h.step) }
func (h loadGrid) Y(r int) float64  { return float64(r) }
func (h loadGrid) Z(c, r int) float64 {
	if busy := h.rows[r].Busy; c < len(busy) {
		return float64(busy[c])
	}
	return -1
}

const (
	maxRows   = 80 // servers on the heat map
	rowHeight = 0.32 * vg.Centimeter
)

// loadFigure draws the load of each server, or of the busiest ones of a large fleet.
func (r *Report) loadFigure() (figure, error) {
	f := figure{
		Title: "Load of each booking server",
		Text:  "How busy each was, from light (idle) to dark (all of its time). Blank: it did not run.",
	}
	rows := r.Servers
	if len(rows) > maxRows {
		rows = busiestServers(rows, maxRows)
		f.Text += fmt.Sprintf(" Of %d servers the %d that were busiest.", len(r.Servers), maxRows)
	}
	h := loadGrid{rows: rows, step: r.StepS}
	names := make([]string, len(rows))
	for i, s := range rows {
		h.width = max(h.width, len(s.Busy))
		names[i] = s.ID
	}
	if h.width < 2 || len(rows) < 2 { // the heat map needs at least two columns and two rows
		f.Text = "Too short a day, or too few servers, to draw."
		return f, nil
	}
	p := newPlot("second of the day", "")
	m := plotter.NewHeatMap(h, blues{})
	m.Min, m.Max = 0, 1
	m.Underflow, m.Overflow = color.White, blues{}.Colors()[blueSteps-1]
	m.Rasterized = true
	p.Add(m)
	p.NominalY(names...)
	p.Y.Tick.Label.Font.Size = 6
	return f.render(p, 2*vg.Centimeter+rowHeight*vg.Length(len(rows)))
}

// busiestServers returns the n servers with the highest mean utilization, in their original order.
func busiestServers(servers []judge.ServerSummary, n int) []judge.ServerSummary {
	threshold := kthLargest(servers, n)
	var rows []judge.ServerSummary
	for _, s := range servers {
		if s.MeanBusy >= threshold && len(rows) < n {
			rows = append(rows, s)
		}
	}
	return rows
}

// blues is a palette from white to dark blue.
type blues struct{}

const blueSteps = 64

// Colors implements palette.Palette.
func (blues) Colors() []color.Color {
	all := make([]color.Color, blueSteps)
	for i := range all {
		t := float64(i) / (blueSteps - 1)
		all[i] = color.RGBA{uint8(235 - 227*t), uint8(242 - 194*t), uint8(250 - 143*t), 255}
	}
	return all
}

// chainsFigure draws the distribution of tries and attempts per client request.
func (r *Report) chainsFigure() (figure, error) {
	f := figure{Title: "First tries, by how many tries and sends they came to"}
	p := newPlot("", "part of the first tries")
	labels := make([]string, len(r.Tries))
	total := 0
	for n := range labels {
		labels[n] = countLabel(n, len(r.Tries))
		total += r.Tries[n]
	}
	width := vg.Points(12)
	for i, bars := range []struct {
		name  string
		of    []int
		color color.Color
	}{{"tries", r.Tries, sky}, {"sends", r.Sends, blue}} {
		values := make(plotter.Values, len(bars.of))
		for n, v := range bars.of {
			values[n] = float64(v) / float64(max(total, 1))
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return f, err
		}
		chart.Color, chart.Offset = bars.color, width*vg.Length(2*i-1)/2
		chart.LineStyle.Width = 0
		p.Add(chart)
		p.Legend.Add(bars.name, chart)
	}
	p.NominalX(labels...)
	return f.render(p, plotHeight)
}

// of renders the plot into the figure as an SVG element without a file header.
func (f figure) render(p *plot.Plot, height vg.Length) (figure, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return f, err
	}
	svg := b.String()
	f.SVG = template.HTML(svg[strings.Index(svg, "<svg"):]) // safe: made of numbers and validated names only
	return f, nil
}
