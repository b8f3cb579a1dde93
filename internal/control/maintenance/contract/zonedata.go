package contract

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// maxOffsets is the maximum number of distinct offsets in a zone's rules.
const maxOffsets = 16

// newLocation returns a time zone with the given offset changes; before the first change it has the first
// offset. A time.Location can only be created from zone data, so the function encodes the changes as version
// 2 data of RFC 9636 (TZif) with an empty 32-bit part.
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
		name := time.Unix(0, 0).In(time.FixedZone("", offset)).Format("-0700")
		names = append(append(names, name...), 0)
	}
	data := append(zoneDataHeader(0, 0, 0), zoneDataHeader(len(all), len(offsets), len(names))...)
	for _, part := range [][]byte{times, kinds, types, names, []byte("\n\n")} {
		data = append(data, part...)
	}
	return time.LoadLocationFromTZData("agreed", data)
}

// zoneDataHeader returns the header of one part of zone data with the given counts; names is in bytes.
func zoneDataHeader(times, types, names int) []byte {
	h := append([]byte("TZif2"), make([]byte, 15)...)
	for _, n := range []int{0, 0, 0, times, types, names} {
		h = binary.BigEndian.AppendUint32(h, uint32(n))
	}
	return h
}
