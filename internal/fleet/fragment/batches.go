package fragment

// batches are datagrams that are not full yet, by the agent, in the order in which they were begun.
type batches struct {
	open  map[uint32][]byte // the frames
	order []uint32
}

// add adds a frame to the datagram of an agent; if it does not fit, the former datagram is returned and
// another begun.
func (b *batches) add(to uint32, frame []byte) (full []byte) {
	frames, isOpen := b.open[to]
	if !isOpen {
		b.order = append(b.order, to)
	}
	if len(frames)+len(frame) > MaxDatagramBytes-headerBytes {
		full, frames = seal(frames), nil
	}
	b.open[to] = append(frames, frame...)
	return full
}

// flush appends all open datagrams to others.
func (b *batches) flush(to []Datagram) []Datagram {
	for _, agent := range b.order {
		to = append(to, Datagram{agent, seal(b.open[agent])})
		delete(b.open, agent)
	}
	b.order = b.order[:0]
	return to
}
