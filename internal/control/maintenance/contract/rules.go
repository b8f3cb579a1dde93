package contract

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxRules   = 256
	maxOffsets = 16             // that differ, in one zone's rules
	maxOffset  = 14 * time.Hour // no zone is further from UTC
	rulesEnd   = "end"
)

// ErrZoneDataDiffers is that a machine's zone data have other rules.
var ErrZoneDataDiffers = errors.New("this machine's zone data say otherwise")

// ZoneRules is what a zone's clocks show from one moment to another, as this machine's zone data have it and,
// where it has none, those in the program: each entry is a moment from which on clocks show an offset, as
// "2027-03-28T01:00:00Z +03:00"; the last is "2031-12-02T00:00:00Z end". It reads zone data: it is for who
// writes rules down, and not for those who go by them.
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
	return append(rules, until.UTC().Truncate(time.Second).Format(time.RFC3339)+" "+rulesEnd), nil
}

// CompareZoneData is ErrZoneDataDiffers where this machine's zone data differ from rules, with the first moment. As ZoneRules it
// reads zone data.
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

func (a zoneRules) compare(own *time.Location) error {
	for at := a.from; at.Before(a.until); {
		said, here := at.In(a.zone), at.In(own)
		if wallSeconds(said) != wallSeconds(here) {
			return fmt.Errorf("%w: %s from %s on, not %s", ErrZoneDataDiffers, here.Format("-07:00"),
				at.UTC().Format(time.RFC3339), said.Format("-07:00"))
		}
		at = nextOffsetChange(said, here, a.until)
	}
	return nil
}

// nextOffsetChange is when either of two clocks is changed next, or a time by which neither is.
func nextOffsetChange(said, here, until time.Time) time.Time {
	for _, t := range []time.Time{said, here} {
		if _, changes := t.ZoneBounds(); !changes.IsZero() && changes.Before(until) {
			until = changes
		}
	}
	return until
}

// ContractWithRules is Contract by rules of the zone that were agreed on, whatever this machine's zone data are.
// Beyond them nothing is allowed, as nobody agreed on what clocks show there.
func (t Table) ContractWithRules(rules []string) (*Contract, error) {
	named := t.Zone
	if t.Zone = "UTC"; !isPlausibleZone(named) {
		t.Zone = named // refused below, with all else that is wrong
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

// IsFixedZone tells whether a zone needs no rules: every machine has the same.
func IsFixedZone(zone string) bool { return zone == "UTC" }

// agreed is what rules say.
type zoneRules struct {
	zone        *time.Location
	from, until time.Time
}

// parseRules reads entries in ascending order, the last of them the end.
func parseRules(rules []string) (zoneRules, error) {
	if len(rules) < 2 || len(rules) > maxRules {
		return zoneRules{}, fmt.Errorf("rules must have 2 to %d entries", maxRules)
	}
	var all []offsetChange
	for i, text := range rules {
		moment, offset, _ := strings.Cut(text, " ")
		at, err := time.Parse(time.RFC3339, moment)
		shown, wrong := time.Parse("-07:00", offset)
		_, seconds := shown.Zone()
		ends := i == len(rules)-1
		switch {
		case err != nil, ends != (offset == rulesEnd), !ends && wrong != nil,
			time.Duration(max(seconds, -seconds))*time.Second > maxOffset, at.Year() < 1970 || at.Year() > 2200,
			at.Nanosecond() > 0:
			return zoneRules{}, fmt.Errorf("%.80q must be as 2027-03-28T01:00:00Z +03:00, the last as "+
				"2031-12-02T00:00:00Z end", text)
		case i > 0 && !at.After(all[i-1].at):
			return zoneRules{}, fmt.Errorf("%.80q must be after the entry before it", text)
		}
		all = append(all, offsetChange{at, seconds})
	}
	zone, err := newLocation(all[:len(all)-1])
	return zoneRules{zone: zone, from: all[0].at, until: all[len(all)-1].at}, err
}

// change is from when on clocks show an offset, in seconds.
type offsetChange struct {
	at     time.Time
	offset int
}

// location is a zone whose clocks show these offsets, and before the first the first. A time.Location is made
// from zone data alone: RFC 9636's form of version 2, whose first part, of 32 bits, is empty.
func newLocation(all []offsetChange) (*time.Location, error) {
	var offsets []int
	for _, c := range all {
		if !slices.Contains(offsets, c.offset) {
			offsets = append(offsets, c.offset)
		}
	}
	if len(offsets) > maxOffsets {
		return nil, fmt.Errorf("rules must have at most %d offsets", maxOffsets)
	}
	var times, kinds, types, names []byte
	for _, c := range all {
		times = binary.BigEndian.AppendUint64(times, uint64(c.at.Unix()))
		kinds = append(kinds, byte(slices.Index(offsets, c.offset)))
	}
	for _, offset := range offsets {
		types = append(binary.BigEndian.AppendUint32(types, uint32(offset)), 0, byte(len(names)))
		shown := time.Unix(0, 0).In(time.FixedZone("", offset)).Format("-0700")
		names = append(append(names, shown...), 0)
	}
	data := append(zoneDataHeader(0, 0, 0), zoneDataHeader(len(all), len(offsets), len(names))...)
	for _, part := range [][]byte{times, kinds, types, names, []byte("\n\n")} {
		data = append(data, part...)
	}
	return time.LoadLocationFromTZData("agreed", data)
}

// header is that of one part of zone data.
func zoneDataHeader(times, types, names int) []byte {
	h := append([]byte("TZif2"), make([]byte, 15)...)
	for _, n := range []int{0, 0, 0, times, types, names} {
		h = binary.BigEndian.AppendUint32(h, uint32(n))
	}
	return h
}
