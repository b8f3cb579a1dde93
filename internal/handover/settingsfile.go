package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
)

const (
	settingsFormat = 1
	// maxSettingsBytes bounds what is read of the file.
	maxSettingsBytes = 1 << 20
	// lockTimeout bounds the wait for another process's change of the file: operators are owed an answer within
	// a second.
	lockTimeout = 300 * time.Millisecond
	// lockRetryInterval is how often the lock is tried.
	lockRetryInterval = 2 * time.Millisecond
)

// settingsForm is the file's JSON.
type settingsForm struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
	ManualSettings
}

// SettingsFile is the file of an agent's manual settings.
type SettingsFile struct{ path, agent string }

// NewSettingsFile returns the file, in a folder, of the agent whose clients connect at listen.
func NewSettingsFile(folder, agent string, listen netip.AddrPort) *SettingsFile {
	return &SettingsFile{path: pathOf(folder, agent, listen, settingsSuffix), agent: agent}
}

// Update merges settings into the file, which is replaced as a whole, and returns what holds then; it is on
// disk when Update returns. A lock keeps another process from replacing the file meanwhile, whose settings
// would be lost. A file that can't be read is replaced. Now is Unix time.
func (f *SettingsFile) Update(settings ManualSettings, now time.Duration) (ManualSettings, error) {
	unlock := f.lock()
	defer unlock()
	if stored, err := f.Read(); err == nil {
		// Not whether it drains: that ends with the last process, and a running one is notified.
		settings = Merge(settings, ManualSettings{Disabled: stored.Disabled}, now)
	}
	raw, err := json.Marshal(settingsForm{Format: settingsFormat, Agent: f.agent, ManualSettings: settings})
	if err != nil {
		return settings, fmt.Errorf("cannot encode the manual settings: %w", err)
	}
	if err := renameio.WriteFile(f.path, append(raw, '\n'), 0o600); err != nil {
		return settings, fmt.Errorf("cannot write the manual settings: %w", err)
	}
	return settings, nil
}

// lock keeps other processes from changing the file until unlock is called. Where the lock can't be had in
// time (another process is stopped with it, or the folder accepts no file) the update goes on without: a
// process that runs beside this one is notified all the same.
func (f *SettingsFile) lock() (unlock func()) {
	file, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}
	}
	for end := time.Now().Add(lockTimeout); time.Now().Before(end); time.Sleep(lockRetryInterval) {
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			break
		}
	}
	return func() { _ = file.Close() } // which unlocks it
}

// Read returns the settings of the file; none where there is no file. The error says why the file can't be
// used.
func (f *SettingsFile) Read() (ManualSettings, error) {
	file, err := os.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return ManualSettings{}, nil
	}
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot open the manual settings: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	raw, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot read the manual settings: %w", err)
	}
	settings, err := decodeSettings(raw, f.agent)
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot use the manual settings in %s: %w", f.path, err)
	}
	return settings, nil
}

// decodeSettings decodes the file of an agent.
func decodeSettings(raw []byte, agent string) (ManualSettings, error) {
	if len(raw) > maxSettingsBytes {
		return ManualSettings{}, fmt.Errorf("more than %d bytes", maxSettingsBytes)
	}
	var form settingsForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return ManualSettings{}, err
	}
	switch {
	case form.Format != settingsFormat:
		return ManualSettings{}, fmt.Errorf("format %d, known is %d", form.Format, settingsFormat)
	case form.Agent != agent:
		return ManualSettings{}, fmt.Errorf("the file is of agent %q", form.Agent)
	}
	return form.ManualSettings, form.validate()
}
