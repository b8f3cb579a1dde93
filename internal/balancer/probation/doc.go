// Package probation limits what may be sent to the servers of a list that nobody has confirmed: one that was
// kept from before a restart, while discovery cannot be called. Any of its servers may be gone, silent,
// warming up or another program by now.
//
// Each server starts with a limit of very few attempts in flight. Every response doubles it, and a few in a
// row prove the server. Idempotent requests go first, each for a part of its time only: what comes of a bad
// server is a retry in time, and not a client without an answer.
//
// A List holds what is known of the servers of one agent. There is no input or output here, and no clock:
// every call brings the time. The same calls give the same answers. Neither a List nor a Server is safe for
// concurrent use.
package probation
