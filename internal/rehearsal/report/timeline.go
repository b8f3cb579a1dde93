package report

import (
	"fmt"
	"time"

	"dunestep/internal/rehearsal/timeline"
)

// TimelineEntry is an entry of a run's timeline.
type TimelineEntry struct {
	AtS   float64 `json:"at_s"`
	Lane  string  `json:"lane"` // faults, breaches, or a name that a layer of the agents chooses
	Agent string  `json:"agent,omitempty"`
	Text  string  `json:"text"`
}

// Breaches is the lane of the first breach of each rule.
const Breaches = "breaches"

// SetTimeline adds a run's timeline to the report, together with the first breach of each rule.
func (r *Report) SetTimeline(t *timeline.Timeline) {
	for _, rule := range r.Rules {
		if rule.First != nil {
			t.Add(time.Duration(rule.First.At), Breaches, "", rule.Name+": "+rule.First.Text)
		}
	}
	entries, dropped := t.Entries()
	r.Timeline, r.TimelineDropped = make([]TimelineEntry, len(entries)), dropped
	for i, m := range entries {
		r.Timeline[i] = TimelineEntry{AtS: m.At.Seconds(), Lane: m.Lane, Agent: m.Agent, Text: m.Text}
	}
	r.lanes = timeline.Lanes(entries)
}

// maxShownEntries limits the timeline entries in the text and on the page; the JSON has all.
const maxShownEntries = 200

// timelineTable returns a table with a column for each lane and a row for each entry.
func (r *Report) timelineTable() table {
	t := table{title: "Timeline", head: append([]string{"second"}, r.lanes...)}
	for _, m := range r.Timeline[:min(len(r.Timeline), maxShownEntries)] {
		row := []string{fmt.Sprintf("%.3f", m.AtS)}
		for _, lane := range r.lanes {
			text := ""
			if lane == m.Lane {
				text = m.Text
				if m.Agent != "" {
					text = m.Agent + ": " + text
				}
			}
			row = append(row, text)
		}
		t.add(row...)
	}
	if more := len(r.Timeline) - maxShownEntries + r.TimelineDropped; more > 0 &&
		len(r.Timeline) > maxShownEntries {
		t.add("...", fmt.Sprintf("and %d more", more))
	}
	return t
}
