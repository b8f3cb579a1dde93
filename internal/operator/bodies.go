package operator

// Bodies is the table "answers": limits for response and request bodies.
type Bodies struct {
	// MaxKB is the maximum size of a response body accepted from an upstream server, in KiB. A response with a
	// longer body or a longer announced length is invalid.
	MaxKB int64 `toml:"longest_kb" min:"64" max:"1048576"`
	// BufferedKB is the size in KiB up to which a response is buffered until it is complete; 0 means 64.
	BufferedKB int64 `toml:"whole_kb" min:"0" max:"65536"`
	// MaxBufferingMS is the time after its first byte, in milliseconds, for which a response that is not known
	// to fit into BufferedKB may be buffered; after that it is streamed.
	MaxBufferingMS int64 `toml:"hold_ms" min:"0" max:"60000"`
	// MemoryFraction is the maximum fraction of limits.memory_mb for all bodies together.
	MemoryFraction float64 `toml:"memory_share" min:"0.02" max:"0.5"`
	// ClientStallMS is the time in milliseconds after which a client that reads nothing of its response is
	// disconnected.
	ClientStallMS int64 `toml:"stall_ms" min:"100" max:"60000"`
	// ClientLagMS is the maximum time in milliseconds that a client may occupy an upstream connection beyond the
	// time that the server itself needed.
	ClientLagMS int64 `toml:"lag_ms" min:"0" max:"60000"`
}

func defaultBodies() Bodies {
	return Bodies{
		MaxKB:          65536,
		MaxBufferingMS: 50,
		MemoryFraction: 0.125,
		ClientStallMS:  10000,
		ClientLagMS:    5000,
	}
}

// check returns the first key that contradicts another one, and its requirement; empty strings if there is
// none.
func (b Bodies) check() (key, problem string) {
	if b.BufferedKB > b.MaxKB {
		return "whole_kb", "must not be above longest_kb"
	}
	return "", ""
}
