package folder

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dunestep/internal/state"
)

// warnInterval is the minimum interval between warnings that nothing can be written. It is also the interval
// between attempts to open a folder with another agent's files: more frequent ones would lock that agent out.
const warnInterval = 10 * time.Minute

// WriterSettings configures a Writer.
type WriterSettings struct {
	Path  string
	Owner state.Owner
	// Period is the time from the end of a write to the next periodic write.
	Period time.Duration
	// MinInterval is the minimum time between the end of a write and the next requested write.
	MinInterval time.Duration
	// Collect returns the state to write. It may block, and returns false if there is no state before ctx ends.
	// It is called from the Writer's goroutine.
	Collect func(ctx context.Context) (state.Content, bool)
}

// Writer writes an agent's state in its own goroutine, so that a slow disk delays only the next write. Finish
// ends the goroutine, which closes the folder.
type Writer struct {
	settings WriterSettings
	requests chan struct{} // to write before Period has passed; buffer of one: at most one request is pending
	finish   chan struct{} // closed by Finish
	done     chan struct{} // closed when the goroutine ends
	stop     context.CancelFunc
	endOnce  sync.Once

	// Used by the goroutine only.
	folder          *Folder   // nil if the next write must open it
	warnedAt        time.Time // time of the last write warning; zero after a successful write
	otherOwnerUntil time.Time // no write before this time, since the folder has another agent's files

	mu           sync.Mutex
	lastDuration time.Duration // duration of the last write
}

// StartWriter starts a Writer. The age of the folder's newest file counts towards MinInterval, so that
// frequent restarts of a program cause no additional writes; a negative age is unknown and counts as zero.
// The Writer takes ownership of the folder, which may be nil if it could not be opened: the Writer retries.
func StartWriter(settings WriterSettings, folder *Folder, age time.Duration) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		settings: settings, folder: folder, requests: make(chan struct{}, 1), finish: make(chan struct{}),
		done: make(chan struct{}), stop: cancel,
	}
	go w.run(ctx, time.Now().Add(-max(age, 0)))
	return w
}

// RequestWrite requests a write as soon as MinInterval allows. It does not block.
func (w *Writer) RequestWrite() {
	select {
	case w.requests <- struct{}{}:
	default: // already requested
	}
}

// Finish writes a last time and ends the goroutine; it returns when ctx ends at the latest. It skips the
// write if the previous one took longer than the time left before ctx's deadline: a process can't exit
// while a disk operation is in progress.
func (w *Writer) Finish(ctx context.Context) {
	w.mu.Lock()
	took := w.lastDuration
	w.mu.Unlock()
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline && time.Until(deadline) < took {
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

// run writes once per period, and earlier on request, but not within MinInterval of the last write.
func (w *Writer) run(ctx context.Context, lastWrite time.Time) {
	defer close(w.done)
	defer w.closeFolder()
	due := time.Now().Add(w.settings.Period)
	for {
		timer := time.NewTimer(time.Until(due))
		select {
		case <-w.requests:
			if earliest := lastWrite.Add(w.settings.MinInterval); earliest.Before(due) {
				due = earliest
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
		_ = w.folder.Close() // every write is already durable or was reported as an error
	}
}

// write writes once. After an error the next write opens the folder again, since another one may have
// replaced it.
func (w *Writer) write(ctx context.Context) {
	if time.Now().Before(w.otherOwnerUntil) {
		return
	}
	content, ok := w.settings.Collect(ctx)
	if !ok {
		return
	}
	startedAt := time.Now()
	err := w.save(content)
	took := time.Since(startedAt)
	w.mu.Lock()
	w.lastDuration = took
	w.mu.Unlock()
	if errors.Is(err, state.ErrOtherOwner) {
		w.otherOwnerUntil = time.Now().Add(warnInterval)
	}
	w.logResult(err)
}

// logResult logs errors at most once per warnInterval, and the first successful write after a warning.
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

// save writes content. It opens the folder first if that is not open.
func (w *Writer) save(content state.Content) error {
	if w.folder == nil {
		folder, err := Open(w.settings.Path, w.settings.Owner)
		if err != nil {
			return err
		}
		folder.Load() // finds the generation and the owner; unusable files are replaced
		w.folder = folder
	}
	err := w.folder.Save(content, time.Now())
	if err != nil {
		w.closeFolder()
		w.folder = nil
	}
	return err
}
