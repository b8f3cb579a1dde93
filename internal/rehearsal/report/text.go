package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"dunestep/internal/rehearsal/judge"
)

// Text writes the report as plain text.
func (r *Report) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d%s: %s\n", r.Scenario, r.Seed, r.withoutText(), r.Outcome())
	if r.About != "" {
		fmt.Fprintf(&b, "%s\n", r.About)
	}
	for _, t := range r.tables() {
		fmt.Fprintf(&b, "\n%s\n", t.title)
		t.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) withoutText() string {
	if len(r.Without) == 0 {
		return ""
	}
	return ", without " + strings.Join(r.Without, ", ")
}

// Outcome returns one line that says whether the run passed, and if not, why.
func (r *Report) Outcome() string {
	var reasons []string
	if r.Crash != nil {
		reasons = append(reasons, "crashed: "+r.Crash.Cause)
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			reasons = append(reasons, fmt.Sprintf("rule broken: %s (%d times)", rule.Name, rule.Breaches))
		}
	}
	for _, term := range r.Limits {
		if term.Broken {
			reasons = append(reasons, fmt.Sprintf("term broken: %s (%d of %d)", term.Name, term.Count, term.Of))
		}
	}
	if r.Service < r.Floor {
		reasons = append(reasons, "service below the floor")
	}
	text := fmt.Sprintf("service %.3f, floor %.2f", r.Service, r.Floor)
	if r.CutShort {
		text = fmt.Sprintf("broken off after %.0f s, %s", r.LastedS, text)
	}
	if !r.Judged() {
		return "NOT JUDGED, " + r.Live.Measured.NotJudged + "; " + text
	}
	if r.Live != nil {
		for _, a := range r.Live.Measured.Agents {
			for _, p := range a.Problems {
				reasons = append(reasons, a.Name+" "+p)
			}
		}
	}
	if r.Passed {
		return "passed, " + text
	}
	if len(reasons) == 0 {
		return "NOT PASSED, " + text
	}
	return "FAILED, " + text + ", " + strings.Join(reasons, ", ")
}

// A table is shown both in the text and on the page.
type table struct {
	title string
	head  []string
	rows  [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) write(b *strings.Builder) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		fmt.Fprintf(w, "  %s\n", strings.Join(row, "\t"))
	}
	w.Flush()
}

// tables returns the tables of the report, most important first.
func (r *Report) tables() []table {
	all := []table{r.serviceTable(), r.rulesTable()}
	if r.Crash != nil {
		t := table{title: "Crash", head: []string{r.Crash.Cause}}
		for _, call := range r.Crash.Calls {
			t.add(call)
		}
		all = append(all, t)
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			all = append(all, breachTable(rule))
		}
	}
	all = append(all, r.limitsTable())
	if len(r.Faults) > 0 {
		all = append(all, r.faultsTable())
	}
	if len(r.Findings) > 0 {
		all = append(all, r.findingsTable())
	}
	if len(r.Timeline) > 0 {
		all = append(all, r.timelineTable())
	}
	if r.Live != nil {
		all = append(all, r.liveTables()...)
	}
	all = append(all, r.groupsTable(), r.sharesTable())
	if r.SlowStarts != nil {
		all = append(all, r.slowStartTable())
	}
	return append(all, r.countsTable(), r.repeatsTable(), r.serversTable())
}

func (r *Report) serviceTable() table {
	t := table{title: "Service", head: []string{"part", "value", ""}}
	p := r.Parts
	t.add("whole day", share(p.Whole), "")
	t.add("worst 10 s", share(p.WorstWindow), fmt.Sprintf("from second %d", p.WindowFromS))
	t.add("worst class", share(p.WorstClass), p.Class)
	t.add("worst clinic group", share(p.WorstTenant), p.Tenant)
	t.add("weighed together", share(p.BeforePrices), "")
	for _, price := range r.Prices {
		t.add("off: "+price.Name, share(price.Off), fmt.Sprintf("%.4f of the most", price.Rate))
	}
	t.add("service", share(r.Service), "")
	return t
}

