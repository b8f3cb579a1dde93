package report

import "fmt"

// Live is what a report of a live rehearsal has beside. All figures of such a report are measured but for the
// plan, which a scenario and seed give again byte for byte.
type Live struct {
	Plan     PlanPart `json:"plan"`
	Measured Measured `json:"measured"`
}

// PlanPart is what was fixed before the day began.
type PlanPart struct {
	Arrivals int           `json:"arrivals"` // first tries
	Digest   string        `json:"sha256"`   // of the plan as rehearse live --plan writes it
	Troubles []PlanTrouble `json:"troubles"`
}

// PlanTrouble is a trouble as drawn.
type PlanTrouble struct {
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// Measured is what was measured beside the day itself.
type Measured struct {
	Program string     `json:"program"`
	Cores   int        `json:"cores"` // that the kit and the agents could use together
	Kit     Kit        `json:"kit"`
	Agents  []AgentUse `json:"agents"`
	// Why the day is not judged; empty: it is.
	NotJudged string `json:"not_judged"`
}

// Kit is how late the kit itself was with what it had to do at a time.
type Kit struct {
	P50US  int64   `json:"late_p50_us"`
	P99US  int64   `json:"late_p99_us"`
	P999US int64   `json:"late_p999_us"`
	MostMS float64 `json:"late_most_ms"`
	MostAt float64 `json:"late_most_at_s"`
	CPUS   float64 `json:"cpu_s"`
}

// AgentUse is what an agent's program took, over all its runs.
type AgentUse struct {
	Name        string   `json:"name"`
	Starts      int      `json:"starts"`
	PeakMB      float64  `json:"peak_mb"`
	LimitMB     int      `json:"limit_mb"`
	Descriptors int      `json:"peak_descriptors"`
	Limit       int      `json:"limit_descriptors"`
	CPUS        float64  `json:"cpu_s"`
	Problems    []string `json:"problems"` // what its processes did that they must not
}

// Judged tells whether the day is judged: a live one is not where the kit was late itself.
func (r *Report) Judged() bool { return r.Live == nil || r.Live.Measured.NotJudged == "" }

func (r *Report) liveTables() []table {
	m := r.Live.Measured
	kit := table{title: "The kit itself (measured)", head: []string{"late by", "", ""}}
	kit.add("half of the time", fmt.Sprintf("%d us", m.Kit.P50US), "")
	kit.add("p99", fmt.Sprintf("%d us", m.Kit.P99US), "")
	kit.add("p99.9", fmt.Sprintf("%d us", m.Kit.P999US), "")
	kit.add("most", millis(m.Kit.MostMS), fmt.Sprintf("at %.1f s", m.Kit.MostAt))
	kit.add("processor time", fmt.Sprintf("%.1f s", m.Kit.CPUS),
		fmt.Sprintf("on %d cores, with the agents", m.Cores))
	agents := table{title: "Agents (measured)", head: []string{
		"agent", "starts", "peak memory", "limit",
		"descriptors", "limit", "processor time", "",
	}}
	for _, a := range m.Agents {
		problems := "-"
		if len(a.Problems) > 0 {
			problems = fmt.Sprint(a.Problems)
		}
		agents.add(a.Name, fmt.Sprint(a.Starts), fmt.Sprintf("%.1f MB", a.PeakMB), fmt.Sprintf("%d MB", a.LimitMB),
			fmt.Sprint(a.Descriptors), fmt.Sprint(a.Limit), fmt.Sprintf("%.2f s", a.CPUS), problems)
	}
	plan := table{title: "Plan (the same for the same scenario and seed)", head: []string{"", ""}}
	plan.add("first tries", fmt.Sprint(r.Live.Plan.Arrivals))
	plan.add("sha256", r.Live.Plan.Digest)
	for _, t := range r.Live.Plan.Troubles {
		plan.add(t.Kind, fmt.Sprintf("from %.1f s for %.1f s", t.AtS, t.ForS))
	}
	return []table{kit, agents, plan}
}
