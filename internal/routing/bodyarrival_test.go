package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The client's time begins with the arrival of the last byte, read or not; where its arrival can't be known, after the time
// without progress that the client would wait. A client that sends slowly does not start its time.
func TestStartOfTimeOfUnreadBody(t *testing.T) {
	const left = time.Second
	for name, test := range map[string]struct {
		arrival  BodyArrival
		timeLeft time.Duration
		hasBegun bool
	}{
		"complete":                            {BodyArrival{State: BodyArrived}, left, true},
		"client sends slowly":                 {BodyArrival{State: BodyIncomplete, SinceArrival: time.Hour, UnreadFor: time.Hour}, left, false},
		"rest may be at the client's machine": {BodyArrival{State: BodyIncomplete, SinceArrival: left, UnreadFor: left, HasUnread: true}, left, true},
		"server still takes a little":         {BodyArrival{State: BodyIncomplete, SinceArrival: time.Hour, UnreadFor: left / 2, HasUnread: true}, left, false},
		"client still sends":                  {BodyArrival{State: BodyIncomplete, SinceArrival: left / 2, UnreadFor: time.Hour, HasUnread: true}, left, false},
		"unknown length, still arriving":      {BodyArrival{SinceArrival: left / 2, UnreadFor: time.Hour, HasUnread: true}, left, false},
		"unknown length, server takes little": {BodyArrival{SinceArrival: left, UnreadFor: left / 10, HasUnread: true}, left, true},
		"unknown length, all but buffered":    {BodyArrival{SinceArrival: left}, left, true},
		"unknown length, held back":           {BodyArrival{SinceArrival: left / 10, UnreadFor: left / 10, HeldBackFor: left, HasUnread: true}, left, true},
		"held back, arriving":                 {BodyArrival{State: BodyIncomplete, HeldBackFor: left, HasUnread: true}, left, true},
		"held back for a while":               {BodyArrival{HeldBackFor: left / 2, HasUnread: true}, left, false},
		"was held back, all read":             {BodyArrival{State: BodyIncomplete, HeldBackFor: left}, left, false},
		"very little time":                    {BodyArrival{SinceArrival: 100 * time.Millisecond, HasUnread: true}, time.Millisecond, false},
		"very little time, over":              {BodyArrival{SinceArrival: 200 * time.Millisecond, HasUnread: true}, time.Millisecond, true},
	} {
		ago, hasBegun := test.arrival.StartOfTime(test.timeLeft)
		require.Equal(t, test.hasBegun, hasBegun, name)
		if hasBegun {
			require.LessOrEqual(t, ago, max(test.arrival.SinceArrival, test.arrival.HeldBackFor), name)
		}
	}
}

// What an attempt announces to its server is at most what the client has left: it may have sent its last byte as long ago as
// nothing was read, whatever arrived since of what its own machine held.
func TestLongestWait(t *testing.T) {
	for _, c := range []struct {
		arrival BodyArrival
		want    time.Duration
	}{
		{BodyArrival{State: BodyArrived, SinceArrival: 3, UnreadFor: 5, HasUnread: true}, 3},
		{BodyArrival{State: BodyArrived, SinceArrival: 3, HeldBackFor: 5}, 5},
		{BodyArrival{State: BodyUnknown, SinceArrival: 3, UnreadFor: 5, HasUnread: true}, 5},
		{BodyArrival{State: BodyUnknown, SinceArrival: 7, UnreadFor: 5, HasUnread: true}, 7},
		{BodyArrival{State: BodyUnknown, SinceArrival: 3, UnreadFor: 5}, 3},
		{BodyArrival{State: BodyIncomplete, SinceArrival: 3, UnreadFor: 5, HasUnread: true}, 5},
		{BodyArrival{State: BodyIncomplete, SinceArrival: 3, UnreadFor: 5, HeldBackFor: 7, HasUnread: true}, 7},
		{BodyArrival{State: BodyIncomplete, SinceArrival: 3, UnreadFor: 5}, 0},
	} {
		require.Equal(t, c.want, c.arrival.LongestWait(), "%+v", c.arrival)
	}
}
