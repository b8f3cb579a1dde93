// Package protocol defines the typed values that the agent receives and sends (requests, responses, the
// endpoint list, settings, datagrams, operators' calls) and their HTTP, JSON and datagram encodings. All
// names on the wire are defined here, as struct tags and string constants: see docs/design/naming.md.
//
// The package opens no socket: it decodes and encodes the bytes that package transport reads and writes.
package protocol
