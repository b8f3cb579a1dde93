// Package fragment carries messages of up to 160 KiB between agents in datagrams of at most 256 bytes, which
// may be lost, delayed, duplicated, reordered or corrupted.
//
// A short message, which fits into one datagram, is sent once and not resent: it may be lost, or delivered
// twice. A long message is split into fragments. Fragments that the receiver has not acknowledged are resent
// until all have arrived or the message is given up. A process delivers a long message at most once. Callers
// that need a reply have to retry.
//
// A delivered message equals the message that was sent: each datagram has a checksum, and a long message has
// another checksum of the complete message. The checksums detect corruption in transit, but do not protect
// against a malicious agent.
//
// A process is identified by its incarnation, which is higher at each start. Fragments of an earlier
// incarnation are dropped, so that messages from before and after a restart are not mixed.
//
// The package does no I/O and reads no clock: the time is an argument of each call, and Out returns the
// datagrams to be sent. Equal calls give equal results. Memory is bounded by Config. A Transport starts no
// goroutines and is not safe for concurrent use.
package fragment
