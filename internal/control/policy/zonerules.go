package policy

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

const (
	// rulesBefore is how far into the past the added rules reach: the windows of a month are counted.
	rulesBefore = 100 * 24 * time.Hour
	// rulesAhead is how far into the future they reach. Beyond that no traffic is moved until the policy is
	// proposed again.
	rulesAhead = 5 * 366 * 24 * time.Hour
)

// zonesHeader stands before the rules that AddZoneRules adds. It is part of stored documents.
const zonesHeader = "# Filled in as it was proposed; " +
	"it is made anew whenever the document is proposed again.\n"

// zonesSection matches what AddZoneRules has added, at the document's end only: text that an author wrote
// after it is never removed.
var zonesSection = regexp.MustCompile(`(?:\A|\n)` + regexp.QuoteMeta(zonesHeader) +
	`(?:\[zones\."[^"\n]*"\]\nchanges = \[[^\]]*\]\n)*\z`)

// AddZoneRules returns a document with the UTC offsets of its contracts' time zones added, from this
// machine's zone data, so that all agents use the same. Zones that the document itself describes are left as
// they are. A document that cannot be parsed is returned unchanged: the check of the proposal rejects it.
func AddZoneRules(document []byte, now time.Time) ([]byte, error) {
	if at := zonesSection.FindIndex(document); at != nil {
		document = document[:at[0]]
	}
	d, err := ParseDocument("policy", document)
	if err != nil {
		return document, nil //nolint:nilerr // CheckDocument reports it
	}
	text := ""
	for _, zone := range d.contractZones() {
		if _, described := d.file.Zones[zone]; described || contract.IsFixedZone(zone) {
			continue
		}
		rules, err := contract.ZoneRules(zone, now.Add(-rulesBefore), now.Add(rulesAhead))
		if err != nil {
			return nil, fmt.Errorf("cannot add the rules of time zone %q to the document: %w", zone, err)
		}
		text += fmt.Sprintf("[zones.%q]\nchanges = [\"%s\"]\n", zone, strings.Join(rules, "\",\n  \""))
	}
	if text == "" {
		return document, nil
	}
	return slices.Concat(document, []byte("\n"+zonesHeader+text)), nil
}

// contractZones are the time zones of the contracts, each once.
func (d *Document) contractZones() (zones []string) {
	for _, t := range d.file.Contracts {
		zones = append(zones, t.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ZoneDifferences reports each zone whose rules in the document differ from this machine's zone data, by name
// in order; nil: none. It reads zone data.
func (d *Document) ZoneDifferences() (err error) {
	for _, zone := range slices.Sorted(maps.Keys(d.file.Zones)) {
		if differs := contract.CompareZoneData(zone, d.file.Zones[zone].Changes); differs != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", zone, differs))
		}
	}
	return err
}
