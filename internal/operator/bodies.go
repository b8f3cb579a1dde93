package operator

// Bodies is the table "answers": limits for the bodies of responses and requests.
type Bodies struct {
	// MaxKB is the largest response body accepted from an upstream server, in KiB. A longer one, or one
	// whose announced length is longer, is an invalid response.
	MaxKB int64 `toml:"longest_kb" min:"64" max:"1048576"`
	// BufferedKB is the size in KiB up to which a response is buffered until it is complete; 0 stands for 64.
	BufferedKB int64 `toml:"whole_kb" min:"0" max:"65536"`
	// MaxBufferingMS is how long after its first byte a response may be buffered, in milliseconds, if it is
	// not known to fit into BufferedKB; then it is streamed.
	MaxBufferingMS int64 `toml:"hold_ms" min:"0" max:"60000"`
	// MemoryFraction is the fraction of limits.memory_mb that all bodies together may occupy.
	MemoryFraction float64 `toml:"memory_share" min:"0.02" max:"0.5"`
	// ClientStallMS is how long a client may read nothing of its response before it is disconnected, in
	// milliseconds.
	ClientStallMS int64 `toml:"stall_ms" min:"100" max:"60000"`
	// ClientLagMS is how much longer than the upstream server itself needed a client may occupy the server's
	// connection, in milliseconds.
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

// check returns the first key whose value contradicts another key's, and what is required of it.
func (b Bodies) check() (key, problem string) {
	if b.BufferedKB > b.MaxKB {
		return "whole_kb", "must not be above longest_kb"
	}
	return "", ""
}
