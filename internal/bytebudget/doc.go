// Package bytebudget divides the memory for request and response bodies, in both directions, from one
// budget in bytes. A Budget only makes the decisions; a Pool lets goroutines wait for their grants.
//
// No reservation waits forever. Code that forwards a body reserves once, before the body is read, the
// minimum that it needs to complete. For anything beyond that it uses TryReserve, which does not wait. A
// request that holds its body's memory waits for its response; therefore requests have a limit of their
// own, and a response waits only for other responses.
//
// A Budget is not safe for concurrent use, reads no clock, and is deterministic. A Pool is safe for
// concurrent use; it starts no goroutines.
package bytebudget
