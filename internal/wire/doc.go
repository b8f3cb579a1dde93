// Package wire implements the simulator's line protocol: it decodes batches of messages and encodes actions.
// It makes no decisions, and its only state is the strings that a Decoder has stored.
//
// All names of the protocol are in names.go. A Decoder is not safe for concurrent use; the other functions
// are.
package wire
