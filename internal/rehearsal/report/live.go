package report

import "fmt"

// Live is the additional part of the report of a live run. All figures of such a report are measured except
// for the plan, which is byte for byte the same for the same scenario and seed.
type Live struct {
	Plan     PlanPart `json:"plan"`
	Measured Measured `json:"measured"`
}

// PlanPart is the part of the run that was drawn before it began.
type PlanPart struct {
	Arrivals int            `json:"arrivals"` // number of client requests, not counting retries
	Digest   string         `json:"sha256"`   // hash of the plan as written by rehearse live --plan
	Faults   []PlannedFault `json:"troubles"`
}

// PlannedFault is a planned fault with its drawn times.
type PlannedFault struct {
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// Measured has measurements of the kit and of the agents' processes.
type Measured struct {
	Program string       `json:"program"`
	Cores   int          `json:"cores"` // cores shared by the kit and the agents
	Kit     Kit          `json:"kit"`
	Agents  []AgentUsage `json:"agents"`
	// NotJudged is the reason why the run is not judged; empty: it is judged.
	NotJudged string `json:"not_judged"`
}

// Kit is the lateness of the kit's own scheduled actions.
type Kit struct {
	P50US  int64   `json:"late_p50_us"`
	P99US  int64   `json:"late_p99_us"`
	P999US int64   `json:"late_p999_us"`
	MaxMS  float64 `json:"late_most_ms"`
	MaxAtS float64 `json:"late_most_at_s"`
	CPUS   float64 `json:"cpu_s"`
}

// AgentUsage is the resource usage of an agent over all its process runs.
type AgentUsage struct {
	Name        string   `json:"name"`
	Starts      int      `json:"starts"`
	PeakMB      float64  `json:"peak_mb"`
	LimitMB     int      `json:"limit_mb"`
	Descriptors int      `json:"peak_descriptors"`
	Limit       int      `json:"limit_descriptors"`
	CPUS        float64  `json:"cpu_s"`
	Problems    []string `json:"problems"` // unexpected behavior of its processes
}

// Judged reports whether the run is judged: a live run is not judged if the kit itself was late.
func (r *Report) Judged() bool { return r.Live == nil || r.Live.Measured.NotJudged == "" }

func (r *Report) liveTables() []table {
	m := r.Live.Measured
	kit := table{title: "The kit itself (measured)", head: []string{"late by", "", ""}}
	kit.add("half of the time", fmt.Sprintf("%d us", m.Kit.P50US), "")
	kit.add("p99", fmt.Sprintf("%d us", m.Kit.P99US), "")
	kit.add("p99.9", fmt.Sprintf("%d us", m.Kit.P999US), "")
	kit.add("most", millis(m.Kit.MaxMS), fmt.Sprintf("at %.1f s", m.Kit.MaxAtS))
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
	for _, t := range r.Live.Plan.Faults {
		plan.add(t.Kind, fmt.Sprintf("from %.1f s for %.1f s", t.AtS, t.ForS))
	}
	return []table{kit, agents, plan}
}
