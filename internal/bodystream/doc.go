// Package bodystream passes a body from the connection that receives it to the connection that forwards it,
// in memory that is reserved from a byte budget.
//
// A Stream is one body. One goroutine writes it with WriteBuffer and CommitWrite, and finally calls
// CloseWrite. One goroutine reads it with ReadBuffer and Consume, and finally calls CloseRead. Abort, from
// any goroutine, ends the waits of both sides. The Stream owns its memory grant and releases it after
// CloseWrite and CloseRead. It starts no goroutine except the one that runs the function set by OnStop. It
// reads the system clock, only for Progress.
package bodystream
