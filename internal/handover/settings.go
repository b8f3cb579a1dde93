package handover

import (
	"errors"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

const (
	// maxDisabled bounds how many endpoints manual settings may name.
	maxDisabled = 2048
	// enabledRetention is how long it is remembered that an endpoint was enabled again: longer than any server
	// is warming up.
	enabledRetention = time.Hour
)

// ManualSettings are what operators have set at the operators' door. The names in JSON are older than the
// fields'.
type ManualSettings struct {
	Disabled []routing.DisabledEndpoint `json:"bans"`
	// Draining: clients are sent to other agents.
	Draining bool `json:"drained"`
	// DrainSetAt is when Draining was last set, in Unix time.
	DrainSetAt time.Duration `json:"drain_set_ns,omitempty"`
}

// Merge returns what holds where two processes of one agent were told different things: in each matter what
// was set last. Endpoints that were enabled again longer than enabledRetention ago are left out. Now is Unix
// time.
func Merge(one, other ManualSettings, now time.Duration) ManualSettings {
	merged := one
	if other.DrainSetAt > one.DrainSetAt {
		merged.Draining, merged.DrainSetAt = other.Draining, other.DrainSetAt
	}
	all := routing.MergeDisabled(one.Disabled, other.Disabled)
	merged.Disabled = slices.DeleteFunc(all, func(e routing.DisabledEndpoint) bool {
		return e.EnabledAt > 0 && now-e.EnabledAt > enabledRetention
	})
	return merged
}

// validate returns an error that names the first setting that can't have been made.
func (s ManualSettings) validate() error {
	if len(s.Disabled) > maxDisabled {
		return errors.New("too many endpoints are disabled")
	}
	for _, e := range s.Disabled {
		if e.ID == "" || len(e.ID) > protocol.MaxEndpointID || !utf8.ValidString(e.ID) || e.StartedAt < 0 ||
			e.DisabledAt < 0 || e.EnabledAt < 0 {
			return fmt.Errorf("the disabled endpoint %q has an invalid id or time", e.ID)
		}
	}
	return nil
}
