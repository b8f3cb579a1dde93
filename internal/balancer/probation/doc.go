// Package probation limits what is sent to the servers of an unconfirmed endpoint list: a list that was
// stored before a restart and is used while discovery cannot be reached. Any of its servers may have been
// removed since, may not respond, may still be warming up, or may have been replaced by another program.
//
// Each server starts with a limit of very few attempts in flight. Every response doubles the limit, and a few
// responses in a row prove the server. Idempotent requests go first, and each attempt gets only a part of the
// request's time, so that a bad server leads to a retry in time and not to a client without an answer.
//
// A List is the state of the servers of one agent. The package does no I/O and has no clock: the caller
// passes the current time. The same calls give the same results. Neither a List nor a Server is safe for
// concurrent use.
package probation
