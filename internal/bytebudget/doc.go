// Package bytebudget shares out the memory that bodies may occupy: of requests and responses, in both
// directions, from one budget that is counted by the byte. Budget decides, and does nothing else; Pool is the
// same for goroutines that wait.
//
// Nobody waits for ever: whoever carries a body reserves once, before the body is read, what it needs at the
// least to get to its end, and only tries for what it would like beyond that. A request that holds its body's
// memory does wait for its response, so requests have a part of their own, and a response waits for other
// responses only.
//
// A Budget is not safe for concurrent use, has no clock, and decides the same for the same calls. A Pool is
// safe for concurrent use; it starts no goroutines.
package bytebudget
