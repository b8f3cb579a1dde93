package routing

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/figures"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// quietWait is how long after discovery has accepted a watch its silence is taken for no news: what it has to
// bring comes at once.
const quietWait = 200 * time.Millisecond

// poolNews tells the module's actor of the pool config.
type poolNews struct {
	kind     decide.SyncKind
	config   protocol.PoolConfig
	told     protocol.PoolConfig // the same as discovery told it, without what staff have taken out
	word     decide.Word         // how it has come
	confirms bool                // by it discovery has said what the whole list is
}

// list is the actor of the pool config: it makes the calls to discovery.
type list struct {
	mail    *mailbox[any]
	core    *core.List
	calls   map[int]context.CancelFunc // those that are out
	report  func(poolNews)
	clock   clock
	figures *figures.Figures
}

// The messages of the list's actor.
type (
	subscribe struct{}
	relocate  struct{ addr netip.AddrPort } // discovery is there from now on
	fetch     struct{}
	callBegun struct{ call int }
	callQuiet struct{ call int } // it has brought nothing since it began
	callSays  struct {
		call   int
		config protocol.PoolConfig
	}
	callEnded struct {
		call int
		err  error
	}
	ban struct {
		id   string
		lift bool
		done chan<- banned
	}
	joinBans struct{ bans []core.Ban }
	isListed struct {
		id   string
		done chan<- bool
	}
	servers struct{ done chan<- []decide.Server }
)

// banned is what came of a ban or a lift, and all bans that hold after it.
type banned struct {
	listed bool
	err    error
	bans   []core.Ban
}

func startList(addr netip.AddrPort, known protocol.PoolConfig, bans []core.Ban, clock clock,
	f *figures.Figures, report func(poolNews),
) *list {
	l := &list{
		mail: newMailbox[any](), core: core.NewList(addr, known, bans),
		calls:  map[int]context.CancelFunc{},
		report: report, clock: clock, figures: f,
	}
	l.report(poolNews{kind: decide.SyncSaved, config: l.core.Known(known), told: known})
	l.count()
	go l.mail.receive(l.handle)
	return l
}

func (l *list) handle(m any) bool {
	switch m := m.(type) {
	case subscribe:
		l.do(l.core.Subscribe())
	case relocate:
		l.do(l.core.Relocate(m.addr))
	case fetch:
		l.do(l.core.Fetch())
	case callBegun:
		l.do(l.core.CallBegun(m.call))
	case callQuiet:
		l.do(l.core.CallQuiet(m.call))
	case callSays:
		l.do(l.core.CallSays(m.call, m.config))
	case callEnded:
		delete(l.calls, m.call)
		l.do(l.core.CallEnded(m.call, m.err))
	case ban:
		m.done <- l.ban(m)
	case isListed:
		m.done <- l.core.Listed(m.id)
	case servers:
		m.done <- l.core.Servers()
	case joinBans:
		l.do(l.core.JoinBans(m.bans))
	}
	l.count()
	return true
}

// ban takes a booking server out, or puts it back.
func (l *list) ban(m ban) (b banned) {
	var out []core.ListOutput
	if m.lift {
		out, b.listed = l.core.Lift(m.id, l.clock.now())
	} else {
		out, b.listed, b.err = l.core.Ban(m.id, l.clock.now())
	}
	l.do(out)
	b.bans = l.core.Bans()
	return b
}

// count tells how many are listed.
func (l *list) count() {
	listed, banned := l.core.Size()
	l.figures.SetPool(figures.Pool{Listed: listed, Banned: banned})
}

func (l *list) do(out []core.ListOutput) {
	for _, o := range out {
		switch o.Kind {
		case core.BeginCall:
			ctx, cancel := context.WithCancel(context.Background())
			l.calls[o.Call] = cancel
			go l.call(ctx, o)
		case core.EndCall:
			if cancel := l.calls[o.Call]; cancel != nil {
				cancel() // its end is told
			}
		case core.News:
			l.report(poolNews{kind: o.Sync, config: o.Config, told: o.Told, word: o.Word, confirms: o.Confirms})
		case core.OutOfOrder:
			slog.Warn("pool config out of order, asking for the whole list", "version", o.Version, "known", o.Known)
		case core.CallFailed:
			slog.Warn("discovery call ended", "error", o.Err)
		}
	}
}

// call runs beside the actor, for as long as the call lasts.
func (l *list) call(ctx context.Context, o core.ListOutput) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := func() {
		l.mail.put(callBegun{o.Call})
		time.AfterFunc(quietWait, func() { l.mail.put(callQuiet{o.Call}) })
	}
	err := transport.CallDiscovery(ctx, o.Addr, o.Form, begun, func(raw []byte) {
		config, err := protocol.DecodePoolConfig(raw, func(err error) {
			slog.Warn("pool config entry dropped", "error", err)
		})
		if err != nil { // what was in it is missed: the next watch brings it again
			cancel(&core.Unread{Err: err})
			return
		}
		l.mail.put(callSays{call: o.Call, config: config})
	})
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	l.mail.put(callEnded{call: o.Call, err: err})
}
