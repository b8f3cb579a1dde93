package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
)

// The versions of the sections that this package itself gives a meaning.
const (
	listVersion = 1
	idleVersion = 1
)

// section is a part of the content with a version of its own, so that each can change without the others.
type section struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Value   cbor.RawMessage
}

// sections is the content as it is laid out; any may be absent. Their numbers are never used for anything
// else.
type sections struct {
	List            *section `cbor:"1,keyasint,omitempty"`
	Balancer        *section `cbor:"2,keyasint,omitempty"`
	IdleConnections *section `cbor:"3,keyasint,omitempty"`
	Overload        *section `cbor:"4,keyasint,omitempty"`
}

// encode lays out the content.
func (c *Content) encodeSections() ([]byte, error) {
	var all sections
	err := errors.Join(encodeSection(&all.List, listVersion, c.List), encodeSection(&all.Balancer, balancer.SnapshotVersion, c.Balancer),
		encodeSection(&all.IdleConnections, idleVersion, c.IdleConnections), encodeSection(&all.Overload, overload.SnapshotVersion, c.Overload))
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(all)
}

func encodeSection[T any](to **section, version int, value *T) error {
	if value == nil {
		return nil
	}
	raw, err := encoding.Marshal(value)
	*to = &section{Version: version, Value: raw}
	return err
}

// decode reads the content of the present format.
func (f *File) decodeSections(raw []byte) error {
	var all sections
	if err := decoding.Unmarshal(raw, &all); err != nil {
		return err
	}
	return errors.Join(decodeSection(f, "list", all.List, listVersion, &f.List),
		decodeSection(f, "module", all.Balancer, balancer.SnapshotVersion, &f.Balancer, (*balancer.Snapshot).MigrateFromVersion1),
		decodeSection(f, "idle", all.IdleConnections, idleVersion, &f.IdleConnections),
		decodeSection(f, "storm", all.Overload, overload.SnapshotVersion, &f.Overload))
}

// take reads a section. What an earlier version left is turned into the present one by the steps from version
// 1 on; a later version is left out, and told.
func decodeSection[T any](f *File, name string, from *section, version int, to **T, steps ...func(*T)) error {
	switch {
	case from == nil:
		return nil
	case from.Version < version-len(steps) || from.Version > version:
		f.SkippedSections = append(f.SkippedSections, fmt.Sprintf("%s: version %d, known is %d", name, from.Version, version))
		return nil
	}
	value := new(T)
	if err := decoding.Unmarshal(from.Value, value); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for _, step := range steps[from.Version-1:] {
		step(value)
	}
	*to = value
	return nil
}

// decode1 reads the content of format 1, which had the first versions of these two parts.
func (f *File) decodeFormat1(raw []byte) error {
	var c struct {
		List   *StoredList        `cbor:"1,keyasint,omitempty"`
		Module *balancer.Snapshot `cbor:"2,keyasint,omitempty"`
	}
	err := decoding.Unmarshal(raw, &c)
	if f.List, f.Balancer = c.List, c.Module; f.Balancer != nil {
		f.Balancer.MigrateFromVersion1()
	}
	return err
}
