package folder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dunestep/internal/state"
)

// warnInterval is after how long it is told again that nothing can be kept.
const warnInterval = 10 * time.Minute

// WriterSettings is how memory is kept.
type WriterSettings struct {
	Path  string
	Owner state.Owner
	// Period is after how long what is known is written again.
	Period time.Duration
	// MinInterval is how long after a write the next one may come, however much has changed.
	MinInterval time.Duration
	// Collect asks for what is known now. It may wait, and returns false where nothing comes before ctx ends.
	Collect func(ctx context.Context) (state.Content, bool)
}

// Writer is the actor that writes an agent's memory, in a goroutine of its own: a disk that takes its time
// holds up nothing but the next write.
type Writer struct {
	settings WriterSettings
	requests chan struct{}
	finish   chan struct{}
	done     chan struct{}
	stop     context.CancelFunc
	endOnce  sync.Once

	// Owned by the actor.
	folder          *Folder   // nil: to be opened again
	warnedAt        time.Time // that nothing can be kept; zero: it can
	otherOwnerUntil time.Time // until then the folder is left alone: it has another agent's files

	mu           sync.Mutex
	lastDuration time.Duration // the last write
}

// StartWriter starts to write into a folder, whose last file, if any, is that old: so a program that is started
// again and again writes no more often. The folder may be nil where it could not be opened: that is tried
// again.
func StartWriter(set WriterSettings, folder *Folder, age time.Duration) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Writer{
		settings: set, folder: folder, requests: make(chan struct{}, 1), finish: make(chan struct{}),
		done: make(chan struct{}), stop: cancel,
	}
	go k.run(ctx, time.Now().Add(-max(age, 0)))
	return k
}

// RequestWrite tells that something of weight has changed: it is written as soon as the gap allows.
func (k *Writer) RequestWrite() {
	select {
	case k.requests <- struct{}{}:
	default:
	}
}

// Finish writes a last time and ends, within the context. Where the last write took longer than there is
// left, this one is left out: a process can't end while its disk is at work.
func (k *Writer) Finish(ctx context.Context) {
	k.mu.Lock()
	took := k.lastDuration
	k.mu.Unlock()
	if until, bound := ctx.Deadline(); bound && time.Until(until) < took {
		slog.Warn("state not written at the end: the disk is too slow", "took", took)
		k.stop()
		return
	}
	k.endOnce.Do(func() { close(k.finish) })
	select {
	case <-k.done:
	case <-ctx.Done():
		slog.Warn("state not written at the end: out of time")
	}
	k.stop()
}

// run writes once a period, and sooner after a poke, but never sooner than the gap after the last write.
func (k *Writer) run(ctx context.Context, last time.Time) {
	defer close(k.done)
	due := time.Now().Add(k.settings.Period)
	for {
		timer := time.NewTimer(time.Until(due))
		select {
		case <-k.requests:
			if soon := last.Add(k.settings.MinInterval); soon.Before(due) {
				due = soon
			}
		case <-timer.C:
			k.write(ctx)
			last = time.Now()
			due = last.Add(k.settings.Period)
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

func (k *Writer) close() {
	if k.folder != nil {
		_ = k.folder.Close()
	}
}

// write writes once. After an error the folder is opened anew the next time: it may be another one by then.
func (k *Writer) write(ctx context.Context) {
	if time.Now().Before(k.otherOwnerUntil) {
		return
	}
	content, any := k.settings.Collect(ctx)
	if !any {
		return
	}
	began := time.Now()
	err := k.save(content)
	took := time.Since(began)
	k.mu.Lock()
	k.lastDuration = took
	k.mu.Unlock()
	if errors.Is(err, state.ErrOtherOwner) { // to look again and again would keep that agent out
		k.otherOwnerUntil = time.Now().Add(warnInterval)
	}
	switch {
	case err == nil && !k.warnedAt.IsZero():
		slog.Info("state kept again", "folder", k.settings.Path)
		k.warnedAt = time.Time{}
	case err != nil && time.Since(k.warnedAt) >= warnInterval:
		slog.Warn("state not kept", "folder", k.settings.Path, "error", err)
		k.warnedAt = time.Now()
	}
}

func (k *Writer) save(content state.Content) error {
	if k.folder == nil {
		folder, err := Open(k.settings.Path, k.settings.Owner)
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
