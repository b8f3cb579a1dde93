// Package protocol has the typed values of what the agent receives and sends (requests, responses, the
// endpoint list, settings, datagrams, operators' calls) and their HTTP, JSON and datagram forms. The names on
// the wire stand here alone, as struct tags and string constants: see docs/design/naming.md.
//
// It opens no socket: it decodes from and encodes to what package transport reads and writes.
package protocol
