package membership

// Status is what is known of an agent.
type Status uint8

// The statuses.
const (
	// Unknown agents had no contact yet, and not enough time has passed to call them silent.
	Unknown Status = iota
	// Alive agents had contact lately.
	Alive
	// Suspect agents had no contact for half of the time after which they are silent.
	Suspect
	// OneWay agents are received by others but do not receive them.
	OneWay
	// Silent agents had no contact for long.
	Silent
	// Left agents have announced that they leave.
	Left
)

// String returns the name that operators' commands show.
func (s Status) String() string {
	return [...]string{"unheard", "here", "doubted", "cut off on one side", "silent", "left"}[min(s, Left)]
}

// isPresent reports whether an agent with this status has to be reckoned with.
func (s Status) isPresent() bool { return s < Silent }

// Connection is what an agent knows of its own connection.
type Connection uint8

// The connections.
const (
	// Connected agents receive others and are received.
	Connected Connection = iota
	// Unconfirmed agents receive others, but nobody reports to have received them lately.
	Unconfirmed
	// Isolated agents receive nobody.
	Isolated
)
