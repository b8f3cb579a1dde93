package wire

import (
	"encoding/hex"
	"strconv"

	"dunestep/internal/balancer"
)

// AppendReplyStart appends the start of a reply to a batch. A reply is a line with actions, which the caller
// separates by commas.
func AppendReplyStart(b []byte) []byte { return append(b, `{"`+fieldActions+`":[`...) }

// AppendReplyEnd appends the end of a reply, including the line feed.
func AppendReplyEnd(b []byte) []byte { return append(b, "]}\n"...) }

// AppendAction appends one action of an agent.
func AppendAction(b []byte, agent string, a *balancer.Action) []byte {
	b = appendStart(b, actionKind(a.Kind), agent)
	switch a.Kind {
	case balancer.Send:
		b = appendInt(b, fieldRequest, int64(a.ID))
		b = appendText(b, fieldServer, a.Server)
		b = appendInt(b, fieldTimeout, a.After.Microseconds())
	case balancer.Fail:
		b = appendInt(b, fieldRequest, int64(a.ID))
	case balancer.Reject:
		b = appendInt(b, fieldRequest, int64(a.ID))
		if a.After > 0 {
			b = appendInt(b, fieldRetryAfter, a.After.Microseconds())
		}
	case balancer.Cancel:
		b = appendInt(b, fieldRequest, int64(a.ID))
		b = appendInt(b, fieldAttempt, int64(a.Attempt))
	case balancer.Probe:
		b = appendText(b, fieldServer, a.Server)
	case balancer.SendToPeer:
		b = appendInt(b, fieldPeer, int64(a.Peer))
		b = appendName(b, fieldData)
		b = append(b, '"')
		b = hex.AppendEncode(b, a.Data)
		b = append(b, '"')
	case balancer.SetTimer:
		b = appendInt(b, fieldDelay, a.After.Microseconds())
		b = strconv.AppendUint(appendName(b, fieldTag), a.Tag, 10)
	case balancer.Subscribe:
		b = append(appendName(b, fieldWanted), "true"...)
	case balancer.Log:
		b = appendText(b, fieldText, a.Text)
	}
	return append(b, '}')
}

// AppendFatal appends the message that an agent cannot be started.
func AppendFatal(b []byte, agent, text string) []byte {
	return append(appendText(appendStart(b, kindFatal, agent), fieldText, text), '}')
}

// appendStart appends the start of a message with its kind and agent.
func appendStart(b []byte, kind, agent string) []byte {
	b = append(b, `{"`+fieldKind+`":"`...)
	b = append(b, kind...)
	b = append(b, `","`+fieldAgent+`":`...)
	return AppendString(b, agent)
}

// appendName appends the name of a field that is not the first.
func appendName(b []byte, name string) []byte {
	b = append(b, `,"`...)
	b = append(b, name...)
	return append(b, `":`...)
}

func appendInt(b []byte, name string, v int64) []byte {
	return strconv.AppendInt(appendName(b, name), v, 10)
}

func appendText(b []byte, name, text string) []byte {
	return AppendString(appendName(b, name), text)
}

// AppendString appends a JSON string.
func AppendString(b []byte, s string) []byte {
	const digits = "0123456789abcdef"
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', digits[c>>4], digits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
