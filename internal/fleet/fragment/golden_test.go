package fragment

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// frames decodes the frames of a datagram.
func frames(t *testing.T, datagram []byte) (fs []frame) {
	t.Helper()
	body, isIntact := decodeDatagram(datagram)
	require.True(t, isIntact)
	for len(body) > 0 {
		f, rest, isValid := decodeFrame(body)
		require.True(t, isValid)
		fs, body = append(fs, f), rest
	}
	return fs
}

// encodeFrame encodes a decoded frame of any kind.
func encodeFrame(f frame) []byte {
	switch f.kind {
	case kindShort:
		return encodeShort(f.channel, f.data)
	case kindAck:
		return encodeAck(f, f.data)
	}
	return encodeFragment(f.kind, f.channel, f)
}

// TestGolden checks that the encoding of each kind of datagram matches the golden file and decodes to the same frames.
func TestGolden(t *testing.T) {
	long := make([]byte, 2*fragmentBytes+30)
	for i := range long {
		long[i] = byte(i * 7)
	}
	one := New(Config{Agents: 300, Incarnation: 1_800_000_000_123})
	other := New(Config{Agents: 300, Incarnation: 1_800_000_000_456})
	require.NoError(t, one.Send(start, 299, 3, []byte("short")))
	require.NoError(t, one.Send(start, 299, 4, bytes.Repeat([]byte{1}, 20)))
	require.NoError(t, one.Send(start, 299, 5, long))
	datagrams := map[string][]byte{}
	sent := one.Out(start)
	require.Len(t, sent, 4)
	for i, name := range []string{"fragment-first", "fragment-second", "fragment-ack-request", "short-two"} {
		datagrams[name] = sent[i].Bytes
	}
	other.Receive(start, 7, sent[0].Bytes)
	other.Receive(start, 7, sent[2].Bytes)
	some := other.Out(start)
	require.Len(t, some, 1)
	datagrams["ack-some"] = some[0].Bytes
	require.Empty(t, one.Receive(start, 299, some[0].Bytes))
	again := one.Out(start)
	require.Len(t, again, 1)
	datagrams["fragment-resent"] = again[0].Bytes
	got := other.Receive(start, 7, again[0].Bytes)
	require.Equal(t, []Message{{7, 5, long}}, got)
	all := other.Out(start.Add(time.Millisecond))
	require.Len(t, all, 1)
	datagrams["ack-all"] = all[0].Bytes

	for name, d := range datagrams {
		file := golden.Bytes(t, name, d)
		require.Equal(t, []byte{FirstByte, Version}, file[:2], name)
		var encoded []byte
		for _, f := range frames(t, file) {
			encoded = append(encoded, encodeFrame(f)...)
		}
		require.Equal(t, file, encodeDatagram(encoded), name)
	}
	require.Equal(t, []Message{{7, 3, []byte("short")}, {7, 4, bytes.Repeat([]byte{1}, 20)}},
		other.Receive(start, 7, golden.Bytes(t, "short-two", datagrams["short-two"])))
}