func (r *Report) rulesTable() table {
	t := table{title: "Rules", head: []string{"rule", "", "what it asks"}}
	for _, rule := range r.Rules {
		verdict := "kept"
		if rule.First != nil {
			verdict = fmt.Sprintf("BROKEN %d times", rule.Breaches)
		}
		t.add(rule.Name, verdict, rule.Text)
	}
	return t
}

func (r *Report) limitsTable() table {
	t := table{title: "Terms of the gate", head: []string{"term", "", "of", "what it asks, and the first"}}
	for _, term := range r.Limits {
		count, text := fmt.Sprint(term.Count), term.Text
		switch {
		case term.Broken:
			count += " BROKEN"
		case !term.Applies:
			text = "not asked of this day"
		}
		if term.First != "" {
			text += fmt.Sprintf("; %.3f: %s", term.At.Seconds(), term.First)
		}
		t.add(term.Name, count, fmt.Sprint(term.Of), text)
	}
	return t
}

func breachTable(rule judge.Rule) table {
	t := table{title: "First breach of " + rule.Name, head: []string{"second", "what passed"}}
	for _, line := range rule.First.Events {
		t.add(fmt.Sprintf("%.6f", line.At.Seconds()), line.Text)
	}
	t.add(fmt.Sprintf("%.6f", rule.First.At.Seconds()), "BROKEN: "+rule.First.Text)
	return t
}

func (r *Report) faultsTable() table {
	t := table{title: "Troubles", head: []string{
		"trouble", "from", "to", "service before", "during",
		"sends per first try", "back after", "servers busy meanwhile",
	}}
	for _, s := range r.Faults {
		end, recovery, utilization := "-", "not", "-"
		if s.EndedS >= 0 {
			end = fmt.Sprintf("%.1f s", s.EndedS)
		}
		if s.RecoveredS >= 0 {
			recovery = fmt.Sprintf("%.0f s", s.RecoveredS)
		}
		if s.RecoveredS != 0 && s.EndedS >= 0 {
			utilization = percent(s.IdleBusy)
		}
		t.add(s.Kind, fmt.Sprintf("%.1f s", s.BeganS), end, share(s.Before), share(s.During),
			fmt.Sprintf("%.2f", s.SendsPer), recovery, utilization)
	}
	return t
}

func (r *Report) findingsTable() table {
	t := table{title: "Findings", head: []string{"finding", "from", "to", ""}}
	for _, f := range r.Findings {
		t.add(f.Name, fmt.Sprintf("%.0f s", f.FromS), fmt.Sprintf("%.0f s", f.ToS), f.Text)
	}
	return t
}

func (r *Report) groupsTable() table {
	t := table{
		title: "Classes and clinic groups",
		head:  []string{"", "served in time", "answers", "p50", "p90", "p99", "p99.9", "most"},
	}
	for _, c := range r.Classes {
		l := c.Latency
		t.add(c.Name, share(c.Served), fmt.Sprint(l.Count), millis(l.P50MS), millis(l.P90MS), millis(l.P99MS),
			millis(l.P999MS), millis(l.MaxMS))
	}
	for _, g := range r.Tenants {
		t.add(g.Name, share(g.Served), "", "", "", "", "", "")
	}
	return t
}

// sharesTable returns the service of each part of the run, before prices, and what the gate requires of it.
func (r *Report) sharesTable() table {
	t := table{
		title: "Shares, before prices",
		head:  []string{"of", "served", "by the policy that sees late", "asked"},
	}
	for _, s := range r.Shares {
		reference, required := "-", "-"
		if s.Delayed > 0 {
			reference, required = share(s.Delayed), share(s.Minimum)
		}
		if s.BelowMinimum() {
			required += " SHORT"
		}
		t.add(s.Of, share(s.Served), reference, required)
	}
	return t
}

