package fragment

// batches are the datagrams that are not full yet, at most one for each agent.
type batches struct {
	open  map[uint32][]byte // encoded frames, by agent
	order []uint32          // keys of open, in the order in which their datagrams were started
}

// add adds a frame to the open datagram of an agent. If the frame does not fit, add returns that datagram and
// starts a new one; otherwise it returns nil.
func (b *batches) add(to uint32, frame []byte) (full []byte) {
	frames, isOpen := b.open[to]
	if !isOpen {
		b.order = append(b.order, to)
	}
	if len(frames)+len(frame) > MaxDatagramBytes-headerBytes {
		full, frames = encodeDatagram(frames), nil
	}
	b.open[to] = append(frames, frame...)
	return full
}

// flush appends all open datagrams to a list and returns it.
func (b *batches) flush(to []Datagram) []Datagram {
	for _, agent := range b.order {
		to = append(to, Datagram{agent, encodeDatagram(b.open[agent])})
		delete(b.open, agent)
	}
	b.order = b.order[:0]
	return to
}
