// Package compare computes the differences between the reports of two rehearsals, figure by figure, and
// whether each difference is significant given the noise between rounds.
package compare

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"dunestep/internal/rehearsal/report"
)

// Figure is one figure of a report.
type Figure struct {
	Name  string
	Value float64
}

// Figures returns the figures of a report that are compared.
func Figures(r *report.Report) []Figure {
	c := r.Counts
	per := func(n int) float64 { return float64(n) / float64(max(c.FirstTries, 1)) }
	breaches := 0
	for _, rule := range r.Rules {
		breaches += rule.Breaches
	}
	all := []Figure{
		{"service", r.Service},
		{"whole day", r.Parts.Whole},
		{"worst 10 s", r.Parts.WorstWindow},
		{"worst class", r.Parts.WorstClass},
		{"worst clinic group", r.Parts.WorstTenant},
		{"breaches of rules", float64(breaches)},
		{"answered in time, per first try", per(c.InTime)},
		{"refused, per first try", per(c.Refused)},
		{"failed, per first try", per(c.Failed)},
		{"clients' retries, per first try", per(c.Retries)},
		{"sends, per first try", per(c.Sends)},
		{"new connections, per first try", per(c.Opened)},
	}
	for _, g := range r.Classes {
		all = append(all, Figure{g.Name + " p50 ms", g.Latency.P50MS}, Figure{g.Name + " p99 ms", g.Latency.P99MS})
	}
	if r.Live == nil {
		return all
	}
	cpu, memory, descriptors := 0.0, 0.0, 0
	for _, a := range r.Live.Measured.Agents {
		cpu += a.CPUS
		memory, descriptors = max(memory, a.PeakMB), max(descriptors, a.Descriptors)
	}
	tries := max(c.FirstTries+c.Retries, 1)
	return append(all, Figure{"agents' processor time, us per try", cpu / float64(tries) * 1e6},
		Figure{"peak memory of an agent, MB", memory}, Figure{"peak descriptors of an agent", float64(descriptors)})
}

// Difference is the difference of a figure between two sides.
type Difference struct {
	Name   string  `json:"name"`
	A      float64 `json:"a"` // mean over the rounds, as is B
	B      float64 `json:"b"`
	Change float64 `json:"change"` // B minus A
	// Within is half the width of the 95% confidence interval around Change; negative: unknown.
	Within float64 `json:"within"`
	Beyond bool    `json:"beyond_noise"`
}

// Rounds compares two sides over paired rounds: entry i of a and of b are from the same round. Each figure is
// tested by itself with Student's two-sided t-test for paired samples at the 5% level, so about one in twenty
// figures without a real difference is reported as different. With a single round the noise is unknown.
func Rounds(a, b []*report.Report) []Difference {
	n := min(len(a), len(b))
	var differences []Difference
	if n == 0 {
		return differences
	}
	for k, f := range Figures(a[0]) {
		d := Difference{Name: f.Name, Within: -1}
		changes := make([]float64, n)
		for i := range n {
			one, other := Figures(a[i]), Figures(b[i])
			if k >= len(one) || k >= len(other) {
				return differences // reports of different kinds share only the first figures
			}
			d.A += one[k].Value / float64(n)
			d.B += other[k].Value / float64(n)
			changes[i] = other[k].Value - one[k].Value
		}
		d.Change = d.B - d.A
		if n > 1 {
			d.Within = tQuantile(n-1) * standardDeviation(changes) / math.Sqrt(float64(n))
			d.Beyond = math.Abs(d.Change) > d.Within+roundingTolerance
		}
		differences = append(differences, d)
	}
	return differences
}

// roundingTolerance exceeds the rounding errors of the figures.
const roundingTolerance = 1e-9

func standardDeviation(v []float64) float64 {
	mean, sum := 0.0, 0.0
	for _, x := range v {
		mean += x / float64(len(v))
	}
	for _, x := range v {
		sum += (x - mean) * (x - mean)
	}
	return math.Sqrt(sum / float64(len(v)-1))
}

// tQuantiles are the 97.5th percentiles of Student's t-distribution for 1, 2, ... degrees of freedom.
var tQuantiles = []float64{
	12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201,
	2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
}

func tQuantile(freedom int) float64 {
	if freedom > len(tQuantiles) {
		return tQuantiles[len(tQuantiles)-1] // slightly too large, hence conservative
	}
	return tQuantiles[freedom-1]
}

// Text writes differences as a text table.
func Text(w io.Writer, a, b string, rounds int, all []Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\t%s\t%s\tchange\t95%% within\t\n", a, b)
	for _, d := range all {
		within, verdict := "not known", ""
		if d.Within >= 0 {
			within = fmt.Sprintf("+-%.4g", d.Within)
			if verdict = "noise"; d.Beyond {
				verdict = "BEYOND NOISE"
			}
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%s\t%s\n", d.Name, d.A, d.B, d.Change, within, verdict)
	}
	fmt.Fprintf(t, "\n%d rounds each; beyond noise: Student's test for paired rounds, two-sided, 5 in 100, "+
		"each figure by itself\n", rounds)
	return t.Flush()
}
