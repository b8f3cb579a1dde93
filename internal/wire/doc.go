// Package wire reads and writes the simulator's line protocol: batches of messages in, actions out. It makes
// no decisions and keeps no state but the strings that a Decoder has seen.
//
// All names of the protocol are in names.go. A Decoder is not safe for concurrent use; the other functions
// are.
package wire
