package routing

// What a client connection makes the process hold beside bodies, which have a budget of their own, in
// bytes: buffers, stacks and structures of net/http and of this agent, with what the garbage collector
// adds. docs/capacity.md has the measurements.
const (
	// ConnectionBytes is the cost of an open connection.
	ConnectionBytes = 16 << 10
	// InFlightBytes is the additional cost of a request in flight, with its attempt's connection.
	InFlightBytes = 16 << 10
	// HeaderByteCost and HeaderLineBytes are the cost of a byte and of a line of a request's header.
	HeaderByteCost  = 2
	HeaderLineBytes = 100
)

const (
	// processBytes is what the process holds without clients: its program's pages and the runtime.
	processBytes = 21 << 20
	// bodyCost is what a byte reserved for bodies costs: buffers that are free again, and not yet collected.
	bodyCost = 1.6
	// minConnectionMemory is the minimum for connections, however little memory the process may use.
	minConnectionMemory = 2 << 20
)

// ConnectionMemory returns how many bytes client connections may hold together in a process with a memory
// limit, of which bodies have a part.
func ConnectionMemory(memoryLimit, bodies int64) int64 {
	return max(memoryLimit-processBytes-int64(bodyCost*float64(bodies)), minConnectionMemory)
}

// HeaderBytes returns the cost of a request's header.
func HeaderBytes(bytes, lines int64) int64 { return HeaderByteCost*bytes + HeaderLineBytes*lines }
