// Package handover is what processes of one agent leave each other in a folder that they share, $TMPDIR: the
// booking servers that staff have taken out, and, while one process takes over from another, a socket on
// which they meet.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/google/renameio/v2"

	"dunestep/internal/core"
	"dunestep/internal/protocol"
)

const (
	// maxBans bounds what is read of the file.
	maxBans = 1 << 20
	// mostKept bounds what a file may name.
	mostKept = 2048
	// liftedFor is how long it is known of a ban that it was lifted, longer than any server is cold.
	liftedFor = time.Hour
	// lockWait is how long it is waited for the other process's change of the file, and lockEvery how often it
	// is tried: staff are owed an answer within a second.
	lockWait, lockEvery = 300 * time.Millisecond, 2 * time.Millisecond
)

// bansFile is the file as it is laid out.
type bansFile struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
	Hand
}

const bansFormat = 1

// Hand is what staff have set by hand.
type Hand struct {
	Bans    []core.Ban `json:"bans"`
	Drained bool       `json:"drained"` // clients are sent away
	// DrainSet is when that was said last, in Unix time.
	DrainSet time.Duration `json:"drain_set_ns,omitempty"`
}

// Merge is what holds where two processes of one agent were told different things, as while both run: in each
// matter what was said last. A ban that was lifted longer ago than its server can be cold is left out.
func Merge(one, other Hand, now time.Duration) Hand {
	h := one
	if other.DrainSet > one.DrainSet {
		h.Drained, h.DrainSet = other.Drained, other.DrainSet
	}
	h.Bans = slices.DeleteFunc(core.MergeBans(one.Bans, other.Bans), func(b core.Ban) bool {
		return b.Lifted > 0 && now-b.Lifted > liftedFor
	})
	return h
}

// check tells what can't have been set.
func (h Hand) check() error {
	if len(h.Bans) > mostKept {
		return errors.New("too many booking servers")
	}
	for _, b := range h.Bans {
		if b.ID == "" || len(b.ID) > protocol.MaxServerID || !utf8.ValidString(b.ID) || b.Started < 0 ||
			b.Set < 0 || b.Lifted < 0 {
			return fmt.Errorf("no booking server is %q", b.ID)
		}
	}
	return nil
}

// Bans is the file of what was set by hand.
type Bans struct{ path, agent string }

// NewBans is the file in a folder of the agent whose clients connect at listen.
func NewBans(folder, agent string, listen netip.AddrPort) *Bans {
	return &Bans{path: place(folder, agent, listen, "json"), agent: agent}
}

// place names a file of an agent's. Guards against agents that share a folder: each has files of its own.
func place(folder, agent string, listen netip.AddrPort, kind string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, agent+" "+listen.String())
	return filepath.Join(folder, fmt.Sprintf("dunestep-%016x.%s", sum.Sum64(), kind))
}

// Update merges what was set into the file, which is replaced as a whole, and returns what holds then; it
// lies on the disk when Update returns. Guards against two processes of the agent that are told different
// things at the same time: without a lock the later one's file would lack what the other was told. A file
// that can't be read is replaced.
func (b *Bans) Update(h Hand, now time.Duration) (Hand, error) {
	unlock := b.lock()
	defer unlock()
	if kept, err := b.Read(); err == nil {
		h = Merge(h, Hand{Bans: kept.Bans}, now) // a drain is told by notes: it ends with the last process
	}
	raw, err := json.Marshal(bansFile{Format: bansFormat, Agent: b.agent, Hand: h})
	if err != nil {
		return h, err
	}
	return h, renameio.WriteFile(b.path, append(raw, '\n'), 0o600)
}

// lock keeps other processes from changing the file until unlock is called. Where it is not to be had in time
// (another process stands still with it, or the folder takes no file) it does without: what was set is then
// told by notes alone.
func (b *Bans) lock() (unlock func()) {
	f, err := os.OpenFile(b.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}
	}
	for end := time.Now().Add(lockWait); time.Now().Before(end); time.Sleep(lockEvery) {
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			break
		}
	}
	return func() { _ = f.Close() } // which unlocks it
}

// Read reads the file. Where there is none, nothing was set; the error says why one can't be used.
func (b *Bans) Read() (Hand, error) {
	f, err := os.Open(b.path)
	if errors.Is(err, fs.ErrNotExist) {
		return Hand{}, nil
	}
	if err != nil {
		return Hand{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxBans+1))
	if err != nil {
		return Hand{}, err
	}
	h, err := decodeHand(raw, b.agent)
	if err != nil {
		return Hand{}, fmt.Errorf("%s: %w", b.path, err)
	}
	return h, nil
}

// decodeHand decodes a file of an agent's.
func decodeHand(raw []byte, agent string) (Hand, error) {
	var f bansFile
	if len(raw) > maxBans {
		return Hand{}, errors.New("too long")
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Hand{}, err
	}
	switch {
	case f.Format != bansFormat:
		return Hand{}, fmt.Errorf("format %d, known is %d", f.Format, bansFormat)
	case f.Agent != agent:
		return Hand{}, fmt.Errorf("it is of agent %q", f.Agent)
	}
	return f.Hand, f.Hand.check()
}
