package contract

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// maxOffsets is the most different offsets of one zone's rules.
const maxOffsets = 16

// newLocation is a time zone with these offsets, and the first of them before the first change. A
// time.Location can only be made from zone data: they are in the form of version 2 of RFC 9636, whose first
// part, of 32 bits, is empty.
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

// zoneDataHeader is the header of one part of zone data.
func zoneDataHeader(times, types, names int) []byte {
	h := append([]byte("TZif2"), make([]byte, 15)...)
	for _, n := range []int{0, 0, 0, times, types, names} {
		h = binary.BigEndian.AppendUint32(h, uint32(n))
	}
	return h
}
