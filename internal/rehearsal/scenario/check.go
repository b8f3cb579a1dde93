package scenario

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"dunestep/internal/stricttoml"
)

// The largest run that is accepted, as a guard against runs that no machine plays to the end.
const (
	maxRequests = 20_000_000
	maxPairs    = 500_000 // agents times servers; each agent keeps a ring of all servers
)

// check reports values that are valid one by one but inconsistent together.
func (s *Scenario) check(d *stricttoml.Document) {
	if !d.IsValid("") {
		return
	}
	checkSize(d, s)
	checkLoad(d, s)
	checkShares(d, s)
	checkNames(d, s)
	checkClasses(d, s)
	for i := range s.Faults {
		checkFault(d, s, fmt.Sprintf("trouble[%d]", i), &s.Faults[i])
	}
}

func checkSize(d *stricttoml.Document, s *Scenario) {
	if s.Run.From >= s.Run.Length {
		d.AddProblem("day.from_s", "must be before the end of the run")
	}
	if pairs := s.Agents.Count * s.Fleet.Servers; pairs > maxPairs {
		d.AddProblem("fleet.servers", "%d agents times %d servers is over %d", s.Agents.Count, s.Fleet.Servers,
			maxPairs)
	}
	if n := s.firstTries(); n > maxRequests {
		d.AddProblem("day.length_s", "the run would have about %.0f first tries; at most %d are allowed", n,
			maxRequests)
	}
}

// firstTries returns the approximate number of first tries with the largest drawable values.
func (s *Scenario) firstTries() float64 {
	perS := s.Load.PerS.High
	if perS == 0 && len(s.Classes) > 0 {
		work, cores := 0.0, 0.0
		for _, c := range s.Classes {
			work += c.Share * c.Work.Low.Seconds()
		}
		for _, k := range s.Kinds {
			cores += k.Share * float64(k.Cores) * k.Speed.High
		}
		perS = s.Load.OfCapacity.High * cores * float64(s.Fleet.Servers) / max(work, 1e-6)
	}
	surge := 1.0
	for _, t := range s.Faults {
		if t.Kind == Surge {
			surge = max(surge, t.Size.High)
		}
	}
	return perS * s.Run.Length.Seconds() * surge
}

func checkLoad(d *stricttoml.Document, s *Scenario) {
	if d.Has("load", "per_s") == d.Has("load", "of_capacity") {
		d.AddProblem("load", "needs either per_s or of_capacity")
	} else if s.Load.PerS.Low <= 0 && s.Load.OfCapacity.Low <= 0 {
		d.AddProblem("load", "the traffic must be above zero")
	}
	quotas := 0
	for _, key := range []string{"quota_per_s", "quota_of_capacity"} {
		if d.Has("load", key) {
			quotas++
		}
	}
	if tenants := len(s.Tenants) > 0; quotas > 1 || tenants != (quotas == 1) {
		d.AddProblem("load", "needs either quota_per_s or quota_of_capacity where there are tenants, else neither")
	}
}

const shareSlack = 0.001 // tolerance for rounded shares

func checkShares(d *stricttoml.Document, s *Scenario) {
	sums := map[string]float64{}
	for _, k := range s.Kinds {
		sums["kind"] += k.Share
	}
	for _, c := range s.Classes {
		sums["class"] += c.Share
	}
	for _, t := range s.Tenants {
		sums["tenant"] += t.Share
	}
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		if math.Abs(sums[key]-1) > shareSlack {
			d.AddProblem(key, "the shares add up to %.4g, not to 1", sums[key])
		}
	}
	g := s.Goal
	if sum := g.Whole + g.WorstWindow + g.WorstClass + g.WorstTenant; math.Abs(sum-1) > shareSlack {
		d.AddProblem("goal", "the weights add up to %.4g, not to 1", sum)
	}
}

const maxGroups = 200 // classes or tenants; events store their numbers in a byte

