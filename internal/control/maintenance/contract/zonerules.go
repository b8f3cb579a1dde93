package contract

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// maxRules is the maximum number of entries in a zone's rules.
	maxRules = 256
	// maxOffset is the maximum offset from UTC, in both directions; no zone exceeds it.
	maxOffset = 14 * time.Hour
	// endMarker replaces the offset in the last entry, after whose time no offset is agreed.
	endMarker = "end"
)

// ErrZoneDataDiffers is wrapped by the error for rules that differ from this machine's zone data.
var ErrZoneDataDiffers = errors.New("this machine's zone data differ")

// ZoneRules returns the UTC offsets of a zone from one moment until another, using this machine's zone data,
// or the copy in the program if the machine has none. Each entry is a moment and the offset that applies from
// then on, such as "2027-03-28T01:00:00Z +03:00"; the last has no offset, such as "2031-12-02T00:00:00Z end".
// It is used to write rules into a policy document; agents use the rules in the document.
func ZoneRules(zone string, from, until time.Time) (rules []string, err error) {
	location, err := loadZone(zone)
	if err != nil {
		return nil, err
	}
	for at := from.Truncate(time.Second); at.Before(until); {
		local := at.In(location)
		rules = append(rules, at.UTC().Format(time.RFC3339)+local.Format(" -07:00"))
		_, changes := local.ZoneBounds()
		if changes.IsZero() {
			break
		}
		at = changes
	}
	return append(rules, until.UTC().Truncate(time.Second).Format(time.RFC3339)+" "+endMarker), nil
}

// CompareZoneData compares a zone's rules with this machine's zone data, which it reads. If they differ, the
// error wraps ErrZoneDataDiffers and names the first moment that differs. It also returns an error for an
// unknown zone or malformed rules.
func CompareZoneData(zone string, rules []string) error {
	own, err := loadZone(zone)
	if err != nil {
		return err
	}
	agreed, err := parseRules(rules)
	if err != nil {
		return err
	}
	return agreed.compare(own)
}

// ContractWithRules is like Contract, but uses agreed rules of the zone instead of this machine's zone data.
// Nothing is allowed at moments that the rules do not cover. The error is Problems.
func (t Table) ContractWithRules(rules []string) (*Contract, error) {
	zone := t.Zone
	if t.Zone = "UTC"; !isPlausibleZone(zone) {
		t.Zone = zone // Contract reports it, with all other problems
	}
	c, err := t.Contract()
	if err != nil {
		return nil, err
	}
	agreed, err := parseRules(rules)
	if err != nil {
		return nil, Problems{{"zone", err.Error()}}
	}
	c.zone = agreed.zone
	c.earliest = max(c.earliest, time.Duration(agreed.from.UnixNano()))
	c.latest = min(c.latest, time.Duration(agreed.until.UnixNano())-1)
	return c, nil
}

// IsFixedZone reports whether a zone needs no rules because it is the same on every machine.
func IsFixedZone(zone string) bool { return zone == "UTC" }

// zoneRules has the parsed rules of a zone.
type zoneRules struct {
	zone        *time.Location
	from, until time.Time
}

// offsetChange is a moment and the offset that applies from then on.
type offsetChange struct {
	at     time.Time
	offset int // seconds east of UTC
}

// parseRules parses entries, which must be in ascending order and end with an endMarker entry.
func parseRules(rules []string) (zoneRules, error) {
	if len(rules) < 2 || len(rules) > maxRules {
		return zoneRules{}, fmt.Errorf("rules must have 2 to %d entries", maxRules)
	}
	var all []offsetChange
	for i, text := range rules {
		change, isEnd, ok := parseRule(text)
		if !ok || isEnd != (i == len(rules)-1) {
			return zoneRules{}, fmt.Errorf("%.80q must be as in 2027-03-28T01:00:00Z +03:00, the last as in "+
				"2031-12-02T00:00:00Z end", text)
		}
		if i > 0 && !change.at.After(all[i-1].at) {
			return zoneRules{}, fmt.Errorf("%.80q must be after the entry before it", text)
		}
		all = append(all, change)
	}
	zone, err := newLocation(all[:len(all)-1])
	return zoneRules{zone: zone, from: all[0].at, until: all[len(all)-1].at}, err
}

// parseRule parses one entry; ok is false if it is malformed.
func parseRule(text string) (change offsetChange, isEnd, ok bool) {
	moment, offset, _ := strings.Cut(text, " ")
	at, err := time.Parse(time.RFC3339, moment)
	if err != nil || at.Year() < 1970 || at.Year() > 2200 || at.Nanosecond() > 0 {
		return offsetChange{}, false, false
	}
	if offset == endMarker {
		return offsetChange{at: at}, true, true
	}
	parsed, err := time.Parse("-07:00", offset)
	_, seconds := parsed.Zone()
	if err != nil || time.Duration(max(seconds, -seconds))*time.Second > maxOffset {
		return offsetChange{}, false, false
	}
	return offsetChange{at, seconds}, false, true
}

// compare returns an error that wraps ErrZoneDataDiffers if a location has other offsets than the rules.
func (z zoneRules) compare(own *time.Location) error {
	for at := z.from; at.Before(z.until); {
		agreed, here := at.In(z.zone), at.In(own)
		if wallSeconds(agreed) != wallSeconds(here) {
			return fmt.Errorf("%w: %s from %s on, not %s", ErrZoneDataDiffers, here.Format("-07:00"),
				at.UTC().Format(time.RFC3339), agreed.Format("-07:00"))
		}
		at = nextOffsetChange(agreed, here, z.until)
	}
	return nil
}

// nextOffsetChange returns when the offset of either of two local times changes next, at most until.
func nextOffsetChange(a, b, until time.Time) time.Time {
	for _, t := range []time.Time{a, b} {
		if _, changes := t.ZoneBounds(); !changes.IsZero() && changes.Before(until) {
			until = changes
		}
	}
	return until
}
