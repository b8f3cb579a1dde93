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
	// maxSettingsBytes is the maximum size of a file that is read.
	maxSettingsBytes = 1 << 20
	// lockTimeout limits the wait for another process's update of the file. Operators must get a response
	// within a second.
	lockTimeout = 300 * time.Millisecond
	// lockRetryInterval is the time between two attempts to lock the file.
	lockRetryInterval = 2 * time.Millisecond
	// noExpiry is the time at which no setting has expired.
	noExpiry time.Duration = 0
)

// settingsDocument is the JSON document in the file.
type settingsDocument struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
	ManualSettings
}

// SettingsFile is the file that stores an agent's manual settings.
type SettingsFile struct{ path, agent string }

// NewSettingsFile returns the settings file in folder of the agent whose clients connect at listen.
func NewSettingsFile(folder, agent string, listen netip.AddrPort) *SettingsFile {
	return &SettingsFile{path: filePath(folder, agent, listen, settingsSuffix), agent: agent}
}

// Update merges settings into the file, which it replaces as a whole, and returns the merged settings. They
// are durable when Update returns. A lock prevents lost updates when another process updates the file
// concurrently; where the lock can't be obtained in time, the settings are stored beside the file. A file
// that can't be read is replaced. now is Unix time.
func (f *SettingsFile) Update(settings ManualSettings, now time.Duration) (ManualSettings, error) {
	unlock, isLocked := f.lock()
	defer unlock()
	pending := f.pendingPaths()
	if stored, err := f.read(pending); err == nil {
		// Draining is not read from the file: it ends with the last process, and running ones are notified of it.
		settings = Merge(settings, ManualSettings{Disabled: stored.Disabled}, now)
	}
	if !isLocked {
		return settings, f.write(f.newPendingPath(), settings)
	}
	if err := f.write(f.path, settings); err != nil {
		return settings, err
	}
	removeAll(pending)
	return settings, nil
}

// write replaces a file.
func (f *SettingsFile) write(path string, settings ManualSettings) error {
	raw, err := json.Marshal(settingsDocument{Format: settingsFormat, Agent: f.agent, ManualSettings: settings})
	if err != nil {
		return fmt.Errorf("cannot encode the manual settings: %w", err)
	}
	if err := renameio.WriteFile(path, append(raw, '\n'), 0o600); err != nil {
		return fmt.Errorf("cannot write the manual settings: %w", err)
	}
	return nil
}

// lock prevents other processes from updating the file until unlock is called. It fails if it can't obtain
// the lock within lockTimeout: a suspended process holds it, the disk of another one stands still, or no file
// can be created in the folder.
func (f *SettingsFile) lock() (unlock func(), isLocked bool) {
	file, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}, false
	}
	unlock = func() { _ = file.Close() } // also unlocks it
	for end := time.Now().Add(lockTimeout); time.Now().Before(end); time.Sleep(lockRetryInterval) {
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return unlock, true
		}
	}
	return unlock, false
}

// Read returns the settings in the file and beside it, or empty settings if there is no file. The error says
// why the file is unusable.
func (f *SettingsFile) Read() (ManualSettings, error) {
	return f.read(f.pendingPaths())
}

// read returns the settings in the file, merged with those of pending updates. An unusable pending update is
// ignored, unless there is nothing else.
func (f *SettingsFile) read(pending []string) (ManualSettings, error) {
	settings, err := f.readOne(f.path)
	for _, path := range pending {
		added, pendingErr := f.readOne(path)
		if pendingErr == nil {
			settings, err = Merge(settings, added, noExpiry), nil
		}
	}
	return settings, err
}

// readOne reads one file; a missing file has empty settings.
func (f *SettingsFile) readOne(path string) (ManualSettings, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return ManualSettings{}, nil
	}
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot open the manual settings: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	raw, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot read the manual settings: %w", err)
	}
	settings, err := decodeSettings(raw, f.agent)
	if err != nil {
		return ManualSettings{}, fmt.Errorf("cannot use the manual settings in %s: %w", path, err)
	}
	return settings, nil
}

// decodeSettings decodes and validates the content of the agent's settings file.
func decodeSettings(raw []byte, agent string) (ManualSettings, error) {
	if len(raw) > maxSettingsBytes {
		return ManualSettings{}, fmt.Errorf("more than %d bytes", maxSettingsBytes)
	}
	var document settingsDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		return ManualSettings{}, err
	}
	switch {
	case document.Format != settingsFormat:
		return ManualSettings{}, fmt.Errorf("format %d, this build supports %d", document.Format, settingsFormat)
	case document.Agent != agent:
		return ManualSettings{}, fmt.Errorf("the file belongs to agent %q", document.Agent)
	}
	return document.ManualSettings, document.validate()
}
