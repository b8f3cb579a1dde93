// Package bodystream carries a body from the connection that brings it to the one that takes it, in budgeted
// memory.
//
// A Stream is one body. One goroutine writes it: WriteBuffer and Wrote, and at last CloseWrite. One reads it:
// ReadBuffer and Consumed, and at last CloseRead. Abort, from any goroutine, ends the waiting of both. The
// Stream owns the memory of its grant, and gives it back after CloseWrite and CloseRead; the goroutines are
// the callers', but for the one that runs the function of OnStop. The clock is the machine's: times are for
// Progress only.
package bodystream
