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

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

const (
	// maxSettingsBytes bounds what is read of the file.
	maxSettingsBytes = 1 << 20
	// maxDisabled bounds what a file may name.
	maxDisabled = 2048
	// enabledRetention is how long it is known of a ban that it was lifted, longer than any server is cold.
	enabledRetention = time.Hour
	// lockTimeout is how long it is waited for the other process's change of the file, and lockRetryInterval how often it
	// is tried: staff are owed an answer within a second.
	lockTimeout, lockRetryInterval = 300 * time.Millisecond, 2 * time.Millisecond
)

// settingsForm is the file as it is laid out.
type settingsForm struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
	ManualSettings
}

const settingsFormat = 1

// ManualSettings is what staff have set by hand.
type ManualSettings struct {
	Disabled []routing.DisabledEndpoint `json:"bans"`
	Draining bool                       `json:"drained"` // clients are sent away
	// DrainSetAt is when that was said last, in Unix time.
	DrainSetAt time.Duration `json:"drain_set_ns,omitempty"`
}

// Merge is what holds where two processes of one agent were told different things, as while both run: in each
// matter what was said last. A ban that was lifted longer ago than its server can be cold is left out.
func Merge(one, other ManualSettings, now time.Duration) ManualSettings {
	h := one
	if other.DrainSetAt > one.DrainSetAt {
		h.Draining, h.DrainSetAt = other.Draining, other.DrainSetAt
	}
	h.Disabled = slices.DeleteFunc(routing.MergeDisabled(one.Disabled, other.Disabled), func(b routing.DisabledEndpoint) bool {
		return b.EnabledAt > 0 && now-b.EnabledAt > enabledRetention
	})
	return h
}

// check tells what can't have been set.
func (h ManualSettings) check() error {
	if len(h.Disabled) > maxDisabled {
		return errors.New("too many booking servers")
	}
	for _, b := range h.Disabled {
		if b.ID == "" || len(b.ID) > protocol.MaxEndpointID || !utf8.ValidString(b.ID) || b.StartedAt < 0 ||
			b.DisabledAt < 0 || b.EnabledAt < 0 {
			return fmt.Errorf("no booking server is %q", b.ID)
		}
	}
	return nil
}

// Disabled is the file of what was set by hand.
type SettingsFile struct{ path, agent string }

// NewSettingsFile is the file in a folder of the agent whose clients connect at listen.
func NewSettingsFile(folder, agent string, listen netip.AddrPort) *SettingsFile {
	return &SettingsFile{path: pathOf(folder, agent, listen, "json"), agent: agent}
}

// place names a file of an agent's. Guards against agents that share a folder: each has files of its own.
func pathOf(folder, agent string, listen netip.AddrPort, kind string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, agent+" "+listen.String())
	return filepath.Join(folder, fmt.Sprintf("dunestep-%016x.%s", sum.Sum64(), kind))
}

// Update merges what was set into the file, which is replaced as a whole, and returns what holds then; it
// lies on the disk when Update returns. Guards against two processes of the agent that are told different
// things at the same time: without a lock the later one's file would lack what the other was told. A file
// that can't be read is replaced.
func (b *SettingsFile) Update(h ManualSettings, now time.Duration) (ManualSettings, error) {
	unlock := b.lock()
	defer unlock()
	if kept, err := b.Read(); err == nil {
		h = Merge(h, ManualSettings{Disabled: kept.Disabled}, now) // a drain is told by notes: it ends with the last process
	}
	raw, err := json.Marshal(settingsForm{Format: settingsFormat, Agent: b.agent, ManualSettings: h})
	if err != nil {
		return h, err
	}
	return h, renameio.WriteFile(b.path, append(raw, '\n'), 0o600)
}

// lock keeps other processes from changing the file until unlock is called. Where it is not to be had in time
// (another process stands still with it, or the folder takes no file) it does without: what was set is then
// told by notes alone.
func (b *SettingsFile) lock() (unlock func()) {
	f, err := os.OpenFile(b.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}
	}
	for end := time.Now().Add(lockTimeout); time.Now().Before(end); time.Sleep(lockRetryInterval) {
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			break
		}
	}
	return func() { _ = f.Close() } // which unlocks it
}

// Read reads the file. Where there is none, nothing was set; the error says why one can't be used.
func (b *SettingsFile) Read() (ManualSettings, error) {
	f, err := os.Open(b.path)
	if errors.Is(err, fs.ErrNotExist) {
		return ManualSettings{}, nil
	}
	if err != nil {
		return ManualSettings{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes+1))
	if err != nil {
		return ManualSettings{}, err
	}
	h, err := decodeSettings(raw, b.agent)
	if err != nil {
		return ManualSettings{}, fmt.Errorf("%s: %w", b.path, err)
	}
	return h, nil
}

// decodeSettings decodes a file of an agent's.
func decodeSettings(raw []byte, agent string) (ManualSettings, error) {
	var f settingsForm
	if len(raw) > maxSettingsBytes {
		return ManualSettings{}, errors.New("too long")
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return ManualSettings{}, err
	}
	switch {
	case f.Format != settingsFormat:
		return ManualSettings{}, fmt.Errorf("format %d, known is %d", f.Format, settingsFormat)
	case f.Agent != agent:
		return ManualSettings{}, fmt.Errorf("it is of agent %q", f.Agent)
	}
	return f.ManualSettings, f.ManualSettings.check()
}
