package folder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dunestep/internal/state"
)

// warnInterval is after how long it is logged again that nothing can be written, and after how long a folder
// with another agent's files is looked at again: to open it more often would keep that agent out.
const warnInterval = 10 * time.Minute

// WriterSettings says what a Writer writes, where and when.
type WriterSettings struct {
	Path  string
	Owner state.Owner
	// Period is after how long the state is written again.
	Period time.Duration
	// MinInterval is the least time between the end of a write and the next, however much has changed.
	MinInterval time.Duration
	// Collect returns the state to write. It may wait, and returns false where it has nothing before ctx ends.
	// It is called from the Writer's goroutine.
	Collect func(ctx context.Context) (state.Content, bool)
}

// Writer writes an agent's state, in a goroutine of its own: a slow disk delays nothing but the next write.
// The goroutine ends with Finish, and closes the folder.
type Writer struct {
	settings WriterSettings
	requests chan struct{} // holds one: a write is wanted before the period is over
	finish   chan struct{} // closed by Finish
	done     chan struct{} // closed as the goroutine ends
	stop     context.CancelFunc
	endOnce  sync.Once

	// Of the goroutine.
	folder          *Folder   // nil: to be opened again
	warnedAt        time.Time // that nothing can be written; zero: it can
	otherOwnerUntil time.Time // until then the folder, which has another agent's files, is left alone

	mu           sync.Mutex
	lastDuration time.Duration // of the last write
}

// StartWriter starts to write into a folder, whose newest file is so old; negative: not known. A program that
// is started again and again writes no more often for it. The folder, which becomes the Writer's, may be nil
// where it could not be opened: the Writer tries again.
func StartWriter(settings WriterSettings, folder *Folder, age time.Duration) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		settings: settings, folder: folder, requests: make(chan struct{}, 1), finish: make(chan struct{}),
		done: make(chan struct{}), stop: cancel,
	}
	go w.run(ctx, time.Now().Add(-max(age, 0)))
	return w
}

// RequestWrite asks for a write as soon as MinInterval allows. It does not wait.
func (w *Writer) RequestWrite() {
	select {
	case w.requests <- struct{}{}:
	default: // one is asked for already
	}
}

// Finish writes a last time and ends the goroutine, within the context. Where the last write took longer than
// is left of the context, it does not begin one: a process can't end while its disk is at work.
func (w *Writer) Finish(ctx context.Context) {
	w.mu.Lock()
	took := w.lastDuration
	w.mu.Unlock()
	if until, bound := ctx.Deadline(); bound && time.Until(until) < took {
		slog.Warn("final state write skipped: the disk is too slow", "took", took)
		w.stop()
		return
	}
	w.endOnce.Do(func() { close(w.finish) })
	select {
	case <-w.done:
	case <-ctx.Done():
		slog.Warn("final state write did not finish in time")
	}
	w.stop()
}

// run writes once a period, and sooner when asked to, but not within MinInterval of the last write.
func (w *Writer) run(ctx context.Context, lastWrite time.Time) {
	defer close(w.done)
	defer w.closeFolder()
	due := time.Now().Add(w.settings.Period)
	for {
		timer := time.NewTimer(time.Until(due))
		select {
		case <-w.requests:
			if soonest := lastWrite.Add(w.settings.MinInterval); soonest.Before(due) {
				due = soonest
			}
		case <-timer.C:
			w.write(ctx)
			lastWrite = time.Now()
			due = lastWrite.Add(w.settings.Period)
		case <-w.finish:
			timer.Stop()
			w.write(ctx)
			return
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (w *Writer) closeFolder() {
	if w.folder != nil {
		_ = w.folder.Close() // whatever was written is durable, or was told as an error
	}
}

// write writes once. After an error the folder is opened again the next time: it may be another one by then.
func (w *Writer) write(ctx context.Context) {
	if time.Now().Before(w.otherOwnerUntil) {
		return
	}
	content, has := w.settings.Collect(ctx)
	if !has {
		return
	}
	began := time.Now()
	err := w.save(content)
	took := time.Since(began)
	w.mu.Lock()
	w.lastDuration = took
	w.mu.Unlock()
	if errors.Is(err, state.ErrOtherOwner) {
		w.otherOwnerUntil = time.Now().Add(warnInterval)
	}
	w.logResult(err)
}

// logResult logs an error once in warnInterval, and the first write that succeeds after one.
func (w *Writer) logResult(err error) {
	switch {
	case err == nil && !w.warnedAt.IsZero():
		slog.Info("state can be written again", "folder", w.settings.Path)
		w.warnedAt = time.Time{}
	case err != nil && time.Since(w.warnedAt) >= warnInterval:
		slog.Warn("state cannot be written", "folder", w.settings.Path, "error", err)
		w.warnedAt = time.Now()
	}
}

// save writes content, after opening the folder where that is not open.
func (w *Writer) save(content state.Content) error {
	if w.folder == nil {
		folder, err := Open(w.settings.Path, w.settings.Owner)
		if err != nil {
			return err
		}
		folder.Load() // for the generation and the owner; what is unusable is replaced
		w.folder = folder
	}
	err := w.folder.Save(content, time.Now())
	if err != nil {
		w.closeFolder()
		w.folder = nil
	}
	return err
}
