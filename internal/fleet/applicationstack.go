package fleet

import "time"

// maxApplications is the maximum number of stacked applications.
const maxApplications = 64

// applicationStack is several applications at one node.
type applicationStack struct {
	first  Application
	others []Application // nil: the slot is empty
}

// StackApplications combines several applications at one node: each of them is told of what is applied, in
// this order, all have to agree to a lease, and the first one's note goes with lease requests. The first
// one's messages are unchanged, so that agents that have it alone understand them; it must not send any that
// begin with a byte over 127. A later application may be nil: its slot, by which it is known at other agents,
// stays empty. There are at most 64.
func StackApplications(applications ...Application) Application {
	if len(applications) == 0 {
		return nil
	}
	return &applicationStack{applications[0], applications[1:min(len(applications), maxApplications)]}
}

// Messages of the applications after the first begin with a byte for their slot, which none of the first
// one's does: a policy's begins with the top byte of Unix milliseconds or, as a reply, with a small code. The
// second byte is the number of zeros at the end: the message is filled up to be longer than any that an agent
// without a stack accepts, of an earlier build or of other settings. Such an agent drops it.
const (
	firstSlot       = 0x80
	slotHeaderBytes = 2
	minSlottedBytes = 8 + 64 + 1 // more than an incarnation with the longest note
)

func isSlotted(data []byte) bool { return len(data) > 0 && data[0] >= firstSlot }

// encodeSlot returns a message of the application in a slot after the first application.
func encodeSlot(slot int, data []byte) []byte {
	zeros := max(minSlottedBytes-slotHeaderBytes-len(data), 0)
	b := make([]byte, slotHeaderBytes, slotHeaderBytes+len(data)+zeros)
	b[0], b[1] = byte(firstSlot+slot), byte(zeros)
	return append(append(b, data...), make([]byte, zeros)...)
}

// decodeSlot returns the slot, the application and the content of a message; nil: there is no application in
// that slot, or the message is malformed.
func (s *applicationStack) decodeSlot(data []byte) (slot int, a Application, content []byte) {
	slot = int(data[0] - firstSlot)
	if slot >= len(s.others) || len(data) < minSlottedBytes || int(data[1]) > len(data)-slotHeaderBytes {
		return 0, nil, nil
	}
	return slot, s.others[slot], data[slotHeaderBytes : len(data)-int(data[1])]
}

// forEach calls do for each application, in order, with the encoding of its messages.
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

// LeaseNote implements Application.
func (s *applicationStack) LeaseNote() []byte { return s.first.LeaseNote() }

// MayGrantLease implements Application. The first one is asked last, and only if the others agree, as it
// counts what is granted.
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
