// Package fragment carries messages of up to 160 KiB between agents in datagrams of at most 256 bytes, which
// may be lost, delayed, duplicated, reordered or corrupted.
//
// A message that fits into one datagram is sent once and forgotten: it may be lost, or delivered twice. A
// longer one is cut into fragments, which are resent by what the receiver acknowledges until all have arrived
// or the message is given up: it is delivered once or never, to one process. Whoever needs a reply retries
// above this package.
//
// What is delivered is what was sent: each datagram has a checksum, and a long message another one over the
// complete message. These detect corruption in transit, not a malicious agent.
//
// A process numbers itself by its incarnation, higher at each start; fragments of an earlier incarnation are
// dropped, so that messages from before and after a restart are not mixed.
//
// The package does no I/O and reads no clock: every call brings the time, and Out returns what is to be sent.
// Equal calls give equal results. Memory is bounded by Config. A Transport starts no goroutines and is not
// safe for concurrent use.
package fragment
