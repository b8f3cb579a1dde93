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
	// rulesBefore is from how long ago on rules are filled in: windows of the month are counted.
	rulesBefore = 100 * 24 * time.Hour
	// rulesAhead is for how long they are. Beyond nothing is moved until the policy is proposed anew.
	rulesAhead = 5 * 366 * 24 * time.Hour
)

const zonesHeader = "# Filled in as it was proposed; it is made anew whenever the document is proposed again.\n"

// filled is what AddZoneRules has written, up to the document's end: nothing that anybody wrote after it is lost.
var zonesSection = regexp.MustCompile(`(?:\A|\n)` + regexp.QuoteMeta(zonesHeader) +
	`(?:\[zones\."[^"\n]*"\]\nchanges = \[[^\]]*\]\n)*\z`)

// AddZoneRules returns a document with what clocks show in its contracts' zones added, by this machine's zone data,
// so that all agents go by the same. What the document says of a zone by itself stays. One that cannot be
// read is returned as it is: it is refused for that.
func AddZoneRules(document []byte, now time.Time) ([]byte, error) {
	if at := zonesSection.FindIndex(document); at != nil {
		document = document[:at[0]]
	}
	d, err := ParseDocument("policy", document)
	if err != nil {
		return document, nil
	}
	text := ""
	for _, zone := range d.contractZones() {
		if _, said := d.file.Zones[zone]; said || contract.IsFixedZone(zone) {
			continue
		}
		rules, err := contract.ZoneRules(zone, now.Add(-rulesBefore), now.Add(rulesAhead))
		if err != nil {
			return nil, err
		}
		text += fmt.Sprintf("[zones.%q]\nchanges = [\"%s\"]\n", zone, strings.Join(rules, "\",\n  \""))
	}
	if text == "" {
		return document, nil
	}
	return slices.Concat(document, []byte("\n"+zonesHeader+text)), nil
}

// zones are those of the contracts, each once.
func (d *Document) contractZones() (all []string) {
	for _, t := range d.file.Contracts {
		all = append(all, t.Zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// ZoneDifferences tells of each zone whose rules, as the document says them, differ from this machine's zone data, by
// names in order; nil: none.
func (d *Document) ZoneDifferences() (err error) {
	for _, zone := range slices.Sorted(maps.Keys(d.file.Zones)) {
		if differs := contract.CompareZoneData(zone, d.file.Zones[zone].Changes); differs != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", zone, differs))
		}
	}
	return err
}