// fileName matches the names allowed for a scenario: hunt names files after them.
var fileName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,99}$`)

func checkNames(d *stricttoml.Document, s *Scenario) {
	if !fileName.MatchString(s.Name) {
		d.AddProblem("name", "must be at most 100 small letters, digits and -, _ or ., as a file may be named")
	}
	var kinds, classes, tenants []string
	for _, k := range s.Kinds {
		kinds = append(kinds, k.Name)
	}
	for _, c := range s.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	checkList(d, "kind", kinds, true)
	checkList(d, "class", classes, true)
	checkList(d, "tenant", tenants, false)
	checkList(d, "network.zones", s.Network.Zones, true)
}

func checkList(d *stricttoml.Document, path string, names []string, need bool) {
	if need && len(names) == 0 {
		d.AddProblem(path, "must have at least one entry")
	}
	if len(names) > maxGroups {
		d.AddProblem(path, "must have at most %d entries", maxGroups)
	}
	seen := map[string]bool{}
	for i, name := range names {
		if seen[name] || name == "" || strings.ContainsAny(name, " /?#\"\\\n\r\t") {
			d.AddProblem(fmt.Sprintf("%s[%d]", path, i), "the name %q is empty, given twice, or not a plain word",
				name)
		}
		seen[name] = true
	}
}

func checkClasses(d *stricttoml.Document, s *Scenario) {
	has := func(e Effect) bool {
		return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Effect == e })
	}
	if s.Clients.GraphQL > 0 && !(has(Safe) && has(Unsafe)) {
		d.AddProblem("clients.graphql", "needs a class that is safe to repeat and one that is not")
	}
	for i, c := range s.Classes {
		if c.LatencyObjective > c.Deadline {
			d.AddProblem(fmt.Sprintf("class[%d].aim_ms", i), "the aim is after the deadline")
		}
	}
	if s.Rules.SlowStartTime == 0 && s.Rules.SlowStartShare < 1 {
		d.AddProblem("rules.cold_s", "must be above zero where a server starts at less than its capacity")
	}
	for i, k := range s.Kinds {
		// Agents rely on these values, so they must be true.
		if k.SlowStartFrom.Low < s.Rules.SlowStartShare || k.SlowStartTime.High > s.Rules.SlowStartTime {
			d.AddProblem(fmt.Sprintf("kind[%d]", i), "starts colder than rules.cold_share or stays so for longer "+
				"than rules.cold_s, which agents rely on")
		}
	}
}

func checkFault(d *stricttoml.Document, s *Scenario, path string, t *FaultSpec) {
	fields, known := faultKinds[t.Kind]
	if !known {
		var all []string
		for kind := range faultKinds {
			all = append(all, string(kind))
		}
		slices.Sort(all)
		d.AddProblem(path+".kind", "%q is unknown; allowed: %s", t.Kind, joinNames(all))
		return
	}
	if t.At.High >= s.Run.Length {
		d.AddProblem(path+".at_s", "is not before the run's end, %v", s.Run.Length)
	}
	checkFaultKeys(d, path, t.Kind, fields)
	if d.Has(path, "size") && (t.Size.Low < fields.minSize || t.Size.High > fields.maxSize) {
		d.AddProblem(path+".size", "is out of range for %s: %v to %v", t.Kind, fields.minSize, fields.maxSize)
	}
	for _, pair := range [][2]string{{"heals_below", "heals_rest_s"}, {"on_s", "off_s"}} {
		if d.Has(path, pair[0]) != d.Has(path, pair[1]) {
			d.AddProblem(path, "%s and %s go together", pair[0], pair[1])
		}
	}
	if d.Has(path, "zone") && !slices.Contains(s.Network.Zones, t.Zone) {
		d.AddProblem(path+".zone", "%q is unknown; allowed: %s", t.Zone, joinNames(s.Network.Zones))
	}
	for kind, faults := range map[FaultKind][]ConnFault{FaultyAnswers: AnswerFaults, Streams: StreamFaults} {
		if t.Kind == kind && !slices.Contains(faults, t.Fault) {
			var all []string
			for _, f := range faults {
				all = append(all, string(f))
			}
			d.AddProblem(path+".fault", "%q is unknown; allowed: %s", t.Fault, joinNames(all))
		}
	}
	if d.Has(path, "count") && t.Count > s.Agents.Count {
		d.AddProblem(path+".count", "there are only %d agents", s.Agents.Count)
	}
	for key, numbers := range map[string][]int{"agents": t.Agents, "from": t.From, "to": t.To} {
		for i, n := range numbers {
			if n >= s.Agents.Count {
				d.AddProblem(fmt.Sprintf("%s.%s[%d]", path, key, i), "there are only %d agents, from 0",
					s.Agents.Count)
			}
		}
	}
	checkAgentFault(d, path, t)
	if t.Kind == Window {
		checkWindow(d, s, path, t)
	}
}

// checkWindow checks that a window's tenants exist and that all keys can leave before it ends.
func checkWindow(d *stricttoml.Document, s *Scenario, path string, t *FaultSpec) {
	for i, name := range t.Tenants {
		known := slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
		if !known && name != "-" && name != "*" {
			d.AddProblem(fmt.Sprintf("%s.tenants[%d]", path, i), "there is no tenant %q", name)
		}
	}
	if len(t.Tenants) == 0 {
		d.AddProblem(path+".tenants", "must have at least one entry")
	}
	if 2*t.MoveTime.High >= t.For.Low {
		d.AddProblem(path+".moves_s", "must be less than half of for_s")
	}
}

// checkAgentFault checks faults between agents or of their processes for values that are inconsistent.
func checkAgentFault(d *stricttoml.Document, path string, t *FaultSpec) {
	switch {
	case t.Kind == AgentsPaused && !d.Has(path, "on_s") && t.For.High > LongestPause:
		d.AddProblem(path+".for_s", "an agent may be paused for at most %v", LongestPause)
	case t.Kind == AgentsPaused && t.On.High > LongestPause:
		d.AddProblem(path+".on_s", "an agent may be paused for at most %v", LongestPause)
	case t.Kind == Datagrams && (t.BurstLoss.High > 0) != (d.Has(path, "calm_ms") && d.Has(path, "bad_ms")):
		d.AddProblem(path, "burst_loss, calm_ms and bad_ms go together")
	case t.Kind == Datagrams && (t.Reorder.High > 0) != (t.HoldBack.High > 0):
		d.AddProblem(path, "reorder and held_ms go together")
	}
}

func checkFaultKeys(d *stricttoml.Document, path string, kind FaultKind, fields faultFields) {
	allowed := slices.Concat([]string{"kind", "at_s", "for_s"}, fields.required, fields.oneOf, fields.optional)
	for _, key := range fields.required {
		if !d.Has(path, key) {
			d.AddProblem(path, "a trouble of kind %s needs the key %s", kind, key)
		}
	}
	given := 0
	for _, key := range fields.oneOf {
		if d.Has(path, key) {
			given++
		}
	}
	switch {
	case len(fields.oneOf) == 0:
	case given == 0:
		d.AddProblem(path, "a trouble of kind %s needs one of the keys %s", kind, joinNames(fields.oneOf))
	case given > 1 && !fields.anyOf:
		d.AddProblem(path, "a trouble of kind %s has only one of the keys %s", kind, joinNames(fields.oneOf))
	}
	for _, key := range d.Keys(path) {
		if !slices.Contains(allowed, key) {
			d.AddProblem(path+"."+key, "means nothing for %s; allowed: %s", kind, joinNames(allowed))
		}
	}
}

// Ends returns the latest possible end of all faults.
func (s *Scenario) Ends() time.Duration {
	last := time.Duration(0)
	for _, t := range s.Faults {
		last = max(last, t.At.High+t.For.High)
	}
	return last
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
