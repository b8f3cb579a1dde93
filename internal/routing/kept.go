package routing

import (
	"context"
	"log/slog"
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/state"
)

// kept is the module's actor's part in what is kept over a restart.
type kept struct {
	session *state.Session
	clock   clock
	changed func()
	proves  bool
	alone   bool // it was told that discovery has not been heard since the start
}

// news comes right after the core was told news of the list.
func (k *kept) news(now time.Duration, n poolNews) {
	if n.word.Local { // the list that is kept is discovery's
		return
	}
	if n.kind == decide.SyncSaved {
		k.session.Began(now)
		return
	}
	if n.kind == decide.SyncFailed && !k.alone && !k.session.Confirmed() {
		k.alone = true
		slog.Warn("discovery not heard since the start, going on with the list of the start", "version",
			k.session.ListVersion(), "proving", k.proves)
	}
	if k.session.News(now, n.kind, n.told, n.confirms) {
		slog.Info("discovery has confirmed the list", "version", k.session.ListVersion(),
			"after", time.Since(k.clock.began))
	}
	if len(n.config.Servers) > 0 {
		k.change()
	}
}

// change tells that something of weight has changed.
func (k *kept) change() {
	if k.changed != nil {
		k.changed()
	}
}

// Remember asks for what is to be kept over a restart; false where that does not come before ctx ends.
func (a *Agent) Remember(ctx context.Context) (state.Content, bool) {
	now := make(chan state.Snapshot, 1)
	a.mail.put(remember{now})
	select {
	case s := <-now:
		return s.Content(), true
	case <-ctx.Done():
		return state.Content{}, false
	}
}

// Remember returns what was learned.
func (l *idleLimit) Remember(now time.Duration) core.IdleMemory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Remember(now)
}

// Recall takes back what was learned so long ago.
func (l *idleLimit) Recall(m core.IdleMemory, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Recall(m, age)
}
