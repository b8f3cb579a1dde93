package balancer

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":  func(s *Settings) { s.Classes = nil },
		"no tick":     func(s *Settings) { s.Tick = 0 },
		"no deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil {
			t.Error(name, "settings are accepted")
		}
	}
}

// Tuning in the settings applies, its zero value means the defaults, and invalid values are rejected. NaN would make every
// comparison false without an error.
func TestTuning(t *testing.T) {
	set := testSettings()
	set.Tuning = DefaultTuning()
	set.Tuning.RetryRatio, set.Tuning.RetryBurst = 0, 0
	b := newStarted(t, set, serverList(4))
	send := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second}))
	acts := b.Step(time.Second, &AttemptDone{ID: 1, Server: send.Server, Outcome: ServerError})
	assert.NotNil(t, findAction(acts, Reject), "no retry without retry tokens")

	zero, err := New(testSettings(), 1)
	require.NoError(t, err)
	assert.Equal(t, DefaultTuning(), zero.settings.Tuning)
	for i := range reflect.TypeFor[Tuning]().NumField() {
		name := reflect.TypeFor[Tuning]().Field(i).Name
		for _, bad := range []float64{-1, math.NaN(), math.Inf(1)} {
			set.Tuning = DefaultTuning()
			reflect.ValueOf(&set.Tuning).Elem().Field(i).SetFloat(bad)
			_, err := New(set, 1)
			assert.ErrorContains(t, err, name)
		}
	}
}
