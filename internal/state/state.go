// Package state encodes what an agent learned, so that its next process starts from it: the endpoint list,
// the balancer's and the overload control's statistics, and the limit on idle connections.
//
// It is one file, which is always written as a whole: Decode accepts a complete file that this program wrote,
// or nothing. Encode and Decode own the layout (format.go, sections.go, storedlist.go); package folder owns
// where files lie and when they are written. NewInitial decides what an agent starts from, and a Recorder
// collects what a running agent has learned.
//
// The package does no input or output, reads no clock, and starts no goroutine. Its types are not safe for
// concurrent use. The same content gives the same bytes.
package state

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/routing"
)

// Owner identifies the agent whose state a file holds.
type Owner struct {
	Deployment string `cbor:"1,keyasint" json:"deployment"`
	Agent      string `cbor:"2,keyasint" json:"agent"`
}

// Header describes a file.
type Header struct {
	Owner Owner `cbor:"1,keyasint" json:"owner"`
	// WrittenMS is when the file was written, in Unix milliseconds.
	WrittenMS int64 `cbor:"2,keyasint" json:"written_ms"`
	// Generation is one more than that of the file before. It stands beside the encoded header.
	Generation uint64 `cbor:"-" json:"generation"`
}

// Age is how long ago the file was written. Below zero, the clock was set back: the age is not known.
func (h *Header) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.WrittenMS)) }

// Content is what an agent learned. A section that is absent is nil. The names in the JSON that is exported
// are older than the fields'.
type Content struct {
	List            *StoredList           `json:"list,omitempty"`
	Balancer        *balancer.Snapshot    `json:"module,omitempty"`
	IdleConnections *routing.IdleSnapshot `json:"idle,omitempty"`
	Overload        *overload.Snapshot    `json:"storm,omitempty"`
}

// File is a complete file.
type File struct {
	Header  `json:"header"`
	Content `json:"content"`
	// Format is the version of the layout that the file had when it was read.
	Format int `json:"format"`
	// SkippedSections describes the sections that have a version this build can't read.
	SkippedSections []string `json:"skipped,omitempty"`
}

// IsNewerThan tells which of two files was written later: by the generation, and for files of format 1, which
// have none, by the time.
func (f *File) IsNewerThan(other *File) bool {
	if f.Generation != other.Generation {
		return f.Generation > other.Generation
	}
	return f.WrittenMS > other.WrittenMS
}
