package wire

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"dunestep/internal/balancer"
)

// maxInterned is the maximum number of strings that a Decoder stores.
const maxInterned = 1 << 16

// absent is the value of a field that a load report does not contain.
const absent = -1

// Message is one decoded message; which fields are set depends on Kind. Times are in microseconds.
type Message struct {
	Kind          string
	Agent         string
	ID            uint32 // request id
	WorkHint      int64
	Key           string
	Tenant        string
	Class         string
	ClientTimeout int64
	ClientRetry   bool
	Attempt       int
	Server        string
	Outcome       string // see ParseOutcome
	Latency       int64
	Complete      bool // whether the client has its final answer
	LoadReport    balancer.LoadReport
	HasLoadReport bool
	From          int // number of the sending agent
	Data          []byte
	Tag           uint64
	Mode          string // see ParseUpdateKind
	List          int    // number of a server list
	Servers       []balancer.Server
	Seed          uint64
	Settings      []byte // JSON
}

// Decoder decodes batches. It stores repeated strings only once.
type Decoder struct{ interned map[string]string }

// NewDecoder returns a Decoder without stored strings.
func NewDecoder() *Decoder { return &Decoder{interned: map[string]string{}} }

// DecodeBatch decodes a line and calls handle for each message in order, with the batch's time, which it also
// returns. The Message is reused between calls. An error from handle ends the batch and is returned
// unchanged.
func (d *Decoder) DecodeBatch(
	line []byte,
	handle func(now time.Duration, m *Message) error,
) (time.Duration, error) {
	l := &jlexer.Lexer{Data: line}
	var now time.Duration
	hasTime, hasMessages := false, false
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		switch key {
		case fieldTime:
			now, hasTime = Micros(l.Int64()), true
		case fieldMessages:
			if !hasTime {
				return 0, errors.New("a batch has messages before its time")
			}
			hasMessages = true
			if err := d.decodeMessages(l, now, handle); err != nil {
				return 0, err
			}
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
	if !hasTime || !hasMessages {
		return 0, errors.New("a batch has no time or no messages")
	}
	return now, nil
}

func (d *Decoder) decodeMessages(
	l *jlexer.Lexer,
	now time.Duration,
	handle func(time.Duration, *Message) error,
) error {
	var m Message
	l.Delim('[')
	for !l.IsDelim(']') {
		m = Message{}
		d.decodeMessage(l, &m)
		if err := l.Error(); err != nil {
			return err
		}
		if err := handle(now, &m); err != nil {
			return err
		}
		l.WantComma()
	}
	l.Delim(']')
	return nil
}

// decodeObject decodes a JSON object. It calls field for each of the object's fields that is not null, and
// skips the field's value if that returns false.
func decodeObject(l *jlexer.Lexer, field func(key string) bool) {
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		if l.IsNull() {
			l.Skip()
		} else if !field(key) {
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
}

func (d *Decoder) decodeMessage(l *jlexer.Lexer, m *Message) {
	decodeObject(l, func(key string) bool {
		return d.decodeRequestField(l, key, m) || d.decodeAttemptField(l, key, m) || d.decodeOtherField(l, key, m)
	})
}

// decodeRequestField decodes a field of requests, and reports whether key is one.
func (d *Decoder) decodeRequestField(l *jlexer.Lexer, key string, m *Message) bool {
	switch key {
	case fieldKind:
		m.Kind = d.intern(l)
	case fieldAgent:
		m.Agent = d.intern(l)
	case fieldRequest:
		m.ID = l.Uint32()
	case fieldWorkHint:
		m.WorkHint = l.Int64()
	case fieldKey:
		m.Key = d.intern(l)
	case fieldTenant:
		m.Tenant = d.decodeOptionalName(l)
	case fieldClass:
		m.Class = d.intern(l)
	case fieldClientTimeout:
		m.ClientTimeout = l.Int64()
	case fieldClientRetry:
		m.ClientRetry = l.Bool()
	default:
		return false
	}
	return true
}

// decodeAttemptField decodes a field of a finished attempt or probe, and reports whether key is one.
func (d *Decoder) decodeAttemptField(l *jlexer.Lexer, key string, m *Message) bool {
	switch key {
	case fieldAttempt:
		m.Attempt = l.Int()
	case fieldServer:
		m.Server = d.intern(l)
	case fieldOutcome:
		m.Outcome = d.intern(l)
	case fieldLatency:
		m.Latency = l.Int64()
	case fieldRequestDone:
		m.Complete = l.Bool()
	case fieldLoadReport:
		m.HasLoadReport, m.LoadReport = true, decodeLoadReport(l)
	default:
		return false
	}
	return true
}

// decodeOtherField decodes a field of other messages, and reports whether key is one.
func (d *Decoder) decodeOtherField(l *jlexer.Lexer, key string, m *Message) bool {
	switch key {
	case fieldFrom:
		m.From = l.Int()
	case fieldData:
		// Data ends before its first invalid digit: the balancer ignores invalid messages.
		m.Data, _ = hex.DecodeString(d.intern(l))
	case fieldTag:
		m.Tag = l.Uint64()
	case fieldMode:
		m.Mode = d.intern(l)
	case fieldList:
		m.List = l.Int()
	case fieldServers:
		m.Servers = d.decodeServers(l)
	case fieldSeed:
		m.Seed = l.Uint64()
	case fieldSettings:
		m.Settings = l.Raw()
	default:
		return false
	}
	return true
}

// intern decodes a string, and returns the stored copy of it if there is one.
func (d *Decoder) intern(l *jlexer.Lexer) string {
	b := l.UnsafeBytes()
	if s, ok := d.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(d.interned) < maxInterned {
		d.interned[s] = s
	}
	return s
}

// decodeOptionalName decodes a string, or the number 0 for none, which gives an empty string.
func (d *Decoder) decodeOptionalName(l *jlexer.Lexer) string {
	raw := l.Raw()
	if len(raw) >= 2 && raw[0] == '"' {
		sub := jlexer.Lexer{Data: raw}
		return d.intern(&sub)
	}
	return ""
}

func decodeLoadReport(l *jlexer.Lexer) balancer.LoadReport {
	report := balancer.LoadReport{InFlight: absent, Latency: absent, Rate: absent, ErrorRatio: absent}
	l.Delim('{')
	for !l.IsDelim('}') {
		key := l.UnsafeFieldName(false)
		l.WantColon()
		switch key {
		case fieldReportInFlight:
			report.InFlight = l.Float64()
		case fieldReportLatency:
			report.Latency = l.Float64() / 1e3 // from milliseconds
		case fieldReportRate:
			report.Rate = l.Float64()
		case fieldReportErrors:
			report.ErrorRatio = l.Float64()
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
	return report
}

func (d *Decoder) decodeServers(l *jlexer.Lexer) []balancer.Server {
	servers := []balancer.Server{}
	l.Delim('[')
	for !l.IsDelim(']') {
		s := balancer.Server{Weight: 1}
		decodeObject(l, func(key string) bool { return d.decodeServerField(l, key, &s) })
		l.WantComma()
		servers = append(servers, s)
	}
	l.Delim(']')
	return servers
}

func (d *Decoder) decodeServerField(l *jlexer.Lexer, key string, s *balancer.Server) bool {
	switch key {
	case fieldServer:
		s.ID = d.intern(l)
	case fieldZone:
		s.Zone = d.intern(l)
	case fieldMachineKind:
		s.MachineKind = d.intern(l)
	case fieldCell:
		s.Cell = l.Int()
	case fieldState:
		switch d.intern(l) {
		case stateDraining:
			s.State = balancer.Draining
		case stateGone:
			s.State = balancer.Gone
		}
	case fieldWeight:
		s.Weight = l.Float64()
	case fieldStartedAt:
		s.StartedAt = Micros(l.Int64())
	default:
		return false
	}
	return true
}

// Micros converts a time in microseconds, the protocol's unit.
func Micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
