// Package outlier detects healthy, suspect and ejected upstream servers from the outcomes of the attempts at
// them.
//
// A Detector compares each server with the recent failure ratios of the other servers, cause by cause, so
// that a failure that affects all servers counts against none of them. The evidence of a failure is the
// logarithm of how unusual it is. A server is ejected when its evidence reaches ejectionEvidence; it then
// gets only probe requests, until enough of them are served. The detector also recognizes a server that fails
// a fraction of its attempts, one that fails a single class, and one that rejects requests. If most servers
// look faulty at once, one cause near this agent is more likely, and the verdicts should not be followed: see
// Detector.DistrustReason.
//
// A Detector owns the state of its servers. It does no I/O and has no clock: the caller passes the current
// time. It is deterministic: the same calls give the same verdicts, bit for bit, so that the order of
// floating-point operations is part of the behaviour. A Detector is not safe for concurrent use: one
// goroutine owns it.
package outlier