// GateLine returns whether the run passes the gate, and one line with the reasons if not, the shares, and
// how near the servers in slow start came to their limit.
func (r *Report) GateLine() (line string, passed bool) {
	line, passed = r.Outcome(), r.Passed
	var served, low []string
	for i := range r.Shares {
		s := &r.Shares[i]
		served = append(served, fmt.Sprintf("%s %.2f (%.2f)", s.Of, s.Served, s.Minimum))
		if s.BelowMinimum() {
			low = append(low, fmt.Sprintf("%s served %.3f, asked %.3f", s.Of, s.Served, s.Minimum))
		}
	}
	if len(low) > 0 {
		if passed {
			line = "FAILED, " + strings.TrimPrefix(line, "passed, ")
		}
		line, passed = line+", share too low: "+strings.Join(low, ", "), false
	}
	return line + "; served (asked): " + strings.Join(served, ", ") + r.slowStartSummary(), passed
}

// slowStartTable returns a table of the fullest windows of the servers in slow start, as a part of their
// limit: at 1 a server crashes.
func (r *Report) slowStartTable() table {
	c := r.SlowStarts
	t := table{
		title: "Cold servers, by the fullest window of each over what it stood then",
		head:  []string{"", "", ""},
	}
	t.add("starts", fmt.Sprint(c.Starts), "")
	t.add("median", share(c.Median), "")
	t.add("of nine in ten at most", share(c.P90), "")
	t.add("the fullest", share(c.Fullest), fmt.Sprintf("%s at %.1f s, %s from agents told of its start",
		c.Server, c.AtS, percent(c.FullestNotified)))
	t.add("over three quarters", fmt.Sprint(c.OverThree), "")
	t.add("fell over", fmt.Sprint(c.Overloaded),
		fmt.Sprintf("%d by agents told of the start", c.OverloadedNotified))
	return t
}

// slowStartSummary is a short form of slowStartTable for GateLine; empty if no server started.
func (r *Report) slowStartSummary() string {
	c := r.SlowStarts
	if c == nil {
		return ""
	}
	return fmt.Sprintf("; %d cold servers, fullest window %.2f of the limit (median %.2f, nine in ten under "+
		"%.2f), %d fell", c.Starts, c.Fullest, c.Median, c.P90, c.Overloaded)
}

func (r *Report) countsTable() table {
	c := r.Counts
	t := table{title: "Counts", head: []string{"", "", "per first try"}}
	add := func(name string, n int) {
		t.add(name, fmt.Sprint(n), fmt.Sprintf("%.4f", float64(n)/float64(max(c.FirstTries, 1))))
	}
	add("first tries", c.FirstTries)
	add("clients' retries", c.Retries)
	add("tries that found no agent", c.Unreached)
	add("first tries answered in time", c.InTime)
	add("answers: served", c.Served)
	add("answers: refused", c.Refused)
	add("answers: failed", c.Failed)
	add("no answer", c.Unanswered)
	add("new connections closed with no answer", c.ClosedUnanswered)
	add("failed, never sent on", c.Unsent)
	add("sent for clients that had gone", c.SentAfterLeft)
	add("sends", c.Sends)
	add("new connections", c.Opened)
	add("sends that crossed zones", c.Crossings)
	return t
}

func (r *Report) repeatsTable() table {
	t := table{
		title: "First tries, by how many tries and sends they came to",
		head:  []string{"", "tries", "sends"},
	}
	for n := range r.Tries {
		if r.Tries[n] > 0 || r.Sends[n] > 0 {
			t.add(countLabel(n, len(r.Tries)), fmt.Sprint(r.Tries[n]), fmt.Sprint(r.Sends[n]))
		}
	}
	return t
}

// countLabel returns the label of a count; the last label includes all higher counts.
func countLabel(n, labels int) string {
	if n == labels-1 {
		return fmt.Sprintf("%d+", n)
	}
	return fmt.Sprint(n)
}

func (r *Report) serversTable() table {
	t := table{title: "Booking servers", head: []string{
		"server", "kind", "zone", "capacity", "busy",
		"most busy", "most held", "most connections",
	}}
	for _, s := range r.Servers {
		t.add(s.ID, s.Kind, s.Zone, fmt.Sprintf("%.2f", s.Capacity), percent(s.MeanBusy), percent(s.PeakBusy),
			fmt.Sprint(s.MaxHeld), fmt.Sprint(s.MaxConns))
	}
	return t
}

func share(v float64) string   { return fmt.Sprintf("%.3f", v) }
func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }
func millis(v float64) string  { return fmt.Sprintf("%.1f ms", v) }
