package fleet

import "time"

// maxApplications is the maximum number of stacked applications.
const maxApplications = 64

// applicationStack combines several applications at one node.
type applicationStack struct {
	first  Application
	others []Application // nil: the slot is empty
}

// StackApplications combines up to 64 applications at one node; later ones are ignored. Each of them is
// notified of applied records, in the given order. A lease is granted only if all of them agree, and the note
// of the first one is sent with lease requests. The messages of the first one are sent unchanged, so that
// agents that run it alone understand them; they must not begin with a byte over 127. Each later application
// has a slot, which has to be the same at all agents; nil leaves a slot empty. It returns nil if there are no
// applications.
func StackApplications(applications ...Application) Application {
	if len(applications) == 0 {
		return nil
	}
	return &applicationStack{applications[0], applications[1:min(len(applications), maxApplications)]}
}

// A message of an application after the first begins with a byte that identifies its slot. No message of the
// first application begins with such a byte: a message of the fleet policy begins with the top byte of Unix
// milliseconds, or, if it is a reply, with a small code. The second byte is the number of zeros that are
// appended as padding. The padding makes the message longer than any that an agent without stacked
// applications accepts, so that such an agent (of an earlier build or with other settings) drops it.
const (
	firstSlot       = 0x80 // first byte of a message of the first slot
	slotHeaderBytes = 2
	minSlottedBytes = 8 + 64 + 1 // one more than an incarnation with the longest note
)

// isSlotted reports whether a message is of an application after the first.
func isSlotted(data []byte) bool { return len(data) > 0 && data[0] >= firstSlot }

// encodeSlot encodes a message of the application in a slot.
func encodeSlot(slot int, data []byte) []byte {
	zeros := max(minSlottedBytes-slotHeaderBytes-len(data), 0)
	b := make([]byte, slotHeaderBytes, slotHeaderBytes+len(data)+zeros)
	b[0], b[1] = byte(firstSlot+slot), byte(zeros)
	return append(append(b, data...), make([]byte, zeros)...)
}

// decodeSlot returns the slot, the application and the content of a message. The application is nil if the
// slot is empty or the message is malformed.
func (s *applicationStack) decodeSlot(data []byte) (slot int, a Application, content []byte) {
	slot = int(data[0] - firstSlot)
	if slot >= len(s.others) || len(data) < minSlottedBytes || int(data[1]) > len(data)-slotHeaderBytes {
		return 0, nil, nil
	}
	return slot, s.others[slot], data[slotHeaderBytes : len(data)-int(data[1])]
}

// forEach calls do for each application, in order, with the function that encodes its messages.
func (s *applicationStack) forEach(do func(a Application, encode func([]byte) []byte)) {
	do(s.first, func(data []byte) []byte { return data })
	for slot, a := range s.others {
		if a != nil {
			do(a, func(data []byte) []byte { return encodeSlot(slot, data) })
		}
	}
}

// RecordsApplied implements Application.
func (s *applicationStack) RecordsApplied(now ClockReading, isNewEpoch bool) {
	s.forEach(func(a Application, _ func([]byte) []byte) { a.RecordsApplied(now, isNewEpoch) })
}

// LeaseNote implements Application. It returns the note of the first application.
func (s *applicationStack) LeaseNote() []byte { return s.first.LeaseNote() }

// MayGrantLease implements Application. The first application is called last, and only if the others agree,
// as it counts the leases that are granted.
func (s *applicationStack) MayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool {
	for _, a := range s.others {
		if a != nil && !a.MayGrantLease(now, agent, incarnation, note) {
			return false
		}
	}
	return s.first.MayGrantLease(now, agent, incarnation, note)
}

// HandleMessage implements Application.
func (s *applicationStack) HandleMessage(now ClockReading, from int, data []byte) []byte {
	if !isSlotted(data) {
		return s.first.HandleMessage(now, from, data)
	}
	slot, a, content := s.decodeSlot(data)
	if a == nil {
		return nil
	}
	if reply := a.HandleMessage(now, from, content); reply != nil {
		return encodeSlot(slot, reply)
	}
	return nil
}

// HandleReply implements Application.
func (s *applicationStack) HandleReply(now ClockReading, from int, data []byte) {
	if !isSlotted(data) {
		s.first.HandleReply(now, from, data)
	} else if _, a, content := s.decodeSlot(data); a != nil {
		a.HandleReply(now, from, content)
	}
}

// NextActions implements Application.
func (s *applicationStack) NextActions(now ClockReading, v VoterState) (actions Actions) {
	actions.Next = now.Mono + time.Hour
	s.forEach(func(a Application, encode func([]byte) []byte) {
		own := a.NextActions(now, v)
		for _, m := range own.Messages {
			actions.Messages = append(actions.Messages, Message{To: m.To, Data: encode(m.Data)})
		}
		actions.Proposals = append(actions.Proposals, own.Proposals...)
		actions.Next = min(actions.Next, own.Next)
	})
	return actions
}
