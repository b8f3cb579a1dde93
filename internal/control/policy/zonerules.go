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
	// zoneRulesPast is how far into the past the added rules reach. It exceeds a month because contracts limit
	// the windows per month, so past windows are counted too.
	zoneRulesPast = 100 * 24 * time.Hour
	// zoneRulesFuture is how far into the future the added rules reach. Beyond that no traffic is moved until
	// the policy is proposed again.
	zoneRulesFuture = 5 * 366 * 24 * time.Hour
)

// zonesHeader precedes the rules that AddZoneRules adds. It is part of stored documents and must not change.
const zonesHeader = "# Filled in as it was proposed; " +
	"it is made anew whenever the document is proposed again.\n"

// zonesSection matches the section that AddZoneRules has added, at the end of the document only, so that text
// that the author wrote after the section is never removed.
var zonesSection = regexp.MustCompile(`(?:\A|\n)` + regexp.QuoteMeta(zonesHeader) +
	`(?:\[zones\."[^"\n]*"\]\nchanges = \[[^\]]*\]\n)*\z`)

// AddZoneRules returns the document with the UTC offsets of its contracts' time zones added, so that all
// agents use the same offsets. It takes them from this machine's zone data. Zones that the document itself
// describes stay unchanged. A document that cannot be parsed is returned without an added section and without
// an error, because the check of the proposal rejects it.
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
		rules, err := contract.ZoneRules(zone, now.Add(-zoneRulesPast), now.Add(zoneRulesFuture))
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

// contractZones returns the time zones of the contracts in order, without duplicates.
func (d *Document) contractZones() (zones []string) {
	for _, t := range d.file.Contracts {
		zones = append(zones, t.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ZoneDifferences returns a joined error with one error for each zone whose rules in the document differ from
// this machine's zone data, in order of name, or nil if none differs. It reads this machine's zone data.
func (d *Document) ZoneDifferences() (err error) {
	for _, zone := range slices.Sorted(maps.Keys(d.file.Zones)) {
		if differs := contract.CompareZoneData(zone, d.file.Zones[zone].Changes); differs != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", zone, differs))
		}
	}
	return err
}
