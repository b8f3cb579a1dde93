package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGolden checks that the encoding of each message has not changed, and that decoding reverses it.
func TestGolden(t *testing.T) {
	for name, m := range map[string]Request{
		"request":      {Agent: 17, Incarnation: 1_800_000_000_123, Nonce: 1 << 63, Epoch: 1_800_000_000_000, Seq: 300, Note: []byte("note")},
		"request-zero": {},
	} {
		file := golden.Bytes(t, name, m.Encode())
		decoded, err := DecodeRequest(file)
		require.NoError(t, err)
		require.Equal(t, m, decoded, name)
		require.Equal(t, file, decoded.Encode(), name)
	}
	for name, m := range map[string]Grant{
		"grant":          {Nonce: 1 << 63, Epoch: 1_800_000_000_000, Seq: 300, Unix: 1_800_000_001 * time.Second},
		"grant-rejected": {Nonce: 7, Rejected: true},
	} {
		file := golden.Bytes(t, name, m.Encode())
		decoded, err := DecodeGrant(file)
		require.NoError(t, err)
		require.Equal(t, m, decoded, name)
		require.Equal(t, file, decoded.Encode(), name)
	}
}

// TestGoldenStandings checks the names that operators' commands show.
func TestGoldenStandings(t *testing.T) {
	require.Equal(t, []string{"new", "floor", "full", "full"},
		[]string{New.String(), Floor.String(), Full.String(), Standing(200).String()})
}
