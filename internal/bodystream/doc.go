// Package bodystream carries a body from the connection that brings it to the one that takes it, in budgeted
// memory.
//
// A Flow is one body. One goroutine writes it: Room and Came, and at last End. One reads it: Next and Took,
// and at last Close. Cut, from any goroutine, ends the waiting of both. The Flow owns the memory of its
// grant, and gives it back after End and Close; the goroutines are the callers', but for the one that runs
// the function of OnStop. The clock is the machine's: times are for Progress only.
package bodystream
