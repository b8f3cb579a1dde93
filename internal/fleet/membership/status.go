package membership

// Status is the state of an agent in the view of another one. A contact of an agent is a message that any
// agent received from it.
type Status uint8

// The statuses.
const (
	// Unknown agents had no contact since the start of this agent, which is less than the silence timeout ago.
	Unknown Status = iota
	// Alive agents had a contact within half of the silence timeout.
	Alive
	// Suspect agents had no contact within half of the silence timeout.
	Suspect
	// OneWay agents send messages that other agents receive, but do not receive the messages of others.
	OneWay
	// Silent agents had no contact within the silence timeout.
	Silent
	// Left agents have announced that they leave.
	Left
)

// String returns the name of the status in operators' commands.
func (s Status) String() string {
	return [...]string{"unheard", "here", "doubted", "cut off on one side", "silent", "left"}[min(s, Left)]
}

// isPresent reports whether an agent with this status counts as present.
func (s Status) isPresent() bool { return s < Silent }

// Connection is the state of an agent's own connection to the other agents.
type Connection uint8

// The connections.
const (
	// Connected agents receive messages, and other agents report to receive theirs.
	Connected Connection = iota
	// Unconfirmed agents receive messages, but no agent reports to have received theirs within the silence
	// timeout.
	Unconfirmed
	// Isolated agents receive no messages.
	Isolated
)
