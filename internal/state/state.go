// Package state encodes an agent's learned state so that its next process can start with it: the endpoint
// list, the statistics of the balancer and of overload control, and the limit on idle connections.
//
// The state is one file that is always written as a whole: Decode accepts only a complete file written by
// this program. Encode and Decode define the layout (format.go, sections.go, storedlist.go); package folder
// decides where files are stored and when they are written. NewInitial combines a stored file with the
// configuration when an agent starts, and a Recorder takes snapshots of a running agent.
//
// The package does no input or output, reads no clock, and starts no goroutine. Its types are not safe for
// concurrent use. Encoding is deterministic: equal content gives equal bytes.
package state

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/routing"
)

// Owner identifies the agent whose state a file contains.
type Owner struct {
	Deployment string `cbor:"1,keyasint" json:"deployment"`
	Agent      string `cbor:"2,keyasint" json:"agent"`
}

// Header identifies a file's owner, time and generation.
type Header struct {
	Owner Owner `cbor:"1,keyasint" json:"owner"`
	// WrittenMS is when the file was written, in Unix milliseconds.
	WrittenMS int64 `cbor:"2,keyasint" json:"written_ms"`
	// Generation is one higher than in the previous file. It is stored in the fixed part, not in this header.
	Generation uint64 `cbor:"-" json:"generation"`
}

// Age returns the time since the file was written. A negative age means that the clock was set back and the
// age is unknown.
func (h *Header) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.WrittenMS)) }

// Content is an agent's learned state. Absent sections are nil. The exported JSON keeps older names for some
// fields.
type Content struct {
	List            *StoredList           `json:"list,omitempty"`
	Balancer        *balancer.Snapshot    `json:"module,omitempty"`
	IdleConnections *routing.IdleSnapshot `json:"idle,omitempty"`
	Overload        *overload.Snapshot    `json:"storm,omitempty"`
}

// File is a complete decoded file.
type File struct {
	Header  `json:"header"`
	Content `json:"content"`
	// Format is the format version of the decoded file.
	Format int `json:"format"`
	// SkippedSections describes the sections whose version this build can't read.
	SkippedSections []string `json:"skipped,omitempty"`
}

// IsNewerThan reports whether f was written later than other. It compares the generations, or the times if
// the generations are equal, as in files of format 1, which have none.
func (f *File) IsNewerThan(other *File) bool {
	if f.Generation != other.Generation {
		return f.Generation > other.Generation
	}
	return f.WrittenMS > other.WrittenMS
}
