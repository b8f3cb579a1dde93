// Package wire reads and writes the simulator's line protocol. It decides nothing.
package wire

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"dunestep/internal/balancer"
)

// Message is one decoded item; which fields are set depends on Kind.
type Message struct {
	Kind          string
	Agent         string
	ID            uint32
	WorkHint      int64
	Key           string
	Tenant        string
	Class         string
	ClientTimeout int64
	ClientRetry   bool
	Attempt       int
	Server        string
	Outcome       string
	Latency       int64
	Complete      bool
	LoadReport    balancer.LoadReport
	HasLoadReport bool
	From          int
	Data          []byte
	Tag           uint64
	Mode          string
	List          int
	Servers       []balancer.Server
	Seed          uint64
	Settings      []byte
}

// Decoder reads batches; the strings it repeats are kept once.
type Decoder struct{ interned map[string]string }

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder { return &Decoder{interned: map[string]string{}} }

func (d *Decoder) intern(l *jlexer.Lexer) string {
	b := l.UnsafeBytes()
	if s, ok := d.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(d.interned) < 1<<16 {
		d.interned[s] = s
	}
	return s
}

// DecodeBatch decodes a line and calls f for each item in order. The message is reused between calls.
func (d *Decoder) DecodeBatch(line []byte, f func(now time.Duration, m *Message) error) (time.Duration, error) {
	l := &jlexer.Lexer{Data: line}
	var now int64
	var m Message
	seenTime, seenItems := false, false
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		switch key {
		case "time":
			now, seenTime = l.Int64(), true
		case "items":
			if !seenTime {
				return 0, errors.New("items before time")
			}
			seenItems = true
			l.Delim('[')
			for !l.IsDelim(']') {
				m = Message{}
				d.decodeMessage(l, &m)
				if err := l.Error(); err != nil {
					return 0, err
				}
				if err := f(Micros(now), &m); err != nil {
					return 0, err
				}
				l.WantComma()
			}
			l.Delim(']')
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
	l.Consumed()
	if err := l.Error(); err != nil {
		return 0, err
	}
	if !seenTime || !seenItems {
		return 0, errors.New("not a batch: no time or no items")
	}
	return time.Duration(now) * time.Microsecond, nil
}

func (d *Decoder) decodeMessage(l *jlexer.Lexer, m *Message) {
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		if l.IsNull() {
			l.Skip()
			l.WantComma()
			continue
		}
		switch key {
		case "kind":
			m.Kind = d.intern(l)
		case "agentId":
			m.Agent = d.intern(l)
		case "call":
			m.ID = l.Uint32()
		case "weightHint":
			m.WorkHint = l.Int64()
		case "subject":
			m.Key = d.intern(l)
		case "org":
			m.Tenant = d.optionalName(l)
		case "class":
			m.Class = d.intern(l)
		case "budget":
			m.ClientTimeout = l.Int64()
		case "isRetry":
			m.ClientRetry = l.Bool()
		case "go":
			m.Attempt = l.Int()
		case "backend":
			m.Server = d.intern(l)
		case "disposition":
			m.Outcome = d.intern(l)
		case "latency":
			m.Latency = l.Int64()
		case "complete":
			m.Complete = l.Bool()
		case "stats":
			m.HasLoadReport = true
			m.LoadReport = decodeLoadReport(l)
		case "by":
			m.From = l.Int()
		case "body":
			m.Data, _ = hex.DecodeString(d.intern(l))
		case "tag":
			m.Tag = l.Uint64()
		case "mode":
			m.Mode = d.intern(l)
		case "sheet":
			m.List = l.Int()
		case "members":
			m.Servers = d.decodeServers(l)
		case "prng":
			m.Seed = l.Uint64()
		case "env":
			m.Settings = l.Raw()
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
}

// scalar reads a name that may also come as the number 0, which means none.
func (d *Decoder) optionalName(l *jlexer.Lexer) string {
	raw := l.Raw()
	if len(raw) >= 2 && raw[0] == '"' {
		sub := jlexer.Lexer{Data: raw}
		return d.intern(&sub)
	}
	return ""
}

func decodeLoadReport(l *jlexer.Lexer) balancer.LoadReport {
	out := balancer.LoadReport{InFlight: -1, Latency: -1, Rate: -1, ErrorRatio: -1}
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		switch key {
		case "rif":
			out.InFlight = l.Float64()
		case "lat_ms":
			out.Latency = l.Float64() / 1e3
		case "rate":
			out.Rate = l.Float64()
		case "fail_rate":
			out.ErrorRatio = l.Float64()
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
	return out
}

func (d *Decoder) decodeServers(l *jlexer.Lexer) []balancer.Server {
	out := []balancer.Server{}
	l.Delim('[')
	for !l.IsDelim(']') {
		s := balancer.Server{Weight: 1}
		l.Delim('{')
		for !l.IsDelim('}') {
			key := l.UnsafeFieldName(false)
			l.WantColon()
			if l.IsNull() {
				l.Skip()
				l.WantComma()
				continue
			}
			switch key {
			case "backend":
				s.ID = d.intern(l)
			case "campus":
				s.Zone = d.intern(l)
			case "machine":
				s.MachineKind = d.intern(l)
			case "cohort":
				s.Cell = l.Int()
			case "availability":
				switch d.intern(l) {
				case "terminating":
					s.State = balancer.Draining
				case "terminated":
					s.State = balancer.Gone
				}
			case "heft":
				s.Weight = l.Float64()
			case "startedAt":
				s.StartedAt = Micros(l.Int64())
			default:
				l.SkipRecursive()
			}
			l.WantComma()
		}
		l.Delim('}')
		l.WantComma()
		out = append(out, s)
	}
	l.Delim(']')
	return out
}

// Micros is the wire's unit of time.
func Micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

var outcomesByName = map[string]balancer.Outcome{
	"served": balancer.Served, "server_error": balancer.ServerError, "turned_away": balancer.Rejected,
	"no_answer": balancer.TimedOut, "no_connection": balancer.ConnectFailed,
	"connection_lost": balancer.ConnectionLost, "called_off": balancer.Canceled, "not_sent": balancer.NotSent,
}

var updateKindsByName = map[string]balancer.UpdateKind{
	"INCREMENTAL": balancer.UpdateIncremental, "FULL": balancer.UpdateFull,
	"SAVED": balancer.UpdateCached, "FAILED": balancer.UpdateFailed,
}

// ParseOutcome maps a disposition; an unknown one counts as an error that may have run.
func ParseOutcome(s string) balancer.Outcome {
	if o, ok := outcomesByName[s]; ok {
		return o
	}
	return balancer.ServerError
}

// ParseUpdateKind maps a SYNC's mode.
func ParseUpdateKind(s string) (balancer.UpdateKind, error) {
	k, ok := updateKindsByName[s]
	if !ok {
		return 0, fmt.Errorf("unknown SYNC mode %q", s)
	}
	return k, nil
}

// AppendAction writes one action of an instance.
func AppendAction(b []byte, agent string, a *balancer.Action) []byte {
	kind := ""
	switch a.Kind {
	case balancer.Send:
		kind = "HAND_OFF"
	case balancer.Fail:
		kind = "GIVE_UP"
	case balancer.Reject:
		kind = "REFUSE"
	case balancer.Cancel:
		kind = "REVOKE"
	case balancer.Probe:
		kind = "CHECK"
	case balancer.SendToPeer:
		kind = "NOTIFY"
	case balancer.SetTimer:
		kind = "SET_TIMER"
	case balancer.Subscribe:
		kind = "SUBSCRIBE"
	case balancer.Fetch:
		kind = "REFRESH"
	case balancer.Log:
		kind = "SAY_LOG"
	}
	b = append(b, `{"kind":"`...)
	b = append(b, kind...)
	b = append(b, `","agentId":`...)
	b = AppendString(b, agent)
	num := func(name string, v int64) {
		b = append(b, `,"`...)
		b = append(b, name...)
		b = append(b, `":`...)
		b = strconv.AppendInt(b, v, 10)
	}
	switch a.Kind {
	case balancer.Send, balancer.Fail, balancer.Reject, balancer.Cancel:
		num("call", int64(a.ID))
	}
	switch a.Kind {
	case balancer.Send:
		b = append(b, `,"backend":`...)
		b = AppendString(b, a.Server)
		num("limit", a.After.Microseconds())
	case balancer.Reject:
		if a.After > 0 {
			num("stayAway", a.After.Microseconds())
		}
	case balancer.Cancel:
		num("go", int64(a.Attempt))
	case balancer.Probe:
		b = append(b, `,"backend":`...)
		b = AppendString(b, a.Server)
	case balancer.SendToPeer:
		num("dest", int64(a.Peer))
		b = append(b, `,"body":"`...)
		b = hex.AppendEncode(b, a.Data)
		b = append(b, '"')
	case balancer.SetTimer:
		num("offset", a.After.Microseconds())
		b = append(b, `,"tag":`...)
		b = strconv.AppendUint(b, a.Tag, 10)
	case balancer.Subscribe:
		b = append(b, `,"want":true`...)
	case balancer.Log:
		b = append(b, `,"reasonText":`...)
		b = AppendString(b, a.Text)
	}
	return append(b, '}')
}

// AppendFatal writes the message that the decision code has broken.
func AppendFatal(b []byte, agent, text string) []byte {
	b = append(b, `{"kind":"FATAL","agentId":`...)
	b = AppendString(b, agent)
	b = append(b, `,"reasonText":`...)
	return append(AppendString(b, text), '}')
}

// AppendString writes a JSON string.
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
