// Package outlier detects which upstream servers are healthy, suspect or ejected, by how attempts at them
// end.
//
// A Detector judges a server against what is usual over the fleet at the time, cause by cause: what all
// servers suffer from is no server's fault. The evidence of a failure is the logarithm of how unusual it is;
// from a sum of ejectionEvidence on, a server is ejected, and gets probe requests only until enough of them
// are served. It also notices a server that fails a part of its attempts, one that fails a single class, and
// one that rejects what it gets. Where most servers look bad at once, it is likelier one cause near this
// agent, and its verdicts are not to be trusted.
//
// A Detector owns what is known of each server. There is no input or output here, and no clock: every call
// brings the time. Determinism: the same calls give the same verdicts, to the last digit; the order of
// floating-point operations is part of the behaviour. A Detector is not safe for concurrent use: one
// goroutine owns it.
package outlier
