package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
)

// Versions of the sections whose encoding this package defines.
const (
	listVersion = 1
	idleVersion = 1
)

// section is a part of the content. Each has its own version, so that it can change independently.
type section struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Value   cbor.RawMessage
}

// sections is the encoded form of the content; any section may be absent. Keys must never be reused.
type sections struct {
	List            *section `cbor:"1,keyasint,omitempty"`
	Balancer        *section `cbor:"2,keyasint,omitempty"`
	IdleConnections *section `cbor:"3,keyasint,omitempty"`
	Overload        *section `cbor:"4,keyasint,omitempty"`
}

// encodeSections returns the encoded sections of the content.
func (c *Content) encodeSections() ([]byte, error) {
	var all sections
	err := errors.Join(
		encodeSection(&all.List, listVersion, c.List),
		encodeSection(&all.Balancer, balancer.SnapshotVersion, c.Balancer),
		encodeSection(&all.IdleConnections, idleVersion, c.IdleConnections),
		encodeSection(&all.Overload, overload.SnapshotVersion, c.Overload))
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(all)
}

// encodeSection encodes a value into a section. It leaves the section absent if value is nil.
func encodeSection[T any](into **section, version int, value *T) error {
	if value == nil {
		return nil
	}
	raw, err := encoding.Marshal(value)
	if err != nil {
		return fmt.Errorf("cannot encode a %T: %w", value, err)
	}
	*into = &section{Version: version, Value: raw}
	return nil
}

// decodeSections decodes content of the current format.
func (f *File) decodeSections(raw []byte) error {
	var all sections
	if err := decoding.Unmarshal(raw, &all); err != nil {
		return err
	}
	return errors.Join(decodeSection(f, "list", all.List, listVersion, &f.List),
		decodeSection(f, "module", all.Balancer, balancer.SnapshotVersion, &f.Balancer,
			(*balancer.Snapshot).MigrateFromVersion1),
		decodeSection(f, "idle", all.IdleConnections, idleVersion, &f.IdleConnections),
		decodeSection(f, "storm", all.Overload, overload.SnapshotVersion, &f.Overload))
}

// decodeSection decodes a section of the current version, or of an earlier one that the migrations convert;
// the first of them converts from version 1. A section of any other version is skipped and listed in
// SkippedSections. The name is the section's key in the exported JSON.
func decodeSection[T any](
	f *File,
	name string,
	from *section,
	version int,
	into **T,
	migrations ...func(*T),
) error {
	switch {
	case from == nil:
		return nil
	case from.Version < version-len(migrations) || from.Version > version:
		skipped := fmt.Sprintf("%s: version %d, this build supports %d", name, from.Version, version)
		f.SkippedSections = append(f.SkippedSections, skipped)
		return nil
	}
	value := new(T)
	if err := decoding.Unmarshal(from.Value, value); err != nil {
		return fmt.Errorf("section %s: %w", name, err)
	}
	for _, migrate := range migrations[from.Version-1:] {
		migrate(value)
	}
	*into = value
	return nil
}

// decodeFormat1 decodes the content of format 1: two sections of version 1, without a version number.
func (f *File) decodeFormat1(raw []byte) error {
	var c struct {
		List     *StoredList        `cbor:"1,keyasint,omitempty"`
		Balancer *balancer.Snapshot `cbor:"2,keyasint,omitempty"`
	}
	err := decoding.Unmarshal(raw, &c)
	if f.List, f.Balancer = c.List, c.Balancer; f.Balancer != nil {
		f.Balancer.MigrateFromVersion1()
	}
	return err
}
