// Package slowstart limits how much one agent may send to an upstream server that warms up, or that is
// ejected and gets probe requests, so that all agents together do not overload it.
//
// Each agent keeps a Budget for each such server, filled in proportion to what it sends a warm one. No agent
// knows what the others send: what keeps their sum below the limit is that each one's fill rate is a fraction
// of its own traffic, and that the fractions of a request with which they start are random.
//
// There is no input or output here, and no clock: every call brings the time. The same calls give the same
// answers, to the last digit. A Budget is not safe for concurrent use.
package slowstart
