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
	// maxDisabled is the maximum number of endpoints in manual settings.
	maxDisabled = 2048
	// enabledRetention is how long the settings keep an endpoint that was enabled again. It is longer than any
	// server's slow start.
	enabledRetention = time.Hour
)

// ManualSettings are the settings that operators have made by hand through the agent's operator interface.
// The JSON keeps older names for some fields.
type ManualSettings struct {
	Disabled []routing.DisabledEndpoint `json:"bans"`
	// Draining means that the agent directs its clients to other agents.
	Draining bool `json:"drained"`
	// DrainSetAt is when Draining was last set, in Unix time; zero: never or unknown.
	DrainSetAt time.Duration `json:"drain_set_ns,omitempty"`
}

// Merge combines the manual settings of two processes of one agent. For each endpoint and for draining, the
// latest change wins. Endpoints that were enabled again longer ago than enabledRetention are omitted. now
// is Unix time.
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

// validate returns an error that describes the first invalid setting, or nil.
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
