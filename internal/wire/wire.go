// Package wire reads and writes the simulator's line protocol. It decides nothing.
package wire

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"dunestep/decide"
)

// Msg is one decoded item; which fields are set depends on Kind.
type Msg struct {
	Kind     string
	Agent    string
	ID       uint32
	Work     int64
	Key      string
	Tenant   string
	Class    string
	Budget   int64
	Retry    bool
	Attempt  int
	Server   string
	Outcome  string
	Latency  int64
	Complete bool
	Load     decide.Load
	HasLoad  bool
	From     int
	Data     []byte
	Tag      uint64
	Mode     string
	Sheet    int
	Members  []decide.Server
	Seed     uint64
	Env      []byte
}

// Decoder reads batches; the strings it repeats are kept once.
type Decoder struct{ names map[string]string }

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}} }

func (d *Decoder) name(l *jlexer.Lexer) string {
	b := l.UnsafeBytes()
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(d.names) < 1<<16 {
		d.names[s] = s
	}
	return s
}

// Batch decodes a line and calls f for each item in order. The message is reused between calls.
func (d *Decoder) Batch(line []byte, f func(now time.Duration, m *Msg) error) (time.Duration, error) {
	l := &jlexer.Lexer{Data: line}
	var now int64
	var m Msg
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
				m = Msg{}
				d.item(l, &m)
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

func (d *Decoder) item(l *jlexer.Lexer, m *Msg) {
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
			m.Kind = d.name(l)
		case "agentId":
			m.Agent = d.name(l)
		case "call":
			m.ID = l.Uint32()
		case "weightHint":
			m.Work = l.Int64()
		case "subject":
			m.Key = d.name(l)
		case "org":
			m.Tenant = d.scalar(l)
		case "class":
			m.Class = d.name(l)
		case "budget":
			m.Budget = l.Int64()
		case "isRetry":
			m.Retry = l.Bool()
		case "go":
			m.Attempt = l.Int()
		case "backend":
			m.Server = d.name(l)
		case "disposition":
			m.Outcome = d.name(l)
		case "latency":
			m.Latency = l.Int64()
		case "complete":
			m.Complete = l.Bool()
		case "stats":
			m.HasLoad = true
			m.Load = load(l)
		case "by":
			m.From = l.Int()
		case "body":
			m.Data, _ = hex.DecodeString(d.name(l))
		case "tag":
			m.Tag = l.Uint64()
		case "mode":
			m.Mode = d.name(l)
		case "sheet":
			m.Sheet = l.Int()
		case "members":
			m.Members = d.members(l)
		case "prng":
			m.Seed = l.Uint64()
		case "env":
			m.Env = l.Raw()
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
}

// scalar reads a name that may also come as the number 0, which means none.
func (d *Decoder) scalar(l *jlexer.Lexer) string {
	raw := l.Raw()
	if len(raw) >= 2 && raw[0] == '"' {
		sub := jlexer.Lexer{Data: raw}
		return d.name(&sub)
	}
	return ""
}

func load(l *jlexer.Lexer) decide.Load {
	out := decide.Load{InFlight: -1, Latency: -1, Rate: -1, Errors: -1}
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
			out.Errors = l.Float64()
		default:
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
	return out
}

func (d *Decoder) members(l *jlexer.Lexer) []decide.Server {
	out := []decide.Server{}
	l.Delim('[')
	for !l.IsDelim(']') {
		s := decide.Server{Weight: 1}
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
				s.ID = d.name(l)
			case "campus":
				s.Zone = d.name(l)
			case "machine":
				s.Kind = d.name(l)
			case "cohort":
				s.Cell = l.Int()
			case "availability":
				switch d.name(l) {
				case "terminating":
					s.State = decide.Draining
				case "terminated":
					s.State = decide.Gone
				}
			case "heft":
				s.Weight = l.Float64()
			case "startedAt":
				s.Started = Micros(l.Int64())
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

var outcomes = map[string]decide.Outcome{
	"served": decide.Served, "server_error": decide.ServerError, "turned_away": decide.TurnedAway,
	"no_answer": decide.NoAnswer, "no_connection": decide.NoConnection,
	"connection_lost": decide.ConnectionLost, "called_off": decide.CalledOff, "not_sent": decide.NotSent,
}

var syncKinds = map[string]decide.SyncKind{
	"INCREMENTAL": decide.SyncChange, "FULL": decide.SyncFull,
	"SAVED": decide.SyncSaved, "FAILED": decide.SyncFailed,
}

// Outcome maps a disposition; an unknown one counts as an error that may have run.
func Outcome(s string) decide.Outcome {
	if o, ok := outcomes[s]; ok {
		return o
	}
	return decide.ServerError
}

// SyncKind maps a SYNC's mode.
func SyncKind(s string) (decide.SyncKind, error) {
	k, ok := syncKinds[s]
	if !ok {
		return 0, fmt.Errorf("unknown SYNC mode %q", s)
	}
	return k, nil
}

// AppendAction writes one action of an instance.
func AppendAction(b []byte, agent string, a *decide.Action) []byte {
	kind := ""
	switch a.Kind {
	case decide.Send:
		kind = "HAND_OFF"
	case decide.Fail:
		kind = "GIVE_UP"
	case decide.Refuse:
		kind = "REFUSE"
	case decide.Cancel:
		kind = "REVOKE"
	case decide.Probe:
		kind = "CHECK"
	case decide.Tell:
		kind = "NOTIFY"
	case decide.SetTimer:
		kind = "SET_TIMER"
	case decide.Subscribe:
		kind = "SUBSCRIBE"
	case decide.Fetch:
		kind = "REFRESH"
	case decide.Log:
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
	case decide.Send, decide.Fail, decide.Refuse, decide.Cancel:
		num("call", int64(a.ID))
	}
	switch a.Kind {
	case decide.Send:
		b = append(b, `,"backend":`...)
		b = AppendString(b, a.Server)
		num("limit", a.After.Microseconds())
	case decide.Refuse:
		if a.After > 0 {
			num("stayAway", a.After.Microseconds())
		}
	case decide.Cancel:
		num("go", int64(a.Attempt))
	case decide.Probe:
		b = append(b, `,"backend":`...)
		b = AppendString(b, a.Server)
	case decide.Tell:
		num("dest", int64(a.Peer))
		b = append(b, `,"body":"`...)
		b = hex.AppendEncode(b, a.Data)
		b = append(b, '"')
	case decide.SetTimer:
		num("offset", a.After.Microseconds())
		b = append(b, `,"tag":`...)
		b = strconv.AppendUint(b, a.Tag, 10)
	case decide.Subscribe:
		b = append(b, `,"want":true`...)
	case decide.Log:
		b = append(b, `,"reasonText":`...)
		b = AppendString(b, a.Text)
	}
	return append(b, '}')
}

// AppendFault writes the message that the decision code has broken.
func AppendFault(b []byte, agent, text string) []byte {
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
