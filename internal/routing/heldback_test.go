package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a client's time that begins with the last progress while this agent holds the client back, and against one that
// begins while the client certainly still writes, or sends slowly.
func TestWrittenSince(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var h HeldBack
	h.Start(at(0))
	h.Observe(at(1), 1<<20)
	for missing, want := range map[int64]time.Time{-1: at(0), 0: at(0), clientBufferBytes: at(1), clientBufferBytes + 1: {}} {
		since, isPossible := h.WrittenSince(missing)
		require.Equal(t, want, since, missing)
		require.Equal(t, !want.IsZero(), isPossible, missing)
	}
	h.Observe(at(500), 3<<20)
	h.Observe(at(900), 6<<20)
	since, _ := h.WrittenSince(0)
	require.Equal(t, at(1), since, "6 MiB have come, of which the client's machine held 4 at most")
	since, _ = h.WrittenSince(1 << 20)
	require.Equal(t, at(500), since)
	h.Observe(at(1000), maxUnknownBytes+1)
	_, isPossible := h.WrittenSince(-1)
	require.False(t, isPossible, "it may go on for long")
	h.Drained(at(1100))
	since, _ = h.WrittenSince(0)
	require.Equal(t, at(1100), since, "the client sends slowly")
}

// For any course of a body and any client whose machine holds as much as it may: the time is not after the one at which the client
// wrote its last byte, and by a step's arrival at most before the earliest at which it can have done so.
func TestWrittenSinceIsNotAfterTheLastWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := int64(rapid.IntRange(1, 24<<20).Draw(t, "length"))
		buffer := int64(rapid.IntRange(0, clientBufferBytes).Draw(t, "buffer"))
		var h HeldBack
		now := time.Now()
		h.Start(now)
		var writtenAt time.Time
		for arrived := int64(0); arrived < length; {
			if writtenAt.IsZero() && length-arrived <= buffer { // the rest fits into the client's machine
				writtenAt = now
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			arrived = min(length, arrived+int64(rapid.IntRange(1, 4<<20).Draw(t, "bytes")))
			h.Observe(now, arrived)
		}
		if writtenAt.IsZero() {
			writtenAt = now
		}
		since, isPossible := h.WrittenSince(0)
		require.True(t, isPossible)
		require.False(t, since.After(writtenAt))
	})
}
