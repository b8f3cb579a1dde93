package fleet

import "time"

// stack is several Aboves at one node.
type applicationStack struct {
	first  Application
	others []Application // nil: that place is empty
}

// Messages of those after the first begin with a byte for their place, which none of the first one's does: a
// policy's begins with the top byte of Unix milliseconds, or, as an answer, with a small code. Then how many
// zeros end it: it is filled up to be longer than anything that an agent without a stack reads, of the
// build before or of other settings. Such a one drops it.
const (
	firstSlot       = 0x80
	minSlottedBytes = 8 + 64 + 1 // more than an incarnation with the longest note
)

// StackApplications puts several on one node: all are told of what is applied, in this order, all have to agree to a
// lease, and the first one's note goes with requests. The first one's messages stay as they are, so that
// agents that have it alone understand them; it must not send any that begin with a byte over 127. A later
// one may be nil: its place, by which it is known at others, stays empty. There are 64 places at most.
func StackApplications(aboves ...Application) Application {
	if len(aboves) == 0 {
		return nil
	}
	return &applicationStack{aboves[0], aboves[1:min(len(aboves), 64)]}
}

// each goes through all that are there, in order.
func (s *applicationStack) forEach(do func(a Application, wrap func([]byte) []byte)) {
	do(s.first, func(data []byte) []byte { return data })
	for i, a := range s.others {
		if a != nil {
			do(a, func(data []byte) []byte { return encodeSlot(i, data) })
		}
	}
}

// RecordsApplied implements Application.
func (s *applicationStack) RecordsApplied(now ClockReading, anew bool) {
	s.forEach(func(a Application, _ func([]byte) []byte) { a.RecordsApplied(now, anew) })
}

// LeaseNote implements Application.
func (s *applicationStack) LeaseNote() []byte { return s.first.LeaseNote() }

// MayGrantLease implements Application. The first is asked last, and only if the others agree: it counts what is granted.
func (s *applicationStack) MayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool {
	for _, a := range s.others {
		if a != nil && !a.MayGrantLease(now, agent, incarnation, note) {
			return false
		}
	}
	return s.first.MayGrantLease(now, agent, incarnation, note)
}

// HandleMessage implements Application.
func (s *applicationStack) HandleMessage(now ClockReading, from int, data []byte) (answer []byte) {
	if !isSlotted(data) {
		return s.first.HandleMessage(now, from, data)
	}
	if i, a, rest := s.decodeSlot(data); a != nil {
		if answer = a.HandleMessage(now, from, rest); answer != nil {
			return encodeSlot(i, answer)
		}
	}
	return nil
}

// HandleReply implements Application.
func (s *applicationStack) HandleReply(now ClockReading, from int, data []byte) {
	if !isSlotted(data) {
		s.first.HandleReply(now, from, data)
	} else if _, a, rest := s.decodeSlot(data); a != nil {
		a.HandleReply(now, from, rest)
	}
}

// NextActions implements Application.
func (s *applicationStack) NextActions(now ClockReading, v VoterState) (due Actions) {
	due.Next = now.Mono + time.Hour
	s.forEach(func(a Application, wrap func([]byte) []byte) {
		one := a.NextActions(now, v)
		for _, m := range one.Messages {
			due.Messages = append(due.Messages, Message{To: m.To, Data: wrap(m.Data)})
		}
		due.Proposals = append(due.Proposals, one.Proposals...)
		due.Next = min(due.Next, one.Next)
	})
	return due
}

func isSlotted(data []byte) bool { return len(data) > 0 && data[0] >= firstSlot }

// place writes a message of one after the first.
func encodeSlot(i int, data []byte) []byte {
	zeros := max(minSlottedBytes-2-len(data), 0)
	out := make([]byte, 2, 2+len(data)+zeros)
	out[0], out[1] = byte(firstSlot+i), byte(zeros)
	return append(append(out, data...), make([]byte, zeros)...)
}

// of finds whose a message is, and what it says; nil: nobody's here, or it is none.
func (s *applicationStack) decodeSlot(data []byte) (i int, a Application, rest []byte) {
	i = int(data[0] - firstSlot)
	if i >= len(s.others) || len(data) < minSlottedBytes || int(data[1]) > len(data)-2 {
		return 0, nil, nil
	}
	return i, s.others[i], data[2 : len(data)-int(data[1])]
}
