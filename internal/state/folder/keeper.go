package folder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dunestep/internal/state"
)

// sayAgain is after how long it is told again that nothing can be kept.
const sayAgain = 10 * time.Minute

// Keeping is how memory is kept.
type Keeping struct {
	Path  string
	Owner state.Owner
	// Period is after how long what is known is written again.
	Period time.Duration
	// Gap is how long after a write the next one may come, however much has changed.
	Gap time.Duration
	// Take asks for what is known now. It may wait, and returns false where nothing comes before ctx ends.
	Take func(ctx context.Context) (state.Content, bool)
}

// Keeper is the actor that writes an agent's memory, in a goroutine of its own: a disk that takes its time
// holds up nothing but the next write.
type Keeper struct {
	set     Keeping
	pokes   chan struct{}
	finish  chan struct{}
	over    chan struct{}
	stop    context.CancelFunc
	endOnce sync.Once

	// Owned by the actor.
	folder *Folder   // nil: to be opened again
	toldAt time.Time // that nothing can be kept; zero: it can
	others time.Time // until then the folder is left alone: it has another agent's files

	mu   sync.Mutex
	took time.Duration // the last write
}

// Keep starts to write into a folder, whose last file, if any, is that old: so a program that is started
// again and again writes no more often. The folder may be nil where it could not be opened: that is tried
// again.
func Keep(set Keeping, folder *Folder, age time.Duration) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		set: set, folder: folder, pokes: make(chan struct{}, 1), finish: make(chan struct{}),
		over: make(chan struct{}), stop: cancel,
	}
	go k.run(ctx, time.Now().Add(-max(age, 0)))
	return k
}

// Poke tells that something of weight has changed: it is written as soon as the gap allows.
func (k *Keeper) Poke() {
	select {
	case k.pokes <- struct{}{}:
	default:
	}
}

// Finish writes a last time and ends, within the context. Where the last write took longer than there is
// left, this one is left out: a process can't end while its disk is at work.
func (k *Keeper) Finish(ctx context.Context) {
	k.mu.Lock()
	took := k.took
	k.mu.Unlock()
	if until, bound := ctx.Deadline(); bound && time.Until(until) < took {
		slog.Warn("state not written at the end: the disk is too slow", "took", took)
		k.stop()
		return
	}
	k.endOnce.Do(func() { close(k.finish) })
	select {
	case <-k.over:
	case <-ctx.Done():
		slog.Warn("state not written at the end: out of time")
	}
	k.stop()
}

// run writes once a period, and sooner after a poke, but never sooner than the gap after the last write.
func (k *Keeper) run(ctx context.Context, last time.Time) {
	defer close(k.over)
	due := time.Now().Add(k.set.Period)
	for {
		timer := time.NewTimer(time.Until(due))
		select {
		case <-k.pokes:
			if soon := last.Add(k.set.Gap); soon.Before(due) {
				due = soon
			}
		case <-timer.C:
			k.write(ctx)
			last = time.Now()
			due = last.Add(k.set.Period)
		case <-k.finish:
			timer.Stop()
			k.write(ctx)
			k.close()
			return
		case <-ctx.Done():
			timer.Stop()
			k.close()
			return
		}
		timer.Stop()
	}
}

func (k *Keeper) close() {
	if k.folder != nil {
		_ = k.folder.Close()
	}
}

// write writes once. After an error the folder is opened anew the next time: it may be another one by then.
func (k *Keeper) write(ctx context.Context) {
	if time.Now().Before(k.others) {
		return
	}
	content, any := k.set.Take(ctx)
	if !any {
		return
	}
	began := time.Now()
	err := k.save(content)
	took := time.Since(began)
	k.mu.Lock()
	k.took = took
	k.mu.Unlock()
	if errors.Is(err, state.ErrOther) { // to look again and again would keep that agent out
		k.others = time.Now().Add(sayAgain)
	}
	switch {
	case err == nil && !k.toldAt.IsZero():
		slog.Info("state kept again", "folder", k.set.Path)
		k.toldAt = time.Time{}
	case err != nil && time.Since(k.toldAt) >= sayAgain:
		slog.Warn("state not kept", "folder", k.set.Path, "error", err)
		k.toldAt = time.Now()
	}
}

func (k *Keeper) save(content state.Content) error {
	if k.folder == nil {
		folder, err := Open(k.set.Path, k.set.Owner)
		if err != nil {
			return err
		}
		folder.Load() // for the generation
		k.folder = folder
	}
	err := k.folder.Save(content, time.Now())
	if err != nil {
		k.close()
		k.folder = nil
	}
	return err
}
